//! Each promise is counted when it is broken, and not otherwise.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::Agent;
use woodladder_core::flow::agent::HeartbeatError;
use woodladder_core::flow::balancer::Routing;
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::message::{
    OpeningTerms, PeerMessage, Snapshot, TargetLoad, TargetReport, TargetState,
};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};
use woodladder_core::flow::promises::{BrokenPromises, DecidedOpening, PromiseWatch};

/// Start time of the queue tests in milliseconds, well after the clock's origin.
const START_MS: u64 = 10_000;
/// Openings that the agent delivers at once to an idle target of seven slots.
const DELIVERED_AT_ONCE: u16 = 9;

/// An agent whose target has as many requests in service as the agent delivers.
fn busy_agent() -> Agent {
    let mut agent = agent();
    for port in 1..=DELIVERED_AT_ONCE {
        open_flow_at(&mut agent, flow(port), at(START_MS + 10));
    }
    assert_eq!(agent.broken_promises(), &BrokenPromises::default());
    agent
}

fn forward_opening(agent: &mut Agent, port: u16, terms: OpeningTerms, now: u64) {
    let mut header = open_header(1);
    header.purpose = woodladder_core::flow::message::ForwardPurpose::Open(terms);
    forward_to(agent, &header, &opening(flow(port), 0), at(START_MS + now));
}

fn answer(agent: &mut Agent, port: u16, now: u64) {
    let answer = FlowPacket {
        payload_length: 100,
        ..packet(flow(port), PacketKind::Data, 5001, 1101, 0)
    };
    agent.handle_target_packet(&answer, None, at(START_MS + now));
    agent.dispatch_queued(at(START_MS + now), &mut Vec::new());
}

fn urgent(age_ms: u16) -> OpeningTerms {
    OpeningTerms {
        age_ms,
        is_urgent: true,
        ..opening_terms()
    }
}

#[test]
fn an_urgent_opening_that_goes_first_breaks_nothing() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, opening_terms(), 20);
    forward_opening(&mut agent, 101, urgent(0), 20);
    answer(&mut agent, 1, 40);
    assert_eq!(agent.load().queued, 1);
    assert_eq!(agent.broken_promises().put_behind, 0);
}

/// Work that is late in any case leaves its place to work that can be in time.
#[test]
fn a_late_urgent_opening_that_stays_queued_breaks_nothing() {
    let mut agent = busy_agent();
    forward_opening(&mut agent, 100, urgent(290), 20);
    forward_opening(&mut agent, 101, opening_terms(), 20);
    answer(&mut agent, 1, 40);
    assert_eq!(agent.load().queued, 1);
    assert_eq!(agent.broken_promises().put_behind, 0);
}

/// Where requests are queued, too, every eighth slot goes to work that is not urgent.
#[test]
fn an_urgent_opening_that_can_be_in_time_and_stays_queued_is_counted() {
    let mut agent = busy_agent();
    let route = |number, priority| Route {
        address: route_address(number),
        parts: vec![RoutePart {
            service: main_service(),
            weight: 1,
        }],
        terms: RouteTerms {
            priority,
            aim_ms: 300,
            timeout_ms: u32::MAX,
            is_repeatable: true,
        },
    };
    let snapshot = Snapshot {
        configuration: Some(Configuration {
            version: 1,
            routes: vec![route(1, 2), route(2, 1)],
            services: Vec::new(),
            idle_timeout_ms: 15_000,
        }),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, at(0));
    forward_opening(&mut agent, 100, opening_terms(), 20);
    for port in 101..=109 {
        forward_opening(&mut agent, port, urgent(0), 20);
    }
    for port in 1..=7 {
        answer(&mut agent, port, 40);
    }
    assert_eq!(agent.load().queued, 3);
    assert_eq!(agent.broken_promises().put_behind, 0);
    answer(&mut agent, 8, 40);
    assert_eq!(agent.load().queued, 2);
    assert_eq!(agent.broken_promises().put_behind, 1);
}

#[test]
fn an_opening_delivered_after_its_caller_has_left_is_counted() {
    let mut agent = agent();
    let terms = |age_ms| OpeningTerms {
        age_ms,
        timeout_ms: 500,
        ..opening_terms()
    };
    forward_opening(&mut agent, 1, terms(499), 20);
    assert_eq!(agent.broken_promises().worked_for_nobody, 0);
    forward_opening(&mut agent, 2, terms(500), 20);
    assert_eq!(agent.broken_promises().worked_for_nobody, 1);
}

#[test]
fn an_opening_queued_past_its_timeout_is_counted() {
    let terms = OpeningTerms {
        timeout_ms: 300,
        ..opening_terms()
    };
    for (returned_at, broken) in [(300, 0), (321, 1)] {
        let mut agent = busy_agent();
        forward_opening(&mut agent, 100, terms, 20);
        agent.dispatch_queued(at(START_MS + returned_at), &mut Vec::new());
        assert_eq!(agent.load().queued, 0, "it has been returned");
        assert_eq!(agent.broken_promises().held_past_timeout, broken);
    }
}

#[test]
fn the_wait_of_a_leaving_target_whose_heartbeat_was_rejected_is_counted() {
    let mut agent = empty_agent();
    let mut first = heartbeat(1, 1);
    first.started_at_ms = Some(9000);
    agent.handle_heartbeat(&first, at(0)).expect("taken");
    let mut next = heartbeat(2, 1);
    next.started_at_ms = Some(8000);
    next.leaving = true;
    let refused = agent.handle_heartbeat(&next, at(1000));
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    assert_eq!(agent.broken_promises().unacknowledged_ms, 0);
    next.sequence = 2;
    agent.handle_heartbeat(&next, at(4000)).expect("taken");
    assert_eq!(agent.broken_promises().unacknowledged_ms, 3000);
}

#[test]
fn a_leaving_target_whose_heartbeat_is_accepted_at_once_is_not_counted() {
    let mut agent = agent();
    let mut leaving = heartbeat(1, 2);
    leaving.leaving = true;
    agent.handle_heartbeat(&leaving, at(1000)).expect("taken");
    assert_eq!(agent.broken_promises(), &BrokenPromises::default());
}

fn report_of(sequence: u64, state: TargetState) -> TargetReport {
    TargetReport {
        state,
        ..report(2, sequence)
    }
}

/// A balancer with a queued opening: the only target is leaving.
fn balancer_with_queued_opening() -> woodladder_core::flow::balancer::Balancer {
    let mut balancer = balancer(&[]);
    let leaving = report_of(1, TargetState::Leaving);
    deliver_report(&mut balancer, 2, &leaving, at(10_000));
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    assert!(matches!(routing, Routing::Drop(_)), "{routing:?}");
    assert_eq!(balancer.waiting_opening_count(), 1);
    balancer
}

#[test]
fn an_opening_queued_until_its_end_and_refused_is_counted() {
    let mut balancer = balancer_with_queued_opening();
    for step in 1..=60 {
        let now = at(10_010 + step * 25);
        let leaving = report_of(1 + step, TargetState::Leaving);
        deliver_report(&mut balancer, 2, &leaving, now);
        balancer.tick(now, &mut Vec::new());
    }
    let broken = *balancer.broken_promises();
    assert_eq!((broken.held_untried, broken.refused_beside_free), (1, 0));
}

#[test]
fn an_opening_that_finds_a_target_while_it_is_queued_breaks_nothing() {
    let mut balancer = balancer_with_queued_opening();
    let ready = report_of(2, TargetState::Ready);
    deliver_report(&mut balancer, 2, &ready, at(10_100));
    balancer.tick(at(10_100), &mut Vec::new());
    assert_eq!(balancer.waiting_opening_count(), 0);
    assert_eq!(balancer.broken_promises(), &BrokenPromises::default());
}

#[test]
fn a_flow_that_was_reset_and_is_held_is_counted_once() {
    let mut balancer = balancer(&[2]);
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let acceptance = PeerMessage::Accepted {
        key: flow(1),
        sequence: 5000,
        incarnation: Some(Incarnation(2)),
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, 2, acceptance, at(10_011));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_012));
    balancer.tick(at(10_040), &mut Vec::new());
    let mut replaced = report(2, 2);
    replaced.incarnation = Some(Incarnation(99));
    deliver_report(&mut balancer, 2, &replaced, at(10_050));
    assert_eq!(balancer.counters().reset_target_ended, 1);
    assert_eq!(balancer.broken_promises().broken_off, 0);
    for _ in 0..2 {
        let located = PeerMessage::Located {
            key: flow(1),
            incarnation: None,
            heartbeat: 0,
        };
        deliver_message(&mut balancer, 2, located, at(10_100));
    }
    assert_eq!(balancer.broken_promises().broken_off, 1);
}

#[test]
fn a_reset_is_forgotten_when_the_flow_is_opened_anew_or_long_past() {
    let mut watch = PromiseWatch::default();
    watch.record_reset(flow(1), at(0));
    watch.record_opening(&flow(1));
    watch.record_held(&flow(1), at(100));
    watch.record_reset(flow(2), at(0));
    watch.record_held(&flow(2), at(5000));
    assert_eq!(watch.broken(), &BrokenPromises::default());
}

#[test]
fn refusals_are_counted_by_what_was_wrong_with_them() {
    let mut watch = PromiseWatch::default();
    watch.record_refusal(false, false);
    assert_eq!(watch.broken(), &BrokenPromises::default());
    watch.record_refusal(true, false);
    watch.record_refusal(false, true);
    let broken = watch.broken();
    assert_eq!(
        (broken.refused_though_accepted, broken.refused_beside_free),
        (1, 1)
    );
}

#[test]
fn each_count_has_a_name_of_its_own() {
    let mut watch = PromiseWatch::default();
    let opening = DecidedOpening {
        age: std::time::Duration::from_millis(2),
        timeout: std::time::Duration::from_millis(1),
        is_urgent: false,
    };
    watch.record_handover(&opening, true);
    watch.record_given_up(&opening);
    watch.record_held_untried();
    watch.record_refusal(true, true);
    watch.record_reset(flow(1), at(0));
    watch.record_held(&flow(1), at(1));
    watch.record_leaving_rejected(Incarnation(1), at(0));
    watch.record_leaving_accepted(Incarnation(1), at(1));
    watch.record_opened_after_leaving();
    let counts = watch.broken().by_name();
    assert!(counts.iter().all(|(_, count)| *count == 1), "{counts:?}");
    let names: std::collections::BTreeSet<_> = counts.iter().map(|(name, _)| *name).collect();
    assert_eq!(names.len(), counts.len());
}

#[test]
fn an_opening_that_is_refused_while_a_target_has_room_is_counted() {
    let mut balancer = balancer_with_queued_opening();
    let end = at(11_300);
    deliver_report(&mut balancer, 2, &report_of(2, TargetState::Ready), end);
    balancer.tick(end, &mut Vec::new());
    assert_eq!(balancer.waiting_opening_count(), 0);
    assert_eq!(balancer.broken_promises().refused_beside_free, 1);
}
