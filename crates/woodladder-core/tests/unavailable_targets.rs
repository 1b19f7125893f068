//! New flows avoid targets that are marked as unavailable.

mod support;

use std::sync::Arc;

use proptest::prelude::*;
use rustc_hash::FxHashSet;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::envelope::Route;
use woodladder_core::packets::hop_list::MAXIMUM_HOPS;
use woodladder_core::packets::router::{Forward, InboundDatagram, Router};
use woodladder_core::packets::routing_table::{RoutingTable, TargetStatus};
use woodladder_core::target::admission::{AdmissionOptions, FENCE_GRACE, Verdict};

use support::target_model::{TargetModel, first_envelope};
use support::{
    ARCHIVE, ORDERS, active, at, caller, first_datagram, keys, routing_table, service_address,
    short_datagram, target_address,
};

const FLOW: [u8; 8] = [7; 8];

fn all_available() -> Arc<RoutingTable> {
    routing_table(5, [active(1..8, ORDERS), active(11..14, ARCHIVE)].concat())
}

fn with_marked(marked: &[u32], own: Option<u32>) -> Arc<RoutingTable> {
    let marked: FxHashSet<TargetId> = marked.iter().copied().map(TargetId).collect();
    Arc::new(all_available().with_unavailable(&marked, own.map(TargetId)))
}

fn route(routing_table: Arc<RoutingTable>, datagram: &[u8]) -> Forward {
    let inbound = InboundDatagram {
        caller: caller(),
        service_address: service_address(ORDERS),
        datagram,
    };
    let router = Router::new(routing_table, keys(1), MAXIMUM_HOPS);
    router.route(&inbound).expect("a target")
}

fn listed_targets(forward: &Forward) -> Vec<u32> {
    let Route::NewFlow(first) = &forward.envelope.route else {
        panic!("not a route of a new flow");
    };
    first.hops.iter().map(|hop| hop.target.0).collect()
}

fn next_target(model: &mut TargetModel, hops: &[u32]) -> Option<TargetId> {
    let decision = model.handle(first_envelope(5, hops), &first_datagram(&FLOW), at(0));
    let Verdict::HandOn(forward) = decision.verdict else {
        return None;
    };
    let Route::NewFlow(first) = forward.envelope.route else {
        return None;
    };
    first.current_hop().map(|hop| hop.target)
}

proptest! {
    #[test]
    fn hop_lists_leave_marked_targets_out_and_are_never_empty(
        marked in prop::sample::subsequence((1..8_u32).collect::<Vec<_>>(), 0..=7),
        flow: [u8; 8],
    ) {
        let hops = listed_targets(&route(with_marked(&marked, None), &first_datagram(&flow)));
        prop_assert!(!hops.is_empty());
        if marked.len() == 7 {
            let unmarked = listed_targets(&route(all_available(), &first_datagram(&flow)));
            prop_assert_eq!(hops, unmarked);
        } else {
            prop_assert!(hops.iter().all(|hop| !marked.contains(hop)));
        }
    }

    #[test]
    fn marks_change_neither_other_targets_nor_the_own_one(
        marked in prop::sample::subsequence((1..14_u32).collect::<Vec<_>>(), 0..=13),
        own in 1..8_u32,
    ) {
        let changed = with_marked(&marked, Some(own));
        let unmarked = all_available();
        for id in (1..8).chain(11..14) {
            let before = unmarked.target(TargetId(id)).expect("known");
            let after = changed.target(TargetId(id)).expect("known");
            prop_assert_eq!(before.address, after.address);
            let may_change = marked.contains(&id) && id != own;
            let has_changed = matches!(after.status, TargetStatus::Unavailable(_));
            prop_assert!(may_change || !has_changed);
        }
    }
}

#[test]
fn established_flows_go_to_a_marked_target() {
    let token = keys(1).issue(TargetId(3), [0; 7]);
    let forward = route(with_marked(&[3], None), &short_datagram(&token));
    assert_eq!(forward.to, target_address(TargetId(3)));
}

#[test]
fn a_flow_is_not_handed_on_to_a_marked_target() {
    let mut model = TargetModel::new(1, &all_available(), AdmissionOptions::default()).with_busy(9);
    model.admission.refresh(with_marked(&[2], Some(1)), at(0));
    let next = next_target(&mut model, &[1, 2, 3]);
    assert_eq!(next, Some(TargetId(3)));
}

#[test]
fn a_flow_handed_on_to_a_target_that_fails_goes_to_another() {
    let mut model = TargetModel::new(1, &all_available(), AdmissionOptions::default()).with_busy(9);
    let hops = [1, 2, 3];
    assert_eq!(next_target(&mut model, &hops), Some(TargetId(2)));
    assert_eq!(next_target(&mut model, &hops), Some(TargetId(2)));
    model.admission.refresh(with_marked(&[2], Some(1)), at(0));
    assert_eq!(next_target(&mut model, &hops), Some(TargetId(3)));
}

#[test]
fn a_refresh_neither_restores_an_older_table_nor_moves_the_fence() {
    let mut model = TargetModel::new(1, &all_available(), AdmissionOptions::default());
    let later = routing_table(6, active(1..8, ORDERS));
    model.admission.refresh(Arc::clone(&later), at(0));
    model.admission.refresh(with_marked(&[2], Some(1)), at(0));
    assert!(Arc::ptr_eq(model.admission.routing_table(), &later));
    let beyond = at(1) + FENCE_GRACE;
    let same = routing_table(6, active(1..8, ORDERS));
    model.admission.refresh(same, beyond);
    let sent = first_envelope(5, &[1]);
    let decision = model.handle(sent, &first_datagram(&FLOW), beyond);
    assert!(matches!(decision.verdict, Verdict::Drop(_)));
}
