//! Balancers of one zone with equal processors and unequal links: what a machine
//! bears is what its processor or its link bears, whichever is less.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::activation::usable_capacity;
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, NotReadyReason, Routing,
};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{BalancerHello, PeerMessage};

/// Processor of each balancer, in thousandths of a core.
const EQUAL: u32 = 300;
/// Kilobits a second.
const NARROW: u32 = 10_000;
/// Kilobits a second.
const WIDE: u32 = 200_000;

fn greeting(zone: &str, link_rate: u32) -> BalancerHello {
    BalancerHello {
        zone: ZoneKey::named(zone),
        cpu_millicores: EQUAL,
        link_rate_kbps: Some(link_rate),
        ..peer_greeting()
    }
}

/// A balancer on machine 1 that could serve.
fn balancer_behind(link_rate: u32) -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores: EQUAL,
        link_rate_kbps: Some(link_rate),
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    deliver_report(&mut balancer, 9, &report(9, 1), at(10_000));
    balancer
}

fn hear(balancer: &mut Balancer, from: u8, greeting: BalancerHello) -> Vec<BalancerAction> {
    deliver_message(balancer, from, PeerMessage::Hello(greeting), at(10_000))
}

fn first_routing(balancer: &mut Balancer) -> Routing {
    let mut actions = Vec::new();
    balancer.tick(at(10_010), &mut actions);
    deliver_caller_packet(balancer, &opening(flow(1), 0), at(10_020))
}

#[test]
fn a_link_bounds_the_processor_that_can_be_used() {
    assert_eq!(usable_capacity(300, Some(NARROW)), 31);
    assert_eq!(usable_capacity(300, Some(WIDE)), 300);
    assert_eq!(usable_capacity(300, None), 300);
    assert_eq!(usable_capacity(1000, Some(1_000_000)), 1000);
}

#[test]
fn a_narrow_link_stands_by_where_wide_ones_bear_more_without_it() {
    let mut balancer = balancer_behind(NARROW);
    for wide in [2, 3] {
        hear(&mut balancer, wide, greeting("a", WIDE));
    }
    hear(&mut balancer, 4, greeting("a", NARROW));
    assert_eq!(
        balancer.check_ready(at(10_010)),
        Err(NotReadyReason::Standby)
    );

    let mut even = balancer_behind(WIDE);
    for wide in [2, 3, 4] {
        hear(&mut even, wide, greeting("a", WIDE));
    }
    assert_eq!(even.check_ready(at(10_010)), Ok(()));
}

#[test]
fn a_balancer_behind_a_narrow_link_leaves_decisions_and_searches_to_a_wide_one() {
    let mut balancer = balancer_behind(NARROW);
    hear(&mut balancer, 2, greeting("a", NARROW));
    hear(&mut balancer, 3, greeting("a", WIDE));
    assert_eq!(first_routing(&mut balancer), Routing::Relay(node(3)));
}

#[test]
fn a_wide_one_of_another_zone_comes_before_deciding_behind_a_narrow_link() {
    let mut balancer = balancer_behind(NARROW);
    hear(&mut balancer, 2, greeting("a", NARROW));
    hear(&mut balancer, 3, greeting("b", WIDE));
    assert_eq!(first_routing(&mut balancer), Routing::Relay(node(3)));
}

#[test]
fn with_equal_links_each_decides_itself() {
    let mut balancer = balancer_behind(WIDE);
    hear(&mut balancer, 2, greeting("a", WIDE));
    let routing = first_routing(&mut balancer);
    assert_eq!(receivers(&routing), vec![node(9)]);
    assert!(!matches!(routing, Routing::Relay(_)));
}
