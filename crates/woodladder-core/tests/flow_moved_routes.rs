//! Flows whose route has moved to another service since they were opened, at balancers and
//! agents that have started again: they are found where they are, and not reset.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::balancer::{Balancer, BalancerAction};
use woodladder_core::flow::flow_record::FlowRecord;
use woodladder_core::flow::identity::{Incarnation, NodeAddress};
use woodladder_core::flow::message::{PeerMessage, Snapshot, SnapshotRequest, TargetReport};
use woodladder_core::flow::route_history::{FormerRouteService, RouteHistorySummary};
use woodladder_core::flow::store_session::StoreReply;

/// Lifetime of flows in these tests, in milliseconds.
const FLOW_LIFETIME_MS: u32 = 60_000;
/// Number of the agent of [`other_service`], to which the route has moved.
const NEW_AGENT: u8 = 2;
/// Number of the agent of [`main_service`], whose target holds the flow.
const HOLDER: u8 = 3;

/// A report of an agent that has started again beside a running target.
fn report_of(agent: u8, sequence: u64) -> TargetReport {
    let service = match agent {
        NEW_AGENT => other_service(),
        _ => main_service(),
    };
    TargetReport {
        service,
        ..report(agent, sequence)
    }
}

/// A balancer that has started after the first route was moved to [`other_service`], and has
/// heard both agents.
fn restarted_balancer() -> Balancer {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration_of(9, &[(1, &[(other_service(), 1)])]));
    for now in (0..1000).step_by(25) {
        report_all(&mut balancer, now);
        balancer.tick(at(now), &mut Vec::new());
    }
    balancer
}

fn report_all(balancer: &mut Balancer, now: u64) {
    for agent in [NEW_AGENT, HOLDER] {
        deliver_report(balancer, agent, &report_of(agent, now + 1), at(now));
    }
}

/// What another node tells of the route: it led to [`main_service`] until five seconds ago.
fn history(covered_ms: u32) -> RouteHistorySummary {
    RouteHistorySummary {
        covered_ms,
        former_services: vec![FormerRouteService {
            address: route_address(1),
            service: main_service(),
            replaced_for_ms: 5000,
        }],
    }
}

fn deliver_history(balancer: &mut Balancer, route_history: RouteHistorySummary, now: u64) {
    let snapshot = Snapshot {
        route_history,
        ..Snapshot::default()
    };
    balancer.handle_snapshot(node(20), snapshot, at(now), &mut Vec::new());
}

fn undecided() -> PeerMessage {
    PeerMessage::MayBeHeld {
        keys: vec![flow(1)],
    }
}

fn denial() -> PeerMessage {
    PeerMessage::NotHeld {
        keys: vec![flow(1)],
    }
}

fn has_reset(actions: &[BalancerAction]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, BalancerAction::Reset(_)))
}

fn forwarded_to(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    let forward = |action: &BalancerAction| match action {
        BalancerAction::Forward { to, .. } => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

/// After a route had moved, planned restarts reset the flows at rest: an agent of the former
/// service answered "may be held", and that counted as a denial.
#[test]
fn an_undecided_agent_of_another_service_prevents_a_reset_while_the_history_is_unknown() {
    let mut balancer = restarted_balancer();
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(1000));
    deliver_message(&mut balancer, NEW_AGENT, denial(), at(1010));
    for now in (1020..5000).step_by(100) {
        report_all(&mut balancer, now);
        let mut actions = deliver_message(&mut balancer, HOLDER, undecided(), at(now));
        balancer.tick(at(now), &mut actions);
        assert!(!has_reset(&actions), "{actions:?}");
        // The packet must not reach a service that the flow may not have been opened with.
        assert!(forwarded_to(&actions).is_empty(), "{actions:?}");
    }
}

/// A node that was there before the move tells the restarted one where the route led.
#[test]
fn a_restarted_balancer_that_is_told_the_history_finds_the_flow() {
    let mut balancer = restarted_balancer();
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(1000));
    deliver_message(&mut balancer, NEW_AGENT, denial(), at(1010));
    deliver_message(&mut balancer, HOLDER, undecided(), at(1010));
    deliver_history(&mut balancer, history(20_000), 1020);
    let actions = deliver_message(&mut balancer, HOLDER, undecided(), at(1130));
    assert_eq!(forwarded_to(&actions), [node(HOLDER)]);
    let located = PeerMessage::Located {
        key: flow(1),
        incarnation: Some(Incarnation(HOLDER.into())),
        heartbeat: 1,
    };
    deliver_message(&mut balancer, HOLDER, located, at(1140));
    let packet = data(flow(1), 1101, 5001);
    let routing = deliver_caller_packet(&mut balancer, &packet, at(1150));
    assert_eq!(receivers(&routing), [node(HOLDER)]);
}

/// The flow record is evidence that the flow was opened with the agent's service.
#[test]
fn an_undecided_agent_keeps_the_flows_that_the_record_names() {
    for covered_ms in [0, FLOW_LIFETIME_MS] {
        let mut balancer = restarted_balancer();
        let without_former_service = RouteHistorySummary {
            covered_ms,
            former_services: Vec::new(),
        };
        deliver_history(&mut balancer, without_former_service, 1000);
        let holder = (
            flow(1),
            node(HOLDER),
            Incarnation(HOLDER.into()),
            5001,
            1101,
        );
        let reply = StoreReply::Record {
            value: Some(FlowRecord::of(node(1), 1000, [holder].into_iter()).encode()),
            revision: 9,
        };
        balancer.next_record_call(1000, at(1000));
        let mut actions = Vec::new();
        balancer.handle_record_reply(reply, 1000, at(1000), &mut actions);
        report_all(&mut balancer, 1010);
        let actions = deliver_message(&mut balancer, HOLDER, undecided(), at(1020));
        assert!(!has_reset(&actions), "{actions:?}");
        let packet = data(flow(1), 1101, 5001);
        let routing = deliver_caller_packet(&mut balancer, &packet, at(1030));
        assert_eq!(receivers(&routing), [node(HOLDER)]);
    }
}

/// A flow that is gone must not wait for agents that cannot tell if the history shows that
/// they do not matter.
#[test]
fn an_undecided_agent_is_ruled_out_by_a_history_that_covers_the_lifetime_of_flows() {
    for (covered_ms, is_reset) in [(FLOW_LIFETIME_MS - 1100, false), (FLOW_LIFETIME_MS, true)] {
        let mut balancer = restarted_balancer();
        let without_former_service = RouteHistorySummary {
            covered_ms,
            former_services: Vec::new(),
        };
        deliver_history(&mut balancer, without_former_service, 1000);
        deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(1000));
        deliver_message(&mut balancer, HOLDER, undecided(), at(1010));
        let actions = deliver_message(&mut balancer, NEW_AGENT, denial(), at(1020));
        assert_eq!(has_reset(&actions), is_reset, "{covered_ms}: {actions:?}");
    }
}

/// Balancers that start one after the other hand on where routes led, with the time covered.
#[test]
fn the_history_passes_from_balancer_to_balancer() {
    let request = SnapshotRequest {
        known_version: 9,
        wants_nodes: true,
    };
    let mut first = empty_balancer();
    first.adopt_store_configuration(configuration(1));
    first.tick(at(0), &mut Vec::new());
    first.adopt_store_configuration(configuration_of(9, &[(1, &[(other_service(), 1)])]));
    first.tick(at(70_000), &mut Vec::new());
    let mut second = restarted_balancer();
    let snapshot = first.answer_snapshot_request(&request, at(72_000));
    second.handle_snapshot(node(20), snapshot, at(1000), &mut Vec::new());
    let told = second
        .answer_snapshot_request(&request, at(3000))
        .route_history;
    assert_eq!(
        told,
        RouteHistorySummary {
            covered_ms: 74_000,
            former_services: vec![FormerRouteService {
                address: route_address(1),
                service: main_service(),
                replaced_for_ms: 4000,
            }],
        }
    );
}

/// All balancers may have started again at once, while agents ran on.
#[test]
fn a_balancer_without_the_history_asks_agents_for_it() {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration_of(9, &[(1, &[(other_service(), 1)])]));
    let mut asked = Vec::new();
    for now in (0..2000).step_by(25) {
        report_all(&mut balancer, now);
        let mut actions = Vec::new();
        balancer.tick(at(now), &mut actions);
        for action in actions {
            if let BalancerAction::FetchSnapshot { from, .. } = action {
                asked.push(from);
                let snapshot = Snapshot {
                    route_history: history(0),
                    ..Snapshot::default()
                };
                balancer.handle_snapshot(from, snapshot, at(now), &mut Vec::new());
            }
        }
    }
    asked.sort();
    asked.dedup();
    assert_eq!(asked, [node(NEW_AGENT), node(HOLDER)]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(2000));
    let actions = deliver_message(&mut balancer, HOLDER, undecided(), at(2010));
    assert_eq!(forwarded_to(&actions), [node(HOLDER)]);
}

#[test]
fn an_agent_hands_on_the_history_that_it_was_told() {
    let mut agent = empty_agent();
    let told = Snapshot {
        configuration: Some((*configuration_of(9, &[(1, &[(other_service(), 1)])])).clone()),
        route_history: history(20_000),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(20), told, at(1000));
    agent.tick(at(1000), &mut Vec::new());
    let request = SnapshotRequest {
        known_version: 9,
        wants_nodes: false,
    };
    let answer = agent.answer_snapshot(&request, at(1000));
    assert_eq!(answer.route_history, history(20_000));
}

/// A balancer that starts while the only other one leaves must not lose what that one knows.
#[test]
fn a_balancer_without_a_snapshot_asks_one_that_leaves() {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration(1));
    let mut hello = peer_hello();
    hello.is_leaving = true;
    let actions = deliver_message(&mut balancer, 20, PeerMessage::Hello(hello), at(10));
    let asks = |action: &BalancerAction| matches!(action, BalancerAction::FetchSnapshot { from, .. } if *from == node(20));
    assert!(actions.iter().any(asks), "{actions:?}");
}

/// The history must not grow with the number of changes.
#[test]
fn a_former_service_is_forgotten_once_its_flows_have_ended() {
    let mut balancer = restarted_balancer();
    deliver_history(&mut balancer, history(20_000), 1000);
    let packet = data(flow(1), 1001, 5001);
    let header_services = |balancer: &mut Balancer, now: u64| {
        let routing = deliver_caller_packet(balancer, &packet, at(now));
        receivers(&routing)
    };
    balancer.tick(at(55_000), &mut Vec::new());
    report_all(&mut balancer, 55_000);
    assert!(header_services(&mut balancer, 55_000).contains(&node(HOLDER)));
    balancer.tick(at(56_100), &mut Vec::new());
    report_all(&mut balancer, 62_000);
    assert!(!header_services(&mut balancer, 62_000).contains(&node(HOLDER)));
    let request = SnapshotRequest {
        known_version: 9,
        wants_nodes: false,
    };
    let told = balancer.answer_snapshot_request(&request, at(62_000));
    assert_eq!(told.route_history.former_services, []);
}
