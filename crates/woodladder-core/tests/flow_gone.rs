//! A flow is reset only when it is proven that no target holds it: every agent whose
//! target may hold it has denied, and the balancer knows all agents.

mod flow_support;

use std::net::{Ipv4Addr, SocketAddrV4};

use flow_support::*;
use woodladder_core::flow::balancer::BalancerAction;
use woodladder_core::flow::identity::NodeAddress;
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage, Snapshot};
use woodladder_core::flow::route_history::RouteHistorySummary;

#[test]
fn a_flow_that_every_target_denies_is_reset_with_the_callers_acknowledgement() {
    let mut balancer = balancer(&[2, 3]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    assert!(deliver_message(&mut balancer, 2, denial.clone(), at(10_610)).is_empty());
    let actions = deliver_message(&mut balancer, 3, denial, at(10_611));
    let [BalancerAction::Reset(reset)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!((reset.key, reset.sequence), (flow(1), 77));
}

#[test]
fn a_flow_is_not_reset_while_one_target_has_not_denied() {
    let mut balancer = balancer(&[2, 3]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    for _ in 0..3 {
        let actions = deliver_message(&mut balancer, 2, denial.clone(), at(10_610));
        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn a_balancer_that_has_just_started_resets_no_flow() {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration(1));
    deliver_report(&mut balancer, 2, &report(2, 1), at(100));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(200));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    let actions = deliver_message(&mut balancer, 2, denial, at(210));
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn a_named_agent_must_report_before_a_flow_is_reset() {
    let mut balancer = balancer(&[2]);
    let snapshot = Snapshot {
        agents: vec![node(2), node(7)],
        ..Snapshot::default()
    };
    balancer.handle_snapshot(node(5), snapshot, at(10_100), &mut Vec::new());
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    let actions = deliver_message(&mut balancer, 2, denial, at(10_610));
    assert!(actions.is_empty(), "{actions:?}");
}

/// The balancer knows that the flow's route has led to no other service within the lifetime
/// of a flow.
#[test]
fn an_agent_of_another_service_that_cannot_tell_does_not_delay_a_reset() {
    let mut balancer = balancer(&[2]);
    let snapshot = Snapshot {
        route_history: RouteHistorySummary {
            covered_ms: 60_000,
            former_services: Vec::new(),
        },
        ..Snapshot::default()
    };
    balancer.handle_snapshot(node(5), snapshot, at(10_000), &mut Vec::new());
    let mut other = report(3, 1);
    other.service = other_service();
    deliver_report(&mut balancer, 3, &other, at(10_000));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    let keys = vec![flow(1)];
    let undecided = PeerMessage::MayBeHeld { keys: keys.clone() };
    assert!(deliver_message(&mut balancer, 3, undecided, at(10_610)).is_empty());
    let actions = deliver_message(&mut balancer, 2, PeerMessage::NotHeld { keys }, at(10_611));
    assert!(
        matches!(actions[..], [BalancerAction::Reset(_)]),
        "{actions:?}"
    );
}

#[test]
fn an_agent_of_the_flows_service_that_cannot_tell_prevents_a_reset() {
    let mut balancer = balancer(&[2, 3]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    let keys = vec![flow(1)];
    let undecided = PeerMessage::MayBeHeld { keys: keys.clone() };
    let actions = deliver_message(&mut balancer, 3, undecided, at(10_610));
    assert_eq!(forwarded_to(&actions), vec![node(3)], "its target decides");
    assert_eq!(actions.len(), 1);
    let actions = deliver_message(&mut balancer, 2, PeerMessage::NotHeld { keys }, at(10_611));
    assert!(actions.is_empty(), "{actions:?}");
}

/// Agents that are sent a packet so that their targets decide.
fn forwarded_to(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Forward { to, header, packet } => {
                assert_eq!(header.purpose, ForwardPurpose::Search);
                assert_eq!(packet, b"packet");
                Some(*to)
            }
            _ => None,
        })
        .collect()
}

fn resets(actions: &[BalancerAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, BalancerAction::Reset(_)))
}

/// After a power failure, one agent of 204 had missed its target's start and could not
/// deny any flow. Callers retransmit a packet after 1.6 s, and flows that no target held
/// were never reset.
#[test]
fn one_agent_that_cannot_tell_does_not_keep_a_lost_flow_open() {
    let agents: Vec<u8> = (2..62).collect();
    let mut balancer = balancer(&agents);
    let keys = vec![flow(1)];
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    for agent in 2..61 {
        let denial = PeerMessage::NotHeld { keys: keys.clone() };
        deliver_message(&mut balancer, agent, denial, at(10_510));
    }
    let undecided = PeerMessage::MayBeHeld { keys: keys.clone() };
    let actions = deliver_message(&mut balancer, 61, undecided.clone(), at(10_510));
    assert_eq!(forwarded_to(&actions), vec![node(61)]);
    let again = deliver_message(&mut balancer, 61, undecided.clone(), at(10_630));
    assert!(forwarded_to(&again).is_empty(), "its target has the packet");
    let later = deliver_message(&mut balancer, 61, undecided, at(10_950));
    assert_eq!(
        forwarded_to(&later),
        vec![node(61)],
        "it may have been lost"
    );
    let actions = deliver_message(&mut balancer, 61, PeerMessage::NotHeld { keys }, at(10_960));
    assert!(resets(&actions), "{actions:?}");
}

#[test]
fn denials_count_until_the_callers_next_retransmission() {
    let mut balancer = balancer(&[2, 3]);
    let keys = vec![flow(1)];
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    let denial = PeerMessage::NotHeld { keys };
    deliver_message(&mut balancer, 2, denial.clone(), at(10_510));
    for now in (10_600..=12_200).step_by(100) {
        deliver_report(&mut balancer, 2, &report(2, now), at(now));
        deliver_report(&mut balancer, 3, &report(3, now), at(now));
        balancer.tick(at(now), &mut Vec::new());
    }
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(12_200));
    assert!(resets(&deliver_message(
        &mut balancer,
        3,
        denial,
        at(12_210)
    )));
}

#[test]
fn packets_sent_to_agents_that_cannot_tell_are_limited_per_tick() {
    let mut balancer = large_table_balancer();
    for agent in [2, 3] {
        deliver_report(&mut balancer, agent, &report(agent, 1), at(10_000));
    }
    let mut packets_sent = 0;
    for port in 1..=900 {
        deliver_caller_packet(&mut balancer, &data(flow(port), 1, 1), at(10_600));
        let undecided = PeerMessage::MayBeHeld {
            keys: vec![flow(port)],
        };
        packets_sent +=
            forwarded_to(&deliver_message(&mut balancer, 2, undecided, at(10_601))).len();
    }
    assert_eq!(packets_sent, 256);
}

/// The number of agents must not matter for the proof.
#[test]
fn a_flow_is_reset_when_each_of_many_agents_has_denied() {
    let mut balancer = large_table_balancer();
    let address = |number: u16| {
        let [high, low] = number.to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7000)
    };
    let mut actions = Vec::new();
    for number in 1..=900 {
        let report = PeerMessage::Report(report(2, 1));
        balancer.handle_message(address(number), report, None, at(10_000), &mut actions);
    }
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    actions.clear();
    for number in 1..=900 {
        assert!(!resets(&actions), "after {number}");
        let denial = PeerMessage::NotHeld {
            keys: vec![flow(1)],
        };
        balancer.handle_message(address(number), denial, None, at(10_610), &mut actions);
    }
    assert!(resets(&actions));
}

/// The agent of a removed target stops, and searches must not wait for its denial.
#[test]
fn an_agent_that_stopped_after_its_target_is_no_possible_holder() {
    let mut balancer = balancer(&[2, 3]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_600));
    deliver_message(&mut balancer, 3, target_ended(3), at(10_605));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    let actions = deliver_message(&mut balancer, 2, denial, at(10_610));
    assert!(
        matches!(actions[..], [BalancerAction::Reset(_)]),
        "{actions:?}"
    );
}

/// Without a snapshot from another balancer, a restarted one may not have heard yet of
/// the agent whose target holds the flow.
#[test]
fn a_balancer_without_a_complete_snapshot_listens_longer_before_a_reset() {
    let reset_at = |snapshot_is_complete: Option<bool>| {
        let mut balancer = empty_balancer();
        balancer.adopt_store_configuration(configuration(1));
        deliver_report(&mut balancer, 2, &report(2, 1), at(10));
        if let Some(knows_all_agents) = snapshot_is_complete {
            let snapshot = Snapshot {
                agents: vec![node(2)],
                knows_all_agents,
                ..Snapshot::default()
            };
            balancer.handle_snapshot(node(5), snapshot, at(20), &mut Vec::new());
        }
        deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(30));
        let denial = PeerMessage::NotHeld {
            keys: vec![flow(1)],
        };
        let mut reset_at = None;
        assert!(!resets(&deliver_message(&mut balancer, 2, denial, at(31))));
        for (sequence, time) in (2..).zip((50..1000).step_by(25)) {
            let mut actions = deliver_report(&mut balancer, 2, &report(2, sequence), at(time));
            balancer.tick(at(time), &mut actions);
            if resets(&actions) {
                reset_at.get_or_insert(time);
            }
        }
        reset_at
    };
    assert_eq!(reset_at(Some(true)), Some(200));
    assert_eq!(reset_at(Some(false)), Some(600));
    assert_eq!(reset_at(None), Some(600));
}

/// The first balancer that answers may have just started itself and know few agents.
#[test]
fn a_balancer_requests_snapshots_until_one_knows_all_agents() {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration(1));
    for peer in 20..24 {
        let hello = PeerMessage::Hello(peer_hello());
        deliver_message(&mut balancer, peer, hello, at(10));
    }
    let mut asked = Vec::new();
    for (now, knows_all_agents) in [(30, false), (60, false), (90, true), (120, true)] {
        let mut actions = Vec::new();
        balancer.tick(at(now), &mut actions);
        let fetched = actions.iter().find_map(|action| match action {
            BalancerAction::FetchSnapshot { from, .. } => Some(*from),
            _ => None,
        });
        // The first hello already caused a request to one balancer.
        let from = fetched.unwrap_or(node(20));
        let snapshot = Snapshot {
            knows_all_agents,
            ..Snapshot::default()
        };
        balancer.handle_snapshot(from, snapshot, at(now + 5), &mut Vec::new());
        asked.extend(fetched);
    }
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert_ne!(asked[0], asked[1]);
}
