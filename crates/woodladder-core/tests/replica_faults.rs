//! Replicas under outages, cuts, pauses and restarts.

mod control_world;

use std::time::Duration;

use control_world::fixture::{Roll, bundle, roll, stranger};
use control_world::network::{World, address};
use woodladder_core::configuration::roll_record::RollRecord;
use woodladder_core::control::control_message::{ControlMessage, Offer};
use woodladder_core::control::replica::{ReplicaEvent, ReplicaTuning};
use woodladder_core::control::store_operation::StoreKey;
use woodladder_core::identifier::Sequence;

const LIMIT: Duration = Duration::from_secs(11);
const EVENING: Duration = Duration::from_secs(4 * 3600);

/// A world in which the first roll is in force everywhere.
fn rolled_world(count: usize, seed: u64) -> (World, Roll) {
    let mut world = World::listed(count, seed, ReplicaTuning::default());
    let first = roll(None, bundle(1, 0..100, 4), 1);
    world.store.put_roll(&first);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(1))));
    (world, first)
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
fn nodes_that_start_in_an_outage_learn_from_any_node() {
    let (mut world, first) = rolled_world(6, 1);
    let second = roll(Some(&first), bundle(2, 0..100, 5), 2);
    world.store.put_roll(&second);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(2))));
    world.store.down = true;
    world.run_for(EVENING);
    for index in 0..6 {
        world.restart(index, ReplicaTuning::default());
        world.read_list(index, 0..6);
        let ready = |world: &World| world.nodes[index].replica.is_ready();
        assert!(world.run_until(LIMIT, ready), "node {index}");
        assert_eq!(world.nodes[index].replica.sequence(), Sequence(2));
    }
}

#[test]
fn node_without_peers_and_service_stays_not_ready() {
    let mut world = World::listed(1, 2, ReplicaTuning::default());
    world.store.down = true;
    world.run_for(EVENING);
    assert!(!world.nodes[0].replica.is_ready());
}

#[test]
fn joiner_that_hears_an_older_roll_first_serves_the_newest() {
    let (mut world, first) = rolled_world(8, 3);
    let second = roll(Some(&first), bundle(2, 0..100, 5), 2);
    world.nodes[0].frozen_until = world.now + LIMIT * 2;
    world.store.put_roll(&second);
    let rest_has = |world: &World| {
        let rest = &world.nodes[1..];
        rest.iter()
            .all(|node| node.replica.sequence() == Sequence(2))
    };
    assert!(world.run_until(LIMIT, rest_has));
    world.store.down = true;
    let joiner = world.add(ReplicaTuning::default());
    world.read_list(joiner, 0..8);
    world.event(joiner, message(0, offer(&first)));
    let ready = |world: &World| world.nodes[joiner].replica.is_ready();
    assert!(world.run_until(LIMIT, ready));
    assert_eq!(world.nodes[joiner].replica.sequence(), Sequence(2));
}

#[test]
fn paused_node_is_suspect_until_it_has_caught_up() {
    let (mut world, first) = rolled_world(8, 4);
    let pause = Duration::from_secs(30);
    let wakes_at = world.now + pause;
    world.nodes[3].frozen_until = wakes_at;
    world
        .store
        .put_roll(&roll(Some(&first), bundle(2, 0..100, 5), 2));
    world.run_for(pause - Duration::from_millis(1));
    assert_eq!(world.nodes[3].replica.sequence(), Sequence(1));
    assert!(world.nodes[3].replica.is_suspect(world.now));
    let trusted = |world: &World| !world.nodes[3].replica.is_suspect(world.now);
    assert!(world.run_until(LIMIT, trusted));
    assert_eq!(world.nodes[3].replica.sequence(), Sequence(2));
    assert_eq!(world.nodes[3].replica.counters().pauses_detected, 1);
    world.assert_never_reverted();
}

#[test]
fn cut_halves_agree_again_after_an_hour() {
    let (mut world, first) = rolled_world(20, 5);
    world.store.down = true;
    world.cut_at = Some(10);
    world.run_for(Duration::from_secs(3600));
    let second = roll(Some(&first), bundle(2, 0..101, 4), 2);
    world.event(0, message(1, offer(&second)));
    world.run_for(LIMIT);
    let behind = |world: &World| world.nodes[19].replica.sequence();
    assert_eq!(behind(&world), Sequence(1));
    world.cut_at = None;
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(2))));
    world.assert_never_reverted();
}

#[test]
fn service_whose_answers_are_lost_delays_nothing_among_nodes() {
    let (mut world, first) = rolled_world(20, 6);
    world.store.mute = true;
    world.run_for(Duration::from_secs(600));
    let second = roll(Some(&first), bundle(2, 0..101, 4), 2);
    world.event(7, message(1, offer(&second)));
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(2))));
}

#[test]
fn service_is_read_within_the_shared_rate() {
    let (mut world, _) = rolled_world(100, 7);
    world.run_for(Duration::from_secs(60));
    let before = world.store.requests;
    world.run_for(Duration::from_secs(600));
    let reads = world.store.requests - before;
    assert!((1500..4500).contains(&reads), "{reads} reads in 600 s");
}

#[test]
fn snapshot_that_nobody_has_is_looked_for_within_the_shared_rate() {
    let mut world = World::listed(300, 12, ReplicaTuning::default());
    let first = roll(None, bundle(1, 0..100, 4), 1);
    let record = borsh::to_vec(&first.stored).unwrap();
    world.store.put(StoreKey::Current, record);
    world.run_for(Duration::from_secs(60));
    let before = world.store.requests;
    world.run_for(Duration::from_secs(100));
    let reads = world.store.requests - before;
    assert!((500..1250).contains(&reads), "{reads} reads in 100 s");
    world.store.put_roll(&first);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(1))));
}

#[test]
fn long_delta_travels_in_chunks() {
    let (mut world, first) = rolled_world(20, 8);
    let second = roll(Some(&first), bundle(2, 0..100, 9), 2);
    world.store.put_roll(&second);
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(2))));
    let by_delta = |index: usize| world.nodes[index].replica.counters().rolls_adopted_by_delta;
    assert!((0..20).all(|index| by_delta(index) == 1));
}

#[test]
fn node_several_rolls_behind_gets_one_delta() {
    let (mut world, mut last) = rolled_world(8, 9);
    world.store.down = true;
    world.cut_at = Some(1);
    for version in 2..7 {
        last = roll(Some(&last), bundle(version, 0..100 + version as u32, 4), 2);
        world.event(1, message(2, offer(&last)));
        world.run_for(Duration::from_secs(5));
    }
    assert_eq!(world.nodes[0].replica.sequence(), Sequence(1));
    world.cut_at = None;
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(6))));
    assert_eq!(world.nodes[0].replica.counters().rolls_adopted_by_delta, 1);
    let installed = world.nodes[0].replica.installed().unwrap();
    assert_eq!(installed.snapshot, last.snapshot);
}

#[test]
fn records_that_are_not_acceptable_are_counted_and_never_adopted() {
    let (mut world, first) = rolled_world(3, 10);
    let second = roll(Some(&first), bundle(2, 0..100, 5), 2);
    let mut forged = second.clone();
    let statement = forged.stored.record.statement.clone();
    forged.stored.record = RollRecord::sign(statement, &stranger());
    let mut altered = second.clone();
    altered.stored.record.statement.sequence = Sequence(9);
    let taken = roll(None, bundle(3, 0..100, 5), 3);
    for bad in [&forged, &altered, &taken] {
        world.event(0, message(1, offer(bad)));
    }
    world.run_for(LIMIT);
    let node = &world.nodes[0].replica;
    assert_eq!(node.sequence(), Sequence(1));
    assert_eq!(node.counters().rejections.record_signature, 2);
    assert_eq!(node.counters().rejections.sequence_conflict, 1);
}

#[test]
fn wrong_delta_falls_back_to_a_full_copy() {
    let (mut world, first) = rolled_world(4, 11);
    world.store.down = true;
    world.cut_at = Some(1);
    let second = roll(Some(&first), bundle(2, 0..101, 4), 2);
    world.event(1, message(2, offer(&second)));
    world.run_for(LIMIT);
    let mut wrong = second.clone();
    wrong.stored.delta.as_mut().unwrap().targets.clear();
    world.event(0, message(1, offer(&wrong)));
    assert_eq!(world.nodes[0].replica.counters().rejections.delta, 1);
    world.cut_at = None;
    assert!(world.run_until(LIMIT, |world| world.all_have(Sequence(2))));
}
