//! Which configurations and settings activate the optional mechanisms.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::activation::ActiveMechanisms;
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};

fn route(number: u8, priority: u8, timeout_ms: u32) -> Route {
    Route {
        address: route_address(number),
        parts: vec![RoutePart {
            service: main_service(),
            weight: 1,
        }],
        terms: RouteTerms {
            priority,
            timeout_ms,
            ..RouteTerms::default()
        },
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration {
        version: 1,
        routes,
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    }
}

#[test]
fn no_mechanism_is_active_with_long_timeouts_one_priority_and_fast_links() {
    let uniform = configuration(vec![route(1, 2, 10_000), route(2, 2, 10_000)]);
    let active = ActiveMechanisms::at_balancer(&uniform, 250, Some(1_000_000));
    assert_eq!(active, ActiveMechanisms::default());
}

#[test]
fn flows_are_located_when_a_timeout_leaves_at_most_one_retransmission() {
    let long_timeout = configuration(vec![route(1, 2, 3001)]);
    let short_timeout = configuration(vec![route(1, 2, 3001), route(2, 2, 3000)]);
    assert!(!ActiveMechanisms::at_balancer(&long_timeout, 250, None).locates_flows);
    assert!(ActiveMechanisms::at_balancer(&short_timeout, 250, None).locates_flows);
}

#[test]
fn requests_are_ordered_when_routes_of_different_priority_share_a_service() {
    let shared = configuration(vec![route(1, 2, 10_000), route(2, 1, 10_000)]);
    assert!(ActiveMechanisms::at_balancer(&shared, 250, None).orders_requests);
}

/// An agent is not concerned by routes that share other services.
#[test]
fn an_agent_orders_requests_only_when_routes_share_its_own_service() {
    let elsewhere = |number, priority| Route {
        parts: vec![RoutePart {
            service: other_service(),
            weight: 1,
        }],
        ..route(number, priority, 10_000)
    };
    let shared = configuration(vec![
        elsewhere(1, 2),
        elsewhere(2, 1),
        route(3, 2, 10_000),
        route(4, 2, 10_000),
    ]);
    assert!(ActiveMechanisms::at_balancer(&shared, 250, None).orders_requests);
    assert!(ActiveMechanisms::at_agent(&shared, other_service()).orders_requests);
    assert!(!ActiveMechanisms::at_agent(&shared, main_service()).orders_requests);
}

#[test]
fn a_link_is_paced_when_it_saturates_before_the_processor() {
    let any = configuration(vec![route(1, 2, 10_000)]);
    assert!(ActiveMechanisms::at_balancer(&any, 120, Some(10_000)).paces_link);
    assert!(!ActiveMechanisms::at_balancer(&any, 120, Some(200_000)).paces_link);
    assert!(!ActiveMechanisms::at_balancer(&any, 120, None).paces_link);
}
