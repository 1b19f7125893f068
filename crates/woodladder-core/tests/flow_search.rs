//! Searches for flows that a balancer does not know: they are located at their target,
//! and reset only when it is proven that no target holds them.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{AgentAction, ForwardDecision, ListenState};
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, MAXIMUM_SEARCHES_PER_ROUND, SEARCH_FANOUT,
};
use woodladder_core::flow::identity::{FlowKey, NodeAddress};
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage};

/// The agent of a machine that was just added runs before its target. If it forwarded a
/// packet to the target's port, the machine would answer with a reset and break a flow
/// that another target holds.
#[test]
fn a_new_agent_forwards_no_unknown_flow_before_its_targets_first_heartbeat() {
    let mut agent = empty_agent();
    let purpose = ForwardPurpose::Search;
    let delivery = forward_to(
        &mut agent,
        &header(1, purpose),
        &data(flow(1), 1, 1),
        at(10),
    );
    assert_eq!(delivery, ForwardDecision::NoReply);
}

#[test]
fn a_restarted_agent_forwards_unknown_flows_after_its_targets_heartbeat() {
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat(1, 20), at(5))
        .expect("heartbeat");
    let purpose = ForwardPurpose::Search;
    let delivery = forward_to(
        &mut agent,
        &header(1, purpose),
        &data(flow(1), 1, 1),
        at(10),
    );
    assert!(is_delivered(&delivery));
}

#[test]
fn a_restarted_agent_forwards_flows_that_a_balancer_knows_to_be_held() {
    let mut agent = empty_agent();
    let purpose = ForwardPurpose::Established;
    let delivery = forward_to(
        &mut agent,
        &header(1, purpose),
        &data(flow(1), 1, 1),
        at(10),
    );
    assert!(is_delivered(&delivery));
}

#[test]
fn an_agent_that_ran_before_its_target_denies_unknown_flows() {
    let mut agent = agent();
    let purpose = ForwardPurpose::Search;
    let delivery = forward_to(
        &mut agent,
        &header(1, purpose),
        &data(flow(1), 1, 1),
        at(10),
    );
    assert!(matches!(
        delivery,
        ForwardDecision::Reply(PeerMessage::NotHeld { .. }, _)
    ));
}

#[test]
fn a_flow_is_located_by_sending_its_packet_to_every_target() {
    let mut balancer = balancer(&[2, 3, 4]);
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    assert_eq!(receivers(&routing).len(), 3);
    let located = PeerMessage::Located {
        key: flow(1),
        incarnation: None,
        heartbeat: 1,
    };
    deliver_message(&mut balancer, 3, located, at(10_610));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 101, 77), at(10_620));
    assert_eq!(receivers(&routing), vec![node(3)]);
}

/// The caller sends nothing meanwhile, so only the queries can decide the search.
#[test]
fn a_search_continues_without_further_packets_of_the_caller() {
    let mut balancer = balancer(&[2, 3]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    let both = vec![(node(2), vec![flow(1)]), (node(3), vec![flow(1)])];
    assert_eq!(queried_at(&mut balancer, 10_725), both);
    deliver_report(&mut balancer, 2, &report(2, 9), at(10_840));
    deliver_report(&mut balancer, 3, &report(3, 9), at(10_840));
    assert_eq!(queried_at(&mut balancer, 10_850), both);
}

/// The agents that a tick queries, with the flows that they are queried about.
fn queried_at(balancer: &mut Balancer, now: u64) -> Vec<(NodeAddress, Vec<FlowKey>)> {
    let mut actions = Vec::new();
    balancer.tick(at(now), &mut actions);
    actions
        .into_iter()
        .filter_map(|action| match action {
            BalancerAction::Send {
                to,
                message: PeerMessage::Locate { keys },
            } => Some((to, keys)),
            _ => None,
        })
        .collect()
}

/// The holder of a flow is nearly always among the first targets, and its target shows
/// that it holds the flow only by an answer to the caller.
#[test]
fn other_agents_are_queried_only_when_the_first_targets_have_had_time_to_answer() {
    let agents: Vec<u8> = (2..=60).collect();
    let mut balancer = balancer(&agents);
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    assert_eq!(receivers(&routing).len(), SEARCH_FANOUT);
    assert_eq!(queried_at(&mut balancer, 10_525), vec![]);
    assert_eq!(queried_at(&mut balancer, 10_690), vec![]);
    assert_eq!(queried_at(&mut balancer, 10_700).len(), agents.len());
}

#[test]
fn other_agents_are_queried_at_once_when_all_first_targets_have_denied() {
    let agents: Vec<u8> = (2..=60).collect();
    let mut balancer = balancer(&agents);
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    for first in receivers(&routing) {
        let denial = PeerMessage::NotHeld {
            keys: vec![flow(1)],
        };
        deliver_message(&mut balancer, first.ip().octets()[3], denial, at(10_502));
    }
    let queried = queried_at(&mut balancer, 10_525);
    assert_eq!(queried.len(), agents.len() - SEARCH_FANOUT);
}

#[test]
fn an_agent_answers_a_query_without_a_packet() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    let query = PeerMessage::Locate {
        keys: vec![flow(1), flow(2)],
    };
    let mut actions = Vec::new();
    agent.handle_message(node(3), &query, at(20), &mut actions);
    let messages: Vec<_> = actions
        .into_iter()
        .map(|action| match action {
            AgentAction::Send { message, .. } => message,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(matches!(messages[0], PeerMessage::Located { key, .. } if key == flow(1)));
    assert_eq!(
        messages[1],
        PeerMessage::NotHeld {
            keys: vec![flow(2)]
        }
    );
}

#[test]
fn an_agent_that_may_not_know_all_flows_answers_that_a_flow_may_be_held() {
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat(1, 20), at(5))
        .expect("heartbeat");
    let keys = vec![flow(1)];
    let query = PeerMessage::Locate { keys: keys.clone() };
    let mut actions = Vec::new();
    agent.handle_message(node(3), &query, at(20), &mut actions);
    let expected = AgentAction::Send {
        to: node(3),
        message: PeerMessage::MayBeHeld { keys },
    };
    assert_eq!(actions, vec![expected]);
}

/// After a power failure, the first heartbeats are sent before the agent listens, so
/// the number of a heartbeat does not show that the target is new.
#[test]
fn an_agent_whose_target_began_after_it_knows_all_flows() {
    let mut agent = empty_agent();
    agent.record_listen_state(ListenState::NotListening);
    agent
        .handle_heartbeat(&heartbeat(1, 4), at(50))
        .expect("heartbeat");
    let purpose = ForwardPurpose::Search;
    let delivery = forward_to(
        &mut agent,
        &header(1, purpose),
        &data(flow(1), 1, 1),
        at(60),
    );
    assert!(matches!(
        delivery,
        ForwardDecision::Reply(PeerMessage::NotHeld { .. }, _)
    ));
}

/// Anyone can send packets of flows that never existed; they must not cause unlimited
/// traffic.
#[test]
fn the_number_of_searches_begun_per_round_is_limited() {
    let mut balancer = balancer(&[2, 3]);
    let mut asked = 0;
    for port in 1..=5000 {
        let routing = deliver_caller_packet(&mut balancer, &data(flow(port), 1, 1), at(10_600));
        asked += u32::from(!receivers(&routing).is_empty());
    }
    assert_eq!(asked, MAXIMUM_SEARCHES_PER_ROUND);
    balancer.tick(at(10_625), &mut Vec::new());
    let routing = deliver_caller_packet(&mut balancer, &data(flow(6000), 1, 1), at(10_630));
    assert_eq!(receivers(&routing).len(), 2, "the next tick allows more");
}

/// An agent that has restarted must let its target decide, for which it needs a packet.
/// If a service has more targets than one packet is copied to, the next packet goes to
/// those that have not denied the flow.
#[test]
fn further_packets_go_to_other_targets_that_have_not_denied() {
    let agents: Vec<u8> = (2..62).collect();
    let mut balancer = balancer(&agents);
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    let first = receivers(&routing);
    assert_eq!(first.len(), 24);
    let restarted = agents
        .iter()
        .copied()
        .find(|agent| !first.contains(&node(*agent)))
        .expect("more agents than are asked first");
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    for agent in agents.iter().filter(|agent| **agent != restarted) {
        deliver_message(&mut balancer, *agent, denial.clone(), at(10_530));
    }
    let undecided = PeerMessage::MayBeHeld {
        keys: vec![flow(1)],
    };
    deliver_message(&mut balancer, restarted, undecided, at(10_530));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_700));
    assert_eq!(receivers(&routing), vec![node(restarted)]);
}
