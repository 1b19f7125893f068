//! Balancers of very different sizes in one zone: which of them are ready, and how the
//! small ones relay packets.

mod flow_support;

use std::collections::BTreeSet;
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, NotReadyReason, Routing,
};
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::{BalancerHello, PeerMessage};
use woodladder_core::flow::zone_members::{ZoneMember, ZoneMembers, ready_set_size};

const LARGE: u32 = 500;
const SMALL: u32 = 12;

fn hello(zone: &str, cpu_millicores: u32) -> BalancerHello {
    BalancerHello {
        zone: ZoneKey::named(zone),
        cpu_millicores,
        link_rate_kbps: None,
        ..peer_hello()
    }
}

/// A balancer on machine 1 that is ready unless its size prevents it.
fn balancer_of(cpu_millicores: u32) -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores,
        link_rate_kbps: None,
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

fn hear(balancer: &mut Balancer, from: u8, hello: BalancerHello, now: u64) {
    deliver_message(balancer, from, PeerMessage::Hello(hello), at(now));
}

fn tick(balancer: &mut Balancer, now: u64) {
    let mut actions = Vec::new();
    balancer.tick(at(now), &mut actions);
}

/// A small balancer in a zone with two large balancers and another small one.
fn small_balancer() -> Balancer {
    let mut balancer = balancer_of(SMALL);
    hear(&mut balancer, 2, hello("a", LARGE), 10_000);
    hear(&mut balancer, 3, hello("a", LARGE), 10_000);
    hear(&mut balancer, 4, hello("a", SMALL), 10_000);
    tick(&mut balancer, 10_000);
    balancer
}

fn relay_receiver(routing: &Routing) -> NodeAddress {
    match routing {
        Routing::Relay(to) => *to,
        other => panic!("not relayed: {other:?}"),
    }
}

#[test]
fn the_set_with_the_highest_capacity_at_equal_shares_is_ready() {
    assert_eq!(ready_set_size(&[500, 500, 12, 12], 4), 2);
    assert_eq!(
        ready_set_size(&[500, 500, 120, 120, 120, 120, 120, 120], 8),
        8
    );
    assert_eq!(ready_set_size(&[250, 250, 250, 250], 4), 4);
    assert_eq!(ready_set_size(&[500, 500, 12, 12, 12], 5), 5);
    assert_eq!(ready_set_size(&[500], 1), 1);
}

#[test]
fn at_least_half_of_the_known_members_are_ready_when_some_are_gone() {
    // Two of six are gone, and half of six are three, so a small one must be ready too.
    assert_eq!(ready_set_size(&[500, 500, 12, 12], 6), 4);
    assert_eq!(ready_set_size(&[500, 12], 4), 2);
    assert_eq!(ready_set_size(&[12], 4), 1);
}

#[test]
fn a_small_balancer_is_on_standby_and_a_large_one_is_not() {
    let balancer = small_balancer();
    assert_eq!(
        balancer.check_ready(at(10_000)),
        Err(NotReadyReason::Standby)
    );
    let mut large = balancer_of(LARGE);
    hear(&mut large, 2, hello("a", LARGE), 10_000);
    hear(&mut large, 3, hello("a", SMALL), 10_000);
    hear(&mut large, 4, hello("a", SMALL), 10_000);
    assert_eq!(large.check_ready(at(10_000)), Ok(()));
}

#[test]
fn a_small_balancer_is_ready_when_a_large_one_leaves_or_falls_silent() {
    let mut leaving = small_balancer();
    let leaving_hello = BalancerHello {
        is_leaving: true,
        ..hello("a", LARGE)
    };
    hear(&mut leaving, 2, leaving_hello, 10_050);
    assert_eq!(leaving.check_ready(at(10_060)), Ok(()));

    let mut silent = small_balancer();
    for now in [10_300, 10_600, 10_900] {
        hear(&mut silent, 3, hello("a", LARGE), now);
        hear(&mut silent, 4, hello("a", SMALL), now);
        deliver_report(&mut silent, 9, &report(9, now), at(now));
    }
    assert_eq!(silent.check_ready(at(10_910)), Ok(()));
}

#[test]
fn balancers_of_other_zones_cause_no_standby() {
    let mut balancer = balancer_of(SMALL);
    hear(&mut balancer, 2, hello("b", LARGE), 10_000);
    hear(&mut balancer, 3, hello("b", LARGE), 10_000);
    assert_eq!(balancer.check_ready(at(10_000)), Ok(()));
}

#[test]
fn a_small_balancer_relays_each_packet_of_a_flow_to_the_same_large_one() {
    let mut balancer = small_balancer();
    for port in 1..50 {
        let first = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_010));
        let later = deliver_caller_packet(&mut balancer, &data(flow(port), 1001, 5001), at(10_020));
        assert_eq!(relay_receiver(&first), relay_receiver(&later));
        assert!([node(2), node(3)].contains(&relay_receiver(&first)));
    }
    assert_eq!(balancer.flow_count(), 0);
    assert_eq!(balancer.counters().relayed_packets, 98);
}

#[test]
fn a_small_balancer_relays_packets_to_another_zone_when_its_own_has_no_large_one() {
    let mut balancer = balancer_of(SMALL);
    hear(&mut balancer, 2, hello("b", LARGE), 10_000);
    hear(&mut balancer, 3, hello("a", SMALL), 10_000);
    tick(&mut balancer, 10_000);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    assert_eq!(relay_receiver(&routing), node(2));
}

#[test]
fn a_small_balancer_decides_itself_when_the_large_ones_are_gone() {
    let mut balancer = small_balancer();
    for now in (10_100..=13_100).step_by(100) {
        deliver_report(&mut balancer, 9, &report(9, now), at(now));
        tick(&mut balancer, now);
    }
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(13_110));
    assert_eq!(receivers(&routing), vec![node(9)]);
}

#[test]
fn a_relaying_balancer_holds_no_flows_and_resets_none_when_an_agent_falls_silent() {
    let mut balancer = balancer_of(SMALL);
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_000));
    assert_eq!(balancer.flow_count(), 1);
    hear(&mut balancer, 2, hello("a", LARGE), 10_010);
    tick(&mut balancer, 10_010);
    deliver_caller_packet(&mut balancer, &data(flow(2), 1001, 5001), at(10_020));
    assert_eq!(balancer.flow_count(), 0);
}

#[test]
fn a_large_balancer_decides_about_a_relayed_packet_and_does_not_relay_it_again() {
    let mut balancer = balancer_of(LARGE);
    hear(&mut balancer, 2, hello("a", LARGE * 8), 10_000);
    tick(&mut balancer, 10_000);
    let actions = deliver_message_with_packet(
        &mut balancer,
        4,
        PeerMessage::Relay,
        &opening(flow(1), 0),
        at(10_010),
    );
    let forwarded = actions
        .iter()
        .any(|action| matches!(action, BalancerAction::Forward { to, .. } if *to == node(9)));
    assert!(forwarded, "{actions:?}");
    assert_eq!(balancer.counters().relayed_packets_received, 1);
}

#[test]
fn a_member_is_removed_after_long_silence_but_kept_through_a_stall() {
    let mut members = ZoneMembers::default();
    let member = ZoneMember {
        cpu_millicores: LARGE,
        link_rate_kbps: None,
        can_serve: true,
    };
    // The period that a larger balancer states to those that relay to it.
    let next_hello_within = Duration::from_millis(150);
    members.record_hello(node(2), member, next_hello_within, at(0));
    members.restart_silence_timers(at(20_000));
    members.tick(at(40_000));
    assert_eq!(members.len(), 1);
    assert_eq!(
        members.serving_with_at_least(SMALL, at(20_449)),
        vec![node(2)]
    );
    assert_eq!(members.serving_with_at_least(SMALL, at(20_450)), vec![]);
    members.tick(at(50_001));
    assert!(members.is_empty());
}

/// Openings at one small balancer went to two large ones, of which only one had adopted a new
/// version: the small balancer's callers saw the newer version and then the older one again.
#[test]
fn openings_are_relayed_to_the_receivers_with_the_newest_configuration() {
    let mut balancer = small_balancer();
    let newer = |zone| BalancerHello {
        version: 2,
        ..hello(zone, LARGE)
    };
    let receivers = |balancer: &mut Balancer| -> BTreeSet<NodeAddress> {
        let ports = 1..=50;
        let relayed = ports.map(|port| {
            let packet = opening(flow(port), 0);
            relay_receiver(&deliver_caller_packet(balancer, &packet, at(10_110)))
        });
        relayed.collect()
    };
    assert_eq!(receivers(&mut balancer), BTreeSet::from([node(2), node(3)]));
    hear(&mut balancer, 3, newer("a"), 10_050);
    tick(&mut balancer, 10_050);
    assert_eq!(receivers(&mut balancer), BTreeSet::from([node(3)]));
    hear(&mut balancer, 2, newer("a"), 10_100);
    tick(&mut balancer, 10_100);
    assert_eq!(receivers(&mut balancer), BTreeSet::from([node(2), node(3)]));
}

/// The receiver of a flow's packets has the flow in its table, whatever its version is.
#[test]
fn packets_of_open_flows_keep_their_receiver_while_the_versions_of_receivers_differ() {
    let mut balancer = small_balancer();
    let receiver = |balancer: &mut Balancer, port| {
        let routing = deliver_caller_packet(balancer, &data(flow(port), 1001, 5001), at(10_060));
        relay_receiver(&routing)
    };
    let before: Vec<NodeAddress> = (1..=50).map(|port| receiver(&mut balancer, port)).collect();
    let newer = BalancerHello {
        version: 2,
        ..hello("a", LARGE)
    };
    hear(&mut balancer, 3, newer, 10_050);
    tick(&mut balancer, 10_050);
    let after: Vec<NodeAddress> = (1..=50).map(|port| receiver(&mut balancer, port)).collect();
    assert_eq!(before, after);
}
