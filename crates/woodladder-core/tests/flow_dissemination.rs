//! How a configuration reaches all nodes with few transfers between zones.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, OTHER_ZONE_FETCH_DELAY,
};
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::{BalancerHello, PeerMessage, TargetReport};

/// Number of balancers in the tested zone.
const ZONE_SIZE: u8 = 20;
/// Balancers of another zone.
const FAR: [u8; 2] = [100, 101];

fn hello_of(zone: &str, version: u64) -> BalancerHello {
    BalancerHello {
        zone: ZoneKey::named(zone),
        version,
        ..peer_hello()
    }
}

/// The balancers of a zone, each of which knows all others and version 1.
fn zone() -> impl Iterator<Item = Balancer> {
    (1..=ZONE_SIZE).map(member)
}

fn member(number: u8) -> Balancer {
    let options = BalancerOptions {
        address: node(number),
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    for other in (1..=ZONE_SIZE).filter(|other| *other != number) {
        deliver_hello(&mut balancer, other, hello_of("a", 1), 10_000);
        // Ends the snapshot fetch that it started when it found this balancer.
        balancer.handle_snapshot_failure(node(other));
    }
    for far in FAR {
        deliver_hello(&mut balancer, far, hello_of("b", 1), 10_000);
        balancer.handle_snapshot_failure(node(far));
    }
    balancer
}

fn deliver_hello(
    balancer: &mut Balancer,
    from: u8,
    hello: BalancerHello,
    now: u64,
) -> Vec<BalancerAction> {
    deliver_message(balancer, from, PeerMessage::Hello(hello), at(now))
}

fn fetches_from(actions: &[BalancerAction], node: NodeAddress) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, BalancerAction::FetchSnapshot { from, .. } if *from == node))
}

#[test]
fn only_three_balancers_of_a_zone_fetch_from_another_zone_at_once() {
    let fetching = zone()
        .map(|mut balancer| deliver_hello(&mut balancer, 100, hello_of("b", 2), 10_100))
        .filter(|actions| fetches_from(actions, node(100)))
        .count();
    assert_eq!(fetching, 3);
}

#[test]
fn the_others_fetch_from_their_own_zone_at_once_or_from_any_zone_after_a_delay() {
    let waits = |(_, balancer): &mut (u8, Balancer)| {
        let actions = deliver_hello(balancer, 100, hello_of("b", 2), 10_100);
        !fetches_from(&actions, node(100))
    };
    let mut others: Vec<(u8, Balancer)> = (1..=ZONE_SIZE).zip(zone()).collect();
    others.retain_mut(waits);
    assert_eq!(others.len(), usize::from(ZONE_SIZE) - 3);
    let later = 10_100 + u64::try_from(OTHER_ZONE_FETCH_DELAY.as_millis()).expect("time");
    for (number, mut balancer) in others {
        let mut asks_near = balancer.clone();
        let neighbor = number % ZONE_SIZE + 1;
        let actions = deliver_hello(&mut asks_near, neighbor, hello_of("a", 2), 10_150);
        assert!(fetches_from(&actions, node(neighbor)));
        let actions = deliver_hello(&mut balancer, 101, hello_of("b", 2), later - 1);
        assert!(!fetches_from(&actions, node(101)));
        let actions = deliver_hello(&mut balancer, 101, hello_of("b", 2), later);
        assert!(fetches_from(&actions, node(101)));
    }
}

/// Agents rarely get a hello in a large fleet, so one balancer of the zone informs each
/// of them as soon as it knows the new version.
#[test]
fn each_agent_of_a_zone_is_informed_by_one_of_its_balancers() {
    let mut hellos_received = vec![0; 10];
    for mut balancer in zone() {
        for agent in 0..10 {
            let report = TargetReport {
                zone: ZoneKey::named("a"),
                ..report(150 + agent, 1)
            };
            deliver_report(&mut balancer, 150 + agent, &report, at(10_100));
        }
        balancer.tick(at(10_110), &mut Vec::new());
        balancer.adopt_store_configuration(configuration(2));
        let mut actions = Vec::new();
        balancer.tick(at(10_120), &mut actions);
        for action in actions {
            if let BalancerAction::Send {
                to,
                message: PeerMessage::Hello(hello),
            } = action
            {
                let number = to.ip().octets()[3];
                if (150..160).contains(&number) {
                    assert_eq!(hello.version, 2);
                    hellos_received[usize::from(number - 150)] += 1;
                }
            }
        }
    }
    assert_eq!(hellos_received, vec![1; 10]);
}
