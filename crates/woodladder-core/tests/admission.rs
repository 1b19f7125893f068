//! Admission at one target: which flows it accepts, hands on, declines or refuses.

mod support;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use woodladder_core::configuration::bundle::TargetState;
use woodladder_core::identifier::{Sequence, TargetId};
use woodladder_core::packets::envelope::{Envelope, NewFlowRoute, Route};
use woodladder_core::packets::hop_list::{Load, flow_hash};
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::target::admission::{
    AdmissionDropReason, AdmissionOptions, FENCE_GRACE, FlowRefusalReason, SequenceHint, Verdict,
};

use support::target_model::{TargetModel, envelope, first_envelope, new_flow_route};
use support::{
    ARCHIVE, ORDERS, active, at, first_datagram, keys, routing_table, service_address,
    short_datagram, target, target_address,
};

const FLOW: [u8; 8] = [7; 8];

fn two_services() -> Arc<RoutingTable> {
    routing_table(5, [active(1..8, ORDERS), active(11..14, ARCHIVE)].concat())
}

fn single_target() -> Arc<RoutingTable> {
    routing_table(5, active([1], ORDERS))
}

fn model(id: u32) -> TargetModel {
    TargetModel::new(id, &two_services(), AdmissionOptions::default())
}

fn verdict(model: &mut TargetModel, envelope: Envelope) -> Verdict {
    let decision = model.handle(envelope, &first_datagram(&FLOW), at(0));
    decision.verdict
}

fn handed_on(verdict: Verdict) -> (TargetId, NewFlowRoute) {
    let Verdict::HandOn(forward) = verdict else {
        panic!("not handed on: {verdict:?}");
    };
    let Route::NewFlow(route) = forward.envelope.route else {
        panic!("not a route of a new flow");
    };
    let hop = *route.current_hop().expect("a hop");
    assert_eq!(forward.to, hop.address);
    (hop.target, route)
}

fn reaches_transport(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::Deliver | Verdict::Accept | Verdict::AcceptToDecline
    )
}

/// Target 1, the one under test, three times out of four.
fn any_target() -> impl Strategy<Value = TargetId> {
    prop_oneof![3 => Just(1), 1 => 1..15_u32].prop_map(TargetId)
}

fn any_route() -> impl Strategy<Value = Route> {
    let first = (any_target(), any_target(), 0..2_u8, any::<bool>()).prop_map(
        |(one, two, at, must_decide)| {
            Route::NewFlow(new_flow_route(&[one.0, two.0], at, must_decide))
        },
    );
    prop_oneof![
        any_target().prop_map(Route::Established),
        any_target().prop_map(Route::Relay),
        first,
    ]
}

proptest! {
    /// Only packets for the service and target under test reach the transport,
    /// whatever arrives.
    #[test]
    fn nothing_of_another_service_or_target_reaches_the_transport(
        to_archive: bool,
        sequence in 0..9_u64,
        route in any_route(),
        token_target in prop::option::of(any_target()),
        is_first: bool,
        key_number in 1..3_u8,
        busy in 0..20_u32,
    ) {
        let service = if to_archive { ARCHIVE } else { ORDERS };
        let id = token_target.map_or(vec![9; 20], |target| {
            keys(key_number).issue(target, [3; 7]).to_vec()
        });
        let datagram = if is_first { first_datagram(&id) } else { short_datagram(&id) };
        let verified_target = token_target.filter(|_| key_number == 1);
        let sent = envelope(service, sequence, route.clone());
        let decision = model(1).with_busy(busy).handle(sent, &datagram, at(0));
        if reaches_transport(&decision.verdict) {
            let own = Some(TargetId(1));
            let intended_target = match &route {
                Route::Established(target) | Route::Relay(target) => Some(*target),
                Route::NewFlow(first) => first.current_hop().map(|hop| hop.target),
            };
            prop_assert!(!to_archive);
            prop_assert_eq!(intended_target, own);
            prop_assert!(verified_target == own || (verified_target.is_none() && is_first));
            let opens = decision.verdict != Verdict::Deliver;
            prop_assert!(!opens || matches!(route, Route::NewFlow(_)));
        }
    }

    /// A leaving target accepts no new flow.
    #[test]
    fn a_leaving_target_accepts_nothing_new(
        flow: [u8; 8],
        busy in 0..20_u32,
        targets in prop::sample::subsequence(vec![1, 2, 3, 4], 1..=4),
        must_decide: bool,
        leaves_by_bundle: bool,
    ) {
        let mut targets = targets;
        targets.retain(|id| *id != 1);
        targets.insert(0, 1);
        let state = if leaves_by_bundle { TargetState::Leaving } else { TargetState::Active };
        let table = routing_table(5, [vec![target(1, ORDERS, state)], active(2..8, ORDERS)].concat());
        let mut model = TargetModel::new(1, &table, AdmissionOptions::default()).with_busy(busy);
        model.conditions.takes_new_flows = leaves_by_bundle;
        let mut route = new_flow_route(&targets, 0, must_decide);
        if must_decide {
            route.hops[0].load = Some(Load(500));
        }
        let sent = envelope(ORDERS, 5, Route::NewFlow(route));
        let verdict = model.handle(sent, &first_datagram(&flow), at(0)).verdict;
        if must_decide {
            prop_assert_eq!(verdict, Verdict::AcceptToDecline);
        } else {
            let (_, route) = handed_on(verdict);
            prop_assert_eq!(route.hops[0].load, None, "a stated load would bring the flow back");
        }
    }

    /// The decision on a flow holds for its repeated first packets, also with
    /// another hop list.
    #[test]
    fn a_decision_holds_for_repeated_first_packets(
        flow: [u8; 8],
        first_busy in 0..20_u32,
        second_busy in 0..20_u32,
        first_other in 2..8_u32,
        second_other in 2..8_u32,
        delay in 0..7000_u64,
    ) {
        let mut model = model(1).with_busy(first_busy);
        let datagram = first_datagram(&flow);
        let before = model.handle(first_envelope(5, &[1, first_other]), &datagram, at(0)).verdict;
        model.conditions.usage.busy_slots = second_busy;
        model.conditions.takes_new_flows = false;
        let again = first_envelope(5, &[1, second_other]);
        let after = model.handle(again, &datagram, at(delay)).verdict;
        match before {
            Verdict::HandOn(_) => prop_assert_eq!(handed_on(before).0, handed_on(after).0),
            _ => prop_assert_eq!(before, after),
        }
    }
}

#[test]
fn a_flow_is_accepted_at_little_load_and_handed_on_otherwise() {
    let idle = verdict(&mut model(1), first_envelope(5, &[1, 2]));
    assert_eq!(idle, Verdict::Accept);
    let busy = verdict(&mut model(1).with_busy(8), first_envelope(5, &[1, 2]));
    let (to, route) = handed_on(busy);
    assert_eq!(to, TargetId(2));
    assert_eq!(route.hops[0].load, Some(Load(800)));
    assert!(!route.must_decide);
}

#[test]
fn the_last_target_asked_hands_back_to_a_less_loaded_one() {
    let stated = |load| {
        let mut route = new_flow_route(&[1, 2, 3], 2, false);
        route.hops[0].load = Some(Load(900));
        route.hops[1].load = Some(Load(load));
        envelope(ORDERS, 5, Route::NewFlow(route))
    };
    let equal = verdict(&mut model(3).with_busy(8), stated(800));
    assert_eq!(equal, Verdict::Accept);
    let (to, route) = handed_on(verdict(&mut model(3).with_busy(8), stated(799)));
    assert_eq!(to, TargetId(2));
    assert!(route.must_decide);
    let sent_back = envelope(ORDERS, 5, Route::NewFlow(route));
    let taken = verdict(&mut model(2).with_busy(30), sent_back);
    assert_eq!(taken, Verdict::Accept);
}

#[test]
fn a_target_of_last_resort_accepts_a_flow_only_when_no_other_does() {
    let mut last_resort = model(1);
    last_resort.admission.set_last_resort(true);
    let (to, route) = handed_on(verdict(&mut last_resort, first_envelope(5, &[1, 2])));
    assert_eq!(to, TargetId(2));

    let mut other_last_resort = model(2).with_busy(1);
    other_last_resort.admission.set_last_resort(true);
    let sent = envelope(ORDERS, 5, Route::NewFlow(route));
    let (to, route) = handed_on(verdict(&mut other_last_resort, sent));
    assert_eq!(to, TargetId(1));
    let sent_back = envelope(ORDERS, 5, Route::NewFlow(route));
    assert_eq!(verdict(&mut last_resort, sent_back), Verdict::Accept);
}

#[test]
fn the_return_margin_ignores_small_load_differences() {
    let options = AdmissionOptions {
        return_margin: Load(100),
        ..AdmissionOptions::default()
    };
    let mut route = new_flow_route(&[1, 2], 1, false);
    route.hops[0].load = Some(Load(700));
    let sent = envelope(ORDERS, 5, Route::NewFlow(route));
    let mut model = TargetModel::new(2, &two_services(), options).with_busy(8);
    assert_eq!(verdict(&mut model, sent), Verdict::Accept);
}

#[test]
fn accepted_flows_count_as_load_until_their_first_request() {
    let mut model = model(1).with_busy(1);
    let admit = |model: &mut TargetModel, flow: u8, now| {
        let sent = first_envelope(5, &[1, 2]);
        let datagram = first_datagram(&[flow; 8]);
        model.handle(sent, &datagram, at(now)).verdict
    };
    assert_eq!(admit(&mut model, 1, 0), Verdict::Accept);
    assert!(matches!(admit(&mut model, 2, 0), Verdict::HandOn(_)));
    model.admission.request_arrived(flow_hash(&[1; 8]));
    assert_eq!(admit(&mut model, 3, 0), Verdict::Accept);
    assert!(matches!(admit(&mut model, 4, 499), Verdict::HandOn(_)));
    assert_eq!(admit(&mut model, 5, 500), Verdict::Accept);
}

#[test]
fn the_connection_limit_counts_unopened_connections() {
    let mut model = TargetModel::new(1, &single_target(), AdmissionOptions::default());
    model.conditions.usage.connection_limit = 1;
    let only = |flow: u8| (first_envelope(5, &[1]), first_datagram(&[flow; 8]));
    let (sent, datagram) = only(1);
    assert_eq!(
        model.handle(sent, &datagram, at(0)).verdict,
        Verdict::Accept
    );
    let (sent, datagram) = only(2);
    let full = model.handle(sent, &datagram, at(0)).verdict;
    assert_eq!(full, Verdict::AcceptToDecline);
    model.admission.connection_closed(flow_hash(&[1; 8]));
    let (sent, datagram) = only(3);
    assert_eq!(
        model.handle(sent, &datagram, at(0)).verdict,
        Verdict::Accept
    );
}

#[test]
fn flows_beyond_the_decline_allowance_are_refused() {
    let options = AdmissionOptions {
        decline_allowance: 2,
        ..AdmissionOptions::default()
    };
    let mut model = TargetModel::new(1, &single_target(), options);
    model.conditions.takes_new_flows = false;
    let mut decide = |flow: u8, now| {
        let datagram = first_datagram(&[flow; 8]);
        model
            .handle(first_envelope(5, &[1]), &datagram, at(now))
            .verdict
    };
    assert_eq!(decide(1, 0), Verdict::AcceptToDecline);
    assert_eq!(decide(2, 0), Verdict::AcceptToDecline);
    assert_eq!(decide(3, 999), Verdict::Refuse(FlowRefusalReason::Leaving));
    assert_eq!(decide(4, 1000), Verdict::AcceptToDecline);
}

#[test]
fn targets_ruled_out_by_the_routing_table_are_not_asked() {
    let leaving = target(2, ORDERS, TargetState::Leaving);
    let table = routing_table(
        5,
        [vec![leaving], active([1, 3], ORDERS), active([4], ARCHIVE)].concat(),
    );
    let mut model = TargetModel::new(1, &table, AdmissionOptions::default()).with_busy(9);
    let (to, _) = handed_on(verdict(&mut model, first_envelope(4, &[1, 2, 4, 3])));
    assert_eq!(to, TargetId(3));
}

#[test]
fn a_flow_that_no_listed_target_can_accept_goes_to_another() {
    let leaving = [1, 2].map(|id| target(id, ORDERS, TargetState::Leaving));
    let table = routing_table(5, [leaving.to_vec(), active([3], ORDERS)].concat());
    let mut model = TargetModel::new(1, &table, AdmissionOptions::default());
    let (to, route) = handed_on(verdict(&mut model, first_envelope(4, &[1, 2])));
    assert_eq!(to, TargetId(3));
    assert!(route.must_decide);
}

#[test]
fn a_list_of_one_target_does_not_undo_an_earlier_decision() {
    let mut model = model(1).with_busy(8);
    let (to, _) = handed_on(verdict(&mut model, first_envelope(5, &[1, 2])));
    let (again, route) = handed_on(verdict(&mut model, first_envelope(4, &[1])));
    assert_eq!(again, to);
    assert!(route.must_decide);
}

#[test]
fn a_leaving_target_alone_on_the_list_hands_on_to_another() {
    let mut model = model(1);
    model.conditions.takes_new_flows = false;
    let (to, route) = handed_on(verdict(&mut model, first_envelope(5, &[1])));
    assert_ne!(to, TargetId(1));
    assert!(route.must_decide);
}

#[test]
fn a_moved_service_address_is_not_admitted() {
    let mut sent = first_envelope(5, &[1]);
    sent.service_address = service_address(ARCHIVE);
    let refused = verdict(&mut model(1), sent.clone());
    assert_eq!(refused, Verdict::Drop(AdmissionDropReason::WrongService));
    sent.sequence = Sequence(6);
    assert_eq!(verdict(&mut model(1), sent), Verdict::Accept);
}

#[test]
fn the_fence_stops_new_flows_and_not_established_ones() {
    let mut model = model(1);
    let first = |model: &mut TargetModel, flow: u8, now| {
        model.handle(first_envelope(4, &[1]), &first_datagram(&[flow; 8]), now)
    };
    let within = at(0) + FENCE_GRACE;
    let beyond = within + Duration::from_millis(1);
    let decision = first(&mut model, 1, within);
    assert_eq!((decision.verdict, decision.hint), (Verdict::Accept, None));
    let decision = first(&mut model, 2, beyond);
    let stale = Verdict::Drop(AdmissionDropReason::StaleSequence);
    let hint = Some(SequenceHint::BalancerIsBehind(Sequence(4)));
    assert_eq!((decision.verdict, decision.hint), (stale, hint));
    let token = keys(1).issue(TargetId(1), [0; 7]);
    let sent = envelope(ORDERS, 4, Route::Established(TargetId(1)));
    let decision = model.handle(sent, &short_datagram(&token), beyond);
    assert_eq!((decision.verdict, decision.hint), (Verdict::Deliver, hint));
}

#[test]
fn a_recent_roll_does_not_lift_the_fence_of_the_one_before() {
    let mut model = model(1);
    let now = at(60_000);
    model
        .admission
        .adopt(routing_table(6, active(1..8, ORDERS)), now);
    let mut decide = |sequence, flow: u8| {
        let datagram = first_datagram(&[flow; 8]);
        model.handle(first_envelope(sequence, &[1]), &datagram, now)
    };
    assert_eq!(decide(5, 1).verdict, Verdict::Accept);
    let stale = Verdict::Drop(AdmissionDropReason::StaleSequence);
    assert_eq!(decide(4, 2).verdict, stale);
    let hint = Some(SequenceHint::AgentIsBehind(Sequence(7)));
    assert_eq!(decide(7, 3).hint, hint);
}

#[test]
fn relays_go_to_known_targets_of_the_service_only() {
    let relay = |id: u32, token_of: u32| {
        let token = keys(1).issue(TargetId(token_of), [0; 7]);
        let sent = envelope(ORDERS, 3, Route::Relay(TargetId(id)));
        model(1)
            .handle(sent, &short_datagram(&token), at(0))
            .verdict
    };
    let Verdict::Relay(forward) = relay(2, 2) else {
        panic!("not relayed");
    };
    assert_eq!(forward.to, target_address(TargetId(2)));
    assert_eq!(forward.envelope.route, Route::Established(TargetId(2)));
    assert_eq!(relay(1, 1), Verdict::Deliver);
    assert_eq!(
        relay(2, 3),
        Verdict::Drop(AdmissionDropReason::ForeignToken)
    );
    assert_eq!(
        relay(99, 99),
        Verdict::Drop(AdmissionDropReason::UnknownRelayTarget)
    );
    assert_eq!(
        relay(12, 12),
        Verdict::Drop(AdmissionDropReason::WrongService)
    );
}

#[test]
fn a_target_without_a_routing_table_accepts_flows() {
    let none = Arc::new(RoutingTable::default());
    let mut model = TargetModel::new(1, &none, AdmissionOptions::default());
    let decision = model.handle(first_envelope(5, &[1]), &first_datagram(&FLOW), at(0));
    assert_eq!(decision.verdict, Verdict::Accept);
    assert_eq!(
        decision.hint,
        Some(SequenceHint::AgentIsBehind(Sequence(5)))
    );
}
