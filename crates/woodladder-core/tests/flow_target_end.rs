//! Flows of targets that have ended are reset, and no others.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::balancer::{BalancerAction, Routing};
use woodladder_core::flow::identity::{Incarnation, NodeAddress};
use woodladder_core::flow::message::{PeerMessage, TargetLoad};

fn accepted(port: u16, sequence: u32) -> PeerMessage {
    PeerMessage::Accepted {
        key: flow(port),
        sequence,
        incarnation: None,
        load: TargetLoad::default(),
    }
}

fn only_receiver(routing: &Routing) -> NodeAddress {
    let list = receivers(routing);
    assert_eq!(list.len(), 1, "{routing:?}");
    list[0]
}

fn number(node: NodeAddress) -> u8 {
    node.ip().octets()[3]
}

#[test]
fn flows_of_a_target_that_was_replaced_are_reset_and_no_others() {
    let mut balancer = balancer(&[2, 3]);
    for port in 1..=4 {
        let to = only_receiver(&deliver_caller_packet(
            &mut balancer,
            &opening(flow(port), 0),
            at(10_010),
        ));
        let acceptance = PeerMessage::Accepted {
            key: flow(port),
            sequence: 5000,
            incarnation: Some(Incarnation(number(to).into())),
            load: TargetLoad::default(),
        };
        deliver_message(&mut balancer, number(to), acceptance, at(10_011));
        deliver_caller_packet(&mut balancer, &data(flow(port), 1001, 5001), at(10_012));
    }
    let mut replaced = report(2, 2);
    replaced.incarnation = Some(Incarnation(99));
    let actions = deliver_report(&mut balancer, 2, &replaced, at(10_050));
    let resets = actions
        .iter()
        .filter(|action| matches!(action, BalancerAction::Reset(reset) if reset.sequence == 5001))
        .count();
    assert_eq!(resets, 2, "{actions:?}");
    assert_eq!(balancer.counters().reset_target_ended, 2);
}

/// A target that has crashed and restarted takes flows before its first heartbeat; its
/// agent reports them with the former incarnation.
#[test]
fn a_flow_opened_after_the_former_incarnation_was_last_heard_is_not_reset() {
    let mut balancer = balancer(&[2]);
    for (port, time) in [(1, 10_010), (2, 10_300)] {
        deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(time));
        let acceptance = PeerMessage::Accepted {
            key: flow(port),
            sequence: 5000,
            incarnation: Some(Incarnation(2)),
            load: TargetLoad::default(),
        };
        deliver_message(&mut balancer, 2, acceptance, at(time + 1));
        deliver_caller_packet(&mut balancer, &data(flow(port), 1001, 5001), at(time + 2));
    }
    let mut replaced = report(2, 2);
    replaced.incarnation = Some(Incarnation(99));
    replaced.previous_heartbeat_age_ms = 200;
    let actions = deliver_report(&mut balancer, 2, &replaced, at(10_400));
    let resets: Vec<u16> = actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Reset(reset) => Some(reset.key.caller.port()),
            _ => None,
        })
        .collect();
    assert_eq!(resets, [1]);
}

#[test]
fn a_stalled_balancer_does_not_take_its_own_pause_for_a_lost_agent() {
    let mut balancer = balancer(&[2, 3]);
    balancer.tick(at(10_010), &mut Vec::new());
    let to = only_receiver(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_011),
    ));
    deliver_message(&mut balancer, number(to), accepted(1, 5000), at(10_012));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_013));
    let mut actions = Vec::new();
    balancer.tick(at(14_000), &mut actions);
    let resets = actions
        .iter()
        .filter(|action| matches!(action, BalancerAction::Reset(_)))
        .count();
    assert_eq!(resets, 0);
}

#[test]
fn flows_of_a_lost_agent_are_reset_while_another_is_heard() {
    let mut balancer = balancer(&[2, 3]);
    balancer.tick(at(10_010), &mut Vec::new());
    let mut port = 0;
    loop {
        port += 1;
        let to = only_receiver(&deliver_caller_packet(
            &mut balancer,
            &opening(flow(port), 0),
            at(10_011),
        ));
        if to == node(2) {
            break;
        }
    }
    deliver_caller_packet(&mut balancer, &data(flow(port), 1001, 5001), at(10_013));
    let mut actions = Vec::new();
    for step in 1..=60 {
        let now = 10_010 + step * 25;
        deliver_report(&mut balancer, 3, &report(3, 1 + step), at(now));
        balancer.tick(at(now), &mut actions);
    }
    let resets: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Reset(reset) => Some(reset.key),
            _ => None,
        })
        .collect();
    assert_eq!(resets, vec![flow(port)]);
}

/// The address of a machine that is gone is reused by a machine of another service.
#[test]
fn flows_of_an_agent_that_changed_its_service_are_reset() {
    let mut balancer = balancer(&[2]);
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let acceptance = PeerMessage::Accepted {
        key: flow(1),
        sequence: 5000,
        incarnation: Some(Incarnation(2)),
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, 2, acceptance, at(10_011));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_012));
    let mut other = report(2, 1);
    other.epoch = 77;
    other.service = other_service();
    other.incarnation = None;
    let actions = deliver_report(&mut balancer, 2, &other, at(10_300));
    let resets: Vec<_> = actions
        .iter()
        .filter(|action| matches!(action, BalancerAction::Reset(_)))
        .collect();
    assert_eq!(resets.len(), 1, "{actions:?}");
}
