//! Flows that were opened through another balancer, or at a target other than the one
//! that this balancer believes to hold them.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{AgentAction, ForwardDecision, TargetPacketDecision};
use woodladder_core::flow::message::{
    ForwardPurpose, PeerMessage, TargetLoad, TargetReport, TargetState,
};
use woodladder_core::flow::packet::PacketKind;

/// An agent that has restarted lets its target decide, so its denial comes without the
/// packet. The balancer presumed the flow to be there because it had sent the first
/// opening there, while a copy sent through another balancer opened the flow elsewhere.
#[test]
fn a_flow_that_its_presumed_holder_denies_is_searched_for() {
    let mut balancer = balancer(&[2, 3]);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let presumed = receivers(&routing)[0];
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_050));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    let number = presumed.ip().octets()[3];
    deliver_message(&mut balancer, number, denial, at(10_060));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_260));
    let asked = receivers(&routing);
    assert_eq!(asked.len(), 1, "{routing:?}");
    assert!(!asked.contains(&presumed));
}

/// A caller acknowledges within two seconds of its opening. If a packet comes later and
/// this balancer never saw an acceptance, the flow was opened through another balancer.
#[test]
fn an_old_opening_does_not_identify_the_holder_of_the_flow() {
    let mut balancer = balancer(&[2, 3]);
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    for now in (10_100..=13_000).step_by(100) {
        for agent in [2, 3] {
            deliver_report(&mut balancer, agent, &report(agent, now), at(now));
        }
    }
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(13_010));
    assert_eq!(receivers(&routing).len(), 2, "{routing:?}");
}

/// Two targets accepted, one of them through another balancer. The caller's
/// acknowledgement shows that it chose the one that this balancer does not know of.
#[test]
fn an_acceptance_that_the_callers_acknowledgement_does_not_match_is_not_chosen() {
    let mut balancer = balancer(&[2, 3]);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let accepting = receivers(&routing)[0].ip().octets()[3];
    let accepted = PeerMessage::Accepted {
        key: flow(1),
        sequence: 4_000_000_000,
        incarnation: None,
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, accepting, accepted, at(10_020));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_050));
    assert_eq!(receivers(&routing).len(), 2, "{routing:?}");
}

/// An opening waits here for a target while a copy of it opens the flow through another
/// balancer.
#[test]
fn a_flow_that_opened_elsewhere_while_its_opening_waits_is_searched_for() {
    let mut balancer = balancer(&[2]);
    let leaving = TargetReport {
        state: TargetState::Leaving,
        ..report(2, 2)
    };
    deliver_report(&mut balancer, 2, &leaving, at(10_010));
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_020));
    assert!(receivers(&routing).is_empty());
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_300));
    assert_eq!(receivers(&routing), vec![node(2)]);
}

/// An opening waits at an agent while a copy of it opens the flow through another
/// balancer: the agent that has the opening must not count as the holder.
#[test]
fn a_flow_that_opened_elsewhere_while_its_opening_waits_at_an_agent_is_searched_for() {
    let mut balancer = balancer(&[2, 3]);
    let asked = receivers(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_020),
    ));
    let queued = PeerMessage::Queued {
        key: flow(1),
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, asked[0].ip().octets()[3], queued, at(10_025));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_300));
    assert_eq!(receivers(&routing).len(), 2, "{routing:?}");
}

/// The target accepted an opening, but the caller may have chosen another target.
#[test]
fn an_agent_does_not_claim_a_flow_that_its_target_has_only_accepted() {
    let mut agent = agent();
    forward_to(&mut agent, &open_header(1), &opening(flow(1), 0), at(10));
    let accept = packet(flow(1), PacketKind::Accept, 5000, 1001, 0);
    agent.handle_target_packet(&accept, None, at(11));
    let mut actions = Vec::new();
    let query = PeerMessage::Locate {
        keys: vec![flow(1)],
    };
    agent.handle_message(node(3), &query, at(20), &mut actions);
    let expected = AgentAction::Send {
        to: node(3),
        message: PeerMessage::MayBeHeld {
            keys: vec![flow(1)],
        },
    };
    assert_eq!(actions, vec![expected]);

    let search = header(1, ForwardPurpose::Search);
    let delivery = forward_from(&mut agent, 3, &search, &data(flow(1), 1001, 9001), at(30));
    let ForwardDecision::Deliver { reply: None, .. } = delivery else {
        panic!("{delivery:?}");
    };
    assert_eq!(agent.load().opening, 0);
    let departure = agent.handle_target_packet(&data(flow(1), 1001, 9001), Some(node(3)), at(31));
    assert!(matches!(
        departure,
        TargetPacketDecision::Returned {
            message: PeerMessage::NotHeld { .. },
            ..
        }
    ));
}

#[test]
fn an_accepted_flow_that_is_searched_for_is_claimed_when_its_target_answers() {
    let mut agent = agent();
    forward_to(&mut agent, &open_header(1), &opening(flow(1), 0), at(10));
    let accept = packet(flow(1), PacketKind::Accept, 5000, 1001, 0);
    agent.handle_target_packet(&accept, None, at(11));
    let search = header(1, ForwardPurpose::Search);
    forward_from(&mut agent, 3, &search, &data(flow(1), 1001, 5001), at(30));
    let departure = agent.handle_target_packet(&data(flow(1), 5001, 1101), None, at(70));
    let TargetPacketDecision::ToCaller(Some((to, PeerMessage::Located { .. }))) = departure else {
        panic!("{departure:?}");
    };
    assert_eq!(to, node(3));
    assert_eq!(agent.load().flows, 1);
}
