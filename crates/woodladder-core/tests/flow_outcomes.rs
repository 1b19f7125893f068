//! Targets that fail requests: what agents count, and how balancers use it.

mod flow_support;

use std::collections::BTreeMap;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{Agent, AnswerKind};
use woodladder_core::flow::balancer::Balancer;
use woodladder_core::flow::log_event::LogEvent;
use woodladder_core::flow::message::ForwardPurpose;
use woodladder_core::flow::packet::PacketKind;

/// A time in milliseconds from the start of a test, well after the clock's origin.
fn at(milliseconds: u64) -> Instant {
    flow_support::at(10_000 + milliseconds)
}

/// Sends one request on a flow of its own, with an answer of the given kind.
fn request(agent: &mut Agent, port: u16, kind: AnswerKind, now: u64) {
    open_flow_at(agent, flow(port), at(now));
    agent.record_answer_start(&flow(port), kind, at(now));
    agent.handle_target_packet(&data(flow(port), 5001, 1101), None, at(now));
    let end = packet(flow(port), PacketKind::Reset, 1101, 0, 0);
    forward_to(
        agent,
        &header(1, ForwardPurpose::Established),
        &end,
        at(now),
    );
}

fn requests(agent: &mut Agent, ports: std::ops::Range<u16>, kind: AnswerKind, now: u64) {
    for port in ports {
        request(agent, port, kind, now);
    }
}

fn suspicions(agent: &mut Agent) -> Vec<bool> {
    let (notes, _) = agent.take_log_events();
    let found = notes.into_iter().filter_map(|note| match note {
        LogEvent::TargetSuspicion { is_suspect, .. } => Some(is_suspect),
        _ => None,
    });
    found.collect()
}

#[test]
fn the_stated_load_includes_the_share_of_failures() {
    let mut agent = agent();
    requests(&mut agent, 1..40, AnswerKind::Success, 0);
    assert_eq!(agent.load().failed_percent, 0);
    requests(&mut agent, 100..120, AnswerKind::Failure, 10);
    let share = agent.load().failed_percent;
    assert!((25..60).contains(&share), "{share}");
    assert_eq!(agent.counters().requests_failed, 20);
}

#[test]
fn one_failure_raises_the_failed_percentage_only_a_little() {
    let mut agent = agent();
    request(&mut agent, 1, AnswerKind::Failure, 0);
    assert!(agent.load().failed_percent <= 25);
}

#[test]
fn a_reset_by_the_target_before_an_answer_is_a_failure() {
    let mut agent = agent();
    for port in 1..10 {
        open_flow_at(&mut agent, flow(port), at(0));
        let reset = packet(flow(port), PacketKind::Reset, 5001, 1101, 0);
        agent.handle_target_packet(&reset, None, at(1));
    }
    assert!(agent.load().failed_percent >= 50);
}

/// Packets may be reordered: the end of a flow can arrive before the answer.
#[test]
fn an_answer_counts_although_the_end_of_its_flow_came_first() {
    let mut agent = agent();
    for port in 1..10 {
        open_flow_at(&mut agent, flow(port), at(0));
        let end = packet(flow(port), PacketKind::Finish, 5101, 1101, 0);
        agent.handle_target_packet(&end, None, at(1));
        agent.record_answer_start(&flow(port), AnswerKind::Failure, at(2));
    }
    assert!(agent.load().failed_percent >= 50);
}

#[test]
fn a_request_counts_once() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(0));
    for _ in 0..5 {
        agent.record_answer_start(&flow(1), AnswerKind::Failure, at(1));
    }
    assert_eq!(agent.counters().requests_failed, 1);
}

#[test]
fn a_rejected_request_counts_only_where_slots_were_free() {
    let mut idle = agent();
    requests(&mut idle, 1..10, AnswerKind::Rejected, 0);
    assert!(idle.load().failed_percent >= 50);

    let mut full = agent();
    for port in 1..=9 {
        open_flow_at(&mut full, flow(port), at(0));
    }
    full.record_answer_start(&flow(1), AnswerKind::Rejected, at(1));
    assert_eq!(full.load().failed_percent, 0);
}

#[test]
fn suspicion_begins_with_failures_and_ends_when_they_are_long_past() {
    let mut agent = agent();
    requests(&mut agent, 1..20, AnswerKind::Failure, 0);
    agent.tick(at(10), &mut Vec::new());
    assert_eq!(suspicions(&mut agent), [true]);
    agent.tick(at(2_000), &mut Vec::new());
    assert_eq!(suspicions(&mut agent), []);
    agent.tick(at(20_000), &mut Vec::new());
    assert_eq!(suspicions(&mut agent), [false]);
}

/// Time in milliseconds until a target with these failures is no longer suspect.
fn suspicion_duration_ms(agent: &mut Agent, ports: std::ops::Range<u16>, from: u64) -> u64 {
    requests(agent, ports, AnswerKind::Failure, from);
    for now in (from..from + 120_000).step_by(100) {
        agent.tick(at(now), &mut Vec::new());
        if suspicions(agent).contains(&false) {
            return now - from;
        }
    }
    panic!("suspect for ever");
}

#[test]
fn repeated_failures_prolong_suspicion_up_to_a_limit() {
    let mut agent = agent();
    let mut from = 0;
    let mut times = Vec::new();
    for round in 0..6 {
        let ports = round * 50 + 1..round * 50 + 30;
        let time = suspicion_duration_ms(&mut agent, ports, from);
        from += time + 200;
        times.push(time);
    }
    assert!(times[1] > times[0] * 3 / 2, "{times:?}");
    assert!(times[5] <= 100_000, "{times:?}");
}

#[test]
fn a_new_incarnation_begins_without_suspicion() {
    let mut agent = agent();
    requests(&mut agent, 1..20, AnswerKind::Failure, 0);
    agent
        .handle_heartbeat(&heartbeat(2, 1), at(100))
        .expect("heartbeat");
    assert_eq!(agent.load().failed_percent, 0);
}

/// A balancer with the targets 2, 3 and 4, each given as its number of requests and its
/// percentage of failures.
fn balancer_with(targets: [(u16, u8); 3]) -> Balancer {
    let mut balancer = balancer(&[2, 3, 4]);
    for (agent, (busy, failed_percent)) in (2..).zip(targets) {
        let mut report = report(agent, 2);
        report.load.busy = busy;
        report.load.failed_percent = failed_percent;
        deliver_report(&mut balancer, agent, &report, at(0));
    }
    balancer
}

fn flows_of(balancer: &mut Balancer, count: u16) -> BTreeMap<u8, u16> {
    let mut flows = BTreeMap::new();
    for port in 1..=count {
        let routing = deliver_caller_packet(balancer, &opening(flow(port), 0), at(10));
        let agent = receivers(&routing)[0].ip().octets()[3];
        *flows.entry(agent).or_default() += 1;
    }
    flows
}

#[test]
fn a_target_that_fails_more_than_the_others_gets_no_flow_while_they_have_room() {
    let mut balancer = balancer_with([(0, 70), (4, 0), (4, 0)]);
    let flows = flows_of(&mut balancer, 10);
    assert_eq!(flows.get(&2), None, "{flows:?}");
}

#[test]
fn a_target_that_fails_serves_when_the_others_are_overloaded() {
    let mut balancer = balancer_with([(0, 100), (40, 0), (40, 0)]);
    let flows = flows_of(&mut balancer, 10);
    assert_eq!(flows, BTreeMap::from([(2, 10)]));
}

#[test]
fn failures_shared_by_all_targets_move_no_flow() {
    let mut balancer = balancer_with([(0, 70), (0, 75), (0, 68)]);
    let flows = flows_of(&mut balancer, 30);
    assert_eq!(flows, BTreeMap::from([(2, 10), (3, 10), (4, 10)]));
}

/// An agent that reports false figures can only keep flows away from its own target.
#[test]
fn a_few_failures_move_no_flow() {
    let mut balancer = balancer_with([(0, 15), (0, 0), (0, 0)]);
    let flows = flows_of(&mut balancer, 30);
    assert_eq!(flows, BTreeMap::from([(2, 10), (3, 10), (4, 10)]));
}
