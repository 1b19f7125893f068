//! Routing decisions of a balancer.

mod support;

use std::sync::Arc;

use proptest::prelude::*;
use woodladder_core::configuration::bundle::TargetState;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};
use woodladder_core::packets::envelope::Route;
use woodladder_core::packets::router::{
    DEFAULT_HOPS, DropReason, Forward, InboundDatagram, Router,
};
use woodladder_core::packets::routing_table::RoutingTable;

use support::{
    ARCHIVE, ORDERS, active, caller, first_datagram, keys, routing_table, service_address,
    short_datagram, snapshot, target, target_address,
};

fn route(
    routing_table: &Arc<RoutingTable>,
    service: ServiceId,
    datagram: &[u8],
) -> Result<Forward, DropReason> {
    let router = Router::new(Arc::clone(routing_table), keys(1), DEFAULT_HOPS);
    router.route(&InboundDatagram {
        caller: caller(),
        service_address: service_address(service),
        datagram,
    })
}

fn both_services() -> Arc<RoutingTable> {
    routing_table(5, [active(1..8, ORDERS), active(11..14, ARCHIVE)].concat())
}

proptest! {
    #[test]
    fn arbitrary_datagrams_never_panic(datagram: Vec<u8>) {
        let _ = route(&both_services(), ORDERS, &datagram);
    }

    #[test]
    fn a_first_packet_goes_to_targets_of_its_service(id: [u8; 12], to_archive: bool) {
        let service = if to_archive { ARCHIVE } else { ORDERS };
        let routing_table = both_services();
        let forward = route(&routing_table, service, &first_datagram(&id)).expect("a target");
        let Route::NewFlow(first) = &forward.envelope.route else {
            return Err(TestCaseError::fail("not routed as a first packet"));
        };
        prop_assert_eq!(first.hops.len(), DEFAULT_HOPS);
        for hop in &first.hops {
            let entry = routing_table.target(hop.target).expect("a known target");
            prop_assert_eq!(entry.service, service);
            prop_assert_eq!(entry.address, hop.address);
        }
        prop_assert_eq!(forward.to, first.hops[0].address);
        prop_assert_eq!(forward.envelope.service, service);
    }

    #[test]
    fn a_token_of_another_service_is_dropped(nonce: [u8; 7]) {
        let token = keys(1).issue(TargetId(12), nonce);
        let routed = route(&both_services(), ORDERS, &short_datagram(&token));
        prop_assert_eq!(routed, Err(DropReason::WrongService));
    }

    #[test]
    fn a_forged_token_is_dropped(token: [u8; 20]) {
        let routed = route(&both_services(), ORDERS, &short_datagram(&token));
        prop_assert_eq!(routed, Err(DropReason::InvalidToken));
    }
}

#[test]
fn established_flows_reach_retired_targets_and_new_ones_do_not() {
    let before = snapshot(None, active(1..4, ORDERS));
    let after = snapshot(Some(&before), active(2..4, ORDERS));
    let routing_table = Arc::new(RoutingTable::new(Sequence(2), &after));
    let token = keys(1).issue(TargetId(1), [0; 7]);
    let forward = route(&routing_table, ORDERS, &short_datagram(&token)).expect("a retired target");
    assert_eq!(forward.to, target_address(TargetId(1)));
    for id in 0..100_u64 {
        let datagram = first_datagram(&id.to_be_bytes());
        let forward = route(&routing_table, ORDERS, &datagram).expect("a target");
        assert_ne!(forward.to, target_address(TargetId(1)));
    }
}

#[test]
fn packets_of_an_unknown_target_are_relayed() {
    let token = keys(1).issue(TargetId(99), [0; 7]);
    let forward = route(&both_services(), ORDERS, &short_datagram(&token)).expect("a relay");
    assert_eq!(forward.envelope.route, Route::Relay(TargetId(99)));
}

#[test]
fn leaving_targets_are_asked_only_when_there_are_no_others() {
    let leaving = |id| target(id, ORDERS, TargetState::Leaving);
    let mixed = routing_table(1, [vec![leaving(1)], active(2..3, ORDERS)].concat());
    let all_leaving = routing_table(1, vec![leaving(1), leaving(2)]);
    let datagram = first_datagram(&[7; 8]);
    let forward = route(&mixed, ORDERS, &datagram).expect("a target");
    assert_eq!(forward.to, target_address(TargetId(2)));
    assert!(route(&all_leaving, ORDERS, &datagram).is_ok());
    assert_eq!(route(&mixed, ARCHIVE, &datagram), Err(DropReason::NoTarget));
}
