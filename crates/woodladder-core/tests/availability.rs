//! Marks of unavailable targets: they spread, are refuted and go away.

mod control_world;

use std::time::Duration;

use control_world::fixture::{bundle, roll};
use control_world::network::{Faults, World, address, target_of};
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
const DEAD: usize = 37;
/// Until nearly all nodes have exchanged messages with each other.
const WARM_UP: Duration = Duration::from_secs(60);
/// A marked target's agent is probed again within this time.
const RECHECK: Duration = Duration::from_secs(40);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn world(nodes: usize, seed: u64) -> World {
    let mut world = World::serving(nodes, seed);
    world.run_for(WARM_UP);
    world
}

/// Whether all other nodes that run mark a target, or none does.
fn marked(world: &World, index: usize, wanted: bool) -> bool {
    let nodes = world.nodes.iter().enumerate();
    nodes
        .filter(|(other, node)| *other != index && !node.down)
        .all(|(_, node)| node.replica.is_unavailable(target_of(index)) == wanted)
}

fn unmarked(world: &World) -> bool {
    let mut nodes = world.nodes.iter();
    nodes.all(|node| node.down || node.replica.unavailable_target_count() == 0)
}

fn accusations(world: &World) -> u64 {
    let nodes = world.nodes.iter();
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

fn tell(world: &mut World, to: usize, reports: Vec<AvailabilityReport>) {
    let from = address(1);
    let message = ControlMessage::AvailabilityReports(AvailabilityReports { reports });
    world.event(to, ReplicaEvent::Message { from, message });
}

#[test]
fn a_dead_agent_is_marked_everywhere() {
    let mut world = world(NODES, 1);
    assert!(unmarked(&world));
    world.nodes[DEAD].down = true;
    assert!(world.run_until(seconds(5), |world| marked(world, DEAD, true)));
    world.run_for(seconds(120));
    assert!(marked(&world, DEAD, true));
}

#[test]
fn a_planned_leave_spreads_and_lasts() {
    let mut world = world(NODES, 2);
    world.event(DEAD, ReplicaEvent::Leaving);
    assert!(world.run_until(seconds(1), |world| marked(world, DEAD, true)));
    world.run_for(seconds(60));
    assert!(marked(&world, DEAD, true));
    assert_eq!(accusations(&world), 0);
}

#[test]
fn a_drain_that_is_withdrawn_clears_the_mark() {
    let mut world = world(NODES, 3);
    world.event(DEAD, ReplicaEvent::TakesNewFlows(false));
    assert!(world.run_until(seconds(1), |world| marked(world, DEAD, true)));
    world.event(DEAD, ReplicaEvent::TakesNewFlows(true));
    assert!(world.run_until(seconds(1), unmarked));
}

#[test]
fn a_restart_clears_the_mark() {
    let mut world = world(NODES, 4);
    world.nodes[DEAD].down = true;
    assert!(world.run_until(seconds(5), |world| marked(world, DEAD, true)));
    world.restart(DEAD, ReplicaTuning::default());
    world.read_list(DEAD, 0..NODES);
    assert!(world.run_until(seconds(2), unmarked));
}

#[test]
fn marks_of_a_partition_go_away_after_it() {
    let mut world = world(NODES, 5);
    world.cut_at = Some(NODES / 2);
    world.run_for(seconds(60));
    assert!(marked_across_the_cut(&world));
    world.cut_at = None;
    assert!(world.run_until(RECHECK, unmarked));
}

fn marked_across_the_cut(world: &World) -> bool {
    let first_half = &world.nodes[..NODES / 2];
    let others = (NODES / 2..NODES).filter(|index| !index.is_multiple_of(10));
    let mut pairs = others.flat_map(|index| first_half.iter().map(move |node| (node, index)));
    pairs.all(|(node, index)| node.replica.is_unavailable(target_of(index)))
}

#[test]
fn a_frozen_node_that_wakes_accuses_nobody() {
    let frozen = NODES - 10;
    let mut world = world(NODES, 6);
    world.faults = Faults {
        shortest_delay: Duration::from_millis(100),
        longest_delay: Duration::from_millis(200),
        ..Faults::NONE
    };
    for pause in [600, 900, 1_300, 2_000, 4_900, 6_000, 60_000] {
        for _ in 0..5 {
            let pause = Duration::from_millis(pause);
            world.nodes[frozen].frozen_until = world.now + pause;
            world.run_for(pause + Duration::from_millis(5_370));
            assert_eq!(accusations_by(&world, frozen), 0, "{pause:?}");
        }
    }
    assert!(world.run_until(RECHECK, unmarked));
}

/// Its timers run, and answers wait in the socket.
#[test]
fn a_node_that_falls_behind_with_reading_accuses_nobody() {
    let behind = NODES - 10;
    let mut world = world(NODES, 17);
    world.nodes[behind].frozen_until = world.now + seconds(30);
    for _ in 0..99 {
        world.run_for(Duration::from_millis(300));
        world.event(behind, ReplicaEvent::Tick);
    }
    world.run_for(seconds(10));
    assert_eq!(accusations_by(&world, behind), 0);
}

#[test]
fn silence_counts_only_when_another_answers_and_the_timer_is_in_time() {
    let judged = |answered: Option<u64>, looked: u64| {
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
        pending_probes.take_due(at(looked))
    };
    let unreachable = [ProbeStep::Unreachable(target_of(3))];
    let again = [ProbeStep::Repeat(address(3))];
    assert_eq!(judged(Some(900), 1_100), unreachable);
    assert_eq!(judged(Some(900), 1_351), again);
    assert_eq!(judged(Some(799), 1_100), again);
    assert_eq!(judged(None, 1_100), again);
}

fn at(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

#[test]
fn a_node_that_is_cut_off_accuses_nobody() {
    let mut world = world(NODES, 10);
    world.cut_at = Some(1);
    world.run_for(seconds(60));
    assert_eq!(accusations_by(&world, 0), 0);
}

#[test]
fn a_path_lost_between_two_nodes_marks_nobody() {
    let mut world = world(10, 15);
    world.cut_pair = Some((3, 4));
    world.run_for(seconds(600));
    assert_eq!(accusations(&world), 0);
}

#[test]
fn an_agent_whose_clock_was_set_back_is_served() {
    let mut world = world(20, 16);
    for node in 0..20 {
        tell(
            &mut world,
            node,
            vec![report(7, 1_000, 3, Availability::Leaving)],
        );
    }
    assert!(world.run_until(seconds(2), unmarked));
}

fn accusations_by(world: &World, index: usize) -> u64 {
    world.nodes[index]
        .replica
        .counters()
        .agents_declared_unreachable
}

#[test]
fn a_joining_node_learns_the_marks() {
    let mut world = world(NODES, 11);
    world.event(DEAD, ReplicaEvent::Leaving);
    world.run_for(seconds(5));
    world.nodes[DEAD].down = true;
    let joining = NODES - 10;
    world.restart(joining, ReplicaTuning::default());
    world.read_list(joining, 0..NODES);
    assert!(world.run_until(seconds(1), |world| marked(world, DEAD, true)));
}

#[test]
fn a_target_of_a_later_process_is_not_claimed_back() {
    let mut world = world(20, 12);
    let mut moved = report(7, u64::MAX, 0, Availability::Serving);
    moved.control_address = address(400);
    tell(&mut world, 7, vec![moved]);
    world.run_for(seconds(5));
    let refutations = world.nodes[7].replica.counters().own_reports_refuted;
    assert_eq!(refutations, 0);
}

#[test]
fn batches_that_are_too_long_or_forged_are_refused() {
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
fn marks_reach_the_data_path_and_survive_a_roll() {
    let mut world = world(NODES, 13);
    let agents: Vec<u32> = (1..30).filter(|id| id % 10 != 0).collect();
    let first = roll(None, bundle(1, agents.clone(), 4), 1);
    world.store.put_roll(&first);
    assert!(world.run_until(seconds(30), |world| {
        world.all_have(first.stored.record.sequence())
    }));
    world.nodes[7].down = true;
    assert!(world.run_until(seconds(10), |world| marked(world, 7, true)));
    world.run_for(seconds(1));
    assert!(!names(&world, 0, 7));
    let second = roll(Some(&first), bundle(2, agents, 5), 2);
    world.store.put_roll(&second);
    assert!(world.run_until(seconds(30), |world| {
        world.all_have(second.stored.record.sequence())
    }));
    assert!(!names(&world, 0, 7));
    assert!(names(&world, 0, 9));
}

/// Whether the directory at a node's data path has a target as a candidate.
fn names(world: &World, node: usize, target: usize) -> bool {
    let node = &world.nodes[node];
    let installed = &node.replica.installed().unwrap().directory;
    let directory = node.refreshed.as_deref().unwrap_or(installed);
    let service = ServiceId(u32::try_from(target % 2).unwrap());
    let mut candidates = directory.service(service).unwrap().candidates.iter();
    candidates.any(|candidate| candidate.target == target_of(target))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever is said of agents that live, and however messages fare, they
    /// are served again once the network is whole.
    #[test]
    fn agents_that_live_refute_what_is_said_of_them(
        seed in any::<u64>(),
        loss in 0.0..0.4_f64,
        duplication in 0.0..0.4_f64,
        said in prop::collection::vec((1..9_usize, 0..20_usize, 0..40_u32, any::<bool>()), 1..12),
    ) {
        let mut world = World::serving(20, seed);
        world.run_for(seconds(10));
        world.faults = Faults {
            loss,
            duplication,
            shortest_delay: Duration::from_millis(1),
            longest_delay: Duration::from_millis(200),
        };
        for (about, to, version, leaving) in said {
            let availability = match leaving {
                true => Availability::Leaving,
                false => Availability::Unreachable,
            };
            let run = about as u64;
            tell(&mut world, to, vec![report(about, run, version, availability)]);
            world.run_for(Duration::from_millis(100));
        }
        world.run_for(seconds(20));
        world.faults = Faults::NONE;
        prop_assert!(world.run_until(RECHECK, unmarked));
    }
}

/// Prints what one leave and one failure cost each node.
#[test]
fn an_event_costs_each_node_little() {
    for nodes in [100, 300] {
        let mut world = world(nodes, 14);
        let quiet = bytes_of(&mut world, |_| {});
        let leave = bytes_of(&mut world, |world| world.event(DEAD, ReplicaEvent::Leaving));
        let failure = bytes_of(&mut world, |world| world.nodes[DEAD + 1].down = true);
        println!("{nodes} nodes: quiet {quiet} B, leave {leave} B, failure {failure} B a node");
        assert!(leave < 2_000 && failure < 2_000);
    }
}

/// Bytes of reports that each node sends on average in ten seconds.
fn bytes_of(world: &mut World, event: impl FnOnce(&mut World)) -> u64 {
    let total = |world: &World| -> u64 {
        let nodes = world.nodes.iter();
        nodes
            .map(|node| node.replica.counters().report_bytes_sent)
            .sum()
    };
    let before = total(world);
    event(world);
    world.run_for(seconds(10));
    (total(world) - before) / world.nodes.len() as u64
}
