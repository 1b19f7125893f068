//! The agent's queue of openings: what is queued, in which order it is served, and how a
//! queued opening ends.

mod flow_support;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, ForwardDecision, MAXIMUM_OPENING_AGE, MAXIMUM_QUEUED_OPENINGS, ReplyBody,
};
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::message::{
    ForwardPurpose, OpeningTerms, PeerMessage, ReturnReason, Snapshot,
};
use woodladder_core::flow::packet::PacketKind;

/// Requests that the agent delivers at once to the tests' target of seven slots.
const DELIVERED_AT_ONCE: u16 = 9;

/// A time in a test, in milliseconds, well after the clock's origin.
fn at(milliseconds: u64) -> Instant {
    flow_support::at(10_000 + milliseconds)
}

/// Forwards an opening to the agent; its bytes are its port.
fn forward_opening(agent: &mut Agent, port: u16, terms: OpeningTerms, now: u64) -> ForwardDecision {
    let header = header(1, ForwardPurpose::Open(terms));
    let bytes = port.to_be_bytes();
    agent.handle_forwarded_packet(node(1), &header, &opening(flow(port), 0), &bytes, at(now))
}

/// An agent whose target has as many requests in service as the agent delivers; all of
/// them were delivered at 10 ms.
fn busy_agent() -> Agent {
    let mut agent = agent();
    for port in 1..=DELIVERED_AT_ONCE {
        open_flow_at(&mut agent, flow(port), at(10));
    }
    agent
}

/// Keeps the target full without being stuck: it answers requests on the flow of port 1,
/// whose caller sends the next one at once.
fn keep_busy(agent: &mut Agent, until: u64) {
    const REQUEST_LENGTH: u32 = 100;
    let mut sequence = 1001;
    for now in (100..until).step_by(100) {
        answer(agent, flow(1), now);
        sequence += REQUEST_LENGTH;
        let next = data(flow(1), sequence, 5001);
        let header = header(1, ForwardPurpose::Established);
        forward_to(agent, &header, &next, at(now));
    }
}

fn answer(agent: &mut Agent, key: FlowKey, now: u64) {
    agent.handle_target_packet(&data(key, 5001, 1101), None, at(now));
}

/// Ports of the openings that the agent delivers now.
fn delivered_ports(agent: &mut Agent, now: u64) -> Vec<u16> {
    let mut actions = Vec::new();
    agent.dispatch_queued(at(now), &mut actions);
    let ports = actions.iter().filter_map(|action| match action {
        AgentAction::Deliver { packet, .. } => Some(port_of(packet)),
        _ => None,
    });
    ports.collect()
}

/// Ports and reasons of the openings that the agent returns now.
fn returned_openings(agent: &mut Agent, now: u64) -> Vec<(u16, ReturnReason)> {
    let mut actions = Vec::new();
    agent.dispatch_queued(at(now), &mut actions);
    let returns = actions.iter().filter_map(|action| match action {
        AgentAction::Return {
            message: PeerMessage::Returned { reason, .. },
            packet,
            ..
        } => Some((port_of(packet), *reason)),
        _ => None,
    });
    returns.collect()
}

fn port_of(bytes: &[u8]) -> u16 {
    u16::from_be_bytes([bytes[0], bytes[1]])
}

fn is_queued(delivery: &ForwardDecision) -> bool {
    matches!(
        delivery,
        ForwardDecision::Queued(PeerMessage::Queued { .. })
    )
}

fn reason(delivery: &ForwardDecision) -> Option<ReturnReason> {
    match delivery {
        ForwardDecision::Reply(PeerMessage::Returned { reason, .. }, ReplyBody::Packet) => {
            Some(*reason)
        }
        _ => None,
    }
}

#[test]
fn an_opening_for_a_full_target_is_queued() {
    let mut agent = busy_agent();
    let delivery = forward_opening(&mut agent, 100, opening_terms(), 20);
    assert!(is_queued(&delivery), "{delivery:?}");
    assert_eq!(agent.load().queued, 1);
    assert_eq!(delivered_ports(&mut agent, 30), []);
}

#[test]
fn a_queued_opening_is_delivered_when_a_request_is_answered() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    answer(&mut agent, flow(1), 40);
    assert_eq!(delivered_ports(&mut agent, 40), [100]);
    assert_eq!((agent.load().queued, agent.load().opening), (0, 1));
}

/// Guards against an accepted opening that keeps its place although its caller sends no
/// request.
#[test]
fn an_accepted_opening_without_a_request_frees_its_place() {
    let mut agent = agent();
    for port in 1..=DELIVERED_AT_ONCE {
        forward_opening(&mut agent, port, opening_terms(), 10);
    }
    assert!(is_queued(&forward_opening(
        &mut agent,
        100,
        opening_terms(),
        20
    )));
    let accept = packet(flow(1), PacketKind::Accept, 5000, 1001, 0);
    agent.handle_target_packet(&accept, None, at(21));
    assert_eq!(delivered_ports(&mut agent, 60), []);
    assert_eq!(delivered_ports(&mut agent, 80), [100]);
}

#[test]
fn openings_that_can_be_answered_in_time_go_before_late_ones() {
    let late = OpeningTerms {
        age_ms: 280,
        ..opening_terms()
    };
    for late_comes_first in [true, false] {
        let mut agent = busy_agent();
        let (first, second) = if late_comes_first {
            (late, opening_terms())
        } else {
            (opening_terms(), late)
        };
        forward_opening(&mut agent, 100, first, 20);
        forward_opening(&mut agent, 101, second, 21);
        answer(&mut agent, flow(1), 40);
        let expected = if late_comes_first { 101 } else { 100 };
        assert_eq!(delivered_ports(&mut agent, 40), [expected]);
    }
}

#[test]
fn urgent_openings_go_before_others_of_the_same_lateness() {
    let urgent = OpeningTerms {
        is_urgent: true,
        ..opening_terms()
    };
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    forward_opening(&mut agent, 101, urgent, 20);
    forward_opening(&mut agent, 102, opening_terms(), 20);
    answer(&mut agent, flow(1), 40);
    assert_eq!(delivered_ports(&mut agent, 40), [101]);
}

#[test]
fn a_late_urgent_opening_waits_for_those_that_can_be_in_time() {
    let late_urgent = OpeningTerms {
        age_ms: 290,
        is_urgent: true,
        ..opening_terms()
    };
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, late_urgent, 20);
    forward_opening(&mut agent, 101, opening_terms(), 20);
    answer(&mut agent, flow(1), 40);
    answer(&mut agent, flow(2), 40);
    assert_eq!(delivered_ports(&mut agent, 40), [101, 100]);
}

#[test]
fn an_opening_queued_for_too_long_is_returned() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    let end = 20 + u64::try_from(MAXIMUM_OPENING_AGE.as_millis()).expect("milliseconds");
    keep_busy(&mut agent, end);
    assert_eq!(returned_openings(&mut agent, end - 1), []);
    assert_eq!(
        returned_openings(&mut agent, end),
        [(100, ReturnReason::Expired)]
    );
    assert_eq!(agent.load().queued, 0);
}

/// An answer that arrives after its caller has given up is of no use.
#[test]
fn a_queued_opening_whose_answer_would_come_too_late_is_returned() {
    let mut agent = busy_agent();
    let terms = OpeningTerms {
        timeout_ms: 500,
        ..opening_terms()
    };
    forward_opening(&mut agent, 100, terms, 20);
    keep_busy(&mut agent, 520);
    assert_eq!(returned_openings(&mut agent, 300), []);
    assert_eq!(
        returned_openings(&mut agent, 519),
        [(100, ReturnReason::Expired)]
    );
}

/// Guards against openings that stay queued for a target that has stopped answering,
/// while another target could answer them.
#[test]
fn no_opening_is_queued_for_a_stuck_target() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    assert_eq!(returned_openings(&mut agent, 300), []);
    assert_eq!(
        returned_openings(&mut agent, 500),
        [(100, ReturnReason::Saturated)]
    );
    let next = forward_opening(&mut agent, 101, opening_terms(), 510);
    assert_eq!(reason(&next), Some(ReturnReason::Saturated));
}

/// The platform expects no new flow from the acknowledgement of the heartbeat on, which
/// is sent after the tick.
#[test]
fn all_queued_openings_are_returned_when_the_target_leaves() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    let mut leaving = heartbeat(1, 2);
    leaving.leaving = true;
    agent.handle_heartbeat(&leaving, at(30)).expect("heartbeat");
    assert_eq!(
        returned_openings(&mut agent, 30),
        [(100, ReturnReason::Leaving)],
        "none is delivered"
    );
    answer(&mut agent, flow(1), 40);
    assert_eq!(delivered_ports(&mut agent, 40), []);
}

#[test]
fn a_queued_opening_is_returned_once_its_version_is_out_of_date() {
    let mut agent = busy_agent();
    let snapshot = Snapshot {
        configuration: Some((*configuration(5)).clone()),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, at(100));
    keep_busy(&mut agent, 1000);
    forward_opening(&mut agent, 100, opening_terms(), 1000);
    answer(&mut agent, flow(2), 1200);
    assert_eq!(
        returned_openings(&mut agent, 1200),
        [(100, ReturnReason::StaleVersion)]
    );
}

#[test]
fn a_copy_of_a_queued_opening_is_not_queued_again() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    let copy = header(1, ForwardPurpose::Open(opening_terms()));
    let delivery = forward_to(&mut agent, &copy, &opening(flow(100), 1), at(220));
    assert_eq!(delivery, ForwardDecision::NoReply);
    assert_eq!(agent.load().queued, 1);
}

#[test]
fn an_opening_is_returned_when_the_balancer_underestimated_the_load() {
    let estimated = |load| OpeningTerms {
        estimated_load: Some(load),
        ..opening_terms()
    };
    let mut agent = busy_agent();
    let underestimated = forward_opening(&mut agent, 100, estimated(2), 20);
    assert_eq!(reason(&underestimated), Some(ReturnReason::Saturated));
    assert!(is_queued(&forward_opening(
        &mut agent,
        101,
        estimated(8),
        20
    )));
}

#[test]
fn no_more_openings_are_queued_than_the_queue_holds() {
    let mut agent = busy_agent();
    let capacity = u16::try_from(MAXIMUM_QUEUED_OPENINGS).expect("small");
    for port in 0..capacity {
        assert!(is_queued(&forward_opening(
            &mut agent,
            100 + port,
            opening_terms(),
            20
        )));
    }
    let beyond = forward_opening(&mut agent, 100 + capacity, opening_terms(), 20);
    assert_eq!(reason(&beyond), Some(ReturnReason::Saturated));
}
