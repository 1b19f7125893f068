//! Flows that carry many bytes stay in their zone up to a higher load.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::balancer::Balancer;
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::TargetReport;
use woodladder_core::flow::route_traffic::RouteTraffic;

/// Machine of the target in the balancer's zone.
const NEAR: u8 = 2;
/// Machine of the target in another zone.
const FAR: u8 = 3;

/// A balancer whose near target of seven slots has `busy` requests in progress, while the
/// far one is idle.
fn balancer_with_busy_near_target(busy: u16) -> Balancer {
    let mut balancer = balancer(&[NEAR]);
    let mut near = report(NEAR, 2);
    near.load.busy = busy;
    deliver_report(&mut balancer, NEAR, &near, at(10_000));
    let far = TargetReport {
        zone: ZoneKey::named("b"),
        ..report(FAR, 1)
    };
    deliver_report(&mut balancer, FAR, &far, at(10_000));
    balancer
}

/// Makes the route's flows carry this many packets of 1,200 bytes each.
fn carry_bytes(balancer: &mut Balancer, packets: u16) {
    const BYTES: [u8; 1200] = [0; 1200];
    let first = opening(flow(1), 0);
    balancer.route_caller_packet(&first, &BYTES, at(10_001));
    for _ in 1..packets {
        balancer.route_caller_packet(&data(flow(1), 1, 1), &BYTES, at(10_002));
    }
}

fn select_target(balancer: &mut Balancer, port: u16) -> NodeAddress {
    receivers(&deliver_caller_packet(
        balancer,
        &opening(flow(port), 0),
        at(10_010),
    ))[0]
}

#[test]
fn a_flow_of_few_bytes_goes_to_the_less_loaded_target_of_another_zone() {
    let mut balancer = balancer_with_busy_near_target(3);
    carry_bytes(&mut balancer, 1);
    assert_eq!(select_target(&mut balancer, 2), node(FAR));
}

#[test]
fn a_flow_of_many_bytes_stays_in_its_zone_while_a_slot_is_free() {
    let mut balancer = balancer_with_busy_near_target(3);
    carry_bytes(&mut balancer, 30);
    assert_eq!(select_target(&mut balancer, 2), node(NEAR));
}

#[test]
fn a_full_target_gets_no_flow_however_many_bytes_the_flow_carries() {
    let mut balancer = balancer_with_busy_near_target(14);
    carry_bytes(&mut balancer, 2000);
    assert_eq!(select_target(&mut balancer, 2), node(FAR));
}

#[test]
fn bytes_of_earlier_flows_count_for_less() {
    let route = route_address(1);
    let mut traffic = RouteTraffic::default();
    for length in [[40_000; 400], [1_000; 400]].concat() {
        traffic.count_flow(route);
        traffic.count_bytes(route, length);
    }
    let mean = traffic.bytes_per_flow(route);
    assert!((1_000..6_000).contains(&mean), "{mean}");
}

#[test]
fn a_removed_route_is_forgotten() {
    let mut traffic = RouteTraffic::default();
    traffic.count_flow(route_address(1));
    traffic.count_bytes(route_address(1), 900);
    traffic.retain(|_| false);
    assert_eq!(traffic.bytes_per_flow(route_address(1)), 0);
}
