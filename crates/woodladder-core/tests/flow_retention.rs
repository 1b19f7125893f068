//! Flows at rest stay in the tables for as long as the configuration in force and the
//! lifetime of flows let them rest, and an agent that has forgotten a flow that may be open
//! does not claim to know all flows.

mod flow_support;

use std::sync::Arc;
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentAction, AgentOptions};
use woodladder_core::flow::balancer::Balancer;
use woodladder_core::flow::configuration::Configuration;
use woodladder_core::flow::flow_table::FlowTable;
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage, SnapshotRequest};
use woodladder_core::flow::snapshot::Snapshot;

/// Interval between two ticks, in milliseconds.
const TICK_MS: u64 = 100;

fn configuration_with(version: u64, idle_timeout_ms: u64) -> Configuration {
    Configuration {
        idle_timeout_ms,
        ..Configuration::clone(&configuration(version))
    }
}

fn adopt(agent: &mut Agent, configuration: Configuration, now: u64) {
    let snapshot = Snapshot {
        configuration: Some(configuration),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, at(now));
}

/// An agent whose target began after it, under a configuration with an idle timeout.
fn agent_with(idle_timeout_ms: u64) -> Agent {
    let mut agent = agent();
    adopt(&mut agent, configuration_with(1, idle_timeout_ms), 0);
    agent
}

fn tick_until(agent: &mut Agent, from: u64, until: u64) {
    for now in (from..=until).step_by(TICK_MS as usize) {
        agent.tick(at(now), &mut Vec::new());
    }
}

/// The agent's answer to a query about a flow.
fn answer_about(agent: &mut Agent, port: u16, now: u64) -> PeerMessage {
    let keys = vec![flow(port)];
    let mut actions = Vec::new();
    agent.handle_message(
        node(1),
        &PeerMessage::Locate { keys },
        at(now),
        &mut actions,
    );
    match actions.pop() {
        Some(AgentAction::Send { message, .. }) => message,
        other => panic!("{other:?}"),
    }
}

fn is_located(answer: &PeerMessage) -> bool {
    matches!(answer, PeerMessage::Located { .. })
}

fn is_denied(answer: &PeerMessage) -> bool {
    matches!(answer, PeerMessage::NotHeld { .. })
}

/// Flows that had rested for 45 s of a configured 50 s were denied by the agent of their
/// target and then reset.
#[test]
fn a_flow_that_rests_for_less_than_the_idle_timeout_is_never_denied() {
    for opened_at in (0..60_000).step_by(3_000) {
        let mut agent = agent_with(50_000);
        tick_until(&mut agent, 0, opened_at);
        open_flow_at(&mut agent, flow(1), at(opened_at));
        let used_at = opened_at + 49_900;
        tick_until(&mut agent, opened_at + TICK_MS, used_at);
        let answer = answer_about(&mut agent, 1, used_at);
        assert!(is_located(&answer), "opened at {opened_at} ms: {answer:?}");
        let header = header(1, ForwardPurpose::Established);
        let packet = data(flow(1), 1101, 5001);
        let delivery = forward_to(&mut agent, &header, &packet, at(used_at));
        assert!(
            is_delivered(&delivery),
            "opened at {opened_at} ms: {delivery:?}"
        );
    }
}

/// A flow could rest for the whole of its life before an agent heard the first idle timeout.
#[test]
fn without_a_configuration_a_flow_is_kept_for_its_lifetime() {
    let mut agent = agent();
    tick_until(&mut agent, 0, 29_900);
    open_flow_at(&mut agent, flow(1), at(29_900));
    tick_until(&mut agent, 30_000, 89_800);
    assert!(is_located(&answer_about(&mut agent, 1, 89_800)));
}

/// Flows that were forgotten under a shorter idle timeout were denied under the longer one
/// that replaced it, which counts for flows that are open already.
#[test]
fn a_longer_idle_timeout_ends_the_claim_to_know_all_flows() {
    let mut agent = agent_with(15_000);
    tick_until(&mut agent, 0, 29_900);
    open_flow_at(&mut agent, flow(1), at(29_900));
    tick_until(&mut agent, 30_000, 61_000);
    assert!(is_denied(&answer_about(&mut agent, 1, 61_000)), "forgotten");
    adopt(&mut agent, configuration_with(2, 50_000), 61_000);
    let answer = answer_about(&mut agent, 1, 61_000);
    assert!(
        matches!(answer, PeerMessage::MayBeHeld { .. }),
        "{answer:?}"
    );
    tick_until(&mut agent, 61_100, 119_800);
    assert!(!is_denied(&answer_about(&mut agent, 2, 119_800)));
    tick_until(&mut agent, 119_900, 120_100);
    let answer = answer_about(&mut agent, 2, 120_100);
    assert!(
        is_denied(&answer),
        "every forgotten flow has ended: {answer:?}"
    );
}

/// A shorter idle timeout must not cost the flows that the former one lets rest more than
/// the pages grant, nor end the claim to know all flows.
#[test]
fn a_shorter_idle_timeout_keeps_the_claim_to_know_all_flows() {
    let mut agent = agent_with(50_000);
    open_flow_at(&mut agent, flow(1), at(0));
    adopt(&mut agent, configuration_with(2, 15_000), 100);
    tick_until(&mut agent, 100, 29_900);
    assert!(
        is_located(&answer_about(&mut agent, 1, 29_900)),
        "the minimum"
    );
    tick_until(&mut agent, 30_000, 70_000);
    assert!(is_denied(&answer_about(&mut agent, 1, 70_000)));
}

/// The lifetime of flows was read at the start alone.
#[test]
fn a_longer_lifetime_counts_for_flows_that_are_open_already() {
    let mut agent = agent_with(0);
    tick_until(&mut agent, 0, 1000);
    open_flow_at(&mut agent, flow(1), at(1000));
    agent.set_flow_lifetime(Duration::from_secs(200));
    tick_until(&mut agent, 1100, 199_000);
    assert!(is_located(&answer_about(&mut agent, 1, 199_000)));
}

/// Flows that were forgotten because they were older than the former lifetime may be open
/// under a longer one.
#[test]
fn a_longer_lifetime_ends_the_claim_to_know_all_flows() {
    let mut agent = agent_with(0);
    tick_until(&mut agent, 0, 59_900);
    open_flow_at(&mut agent, flow(1), at(59_900));
    tick_until(&mut agent, 60_000, 121_000);
    assert!(
        is_denied(&answer_about(&mut agent, 1, 121_000)),
        "forgotten"
    );
    agent.set_flow_lifetime(Duration::from_secs(200));
    assert!(!is_denied(&answer_about(&mut agent, 1, 121_000)));
}

/// A balancer that forgot a flow at rest had to search for it.
#[test]
fn a_balancer_keeps_a_flow_that_rests_for_less_than_the_idle_timeout() {
    let mut balancer = balancer(&[2]);
    balancer.adopt_store_configuration(Arc::new(configuration_with(2, 50_000)));
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_600));
    for now in (10_600..60_500).step_by(TICK_MS as usize) {
        deliver_report(&mut balancer, 2, &report(2, now), at(now));
        balancer.tick(at(now), &mut Vec::new());
    }
    assert_eq!(balancer.flow_count(), 1);
}

/// A table whose flows were all in use grew without a bound.
#[test]
fn a_table_of_flows_in_use_stays_within_its_capacity() {
    const CAPACITY: usize = 100;
    let mut table = FlowTable::new(CAPACITY, Duration::from_secs(30));
    for port in 1..=1000 {
        table.insert(flow(port), (), at(u64::from(port)));
        for used in 1..=port {
            table.touch(&flow(used));
        }
        assert!(table.len() <= CAPACITY, "{} flows", table.len());
    }
    assert!(table.overflowed_at().is_some());
}

/// A full table forgot flows in use and its agent went on to deny them.
#[test]
fn an_agent_whose_table_was_full_denies_no_flow() {
    let options = AgentOptions {
        flow_capacity: 10,
        ..agent_options()
    };
    let mut agent = Agent::new(options, at(0));
    let mut beat = heartbeat(1, 1);
    beat.slots = 100;
    agent.handle_heartbeat(&beat, at(0)).expect("heartbeat");
    adopt(&mut agent, configuration_with(1, 15_000), 0);
    let established = header(1, ForwardPurpose::Established);
    for port in 1..=20 {
        open_flow_at(&mut agent, flow(port), at(u64::from(port)));
        for used in 1..=port {
            let packet = data(flow(used), 1001, 5001);
            forward_to(&mut agent, &established, &packet, at(u64::from(port)));
        }
    }
    assert!(agent.flow_count() <= 10);
    for port in 1..=20 {
        assert!(!is_denied(&answer_about(&mut agent, port, 100)), "{port}");
    }
}

/// A balancer would rule out holders by a history that had dropped former services after
/// the shorter lifetime.
#[test]
fn a_route_history_covers_only_the_time_since_what_it_has_dropped() {
    let covered_ms = |balancer: &Balancer, now: u64| {
        let request = SnapshotRequest {
            known_version: 9,
            wants_nodes: false,
        };
        let snapshot = balancer.answer_snapshot_request(&request, at(now));
        snapshot.route_history.covered_ms
    };
    let mut balancer = balancer(&[2]);
    balancer.tick(at(0), &mut Vec::new());
    let moved = configuration_of(2, &[(1, &[(other_service(), 1)])]);
    balancer.adopt_store_configuration(moved);
    balancer.tick(at(10_000), &mut Vec::new());
    balancer.tick(at(70_000), &mut Vec::new());
    assert_eq!(covered_ms(&balancer, 70_000), 60_000);
    balancer.set_flow_lifetime(Duration::from_secs(200));
    balancer.tick(at(80_000), &mut Vec::new());
    assert_eq!(covered_ms(&balancer, 80_000), 70_000);
}
