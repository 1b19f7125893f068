//! The terms that balancers send with openings, derived from their routes.

mod flow_support;

use std::sync::Arc;

use flow_support::*;
use woodladder_core::flow::balancer::{Balancer, BalancerAction, Routing};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::message::{ForwardPurpose, OpeningTerms, TargetReport, TargetState};

/// Route with a higher priority than route 1.
const URGENT_ROUTE: u8 = 2;
/// Route whose requests may take longer than those of route 1.
const RELAXED_ROUTE: u8 = 3;

fn route(number: u8, priority: u8, aim_ms: u32) -> Route {
    Route {
        address: route_address(number),
        parts: vec![RoutePart {
            service: main_service(),
            weight: 1,
        }],
        terms: RouteTerms {
            priority,
            aim_ms,
            ..RouteTerms::default()
        },
    }
}

fn balancer_of(routes: Vec<Route>) -> Balancer {
    let mut balancer = balancer(&[2]);
    balancer.adopt_store_configuration(Arc::new(Configuration {
        services: Vec::new(),
        version: 2,
        routes,
        idle_timeout_ms: 15_000,
    }));
    balancer
}

fn terms_on(balancer: &mut Balancer, route: u8, port: u16) -> OpeningTerms {
    let key = FlowKey {
        service: route_address(route),
        ..flow(port)
    };
    match deliver_caller_packet(balancer, &opening(key, 0), at(10_010)) {
        Routing::One { header, .. } => match header.purpose {
            ForwardPurpose::Open(terms) => terms,
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_opening_is_urgent_when_another_route_of_its_service_has_a_lower_priority() {
    let routes = vec![
        route(1, 2, 300),
        route(URGENT_ROUTE, 1, 300),
        route(RELAXED_ROUTE, 2, 800),
    ];
    let mut balancer = balancer_of(routes);
    assert!(!terms_on(&mut balancer, 1, 1).is_urgent);
    assert!(terms_on(&mut balancer, URGENT_ROUTE, 2).is_urgent);
    assert!(!terms_on(&mut balancer, RELAXED_ROUTE, 3).is_urgent);
}

#[test]
fn an_opening_states_the_response_time_goal_of_its_own_route() {
    let mut balancer = balancer_of(vec![route(1, 2, 300), route(RELAXED_ROUTE, 2, 800)]);
    assert_eq!(terms_on(&mut balancer, 1, 1).aim_ms, 300);
    assert_eq!(terms_on(&mut balancer, RELAXED_ROUTE, 2).aim_ms, 800);
}

#[test]
fn no_opening_is_urgent_when_all_routes_have_one_priority() {
    let mut balancer = balancer_of(vec![route(1, 2, 300), route(RELAXED_ROUTE, 2, 800)]);
    assert!(!terms_on(&mut balancer, 1, 1).is_urgent);
    assert!(!terms_on(&mut balancer, RELAXED_ROUTE, 2).is_urgent);
}

#[test]
fn an_opening_without_a_target_is_refused_when_its_answer_would_be_too_late() {
    let mut short_timeout_route = route(1, 2, 300);
    short_timeout_route.terms.timeout_ms = 500;
    let mut balancer = balancer_of(vec![short_timeout_route, route(RELAXED_ROUTE, 2, 300)]);
    let leaving = TargetReport {
        state: TargetState::Leaving,
        ..report(2, 2)
    };
    deliver_report(&mut balancer, 2, &leaving, at(10_000));
    for number in [1, RELAXED_ROUTE] {
        let key = FlowKey {
            service: route_address(number),
            ..flow(9)
        };
        deliver_caller_packet(&mut balancer, &opening(key, 0), at(10_010));
    }
    let mut resets = |now| {
        let mut actions = Vec::new();
        balancer.tick(at(now), &mut actions);
        let resets = actions.iter().filter_map(|action| match action {
            BalancerAction::Reset(reset) => Some(reset.key.service),
            _ => None,
        });
        resets.collect::<Vec<_>>()
    };
    assert_eq!(resets(10_500), []);
    assert_eq!(resets(10_510), [route_address(1)]);
    assert_eq!(resets(11_000), []);
}
