//! Availability of targets: reports about unavailable targets spread, are
//! refuted when they are wrong, and are withdrawn.

mod control_simulation;

use std::time::Duration;

use control_simulation::fixture::{bundle, roll};
use control_simulation::network::{Faults, Simulation, address, target_of};
use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_core::control::availability::{
    Availability, AvailabilityReport, PendingProbes, ProbeStep, ReportVersion, RunNumber,
};
use woodladder_core::control::control_message::{
    AvailabilityReports, ControlMessage, FrameError, MAXIMUM_DATAGRAM_LENGTH,
    MAXIMUM_REPORTS_PER_MESSAGE,
};
use woodladder_core::control::replica::{ReplicaEvent, ReplicaTuning};
use woodladder_core::identifier::ServiceId;
use woodladder_core::packets::keyed_tag::TagKey;

const NODES: usize = 100;
const FAILED_NODE: usize = 37;
/// Time until nearly all nodes have exchanged messages with each other.
const WARM_UP: Duration = Duration::from_secs(60);
/// The agent of an unavailable target is probed again within this time.
const LONGEST_RECHECK_DELAY: Duration = Duration::from_secs(40);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn simulation(nodes: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::serving(nodes, seed);
    simulation.run_for(WARM_UP);
    simulation
}

/// Whether all other running nodes consider a target unavailable or, if
/// `unavailable` is false, all consider it available.
fn all_agree_on(simulation: &Simulation, index: usize, unavailable: bool) -> bool {
    let nodes = simulation.nodes.iter().enumerate();
    nodes
        .filter(|(other, node)| *other != index && !node.down)
        .all(|(_, node)| node.replica.is_unavailable(target_of(index)) == unavailable)
}

fn all_available(simulation: &Simulation) -> bool {
    let mut nodes = simulation.nodes.iter();
    nodes.all(|node| node.down || node.replica.unavailable_target_count() == 0)
}

fn unreachable_reports(simulation: &Simulation) -> u64 {
    let nodes = simulation.nodes.iter();
    nodes
        .map(|node| node.replica.counters().agents_declared_unreachable)
        .sum()
}

fn report(index: usize, run: u64, version: u32, availability: Availability) -> AvailabilityReport {
    AvailabilityReport {
        target: target_of(index),
        control_address: address(index),
        run: RunNumber(run),
        version: ReportVersion(version),
        availability,
    }
}

fn send_reports(simulation: &mut Simulation, to: usize, reports: Vec<AvailabilityReport>) {
    let from = address(1);
    let message = ControlMessage::AvailabilityReports(AvailabilityReports { reports });
    simulation.event(to, ReplicaEvent::Message { from, message });
}

#[test]
fn failed_agent_is_reported_unreachable_everywhere() {
    let mut simulation = simulation(NODES, 1);
    assert!(all_available(&simulation));
    simulation.nodes[FAILED_NODE].down = true;
    assert!(simulation.run_until(seconds(5), |simulation| all_agree_on(
        simulation,
        FAILED_NODE,
        true
    )));
    simulation.run_for(seconds(120));
    assert!(all_agree_on(&simulation, FAILED_NODE, true));
}

#[test]
fn planned_stop_spreads_and_lasts() {
    let mut simulation = simulation(NODES, 2);
    simulation.event(FAILED_NODE, ReplicaEvent::Leaving);
    assert!(simulation.run_until(seconds(1), |simulation| all_agree_on(
        simulation,
        FAILED_NODE,
        true
    )));
    simulation.run_for(seconds(60));
    assert!(all_agree_on(&simulation, FAILED_NODE, true));
    assert_eq!(unreachable_reports(&simulation), 0);
}

#[test]
fn withdrawn_drain_makes_target_available() {
    let mut simulation = simulation(NODES, 3);
    simulation.event(FAILED_NODE, ReplicaEvent::TakesNewFlows(false));
    assert!(simulation.run_until(seconds(1), |simulation| all_agree_on(
        simulation,
        FAILED_NODE,
        true
    )));
    simulation.event(FAILED_NODE, ReplicaEvent::TakesNewFlows(true));
    assert!(simulation.run_until(seconds(1), all_available));
}

#[test]
fn restart_makes_target_available() {
    let mut simulation = simulation(NODES, 4);
    simulation.nodes[FAILED_NODE].down = true;
    assert!(simulation.run_until(seconds(5), |simulation| all_agree_on(
        simulation,
        FAILED_NODE,
        true
    )));
    simulation.restart(FAILED_NODE, ReplicaTuning::default());
    simulation.read_machine_list(FAILED_NODE, 0..NODES);
    assert!(simulation.run_until(seconds(2), all_available));
}

#[test]
fn targets_are_available_again_after_a_partition() {
    let mut simulation = simulation(NODES, 5);
    simulation.partitioned_at = Some(NODES / 2);
    simulation.run_for(seconds(60));
    assert!(unavailable_across_the_partition(&simulation));
    simulation.partitioned_at = None;
    assert!(simulation.run_until(LONGEST_RECHECK_DELAY, all_available));
}

fn unavailable_across_the_partition(simulation: &Simulation) -> bool {
    let first_half = &simulation.nodes[..NODES / 2];
    let others = (NODES / 2..NODES).filter(|index| !index.is_multiple_of(10));
    let mut pairs = others.flat_map(|index| first_half.iter().map(move |node| (node, index)));
    pairs.all(|(node, index)| node.replica.is_unavailable(target_of(index)))
}

#[test]
fn paused_node_reports_nobody_unreachable() {
    let paused = NODES - 10;
    let mut simulation = simulation(NODES, 6);
    simulation.faults = Faults {
        shortest_delay: Duration::from_millis(100),
        longest_delay: Duration::from_millis(200),
        ..Faults::NONE
    };
    for pause in [600, 900, 1_300, 2_000, 4_900, 6_000, 60_000] {
        for _ in 0..5 {
            let pause = Duration::from_millis(pause);
            simulation.nodes[paused].paused_until = simulation.now + pause;
            simulation.run_for(pause + Duration::from_millis(5_370));
            assert_eq!(unreachable_reports_by(&simulation, paused), 0, "{pause:?}");
        }
    }
    assert!(simulation.run_until(LONGEST_RECHECK_DELAY, all_available));
}

/// Guards against false reports by a node that handles its timers in time but
/// does not read its socket, so that answers to its probes wait there.
#[test]
fn node_that_reads_its_socket_late_reports_nobody_unreachable() {
    let slow = NODES - 10;
    let mut simulation = simulation(NODES, 17);
    simulation.nodes[slow].paused_until = simulation.now + seconds(30);
    for _ in 0..99 {
        simulation.run_for(Duration::from_millis(300));
        simulation.event(slow, ReplicaEvent::Tick);
    }
    simulation.run_for(seconds(10));
    assert_eq!(unreachable_reports_by(&simulation, slow), 0);
}

#[test]
fn agent_is_unreachable_only_if_another_answers_and_the_timer_is_in_time() {
    let steps_after = |answered: Option<u64>, checked_at: u64| {
        let mut pending_probes = PendingProbes::default();
        pending_probes.track(target_of(3), address(3), at(0));
        assert_eq!(pending_probes.take_due(at(499)), []);
        assert_eq!(
            pending_probes.take_due(at(500)),
            [ProbeStep::Repeat(address(3))]
        );
        assert_eq!(
            pending_probes.take_due(at(800)),
            [ProbeStep::RepeatIndirectly(address(3))]
        );
        if let Some(answered) = answered {
            pending_probes.record_answer(at(answered));
        }
        pending_probes.take_due(at(checked_at))
    };
    let unreachable = [ProbeStep::Unreachable(target_of(3))];
    let again = [ProbeStep::Repeat(address(3))];
    assert_eq!(steps_after(Some(900), 1_100), unreachable);
    assert_eq!(steps_after(Some(900), 1_351), again);
    assert_eq!(steps_after(Some(799), 1_100), again);
    assert_eq!(steps_after(None, 1_100), again);
}

fn at(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

#[test]
fn partitioned_node_reports_nobody_unreachable() {
    let mut simulation = simulation(NODES, 10);
    simulation.partitioned_at = Some(1);
    simulation.run_for(seconds(60));
    assert_eq!(unreachable_reports_by(&simulation, 0), 0);
}

#[test]
fn broken_path_between_two_nodes_makes_no_target_unavailable() {
    let mut simulation = simulation(10, 15);
    simulation.partitioned_pair = Some((3, 4));
    simulation.run_for(seconds(600));
    assert_eq!(unreachable_reports(&simulation), 0);
}

#[test]
fn agent_whose_clock_was_set_back_is_available() {
    let mut simulation = simulation(20, 16);
    for node in 0..20 {
        send_reports(
            &mut simulation,
            node,
            vec![report(7, 1_000, 3, Availability::Leaving)],
        );
    }
    assert!(simulation.run_until(seconds(2), all_available));
}

fn unreachable_reports_by(simulation: &Simulation, index: usize) -> u64 {
    simulation.nodes[index]
        .replica
        .counters()
        .agents_declared_unreachable
}

#[test]
fn joining_node_learns_of_unavailable_targets() {
    let mut simulation = simulation(NODES, 11);
    simulation.event(FAILED_NODE, ReplicaEvent::Leaving);
    simulation.run_for(seconds(5));
    simulation.nodes[FAILED_NODE].down = true;
    let joiner = NODES - 10;
    simulation.restart(joiner, ReplicaTuning::default());
    simulation.read_machine_list(joiner, 0..NODES);
    assert!(simulation.run_until(seconds(1), |simulation| all_agree_on(
        simulation,
        FAILED_NODE,
        true
    )));
}

#[test]
fn target_served_by_a_later_process_is_not_claimed_back() {
    let mut simulation = simulation(20, 12);
    let mut moved = report(7, u64::MAX, 0, Availability::Serving);
    moved.control_address = address(400);
    send_reports(&mut simulation, 7, vec![moved]);
    simulation.run_for(seconds(5));
    let refutations = simulation.nodes[7].replica.counters().own_reports_refuted;
    assert_eq!(refutations, 0);
}

#[test]
fn too_long_or_forged_report_messages_are_refused() {
    let key = TagKey::new([1; 16]);
    let batch = |count: usize| {
        let one = report(3, 1, 0, Availability::Unreachable);
        let reports = vec![one; count];
        ControlMessage::AvailabilityReports(AvailabilityReports { reports })
    };
    let longest = batch(MAXIMUM_REPORTS_PER_MESSAGE).encode(&key).unwrap();
    assert!(longest.len() <= MAXIMUM_DATAGRAM_LENGTH);
    assert!(ControlMessage::decode(&key, &longest).is_ok());
    let forged = ControlMessage::decode(&TagKey::new([2; 16]), &longest);
    assert_eq!(forged, Err(FrameError::TagMismatch));
    let too_long = batch(MAXIMUM_REPORTS_PER_MESSAGE + 1).encode(&key).unwrap();
    let refused = ControlMessage::decode(&key, &too_long);
    assert_eq!(refused, Err(FrameError::Malformed));
}

#[test]
fn unavailable_targets_reach_the_data_path_and_outlast_a_roll() {
    let mut simulation = simulation(NODES, 13);
    let agents: Vec<u32> = (1..30).filter(|id| id % 10 != 0).collect();
    let first = roll(None, bundle(1, agents.clone(), 4), 1);
    simulation.store.put_roll(&first);
    assert!(simulation.run_until(seconds(30), |simulation| {
        simulation.all_have_in_force(first.stored.record.sequence())
    }));
    simulation.nodes[7].down = true;
    assert!(simulation.run_until(seconds(10), |simulation| all_agree_on(simulation, 7, true)));
    simulation.run_for(seconds(1));
    assert!(!has_candidate(&simulation, 0, 7));
    let second = roll(Some(&first), bundle(2, agents, 5), 2);
    simulation.store.put_roll(&second);
    assert!(simulation.run_until(seconds(30), |simulation| {
        simulation.all_have_in_force(second.stored.record.sequence())
    }));
    assert!(!has_candidate(&simulation, 0, 7));
    assert!(has_candidate(&simulation, 0, 9));
}

/// Whether the routing table of a node's data path contains a target as a
/// candidate.
fn has_candidate(simulation: &Simulation, node: usize, target: usize) -> bool {
    let node = &simulation.nodes[node];
    let installed = &node.replica.installed().unwrap().directory;
    let routing_table = node.routing_table.as_deref().unwrap_or(installed);
    let service = ServiceId(u32::try_from(target % 2).unwrap());
    let mut candidates = routing_table.service(service).unwrap().candidates.iter();
    candidates.any(|candidate| candidate.target == target_of(target))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever is reported about running agents, and whatever happens to
    /// messages, the agents are available again once the network works.
    #[test]
    fn running_agents_refute_reports_about_them(
        seed in any::<u64>(),
        loss in 0.0..0.4_f64,
        duplication in 0.0..0.4_f64,
        claims in prop::collection::vec((1..9_usize, 0..20_usize, 0..40_u32, any::<bool>()), 1..12),
    ) {
        let mut simulation = Simulation::serving(20, seed);
        simulation.run_for(seconds(10));
        simulation.faults = Faults {
            loss,
            duplication,
            shortest_delay: Duration::from_millis(1),
            longest_delay: Duration::from_millis(200),
        };
        for (about, to, version, leaving) in claims {
            let availability = match leaving {
                true => Availability::Leaving,
                false => Availability::Unreachable,
            };
            let run = about as u64;
            send_reports(&mut simulation, to, vec![report(about, run, version, availability)]);
            simulation.run_for(Duration::from_millis(100));
        }
        simulation.run_for(seconds(20));
        simulation.faults = Faults::NONE;
        prop_assert!(simulation.run_until(LONGEST_RECHECK_DELAY, all_available));
    }
}

/// Prints the bytes that one planned stop and one failure cost each node, and
/// checks them against a limit.
#[test]
fn stop_or_failure_costs_each_node_few_bytes() {
    for nodes in [100, 300] {
        let mut simulation = simulation(nodes, 14);
        let quiet = report_bytes_per_node(&mut simulation, |_| {});
        let leave = report_bytes_per_node(&mut simulation, |simulation| {
            simulation.event(FAILED_NODE, ReplicaEvent::Leaving)
        });
        let failure = report_bytes_per_node(&mut simulation, |simulation| {
            simulation.nodes[FAILED_NODE + 1].down = true
        });
        println!("{nodes} nodes: quiet {quiet} B, leave {leave} B, failure {failure} B a node");
        assert!(leave < 2_000 && failure < 2_000);
    }
}

/// Bytes of reports that each node sends on average in ten seconds.
fn report_bytes_per_node(simulation: &mut Simulation, event: impl FnOnce(&mut Simulation)) -> u64 {
    let total = |simulation: &Simulation| -> u64 {
        let nodes = simulation.nodes.iter();
        nodes
            .map(|node| node.replica.counters().report_bytes_sent)
            .sum()
    };
    let before = total(simulation);
    event(simulation);
    simulation.run_for(seconds(10));
    (total(simulation) - before) / simulation.nodes.len() as u64
}
