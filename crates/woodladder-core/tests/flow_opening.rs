//! New flows: choice of target, further attempts, and resets before anything was
//! executed.

mod flow_support;

use std::collections::BTreeMap;

use flow_support::*;
use woodladder_core::flow::balancer::{Balancer, BalancerAction, DropReason, Routing};
use woodladder_core::flow::excluded_zones::ExcludedZones;
use woodladder_core::flow::identity::NodeAddress;
use woodladder_core::flow::message::{
    ForwardHeader, ForwardPurpose, OpeningTerms, PeerMessage, ReturnReason, TargetLoad,
    TargetReport, TargetState,
};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

fn returned(reason: ReturnReason) -> PeerMessage {
    PeerMessage::Returned {
        reason,
        load: TargetLoad::default(),
        version: 1,
        excluded_zones: ExcludedZones::default(),
    }
}

fn accepted(port: u16, sequence: u32) -> PeerMessage {
    PeerMessage::Accepted {
        key: flow(port),
        sequence,
        incarnation: None,
        load: TargetLoad::default(),
    }
}

fn only_receiver(routing: &Routing) -> NodeAddress {
    let list = receivers(routing);
    assert_eq!(list.len(), 1, "{routing:?}");
    list[0]
}

fn forwarded(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Forward { to, .. } => Some(*to),
            _ => None,
        })
        .collect()
}

fn number(node: NodeAddress) -> u8 {
    node.ip().octets()[3]
}

fn busy_report(agent: u8, sequence: u64, busy: u16) -> TargetReport {
    let mut report = report(agent, sequence);
    report.load.busy = busy;
    report
}

fn open_many(balancer: &mut Balancer, count: u16) -> BTreeMap<u8, u16> {
    let mut flows = BTreeMap::new();
    for port in 1..=count {
        let routing = deliver_caller_packet(balancer, &opening(flow(port), 0), at(10_010));
        *flows.entry(number(only_receiver(&routing))).or_default() += 1;
    }
    flows
}

#[test]
fn new_flows_spread_evenly_between_reports() {
    let mut balancer = balancer(&[2, 3, 4]);
    let flows = open_many(&mut balancer, 30);
    assert_eq!(flows, BTreeMap::from([(2, 10), (3, 10), (4, 10)]));
}

#[test]
fn new_flows_go_to_the_least_loaded_target() {
    let mut balancer = balancer(&[2, 3]);
    deliver_report(&mut balancer, 2, &busy_report(2, 2, 6), at(10_001));
    let flows = open_many(&mut balancer, 5);
    assert_eq!(flows, BTreeMap::from([(3, 5)]));
}

#[test]
fn new_flows_avoid_targets_that_leave_or_are_silent() {
    let mut balancer = balancer(&[2, 3, 4]);
    let mut leaving = report(2, 2);
    leaving.state = TargetState::Leaving;
    deliver_report(&mut balancer, 2, &leaving, at(10_400));
    deliver_report(&mut balancer, 4, &report(4, 2), at(10_400));
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_450));
    assert_eq!(only_receiver(&routing), node(4));
}

#[test]
fn a_slow_target_gets_fewer_flows() {
    let mut balancer = balancer(&[2, 3, 4]);
    for agent in [2, 3, 4] {
        let mut report = report(agent, 2);
        report.load.service_time_us = if agent == 2 { 250_000 } else { 50_000 };
        deliver_report(&mut balancer, agent, &report, at(10_001));
    }
    let flows = open_many(&mut balancer, 22);
    assert!(flows.get(&2).copied().unwrap_or(0) <= 2, "{flows:?}");
}

#[test]
fn a_returned_opening_goes_to_another_target_at_once() {
    let mut balancer = balancer(&[2, 3]);
    let open = opening(flow(1), 0);
    let first = only_receiver(&deliver_caller_packet(&mut balancer, &open, at(10_010)));
    let message = returned(ReturnReason::Leaving);
    let actions =
        deliver_message_with_packet(&mut balancer, number(first), message, &open, at(10_011));
    let again = forwarded(&actions);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0], first);
}

#[test]
fn an_opening_returned_twice_by_one_agent_is_offered_again_once() {
    let mut balancer = balancer(&[2, 3, 4]);
    let open = opening(flow(1), 0);
    let first = number(only_receiver(&deliver_caller_packet(
        &mut balancer,
        &open,
        at(10_010),
    )));
    let message = returned(ReturnReason::Leaving);
    deliver_message_with_packet(&mut balancer, first, message.clone(), &open, at(10_011));
    let actions = deliver_message_with_packet(&mut balancer, first, message, &open, at(10_012));
    assert!(forwarded(&actions).is_empty(), "{actions:?}");
}

#[test]
fn a_copy_of_an_unanswered_opening_goes_to_another_target() {
    let mut balancer = balancer(&[2, 3]);
    let first = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_010),
    ));
    let second = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 1),
        at(10_210),
    ));
    assert_ne!(first, second);
}

#[test]
fn a_copy_of_an_accepted_opening_goes_to_the_same_target() {
    let mut balancer = balancer(&[2, 3]);
    let first = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_010),
    ));
    deliver_message(&mut balancer, number(first), accepted(1, 5000), at(10_011));
    let second = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 1),
        at(10_210),
    ));
    assert_eq!(first, second);
}

/// Two targets may accept one opening; the caller chooses by its acknowledgement.
#[test]
fn a_flow_belongs_to_the_target_whose_acceptance_the_caller_acknowledges() {
    for (acknowledged, winner) in [(5001, 2), (9001, 3)] {
        let mut balancer = balancer(&[2, 3]);
        deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
        deliver_caller_packet(&mut balancer, &opening(flow(1), 1), at(10_210));
        deliver_message(&mut balancer, 2, accepted(1, 5000), at(10_211));
        deliver_message(&mut balancer, 3, accepted(1, 9000), at(10_212));
        let routing = deliver_caller_packet(
            &mut balancer,
            &data(flow(1), 1001, acknowledged),
            at(10_220),
        );
        assert_eq!(only_receiver(&routing), node(winner));
    }
}

fn leaving(agent: u8, sequence: u64) -> TargetReport {
    let mut leaving = report(agent, sequence);
    leaving.state = TargetState::Leaving;
    leaving
}

/// For example, a balancer that has just started knows no agent yet.
#[test]
fn an_opening_waits_for_a_target_and_gets_it_with_the_next_tick() {
    let mut balancer = balancer(&[2]);
    deliver_report(&mut balancer, 2, &leaving(2, 2), at(10_001));
    for (copy, time) in [(0, 10_010), (1, 10_210)] {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), copy), at(time));
        assert_eq!(routing, Routing::Drop(DropReason::NoTargetYet));
    }
    assert_eq!(
        balancer.waiting_opening_count(),
        1,
        "a copy does not wait twice"
    );
    deliver_report(&mut balancer, 3, &report(3, 1), at(10_220));
    let mut actions = Vec::new();
    balancer.tick(at(10_225), &mut actions);
    assert_eq!(forwarded(&actions), vec![node(3)]);
    assert_eq!(balancer.waiting_opening_count(), 0);
}

#[test]
fn an_opening_that_has_waited_too_long_is_refused_at_once() {
    let mut balancer = balancer(&[2]);
    deliver_report(&mut balancer, 2, &leaving(2, 2), at(10_001));
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let mut refused_at = None;
    for time in (10_025..12_000).step_by(25) {
        let mut actions = Vec::new();
        balancer.tick(at(time), &mut actions);
        let is_reset = |action: &BalancerAction| matches!(action, BalancerAction::Reset(_));
        if actions.iter().any(is_reset) {
            refused_at.get_or_insert(time);
        }
    }
    assert_eq!(
        refused_at,
        Some(11_225),
        "1,200 ms and at most one tick after it came"
    );
    assert_eq!(balancer.counters().reset_no_target, 1);
}

#[test]
fn an_opening_that_finds_the_queue_full_is_refused_at_once() {
    let mut balancer = large_table_balancer();
    deliver_report(&mut balancer, 2, &leaving(2, 1), at(10_000));
    let mut resets = 0;
    for port in 1..=2500 {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_010));
        resets += u32::from(matches!(routing, Routing::Reset(_)));
    }
    assert_eq!((balancer.waiting_opening_count(), resets), (2048, 452));
}

/// The terms that the balancer states for an opening that it forwards.
fn terms(header: &ForwardHeader) -> OpeningTerms {
    match header.purpose {
        ForwardPurpose::Open(terms) => terms,
        other => panic!("{other:?}"),
    }
}

fn terms_of(routing: Routing) -> OpeningTerms {
    match routing {
        Routing::One { header, .. } => terms(&header),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_opening_states_its_age_by_the_copies_before_it() {
    for (copy, age_ms) in [(0, 0), (1, 200), (2, 600)] {
        let mut balancer = balancer(&[2]);
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), copy), at(10_010));
        assert_eq!(terms_of(routing).age_ms, age_ms);
    }
}

#[test]
fn an_opening_that_is_offered_again_states_the_elapsed_time() {
    let mut balancer = balancer(&[2, 3]);
    let open = opening(flow(1), 0);
    let first = only_receiver(&deliver_caller_packet(&mut balancer, &open, at(10_010)));
    let message = returned(ReturnReason::Leaving);
    let actions =
        deliver_message_with_packet(&mut balancer, number(first), message, &open, at(10_050));
    let again = actions.iter().find_map(|action| match action {
        BalancerAction::Forward { header, .. } => Some(terms(header)),
        _ => None,
    });
    assert_eq!(again.expect("offered again").age_ms, 40);
}

#[test]
fn an_opening_can_be_returned_only_once_for_underestimated_load() {
    let mut balancer = balancer(&[2, 3, 4]);
    deliver_report(&mut balancer, 2, &busy_report(2, 2, 9), at(10_001));
    let open = opening(flow(1), 0);
    let routing = deliver_caller_packet(&mut balancer, &open, at(10_010));
    let first = only_receiver(&routing);
    assert_eq!(terms_of(routing).estimated_load, Some(0));
    let message = returned(ReturnReason::Saturated);
    let actions =
        deliver_message_with_packet(&mut balancer, number(first), message, &open, at(10_011));
    let again = actions.iter().find_map(|action| match action {
        BalancerAction::Forward { header, .. } => Some(terms(header)),
        _ => None,
    });
    assert_eq!(again.expect("offered again").estimated_load, None);
}

#[test]
fn the_only_target_must_take_an_opening_at_any_load() {
    let mut balancer = balancer(&[2]);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    assert_eq!(terms_of(routing).estimated_load, None);
}

fn queued(port: u16) -> PeerMessage {
    PeerMessage::Queued {
        key: flow(port),
        load: TargetLoad::default(),
    }
}

#[test]
fn a_copy_of_an_opening_queued_at_an_agent_goes_to_the_same_agent() {
    let mut balancer = balancer(&[2, 3]);
    let first = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_010),
    ));
    deliver_message(&mut balancer, number(first), queued(1), at(10_011));
    let copy = deliver_caller_packet(&mut balancer, &opening(flow(1), 1), at(10_210));
    assert_eq!(only_receiver(&copy), first);
}

/// The agent that queued the opening is lost, and its queue with it.
#[test]
fn a_copy_of_an_opening_queued_at_a_silent_agent_goes_to_another() {
    let mut balancer = balancer(&[2, 3]);
    let first = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_010),
    ));
    deliver_message(&mut balancer, number(first), queued(1), at(10_011));
    let other = if first == node(2) { 3 } else { 2 };
    deliver_report(&mut balancer, other, &report(other, 2), at(10_600));
    let copy = deliver_caller_packet(&mut balancer, &opening(flow(1), 2), at(10_610));
    assert_eq!(only_receiver(&copy), node(other));
}

#[test]
fn an_opening_that_has_been_queued_too_long_at_an_agent_is_refused_at_once() {
    let mut balancer = balancer(&[2, 3]);
    let open = opening(flow(1), 0);
    let first = only_receiver(&deliver_caller_packet(&mut balancer, &open, at(10_010)));
    deliver_message(&mut balancer, number(first), queued(1), at(10_011));
    let message = returned(ReturnReason::Expired);
    let actions =
        deliver_message_with_packet(&mut balancer, number(first), message, &open, at(11_210));
    assert!(
        matches!(actions.as_slice(), [BalancerAction::Reset(reset)] if reset.key == flow(1)),
        "{actions:?}"
    );
    assert_eq!(balancer.counters().reset_no_target, 1);
}

#[test]
fn an_address_without_a_route_is_reset_at_once() {
    let mut balancer = balancer(&[2]);
    let mut key = flow(1);
    key.service = route_address(9);
    let routing = deliver_caller_packet(&mut balancer, &opening(key, 0), at(10_010));
    assert!(matches!(routing, Routing::Reset(reset) if reset.key == key));
}

#[test]
fn nothing_is_refused_before_a_configuration_is_known() {
    let mut balancer = empty_balancer();
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10));
    assert_eq!(routing, Routing::Drop(DropReason::NoConfiguration));
}

#[test]
fn flows_are_split_between_the_parts_of_a_route_by_weight() {
    let mut balancer = empty_balancer();
    let parts = [(main_service(), 90), (other_service(), 10)];
    balancer.adopt_store_configuration(configuration_of(1, &[(1, &parts)]));
    let mut flows: BTreeMap<u8, u16> = BTreeMap::new();
    for port in 1..=200 {
        for (agent, service) in [(2, main_service()), (3, other_service())] {
            let mut report = report(agent, port.into());
            report.service = service;
            deliver_report(&mut balancer, agent, &report, at(10_000));
        }
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_010));
        *flows.entry(number(only_receiver(&routing))).or_default() += 1;
    }
    assert_eq!(flows, BTreeMap::from([(2, 180), (3, 20)]));
}

#[test]
fn forged_and_looped_packets_are_dropped() {
    let mut balancer = balancer(&[2]);
    let accept = packet(flow(1), PacketKind::Accept, 1, 1, 0);
    let forged = Routing::Drop(DropReason::Forged);
    assert_eq!(
        deliver_caller_packet(&mut balancer, &accept, at(10_010)),
        forged
    );
    let mut looped: FlowPacket = opening(flow(1), 0);
    looped.key.caller.set_ip(*node(1).ip());
    assert_eq!(
        deliver_caller_packet(&mut balancer, &looped, at(10_010)),
        forged
    );
}

#[test]
fn a_full_table_drops_idle_flows_and_searches_for_them_again() {
    let mut balancer = balancer(&[2, 3]);
    for port in 1..=3000 {
        deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_010));
    }
    assert!(balancer.flow_count() <= 1000, "{}", balancer.flow_count());
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_020));
    assert_eq!(receivers(&routing).len(), 2);
}
