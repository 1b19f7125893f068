//! Flows that a balancer does not know are found at their target, and reset
//! only when it is known that no target holds them.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::Delivery;
use woodladder_core::flow::balancer::BalancerAction;
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage};

/// A machine that was just added runs its agent before its target: a packet
/// handed to the target's port then is answered with a reset by the machine,
/// which would break a flow that another target holds.
#[test]
fn a_new_agent_hands_no_unknown_flow_to_a_target_that_was_never_heard() {
    let mut agent = empty_agent();
    let purpose = ForwardPurpose::Search { ask_target: true };
    let delivery = agent.forwarded(node(1), &header(1, purpose), &data(flow(1), 1, 1), at(10));
    assert_eq!(delivery, Delivery::Drop);
}

#[test]
fn a_restarted_agent_hands_unknown_flows_to_a_target_that_was_heard() {
    let mut agent = empty_agent();
    agent.heartbeat(&beat(1, 20), at(5)).expect("heartbeat");
    let purpose = ForwardPurpose::Search { ask_target: true };
    let delivery = agent.forwarded(node(1), &header(1, purpose), &data(flow(1), 1, 1), at(10));
    assert!(is_delivered(&delivery));
}

#[test]
fn a_restarted_agent_hands_on_what_a_balancer_knows_to_be_held() {
    let mut agent = empty_agent();
    let purpose = ForwardPurpose::Established;
    let delivery = agent.forwarded(node(1), &header(1, purpose), &data(flow(1), 1, 1), at(10));
    assert!(is_delivered(&delivery));
}

#[test]
fn an_agent_that_saw_its_target_begin_denies_what_it_does_not_know() {
    let mut agent = agent();
    let purpose = ForwardPurpose::Search { ask_target: true };
    let delivery = agent.forwarded(node(1), &header(1, purpose), &data(flow(1), 1, 1), at(10));
    assert!(matches!(
        delivery,
        Delivery::Answer(PeerMessage::NotHeld { .. }, _)
    ));
}

#[test]
fn a_flow_is_found_by_asking_every_target_at_once() {
    let mut balancer = balancer(&[2, 3, 4]);
    let routing = balancer.caller_packet(&data(flow(1), 1, 77), at(10_050));
    assert_eq!(receivers(&routing).len(), 3);
    let located = PeerMessage::Located {
        key: flow(1),
        incarnation: None,
    };
    send(&mut balancer, 3, located, at(10_060));
    let routing = balancer.caller_packet(&data(flow(1), 101, 77), at(10_070));
    assert_eq!(receivers(&routing), vec![node(3)]);
}

#[test]
fn a_flow_that_every_target_denies_is_reset_with_the_callers_number() {
    let mut balancer = balancer(&[2, 3]);
    balancer.caller_packet(&data(flow(1), 1, 77), at(10_050));
    let denial = PeerMessage::NotHeld { key: flow(1) };
    assert!(send(&mut balancer, 2, denial.clone(), at(10_060)).is_empty());
    let actions = send(&mut balancer, 3, denial, at(10_061));
    let [BalancerAction::Reset(reset)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!((reset.key, reset.sequence), (flow(1), 77));
}

#[test]
fn a_flow_is_not_reset_while_one_target_has_not_denied() {
    let mut balancer = balancer(&[2, 3]);
    balancer.caller_packet(&data(flow(1), 1, 77), at(10_050));
    let denial = PeerMessage::NotHeld { key: flow(1) };
    for _ in 0..3 {
        let actions = send(&mut balancer, 2, denial.clone(), at(10_060));
        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn a_balancer_that_has_just_started_resets_no_flow() {
    let mut balancer = empty_balancer();
    balancer.configuration(configuration(1));
    tell(&mut balancer, 2, &report(2, 1), at(100));
    balancer.caller_packet(&data(flow(1), 1, 77), at(200));
    let denial = PeerMessage::NotHeld { key: flow(1) };
    let actions = send(&mut balancer, 2, denial, at(210));
    assert!(actions.is_empty(), "{actions:?}");
}
