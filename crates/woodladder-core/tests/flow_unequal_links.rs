//! Balancers of one zone with equal processors and unequal links: the capacity of a
//! machine is bounded by its processor or its link, whichever allows less.

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
const CPU_MILLICORES: u32 = 300;
/// Link rate in kilobits per second.
const SLOW_LINK_KBPS: u32 = 10_000;
/// Link rate in kilobits per second.
const FAST_LINK_KBPS: u32 = 200_000;

fn hello(zone: &str, link_rate_kbps: u32) -> BalancerHello {
    BalancerHello {
        zone: ZoneKey::named(zone),
        cpu_millicores: CPU_MILLICORES,
        link_rate_kbps: Some(link_rate_kbps),
        ..peer_hello()
    }
}

/// A balancer on machine 1 that is able to serve.
fn balancer_behind(link_rate_kbps: u32) -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores: CPU_MILLICORES,
        link_rate_kbps: Some(link_rate_kbps),
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    deliver_report(&mut balancer, 9, &report(9, 1), at(10_000));
    balancer
}

fn receive_hello(balancer: &mut Balancer, from: u8, hello: BalancerHello) -> Vec<BalancerAction> {
    deliver_message(balancer, from, PeerMessage::Hello(hello), at(10_000))
}

fn first_routing(balancer: &mut Balancer) -> Routing {
    let mut actions = Vec::new();
    balancer.tick(at(10_010), &mut actions);
    deliver_caller_packet(balancer, &opening(flow(1), 0), at(10_020))
}

#[test]
fn a_link_bounds_the_usable_processor() {
    assert_eq!(usable_capacity(300, Some(SLOW_LINK_KBPS)), 31);
    assert_eq!(usable_capacity(300, Some(FAST_LINK_KBPS)), 300);
    assert_eq!(usable_capacity(300, None), 300);
    assert_eq!(usable_capacity(1000, Some(1_000_000)), 1000);
}

#[test]
fn a_balancer_on_a_slow_link_stands_by_where_fast_ones_serve_more_without_it() {
    let mut balancer = balancer_behind(SLOW_LINK_KBPS);
    for fast in [2, 3] {
        receive_hello(&mut balancer, fast, hello("a", FAST_LINK_KBPS));
    }
    receive_hello(&mut balancer, 4, hello("a", SLOW_LINK_KBPS));
    assert_eq!(
        balancer.check_ready(at(10_010)),
        Err(NotReadyReason::Standby)
    );

    let mut equal = balancer_behind(FAST_LINK_KBPS);
    for fast in [2, 3, 4] {
        receive_hello(&mut equal, fast, hello("a", FAST_LINK_KBPS));
    }
    assert_eq!(equal.check_ready(at(10_010)), Ok(()));
}

#[test]
fn a_balancer_on_a_slow_link_relays_to_one_on_a_fast_link() {
    let mut balancer = balancer_behind(SLOW_LINK_KBPS);
    receive_hello(&mut balancer, 2, hello("a", SLOW_LINK_KBPS));
    receive_hello(&mut balancer, 3, hello("a", FAST_LINK_KBPS));
    assert_eq!(first_routing(&mut balancer), Routing::Relay(node(3)));
}

#[test]
fn a_fast_link_of_another_zone_is_preferred_to_deciding_on_a_slow_link() {
    let mut balancer = balancer_behind(SLOW_LINK_KBPS);
    receive_hello(&mut balancer, 2, hello("a", SLOW_LINK_KBPS));
    receive_hello(&mut balancer, 3, hello("b", FAST_LINK_KBPS));
    assert_eq!(first_routing(&mut balancer), Routing::Relay(node(3)));
}

#[test]
fn with_equal_links_each_balancer_decides_itself() {
    let mut balancer = balancer_behind(FAST_LINK_KBPS);
    receive_hello(&mut balancer, 2, hello("a", FAST_LINK_KBPS));
    let routing = first_routing(&mut balancer);
    assert_eq!(receivers(&routing), vec![node(9)]);
    assert!(!matches!(routing, Routing::Relay(_)));
}
