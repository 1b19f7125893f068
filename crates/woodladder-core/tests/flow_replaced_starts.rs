//! Flows of a start that crashed, and of the start that replaces it at the same address,
//! are told apart by what messages prove, not by when they arrive.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentAction, Heartbeat, HeartbeatError};
use woodladder_core::flow::balancer::BalancerAction;
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage, TargetLoad, TargetReport};
use woodladder_core::flow::packet::PacketKind;

/// The start that crashes, and the one that follows it.
const CRASHED: u64 = 1;
const NEXT: u64 = 2;
/// When the next start began, in milliseconds of the test's clock.
const NEXT_START: u64 = 4000;
/// Wall-clock time of the clock's origin, in milliseconds of Unix time.
const ORIGIN_UNIX_MS: u64 = 1_790_000_000_000;

fn beat(agent: &mut Agent, start: u64, sequence: u64, time: u64) -> Result<(), HeartbeatError> {
    deliver(agent, &heartbeat(start, sequence), time)
}

fn deliver(agent: &mut Agent, heartbeat: &Heartbeat, time: u64) -> Result<(), HeartbeatError> {
    agent.handle_heartbeat(heartbeat, at(time)).map(|_| ())
}

/// An agent whose target has sent three heartbeats, the last one at 2200 ms.
fn agent_of_crashed_start() -> Agent {
    let mut agent = agent();
    agent.add_listed_balancers(&[node(1)], at(1));
    for (sequence, time) in [(2, 1100), (3, 2200)] {
        beat(&mut agent, CRASHED, sequence, time).expect("taken");
    }
    agent
}

/// A packet that the target sends on an open flow.
fn answer(agent: &mut Agent, port: u16, time: u64) {
    let packet = packet(flow(port), PacketKind::Data, 5001, 1101, 10);
    agent.handle_target_packet(&packet, None, at(time));
}

fn denies(agent: &mut Agent, port: u16, time: u64) -> bool {
    let search = header(1, ForwardPurpose::Search);
    let packet = data(flow(port), 1101, 5001);
    !is_delivered(&forward_from(agent, 2, &search, &packet, at(time)))
}

fn next_report(agent: &mut Agent, time: u64) -> TargetReport {
    let mut actions = Vec::new();
    agent.tick(at(time), &mut actions);
    let report = actions.iter().find_map(|action| match action {
        AgentAction::Send {
            message: PeerMessage::Report(report),
            ..
        } => Some(*report),
        _ => None,
    });
    report.expect("a report")
}

/// Ports of the flows that a balancer resets on a report. It knew of them as flows of the
/// crashed start at the given times.
fn reset_by(report: &TargetReport, known: &[(u16, u64)], time: u64) -> Vec<u16> {
    let mut balancer = balancer(&[]);
    let mut former = *report;
    former.incarnation = Some(Incarnation(CRASHED));
    former.sequence = 0;
    former.epoch = report.epoch;
    deliver_report(
        &mut balancer,
        9,
        &TargetReport {
            sequence: 1,
            ..former
        },
        at(1),
    );
    for (port, known_at) in known {
        deliver_caller_packet(&mut balancer, &opening(flow(*port), 0), at(known_at - 2));
        let acceptance = PeerMessage::Accepted {
            key: flow(*port),
            sequence: 5000,
            incarnation: Some(Incarnation(CRASHED)),
            load: TargetLoad::default(),
        };
        deliver_message(&mut balancer, 9, acceptance, at(known_at - 1));
        deliver_caller_packet(&mut balancer, &data(flow(*port), 1001, 5001), at(*known_at));
    }
    let latest = TargetReport {
        sequence: 1000,
        ..*report
    };
    let actions = deliver_report(&mut balancer, 9, &latest, at(time));
    let mut ports: Vec<u16> = actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Reset(reset) => Some(reset.key.caller.port()),
            _ => None,
        })
        .collect();
    ports.sort_unstable();
    ports
}

/// A heartbeat of a crashed start arrived a second after the next start had begun, and
/// flows of the next start were reset when that one was accepted.
#[test]
fn a_late_heartbeat_of_a_crashed_start_ends_no_flow_of_the_next_one() {
    let mut agent = agent_of_crashed_start();
    open_flow_at(&mut agent, flow(1), at(500));
    let refused = beat(&mut agent, NEXT, 1, NEXT_START);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    open_flow_at(&mut agent, flow(2), at(NEXT_START + 100));
    beat(&mut agent, CRASHED, 4, NEXT_START + 1000).expect("it may still run");
    for (sequence, after) in [(2, 1100), (3, 2200), (4, 3300)] {
        let refused = beat(&mut agent, NEXT, sequence, NEXT_START + after);
        assert_eq!(refused, Err(HeartbeatError::Unproven));
    }
    beat(&mut agent, NEXT, 5, NEXT_START + 4400).expect("taken");
    assert!(denies(&mut agent, 1, NEXT_START + 4401));
    assert!(!denies(&mut agent, 2, NEXT_START + 4401));
    let report = next_report(&mut agent, NEXT_START + 4410);
    let known = [(1, 505), (2, NEXT_START + 105)];
    assert_eq!(reset_by(&report, &known, NEXT_START + 4420), [1]);
}

/// The first heartbeats of the next start were held up too, so that the late one of the
/// crashed start arrived before any of them.
#[test]
fn a_late_heartbeat_ends_no_flow_of_a_next_start_that_was_not_heard_before() {
    let mut agent = agent_of_crashed_start();
    open_flow_at(&mut agent, flow(1), at(500));
    open_flow_at(&mut agent, flow(2), at(NEXT_START + 100));
    beat(&mut agent, CRASHED, 4, NEXT_START + 300).expect("it may still run");
    let refused = beat(&mut agent, NEXT, 1, NEXT_START + 400);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    beat(&mut agent, NEXT, 4, NEXT_START + 3300).expect("taken");
    assert!(denies(&mut agent, 1, NEXT_START + 3301));
    assert!(!denies(&mut agent, 2, NEXT_START + 3301));
    let report = next_report(&mut agent, NEXT_START + 3310);
    let known = [(1, 505), (2, NEXT_START + 105)];
    assert_eq!(reset_by(&report, &known, NEXT_START + 3320), [1]);
}

/// The same where both starts state when they began.
#[test]
fn a_late_heartbeat_ends_no_flow_of_a_next_start_that_states_its_time() {
    let stating = |start, sequence, began: u64| Heartbeat {
        started_at_ms: Some(ORIGIN_UNIX_MS + began),
        ..heartbeat(start, sequence)
    };
    let mut agent = empty_agent();
    for (sequence, time) in [(1, 0), (2, 1100), (3, 2200)] {
        deliver(&mut agent, &stating(CRASHED, sequence, 0), time).expect("taken");
    }
    open_flow_at(&mut agent, flow(1), at(2150));
    open_flow_at(&mut agent, flow(2), at(NEXT_START + 100));
    deliver(&mut agent, &stating(CRASHED, 4, 0), NEXT_START + 300).expect("taken");
    deliver(&mut agent, &stating(NEXT, 1, NEXT_START), NEXT_START + 400).expect("taken");
    assert!(denies(&mut agent, 1, NEXT_START + 401));
    assert!(!denies(&mut agent, 2, NEXT_START + 401));
}

/// Callers of a start that really ended are told of all flows that its packets show to be
/// its own, however recently they were opened.
#[test]
fn packets_of_a_crashed_start_show_which_flows_ended_with_it() {
    let mut agent = agent_of_crashed_start();
    open_flow_at(&mut agent, flow(1), at(500));
    open_flow_at(&mut agent, flow(2), at(2900));
    answer(&mut agent, 1, 3450);
    open_flow_at(&mut agent, flow(3), at(3500));
    let refused = beat(&mut agent, NEXT, 1, NEXT_START);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    beat(&mut agent, NEXT, 4, NEXT_START + 3300).expect("taken");
    for (port, is_denied) in [(1, true), (2, true), (3, false)] {
        assert_eq!(
            denies(&mut agent, port, NEXT_START + 3301),
            is_denied,
            "flow {port}"
        );
    }
    let report = next_report(&mut agent, NEXT_START + 3310);
    let known = [(1, 505), (2, 2905), (3, 3505)];
    assert_eq!(reset_by(&report, &known, NEXT_START + 3320), [1, 2]);
}

/// Packets of flows that may be the next start's prove nothing about the crashed one.
#[test]
fn packets_of_the_next_start_do_not_count_for_the_crashed_one() {
    let mut agent = agent_of_crashed_start();
    open_flow_at(&mut agent, flow(2), at(NEXT_START + 100));
    answer(&mut agent, 2, NEXT_START + 150);
    let refused = beat(&mut agent, NEXT, 1, NEXT_START + 200);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    open_flow_at(&mut agent, flow(3), at(NEXT_START + 300));
    beat(&mut agent, CRASHED, 4, NEXT_START + 1000).expect("it may still run");
    answer(&mut agent, 3, NEXT_START + 1100);
    beat(&mut agent, CRASHED, 5, NEXT_START + 1600).expect("it may still run");
    answer(&mut agent, 2, NEXT_START + 1700);
    let refused = beat(&mut agent, NEXT, 2, NEXT_START + 1800);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    beat(&mut agent, NEXT, 5, NEXT_START + 4400).expect("taken");
    for port in [2, 3] {
        assert!(!denies(&mut agent, port, NEXT_START + 4401), "flow {port}");
    }
}

/// Callers whose flows rest are told of the end at once, however soon the next start comes:
/// a heartbeat that arrives when it is due counts.
#[test]
fn flows_before_the_last_heartbeat_in_time_end_with_a_start_that_is_replaced_soon() {
    let mut agent = agent_of_crashed_start();
    open_flow_at(&mut agent, flow(1), at(2100));
    open_flow_at(&mut agent, flow(2), at(2300));
    let refused = beat(&mut agent, NEXT, 1, 2500);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    beat(&mut agent, NEXT, 4, 5800).expect("taken");
    assert!(denies(&mut agent, 1, 5801));
    assert!(!denies(&mut agent, 2, 5801));
    let report = next_report(&mut agent, 5810);
    assert_eq!(reset_by(&report, &[(1, 2105), (2, 2305)], 5820), [1]);
}

/// Two heartbeats in a row were held up and came one after the other.
#[test]
fn several_late_heartbeats_end_no_flow_of_the_next_start() {
    let mut agent = agent();
    beat(&mut agent, CRASHED, 2, 1100).expect("taken");
    open_flow_at(&mut agent, flow(2), at(NEXT_START + 100));
    for (sequence, after) in [(3, 300), (4, 900)] {
        beat(&mut agent, CRASHED, sequence, NEXT_START + after).expect("it may still run");
    }
    let refused = beat(&mut agent, NEXT, 1, NEXT_START + 1000);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    beat(&mut agent, NEXT, 4, NEXT_START + 4300).expect("taken");
    assert!(!denies(&mut agent, 2, NEXT_START + 4301));
}

/// A heartbeat that is sent out of turn does not hide when the next one was due.
#[test]
fn a_heartbeat_out_of_turn_leaves_callers_told_of_the_end() {
    let mut agent = agent();
    for (sequence, time) in [(2, 1100), (3, 2200), (4, 3300), (5, 3500)] {
        beat(&mut agent, CRASHED, sequence, time).expect("taken");
    }
    open_flow_at(&mut agent, flow(1), at(4550));
    beat(&mut agent, CRASHED, 6, 4600).expect("taken");
    let refused = beat(&mut agent, NEXT, 1, 5000);
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    beat(&mut agent, NEXT, 4, 8300).expect("taken");
    assert!(denies(&mut agent, 1, 8301));
}
