//! Replicas during outages of the key-value service, network partitions, pauses
//! and restarts.

mod control_simulation;

use std::time::Duration;

use control_simulation::fixture::{Roll, bundle, roll, untrusted_operator};
use control_simulation::network::{Simulation, address};
use woodladder_core::configuration::roll_record::RollRecord;
use woodladder_core::control::control_message::{ControlMessage, Offer};
use woodladder_core::control::replica::{ReplicaEvent, ReplicaTuning};
use woodladder_core::control::store_operation::StoreKey;
use woodladder_core::identifier::Sequence;

const ROLLOUT_LIMIT: Duration = Duration::from_secs(11);
const LONG_OUTAGE: Duration = Duration::from_secs(4 * 3600);

/// A simulation in which the first roll is in force everywhere.
fn rolled_out_simulation(count: usize, seed: u64) -> (Simulation, Roll) {
    let mut simulation = Simulation::listed(count, seed, ReplicaTuning::default());
    let first = roll(None, bundle(1, 0..100, 4), 1);
    simulation.store.put_roll(&first);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(1))
    }));
    (simulation, first)
}

fn offer(roll: &Roll) -> ControlMessage {
    let delta = roll.stored.delta.as_ref();
    let record = roll.stored.record.clone();
    ControlMessage::Offer(Box::new(Offer::fitting_datagram(record, delta)))
}

fn message(from: usize, message: ControlMessage) -> ReplicaEvent {
    let from = address(from);
    ReplicaEvent::Message { from, message }
}

#[test]
fn nodes_that_start_in_an_outage_learn_the_roll_from_other_nodes() {
    let (mut simulation, first) = rolled_out_simulation(6, 1);
    let second = roll(Some(&first), bundle(2, 0..100, 5), 2);
    simulation.store.put_roll(&second);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(2))
    }));
    simulation.store.down = true;
    simulation.run_for(LONG_OUTAGE);
    for index in 0..6 {
        simulation.restart(index, ReplicaTuning::default());
        simulation.read_machine_list(index, 0..6);
        let ready = |simulation: &Simulation| simulation.nodes[index].replica.is_ready();
        assert!(simulation.run_until(ROLLOUT_LIMIT, ready), "node {index}");
        assert_eq!(simulation.nodes[index].replica.sequence(), Sequence(2));
    }
}

#[test]
fn node_without_peers_and_service_stays_not_ready() {
    let mut simulation = Simulation::listed(1, 2, ReplicaTuning::default());
    simulation.store.down = true;
    simulation.run_for(LONG_OUTAGE);
    assert!(!simulation.nodes[0].replica.is_ready());
}

#[test]
fn joiner_that_receives_an_older_roll_first_serves_the_newest() {
    let (mut simulation, first) = rolled_out_simulation(8, 3);
    let second = roll(Some(&first), bundle(2, 0..100, 5), 2);
    simulation.nodes[0].paused_until = simulation.now + ROLLOUT_LIMIT * 2;
    simulation.store.put_roll(&second);
    let others_have_second = |simulation: &Simulation| {
        let others = &simulation.nodes[1..];
        others
            .iter()
            .all(|node| node.replica.sequence() == Sequence(2))
    };
    assert!(simulation.run_until(ROLLOUT_LIMIT, others_have_second));
    simulation.store.down = true;
    let joiner = simulation.add(ReplicaTuning::default());
    simulation.read_machine_list(joiner, 0..8);
    simulation.event(joiner, message(0, offer(&first)));
    let ready = |simulation: &Simulation| simulation.nodes[joiner].replica.is_ready();
    assert!(simulation.run_until(ROLLOUT_LIMIT, ready));
    assert_eq!(simulation.nodes[joiner].replica.sequence(), Sequence(2));
}

#[test]
fn paused_node_is_suspect_until_it_has_caught_up() {
    let (mut simulation, first) = rolled_out_simulation(8, 4);
    let pause = Duration::from_secs(30);
    let resumes_at = simulation.now + pause;
    simulation.nodes[3].paused_until = resumes_at;
    simulation
        .store
        .put_roll(&roll(Some(&first), bundle(2, 0..100, 5), 2));
    simulation.run_for(pause - Duration::from_millis(1));
    assert_eq!(simulation.nodes[3].replica.sequence(), Sequence(1));
    assert!(simulation.nodes[3].replica.is_suspect(simulation.now));
    let trusted = |simulation: &Simulation| !simulation.nodes[3].replica.is_suspect(simulation.now);
    assert!(simulation.run_until(ROLLOUT_LIMIT, trusted));
    assert_eq!(simulation.nodes[3].replica.sequence(), Sequence(2));
    assert_eq!(simulation.nodes[3].replica.counters().pauses_detected, 1);
    simulation.assert_never_reverted();
}

#[test]
fn partitioned_halves_converge_after_an_hour() {
    let (mut simulation, first) = rolled_out_simulation(20, 5);
    simulation.store.down = true;
    simulation.partitioned_at = Some(10);
    simulation.run_for(Duration::from_secs(3600));
    let second = roll(Some(&first), bundle(2, 0..101, 4), 2);
    simulation.event(0, message(1, offer(&second)));
    simulation.run_for(ROLLOUT_LIMIT);
    let behind = |simulation: &Simulation| simulation.nodes[19].replica.sequence();
    assert_eq!(behind(&simulation), Sequence(1));
    simulation.partitioned_at = None;
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(2))
    }));
    simulation.assert_never_reverted();
}

#[test]
fn lost_answers_of_the_service_do_not_delay_rolls_among_nodes() {
    let (mut simulation, first) = rolled_out_simulation(20, 6);
    simulation.store.loses_answers = true;
    simulation.run_for(Duration::from_secs(600));
    let second = roll(Some(&first), bundle(2, 0..101, 4), 2);
    simulation.event(7, message(1, offer(&second)));
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(2))
    }));
}

#[test]
fn service_is_read_within_the_shared_rate() {
    let (mut simulation, _) = rolled_out_simulation(100, 7);
    simulation.run_for(Duration::from_secs(60));
    let before = simulation.store.requests;
    simulation.run_for(Duration::from_secs(600));
    let reads = simulation.store.requests - before;
    assert!((1500..4500).contains(&reads), "{reads} reads in 600 s");
}

#[test]
fn snapshot_that_no_node_has_is_read_within_the_shared_rate() {
    let mut simulation = Simulation::listed(300, 12, ReplicaTuning::default());
    let first = roll(None, bundle(1, 0..100, 4), 1);
    let record = borsh::to_vec(&first.stored).unwrap();
    simulation.store.put(StoreKey::Current, record);
    simulation.run_for(Duration::from_secs(60));
    let before = simulation.store.requests;
    simulation.run_for(Duration::from_secs(100));
    let reads = simulation.store.requests - before;
    assert!((500..1250).contains(&reads), "{reads} reads in 100 s");
    simulation.store.put_roll(&first);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(1))
    }));
}

#[test]
fn long_delta_is_sent_in_chunks() {
    let (mut simulation, first) = rolled_out_simulation(20, 8);
    let second = roll(Some(&first), bundle(2, 0..100, 9), 2);
    simulation.store.put_roll(&second);
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(2))
    }));
    let by_delta = |index: usize| {
        simulation.nodes[index]
            .replica
            .counters()
            .rolls_adopted_by_delta
    };
    assert!((0..20).all(|index| by_delta(index) == 1));
}

#[test]
fn node_several_rolls_behind_gets_one_delta() {
    let (mut simulation, mut last) = rolled_out_simulation(8, 9);
    simulation.store.down = true;
    simulation.partitioned_at = Some(1);
    for version in 2..7 {
        last = roll(Some(&last), bundle(version, 0..100 + version as u32, 4), 2);
        simulation.event(1, message(2, offer(&last)));
        simulation.run_for(Duration::from_secs(5));
    }
    assert_eq!(simulation.nodes[0].replica.sequence(), Sequence(1));
    simulation.partitioned_at = None;
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(6))
    }));
    assert_eq!(
        simulation.nodes[0]
            .replica
            .counters()
            .rolls_adopted_by_delta,
        1
    );
    let installed = simulation.nodes[0].replica.installed().unwrap();
    assert_eq!(installed.snapshot, last.snapshot);
}

#[test]
fn unacceptable_records_are_counted_and_never_adopted() {
    let (mut simulation, first) = rolled_out_simulation(3, 10);
    let second = roll(Some(&first), bundle(2, 0..100, 5), 2);
    let mut forged = second.clone();
    let statement = forged.stored.record.statement.clone();
    forged.stored.record = RollRecord::sign(statement, &untrusted_operator());
    let mut altered = second.clone();
    altered.stored.record.statement.sequence = Sequence(9);
    let conflicting = roll(None, bundle(3, 0..100, 5), 3);
    for bad in [&forged, &altered, &conflicting] {
        simulation.event(0, message(1, offer(bad)));
    }
    simulation.run_for(ROLLOUT_LIMIT);
    let node = &simulation.nodes[0].replica;
    assert_eq!(node.sequence(), Sequence(1));
    assert_eq!(node.counters().rejections.record_signature, 2);
    assert_eq!(node.counters().rejections.sequence_conflict, 1);
}

#[test]
fn wrong_delta_falls_back_to_a_full_copy() {
    let (mut simulation, first) = rolled_out_simulation(4, 11);
    simulation.store.down = true;
    simulation.partitioned_at = Some(1);
    let second = roll(Some(&first), bundle(2, 0..101, 4), 2);
    simulation.event(1, message(2, offer(&second)));
    simulation.run_for(ROLLOUT_LIMIT);
    let mut wrong = second.clone();
    wrong.stored.delta.as_mut().unwrap().targets.clear();
    simulation.event(0, message(1, offer(&wrong)));
    assert_eq!(simulation.nodes[0].replica.counters().rejections.delta, 1);
    simulation.partitioned_at = None;
    assert!(simulation.run_until(ROLLOUT_LIMIT, |simulation| {
        simulation.all_have_in_force(Sequence(2))
    }));
}
