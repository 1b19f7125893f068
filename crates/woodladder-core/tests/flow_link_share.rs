//! A balancer on a small link: it queues openings of bulk routes, even while it relays
//! its packets to larger balancers.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, DropReason, Routing,
};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{BalancerHello, PeerMessage, TargetLoad};
use woodladder_core::flow::packet::PacketKind;

/// Payload of a full packet, in bytes.
const FULL_PAYLOAD: u16 = 1200;

/// A balancer of an eighth of a core behind a link of this rate in kilobits per second,
/// ten seconds after its start, which has observed uploads of 40 kilobytes.
fn balancer_behind(link_rate_kbps: Option<u32>) -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores: 120,
        link_rate_kbps,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    deliver_report(&mut balancer, 9, &report(9, 1), at(10_000));
    for port in 1..4 {
        deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_000));
        upload(&mut balancer, port, 33, 10_001);
        finish(&mut balancer, port, 10_002);
    }
    deliver_caller_packet(&mut balancer, &opening(flow(4), 0), at(11_100));
    finish(&mut balancer, 4, 11_101);
    deliver_report(&mut balancer, 9, &report(9, 2), at(11_190));
    balancer
}

fn upload(balancer: &mut Balancer, port: u16, packets: u32, now: u64) {
    for number in 0..packets {
        let sequence = 1001 + number * u32::from(FULL_PAYLOAD);
        let data = packet(flow(port), PacketKind::Data, sequence, 5001, FULL_PAYLOAD);
        deliver_caller_packet(balancer, &data, at(now));
    }
}

fn finish(balancer: &mut Balancer, port: u16, now: u64) {
    let finish = packet(flow(port), PacketKind::Finish, 50_000, 5001, 0);
    deliver_caller_packet(balancer, &finish, at(now));
}

/// Opens flows until one is queued; returns those that were forwarded.
fn open_until_one_is_queued(balancer: &mut Balancer, now: u64) -> Vec<u16> {
    let mut forwarded_ports = Vec::new();
    for port in 100..200 {
        let routing = deliver_caller_packet(balancer, &opening(flow(port), 0), at(now));
        if routing == Routing::Drop(DropReason::LinkShared) {
            return forwarded_ports;
        }
        forwarded_ports.push(port);
    }
    panic!("no opening was queued");
}

fn release(balancer: &mut Balancer, now: u64) -> Vec<BalancerAction> {
    let mut actions = Vec::new();
    balancer.release_openings(at(now), &mut actions);
    actions
}

#[test]
fn no_opening_is_queued_on_a_fast_link_or_one_of_unknown_rate() {
    for link_rate_kbps in [None, Some(200_000), Some(1_000_000)] {
        let mut balancer = balancer_behind(link_rate_kbps);
        for port in 100..150 {
            let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(11_200));
            let is_queued = Routing::Drop(DropReason::LinkShared);
            assert_ne!(routing, is_queued, "{link_rate_kbps:?}");
        }
        assert!(balancer.paced_link().is_none());
    }
}

#[test]
fn a_queued_opening_goes_to_a_target_when_a_flow_before_it_ends() {
    let mut balancer = balancer_behind(Some(10_000));
    let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_200);
    assert_eq!(balancer.counters().openings_deferred_for_link, 1);
    assert!(!balancer.can_release_openings());
    assert!(release(&mut balancer, 11_210).is_empty());
    finish(&mut balancer, forwarded_ports[0], 11_220);
    assert!(balancer.can_release_openings());
    let actions = release(&mut balancer, 11_220);
    let forwarded = matches!(&actions[..], [BalancerAction::Forward { to, .. }] if *to == node(9));
    assert!(forwarded, "{actions:?}");
}

#[test]
fn a_balancer_that_relays_its_packets_queues_openings_too() {
    let mut balancer = balancer_behind(Some(10_000));
    let larger = BalancerHello {
        cpu_millicores: 500,
        link_rate_kbps: Some(200_000),
        ..peer_hello()
    };
    deliver_message(&mut balancer, 2, PeerMessage::Hello(larger), at(11_190));
    let mut actions = Vec::new();
    balancer.tick(at(11_195), &mut actions);
    let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_200);
    finish(&mut balancer, forwarded_ports[0], 11_220);
    let actions = release(&mut balancer, 11_220);
    let relayed = matches!(&actions[..], [BalancerAction::Relay { to, .. }] if *to == node(2));
    assert!(relayed, "{actions:?}");
}

#[test]
fn an_opening_queued_until_the_end_of_its_attempt_is_reset_and_counted() {
    let mut balancer = balancer_behind(Some(10_000));
    let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_200);
    let flows = balancer.flow_count();
    for now in (11_200..12_390).step_by(40) {
        for port in &forwarded_ports {
            upload(&mut balancer, *port, 1, now);
        }
    }
    let actions = release(&mut balancer, 12_400);
    let is_reset = matches!(&actions[..], [BalancerAction::Reset(_)]);
    assert!(is_reset, "{actions:?}");
    assert_eq!(balancer.counters().openings_refused_for_link, 1);
    assert_eq!(balancer.flow_count(), flows);
}

/// Target 9 accepts a flow.
fn accept(balancer: &mut Balancer, port: u16, now: u64) {
    let accepted = PeerMessage::Accepted {
        key: flow(port),
        sequence: 5000,
        incarnation: None,
        load: TargetLoad::default(),
    };
    deliver_message(balancer, 9, accepted, at(now));
}

#[test]
fn a_queued_opening_is_not_forwarded_when_its_flow_was_opened_elsewhere() {
    let mut balancer = balancer_behind(Some(10_000));
    let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_200);
    let queued_port = forwarded_ports[forwarded_ports.len() - 1] + 1;
    upload(&mut balancer, queued_port, 1, 11_210);
    for port in &forwarded_ports {
        finish(&mut balancer, *port, 11_220);
    }
    let actions = release(&mut balancer, 11_300);
    assert!(actions.is_empty(), "{actions:?}");
    assert!(!balancer.has_openings_waiting_for_link());
}

#[test]
fn a_late_duplicate_of_an_open_flows_opening_neither_opens_nor_resets_it() {
    for release_at in [11_500, 12_800] {
        let mut balancer = balancer_behind(Some(10_000));
        deliver_caller_packet(&mut balancer, &opening(flow(50), 0), at(11_200));
        accept(&mut balancer, 50, 11_201);
        upload(&mut balancer, 50, 1, 11_202);
        let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_300);
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(50), 0), at(11_301));
        assert_eq!(routing, Routing::Drop(DropReason::LinkShared));
        for now in (11_310..release_at).step_by(40) {
            for port in &forwarded_ports {
                upload(&mut balancer, *port, 1, now);
            }
        }
        let flows = balancer.flow_count();
        let actions = release(&mut balancer, release_at + 100);
        let resets_open_flow = |action: &BalancerAction| match action {
            BalancerAction::Reset(reset) => reset.key == flow(50),
            _ => false,
        };
        assert!(!actions.iter().any(resets_open_flow), "{actions:?}");
        // The opening that was queued first.
        assert!(actions.len() <= 1, "{actions:?}");
        assert!(balancer.flow_count() >= flows);
        let data = packet(flow(50), PacketKind::Data, 2201, 5001, FULL_PAYLOAD);
        let routing = deliver_caller_packet(&mut balancer, &data, at(release_at + 101));
        assert_eq!(receivers(&routing), vec![node(9)]);
    }
}

#[test]
fn a_duplicate_that_is_refused_at_once_does_not_reset_its_open_flow() {
    let mut balancer = balancer_behind(Some(10_000));
    deliver_caller_packet(&mut balancer, &opening(flow(50), 0), at(11_200));
    accept(&mut balancer, 50, 11_201);
    upload(&mut balancer, 50, 1, 11_202);
    open_until_one_is_queued(&mut balancer, 11_300);
    for port in 200..400 {
        deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(11_300));
    }
    assert!(balancer.counters().openings_refused_for_link > 0);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(50), 0), at(11_301));
    assert_eq!(routing, Routing::Drop(DropReason::LinkShared));
}

#[test]
fn a_new_flow_with_the_key_of_one_that_has_finished_gets_its_turn() {
    let mut balancer = balancer_behind(Some(10_000));
    let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_200);
    let queued_port = forwarded_ports[forwarded_ports.len() - 1] + 1;
    finish(&mut balancer, queued_port, 11_201);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(4), 0), at(11_202));
    assert_eq!(routing, Routing::Drop(DropReason::LinkShared));
    finish(&mut balancer, forwarded_ports[0], 11_220);
    let actions = release(&mut balancer, 11_220);
    let forwarded = matches!(&actions[..], [BalancerAction::Forward { to, .. }] if *to == node(9));
    assert!(forwarded, "{actions:?}");
}

#[test]
fn an_opening_queued_past_the_timeout_of_its_route_is_counted() {
    let mut balancer = balancer_behind(Some(10_000));
    let mut hurried = (*configuration(2)).clone();
    hurried.routes[0].terms.timeout_ms = 500;
    balancer.adopt_store_configuration(std::sync::Arc::new(hurried));
    let forwarded_ports = open_until_one_is_queued(&mut balancer, 11_200);
    for now in (11_200..11_700).step_by(40) {
        for port in &forwarded_ports {
            upload(&mut balancer, *port, 1, now);
        }
    }
    let actions = release(&mut balancer, 11_710);
    let is_reset = matches!(&actions[..], [BalancerAction::Reset(_)]);
    assert!(is_reset, "{actions:?}");
    assert_eq!(balancer.broken_promises().held_past_timeout, 1);
    assert_eq!(balancer.broken_promises().held_untried, 1);
}
