//! Heartbeats and drain of a target, and the checks by which its agent rejects packets.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentAction, ForwardDecision, HeartbeatError};
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::message::{
    BalancerHello, ForwardPurpose, PeerMessage, ReturnReason, Snapshot, TargetState,
};
use woodladder_core::flow::packet::PacketKind;

fn reason_of_opening(agent: &mut Agent, port: u16, milliseconds: u64) -> Option<ReturnReason> {
    let open = opening(flow(port), 0);
    match forward_to(agent, &open_header(1), &open, at(milliseconds)) {
        ForwardDecision::Reply(PeerMessage::Returned { reason, .. }, _) => Some(reason),
        _ => None,
    }
}

#[test]
fn no_new_flow_reaches_a_target_before_its_first_heartbeat() {
    let mut agent = empty_agent();
    assert_eq!(
        reason_of_opening(&mut agent, 1, 10),
        Some(ReturnReason::NoTarget)
    );
    agent
        .handle_heartbeat(&heartbeat(1, 9), at(20))
        .expect("heartbeat");
    assert_eq!(reason_of_opening(&mut agent, 1, 30), None);
}

#[test]
fn no_new_flow_reaches_a_target_after_it_said_that_it_leaves() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    let mut leaving = heartbeat(1, 2);
    leaving.leaving = true;
    agent.handle_heartbeat(&leaving, at(20)).expect("heartbeat");
    assert_eq!(
        reason_of_opening(&mut agent, 2, 21),
        Some(ReturnReason::Leaving)
    );
    let header = header(1, ForwardPurpose::Established);
    let delivery = forward_to(&mut agent, &header, &data(flow(1), 1101, 5001), at(22));
    assert!(is_delivered(&delivery), "open flows stay");
}

#[test]
fn a_late_heartbeat_does_not_revoke_leaving() {
    let mut agent = agent();
    let mut leaving = heartbeat(1, 5);
    leaving.leaving = true;
    agent.handle_heartbeat(&leaving, at(20)).expect("heartbeat");
    agent
        .handle_heartbeat(&heartbeat(1, 4), at(21))
        .expect("a late one is taken and ignored");
    agent
        .handle_heartbeat(&heartbeat(1, 6), at(22))
        .expect("heartbeat");
    assert_eq!(agent.target_state(), TargetState::Leaving);
}

#[test]
fn a_target_that_deregisters_first_keeps_its_flows() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    agent.handle_deregistration(Incarnation(1), at(20));
    assert_eq!(
        reason_of_opening(&mut agent, 2, 21),
        Some(ReturnReason::Leaving)
    );
    let header = header(1, ForwardPurpose::Search);
    let delivery = forward_from(&mut agent, 2, &header, &data(flow(1), 1101, 5001), at(22));
    assert!(is_delivered(&delivery));
}

#[test]
fn a_new_incarnation_begins_without_flows_and_the_old_one_is_refused() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    agent
        .handle_heartbeat(&heartbeat(1, 2), at(15))
        .expect("heartbeat");
    agent
        .handle_heartbeat(&heartbeat(2, 1), at(20))
        .expect("heartbeat");
    assert_eq!(agent.load().flows, 0);
    assert_eq!(agent.target_state(), TargetState::Ready);
    assert_eq!(
        agent.handle_heartbeat(&heartbeat(1, 50), at(30)),
        Err(HeartbeatError::Replaced)
    );
    let header = header(1, ForwardPurpose::Established);
    let delivery = forward_to(&mut agent, &header, &data(flow(1), 1101, 5001), at(40));
    assert!(!is_delivered(&delivery));
}

/// Replaces a target that crashed after its heartbeat at 1200 ms: the next one has sent
/// its second heartbeat, 2600 ms after the last one of the crashed target.
fn replace_crashed_target(agent: &mut Agent) {
    assert_eq!(
        agent.handle_heartbeat(&heartbeat(2, 1), at(2600)),
        Err(HeartbeatError::Unproven),
        "the target before may still run"
    );
    agent
        .handle_heartbeat(&heartbeat(2, 2), at(3800))
        .expect("heartbeat");
}

/// A target that crashed and started again accepts flows before its first heartbeat.
/// The agent attributed them to the former incarnation and denied them, and they were
/// reset although they were open.
#[test]
fn a_flow_opened_after_the_last_heartbeat_may_be_open_at_the_next_incarnation() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    agent
        .handle_heartbeat(&heartbeat(1, 2), at(1200))
        .expect("heartbeat");
    open_flow_at(&mut agent, flow(2), at(2000));
    assert_eq!(agent.load().busy, 2);
    replace_crashed_target(&mut agent);
    assert_eq!(agent.load().flows, 1);
    assert_eq!(agent.load().busy, 0, "the new incarnation's slots are free");
    let header = header(1, ForwardPurpose::Search);
    for (port, is_held) in [(1, false), (2, true)] {
        let packet = data(flow(port), 1101, 5001);
        let delivery = forward_from(&mut agent, 2, &header, &packet, at(3810));
        assert_eq!(is_delivered(&delivery), is_held, "flow {port}");
    }
}

#[test]
fn a_report_says_until_when_the_former_incarnation_was_heard() {
    let mut agent = agent();
    agent.add_listed_balancers(&[node(1)], at(1));
    agent
        .handle_heartbeat(&heartbeat(1, 2), at(1200))
        .expect("heartbeat");
    replace_crashed_target(&mut agent);
    let mut actions = Vec::new();
    agent.tick(at(3850), &mut actions);
    let report = actions.iter().find_map(|action| match action {
        AgentAction::Send {
            message: PeerMessage::Report(report),
            ..
        } => Some(*report),
        _ => None,
    });
    assert_eq!(report.expect("a report").previous_heartbeat_age_ms, 2650);
}

#[test]
fn a_heartbeat_of_another_service_changes_nothing() {
    let mut agent = empty_agent();
    let mut other = heartbeat(1, 1);
    other.service = other_service();
    assert_eq!(
        agent.handle_heartbeat(&other, at(1)),
        Err(HeartbeatError::WrongService)
    );
    assert_eq!(agent.target_state(), TargetState::Unknown);
}

#[test]
fn packets_of_another_service_never_reach_the_target() {
    for purpose in [
        ForwardPurpose::Open(opening_terms()),
        ForwardPurpose::Established,
        ForwardPurpose::Search,
    ] {
        let mut agent = agent();
        let mut header = header(1, purpose);
        header.service = other_service();
        let open = opening(flow(1), 0);
        match forward_to(&mut agent, &header, &open, at(10)) {
            ForwardDecision::Reply(PeerMessage::Returned { reason, .. }, _) => {
                assert_eq!(reason, ReturnReason::WrongService);
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn an_opening_under_an_older_version_is_returned_after_a_grace_period() {
    let mut agent = agent();
    let snapshot = Snapshot {
        configuration: Some((*configuration(5)).clone()),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, at(1000));
    assert_eq!(reason_of_opening(&mut agent, 1, 1500), None);
    assert_eq!(
        reason_of_opening(&mut agent, 2, 2100),
        Some(ReturnReason::StaleVersion)
    );
    let current = header(5, ForwardPurpose::Open(opening_terms()));
    let delivery = forward_to(&mut agent, &current, &opening(flow(3), 0), at(2100));
    assert!(is_delivered(&delivery));
}

#[test]
fn an_agent_fetches_a_greater_version_from_the_balancer_that_has_it() {
    let mut agent = agent();
    let hello = BalancerHello {
        version: 7,
        balancers: vec![node(3)],
        ..peer_hello()
    };
    let mut actions = Vec::new();
    agent.handle_message(node(2), &PeerMessage::Hello(hello), at(10), &mut actions);
    let fetches = actions
        .iter()
        .filter(
            |action| matches!(action, AgentAction::FetchSnapshot { from, .. } if *from == node(2)),
        )
        .count();
    assert_eq!(fetches, 1, "{actions:?}");
    assert_eq!(
        agent.balancers().len(),
        2,
        "the named balancer gets reports too"
    );
}

#[test]
fn the_target_returns_an_opening_to_the_balancer_that_the_packet_names() {
    let mut agent = agent();
    let open = opening(flow(1), 0);
    forward_to(&mut agent, &open_header(1), &open, at(10));
    let departure = agent.handle_target_packet(&open, Some(node(1)), at(11));
    match departure {
        woodladder_core::flow::agent::TargetPacketDecision::Returned { to, message, .. } => {
            assert_eq!(to, node(1));
            let PeerMessage::Returned { reason, .. } = message else {
                panic!("{message:?}");
            };
            assert_eq!(reason, ReturnReason::RefusedByTarget);
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(agent.load().opening, 0);
}

#[test]
fn a_restarted_agent_learns_of_open_flows_from_the_targets_packets() {
    let mut agent = empty_agent();
    let answer = packet(flow(1), PacketKind::Data, 5001, 1101, 400);
    agent.handle_target_packet(&answer, None, at(10));
    assert_eq!(agent.load().flows, 1);
    let header = header(1, ForwardPurpose::Search);
    match forward_from(&mut agent, 4, &header, &data(flow(1), 1101, 5401), at(20)) {
        ForwardDecision::Deliver { reply, .. } => {
            assert!(
                matches!(reply, Some(PeerMessage::Located { .. })),
                "{reply:?}"
            );
        }
        other => panic!("{other:?}"),
    }
}
