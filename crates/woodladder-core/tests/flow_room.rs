//! Which openings get the room of full targets.

mod flow_support;

use std::sync::Arc;

use flow_support::*;
use woodladder_core::flow::balancer::{Balancer, DropReason, Routing};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::message::{TargetLoad, TargetReport};
use woodladder_core::flow::packet::FlowPacket;

/// Route whose requests matter more than those of route 1.
const URGENT_ROUTE: u8 = 2;
/// Route whose requests may take longer than those of route 1.
const PATIENT_ROUTE: u8 = 3;

fn route(number: u8, priority: u8, aim_ms: u32) -> Route {
    Route {
        address: route_address(number),
        parts: vec![RoutePart {
            service: kitchen(),
            weight: 1,
        }],
        terms: RouteTerms { priority, aim_ms },
    }
}

/// A balancer whose only target has this many requests at work in its seven
/// slots.
fn balancer_with_busy_target(busy: u16) -> Balancer {
    let mut balancer = empty_balancer();
    balancer.configuration(Arc::new(Configuration {
        version: 1,
        routes: vec![
            route(1, 2, 300),
            route(URGENT_ROUTE, 1, 300),
            route(PATIENT_ROUTE, 2, 800),
        ],
        idle_timeout_ms: 15_000,
    }));
    let report = TargetReport {
        load: TargetLoad {
            busy,
            ..TargetLoad::default()
        },
        ..report(2, 1)
    };
    tell(&mut balancer, 2, &report, at(10_000));
    balancer
}

fn flow_to(route: u8, port: u16) -> FlowKey {
    FlowKey {
        service: route_address(route),
        ..flow(port)
    }
}

fn is_sent(balancer: &mut Balancer, packet: &FlowPacket) -> bool {
    match arrive(balancer, packet, at(10_010)) {
        Routing::One { to, .. } => to == node(2),
        Routing::Drop(DropReason::NoTargetYet) => false,
        other => panic!("neither sent nor waiting: {other:?}"),
    }
}

#[test]
fn an_opening_that_matters_more_gets_room_where_others_wait() {
    let mut balancer = balancer_with_busy_target(18);
    assert!(!is_sent(&mut balancer, &opening(flow_to(1, 1), 0)));
    assert!(is_sent(
        &mut balancer,
        &opening(flow_to(URGENT_ROUTE, 2), 0)
    ));
}

#[test]
fn an_opening_that_matters_more_keeps_its_room_when_it_is_late() {
    let mut balancer = balancer_with_busy_target(12);
    assert!(!is_sent(&mut balancer, &opening(flow_to(1, 1), 1)));
    assert!(is_sent(
        &mut balancer,
        &opening(flow_to(URGENT_ROUTE, 2), 1)
    ));
}

#[test]
fn an_opening_that_matters_more_waits_as_well_when_targets_are_full_to_the_brim() {
    let mut balancer = balancer_with_busy_target(28);
    assert!(!is_sent(
        &mut balancer,
        &opening(flow_to(URGENT_ROUTE, 2), 0)
    ));
}

#[test]
fn an_opening_is_late_by_the_time_that_its_own_route_allows() {
    let mut balancer = balancer_with_busy_target(12);
    assert!(!is_sent(&mut balancer, &opening(flow_to(1, 1), 1)));
    assert!(is_sent(
        &mut balancer,
        &opening(flow_to(PATIENT_ROUTE, 2), 1)
    ));
}

#[test]
fn routes_of_one_importance_are_all_alike() {
    let mut balancer = empty_balancer();
    balancer.configuration(configuration(1));
    let report = TargetReport {
        load: TargetLoad {
            busy: 18,
            ..TargetLoad::default()
        },
        ..report(2, 1)
    };
    tell(&mut balancer, 2, &report, at(10_000));
    assert!(!is_sent(&mut balancer, &opening(flow(1), 0)));
}
