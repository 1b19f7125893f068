//! Agents that stop as planned while their targets run on: their flows are kept until the
//! agents have started again, and reset only when it is known that the targets hold none.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{AgentAction, ListenState};
use woodladder_core::flow::balancer::{Balancer, BalancerAction};
use woodladder_core::flow::flow_record::FlowRecord;
use woodladder_core::flow::identity::{Incarnation, NodeAddress};
use woodladder_core::flow::message::{
    PeerMessage, Snapshot, SnapshotRequest, StoppedAgent, TargetReport, TargetState,
};
use woodladder_core::flow::store_session::{NextCall, StoreCall, StoreReply};

/// Idle timeout of the configuration of these tests, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// When the holder of the flow announces its stop, in milliseconds.
const STOPPED_AT: u64 = 10_100;

/// A balancer with three agents, and the number of the one whose target holds
/// `flow(1)`.
fn balancer_with_flow() -> (Balancer, u8) {
    let mut balancer = balancer(&[2, 3, 4]);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let holder = receivers(&routing)[0].ip().octets()[3];
    let accepted = PeerMessage::Accepted {
        key: flow(1),
        sequence: 5000,
        incarnation: Some(Incarnation(holder.into())),
        load: Default::default(),
    };
    deliver_message(&mut balancer, holder, accepted, at(10_011));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_012));
    (balancer, holder)
}

/// Ticks from one time to another, while the agents but `silent` report. Returns the time of
/// the first reset.
fn run(balancer: &mut Balancer, silent: u8, times: (u64, u64)) -> Option<u64> {
    for now in (times.0..times.1).step_by(25) {
        for agent in [2, 3, 4].into_iter().filter(|agent| *agent != silent) {
            deliver_report(balancer, agent, &report(agent, now), at(now));
        }
        let mut actions = Vec::new();
        balancer.tick(at(now), &mut actions);
        if has_reset(&actions) {
            return Some(now);
        }
    }
    None
}

fn has_reset(actions: &[BalancerAction]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, BalancerAction::Reset(_)))
}

/// The first report of an agent that has started again.
fn report_after_restart(agent: u8, state: TargetState) -> TargetReport {
    TargetReport {
        epoch: 100 + u64::from(agent),
        incarnation: None,
        state,
        ..report(agent, 1)
    }
}

fn denial() -> PeerMessage {
    PeerMessage::NotHeld {
        keys: vec![flow(1)],
    }
}

/// Planned restarts of the nodes beside targets reset the living flows of these targets,
/// 0.65 s after the node had ended.
#[test]
fn flows_of_an_agent_that_stops_as_planned_are_kept_until_it_returns() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    let away = (STOPPED_AT, STOPPED_AT + IDLE_TIMEOUT_MS - 100);
    assert_eq!(run(&mut balancer, holder, away), None);
    let returned = report_after_restart(holder, TargetState::Unknown);
    let actions = deliver_report(&mut balancer, holder, &returned, at(away.1));
    assert!(!has_reset(&actions), "{actions:?}");
    let packet = data(flow(1), 1101, 5001);
    let routing = deliver_caller_packet(&mut balancer, &packet, at(away.1 + 10));
    assert_eq!(receivers(&routing), [node(holder)]);
}

/// Callers repeat their requests meanwhile, and the balancer probes the agent.
#[test]
fn unanswered_probes_of_a_stopped_agent_are_no_evidence() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    for now in (STOPPED_AT..STOPPED_AT + 5000).step_by(200) {
        deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(now));
        assert_eq!(run(&mut balancer, holder, (now, now + 200)), None);
    }
}

/// The machine may be gone for good; its callers must learn of it.
#[test]
fn flows_of_a_stopped_agent_that_never_returns_are_reset_after_the_idle_timeout() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    let times = (STOPPED_AT, STOPPED_AT + 2 * IDLE_TIMEOUT_MS);
    let reset_at = run(&mut balancer, holder, times).expect("a reset");
    let absence = reset_at - STOPPED_AT;
    assert!(
        (IDLE_TIMEOUT_MS..IDLE_TIMEOUT_MS + 50).contains(&absence),
        "{absence}"
    );
}

/// An agent that crashes says nothing, and its callers learn of it as soon as before.
#[test]
fn an_agent_that_has_returned_counts_as_lost_by_its_silence_again() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    let returned = report_after_restart(holder, TargetState::Ready);
    deliver_report(&mut balancer, holder, &returned, at(STOPPED_AT + 1000));
    let times = (STOPPED_AT + 1000, STOPPED_AT + 3000);
    let reset_at = run(&mut balancer, holder, times).expect("a reset");
    let silence = reset_at - STOPPED_AT - 1000;
    assert!((650..700).contains(&silence), "{silence}");
}

/// A target that crashed while its agent was away: idle callers are told at the agent's
/// return, before they lose a request.
#[test]
fn flows_are_reset_when_a_restarted_agent_finds_no_target() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    let unsure = report_after_restart(holder, TargetState::Unknown);
    let actions = deliver_report(&mut balancer, holder, &unsure, at(STOPPED_AT + 1000));
    assert!(!has_reset(&actions), "{actions:?}");
    let no_target = TargetReport {
        sequence: 2,
        knows_all_flows: true,
        ..unsure
    };
    let actions = deliver_report(&mut balancer, holder, &no_target, at(STOPPED_AT + 1100));
    assert!(has_reset(&actions), "{actions:?}");
    assert_eq!(balancer.counters().reset_target_ended, 1);
}

/// A search ended in "held nowhere" while the node beside the holder was away.
#[test]
fn a_search_waits_for_an_agent_that_has_announced_a_stop() {
    let mut balancer = balancer(&[2, 3, 4]);
    deliver_message(&mut balancer, 4, agent_stops(4), at(STOPPED_AT));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(11_000));
    let times = (11_000, 14_000);
    for agent in [2, 3] {
        deliver_message(&mut balancer, agent, denial(), at(11_010));
    }
    assert_eq!(run(&mut balancer, 4, times), None);
    let returned = report_after_restart(4, TargetState::Ready);
    deliver_report(&mut balancer, 4, &returned, at(14_000));
    let actions = deliver_message(&mut balancer, 4, denial(), at(14_010));
    assert!(has_reset(&actions), "{actions:?}");
}

/// While the holder's node was away, copies of the flow's packets reached many other targets
/// and none its own.
#[test]
fn packets_of_a_flow_whose_holder_may_be_away_reach_few_other_targets() {
    for (stopped, most) in [(None, 6), (Some(9), 2)] {
        let mut balancer = balancer(&[2, 3, 4, 5, 6, 7, 9]);
        if let Some(agent) = stopped {
            deliver_message(&mut balancer, agent, agent_stops(agent), at(STOPPED_AT));
        }
        let mut others = 0;
        for now in (11_200..13_200).step_by(50) {
            let packet = data(flow(1), 1001, 5001);
            let routing = deliver_caller_packet(&mut balancer, &packet, at(now));
            let mut reached = receivers(&routing);
            for agent in 2..8 {
                deliver_report(&mut balancer, agent, &report(agent, now), at(now));
                let keys = vec![flow(1)];
                let undecided = PeerMessage::MayBeHeld { keys };
                let actions = deliver_message(&mut balancer, agent, undecided, at(now + 1));
                reached.extend(actions.iter().filter_map(|action| match action {
                    BalancerAction::Forward { to, .. } => Some(*to),
                    _ => None,
                }));
            }
            others += reached.iter().filter(|to| **to != node(9)).count();
        }
        assert_eq!(others <= most, stopped.is_some(), "{others}");
    }
}

/// Balancers that start while an agent is away have never heard it; each learns of it from
/// the one before.
#[test]
fn a_stopped_agent_is_made_known_to_balancers_that_start_meanwhile() {
    let (mut first, holder) = balancer_with_flow();
    deliver_message(&mut first, holder, agent_stops(holder), at(STOPPED_AT));
    run(&mut first, holder, (STOPPED_AT, 11_000));
    let second = started_with_snapshot_of(&first, 11_000);
    let mut third = started_with_snapshot_of(&second, 14_000);
    deliver_caller_packet(&mut third, &data(flow(1), 1001, 5001), at(17_000));
    for agent in [2, 3, 4].into_iter().filter(|agent| *agent != holder) {
        let actions = deliver_message(&mut third, agent, denial(), at(17_010));
        assert!(!has_reset(&actions), "{actions:?}");
    }
    assert_eq!(run(&mut third, holder, (17_010, 20_000)), None);
    // The time that the agent is awaited runs from its stop, not from the snapshots.
    let limit = STOPPED_AT + IDLE_TIMEOUT_MS;
    assert_eq!(run(&mut third, holder, (20_000, limit + 200)), None);
    deliver_caller_packet(&mut third, &data(flow(2), 1001, 5001), at(limit + 200));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(2)],
    };
    let mut actions = Vec::new();
    for agent in [2, 3, 4].into_iter().filter(|agent| *agent != holder) {
        actions = deliver_message(&mut third, agent, denial.clone(), at(limit + 210));
    }
    assert!(has_reset(&actions), "{actions:?}");
}

/// A balancer that has started with a snapshot of another one, three seconds later; all
/// agents but stopped ones have reported.
fn started_with_snapshot_of(other: &Balancer, now: u64) -> Balancer {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration(1));
    let request = SnapshotRequest {
        known_version: 1,
        wants_nodes: true,
    };
    let snapshot = other.answer_snapshot_request(&request, at(now));
    let stopped: Vec<NodeAddress> = snapshot
        .stopped_agents
        .iter()
        .map(|agent| agent.address)
        .collect();
    assert_eq!(stopped.len(), 1);
    balancer.handle_snapshot(node(20), snapshot, at(now), &mut Vec::new());
    let holder = stopped[0].ip().octets()[3];
    assert_eq!(run(&mut balancer, holder, (now, now + 3000)), None);
    balancer
}

/// All balancers may be restarted while an agent is away; then only their flow records tell.
#[test]
fn a_stopped_agent_is_made_known_by_the_flow_record_of_the_balancers_former_process() {
    for is_recorded in [true, false] {
        let stopped = StoppedAgent {
            address: node(4),
            silent_for_ms: 500,
        };
        let stopped = if is_recorded { vec![stopped] } else { vec![] };
        let record = FlowRecord::of(node(1), 0, [].into_iter()).with_stopped_agents(stopped);
        let mut balancer = empty_balancer();
        let mut configuration = (*configuration(1)).clone();
        configuration.routes[0].terms.timeout_ms = 1500;
        balancer.adopt_store_configuration(configuration.into());
        balancer.tick(at(0), &mut Vec::new());
        let call = balancer.next_record_call(1000, at(10));
        assert_eq!(call, NextCall::Now(StoreCall::ReadFlowRecord));
        let reply = StoreReply::Record {
            value: Some(record.encode()),
            revision: 9,
        };
        balancer.handle_record_reply(reply, 1000, at(10), &mut Vec::new());
        run(&mut balancer, 4, (10, 3000));
        deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(3000));
        deliver_message(&mut balancer, 2, denial(), at(3010));
        let actions = deliver_message(&mut balancer, 3, denial(), at(3010));
        assert_eq!(has_reset(&actions), !is_recorded, "{actions:?}");
    }
}

/// The record is written again when an agent stops, at the latest as the balancer stops.
#[test]
fn a_balancer_that_stops_records_the_stopped_agents() {
    let mut balancer = balancer(&[2, 3, 4]);
    let mut configuration = (*configuration(2)).clone();
    configuration.routes[0].terms.timeout_ms = 1500;
    balancer.adopt_store_configuration(configuration.into());
    balancer.tick(at(10_000), &mut Vec::new());
    balancer.next_record_call(10_000, at(10_000));
    let nothing = StoreReply::Record {
        value: None,
        revision: 0,
    };
    balancer.handle_record_reply(nothing, 10_010, at(10_010), &mut Vec::new());
    deliver_message(&mut balancer, 3, agent_stops(3), at(STOPPED_AT));
    balancer.leave(at(STOPPED_AT + 100), &mut Vec::new());
    let call = balancer.next_record_call(10_200, at(STOPPED_AT + 100));
    let NextCall::Now(StoreCall::WriteFlowRecord { bytes, .. }) = call else {
        panic!("{call:?}");
    };
    let record = FlowRecord::decode(&bytes).expect("a record");
    let stopped = StoppedAgent {
        address: node(3),
        silent_for_ms: 100,
    };
    assert_eq!(record.stopped_agents, [stopped]);
}

#[test]
fn late_messages_of_a_former_start_change_nothing() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    let returned = report_after_restart(holder, TargetState::Ready);
    deliver_report(&mut balancer, holder, &returned, at(STOPPED_AT + 500));
    let late = [report(holder, 99)].map(PeerMessage::Report);
    let late = late
        .into_iter()
        .chain([agent_stops(holder), target_ended(holder)]);
    for message in late {
        let actions = deliver_message(&mut balancer, holder, message, at(STOPPED_AT + 600));
        assert!(!has_reset(&actions), "{actions:?}");
    }
    let record = balancer.directory().agent(node(holder)).expect("known");
    assert!(!record.has_announced_stop());
    assert_eq!(record.state, TargetState::Ready);
}

/// A stopped agent's last report may overtake the message that its target has ended.
#[test]
fn an_agent_whose_target_has_ended_is_not_found_again_by_late_messages() {
    let (mut balancer, holder) = balancer_with_flow();
    let actions = deliver_message(&mut balancer, holder, target_ended(holder), at(STOPPED_AT));
    assert!(has_reset(&actions), "{actions:?}");
    deliver_report(&mut balancer, holder, &report(holder, 2), at(10_110));
    deliver_message(&mut balancer, holder, agent_stops(holder), at(10_120));
    assert!(balancer.directory().agent(node(holder)).is_none());
    let request = SnapshotRequest {
        known_version: 0,
        wants_nodes: true,
    };
    let snapshot: Snapshot = balancer.answer_snapshot_request(&request, at(10_130));
    assert_eq!(snapshot.stopped_agents, []);
}

#[test]
fn a_stopped_agent_gets_no_new_flow() {
    let (mut balancer, holder) = balancer_with_flow();
    deliver_message(&mut balancer, holder, agent_stops(holder), at(STOPPED_AT));
    for port in 10..40 {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_110));
        assert_ne!(receivers(&routing), [node(holder)]);
    }
}

fn announcements(actions: &[AgentAction]) -> Vec<NodeAddress> {
    let stops = |action: &AgentAction| match action {
        AgentAction::Send {
            to,
            message: PeerMessage::AgentStops { epoch: 1 },
        } => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(stops).collect()
}

/// A balancer that the agent has found during its stop must hear of the stop too.
#[test]
fn a_stopping_agent_tells_all_balancers_and_those_it_finds_meanwhile() {
    let mut agent = agent();
    agent.add_listed_balancers(&[node(1), node(4)], at(1));
    agent.begin_shutdown(at(1000));
    let mut actions = Vec::new();
    agent.tick(at(1000), &mut actions);
    assert_eq!(announcements(&actions), [], "the target may have ended");
    agent.announce_stop(&mut actions);
    assert_eq!(announcements(&actions), [node(1), node(4)]);
    actions.clear();
    agent.handle_message(
        node(5),
        &PeerMessage::Hello(peer_hello()),
        at(1010),
        &mut actions,
    );
    assert_eq!(announcements(&actions), [node(5)]);
}

/// The report must not wait for the next regular one, which may be seconds away.
#[test]
fn a_restarted_agent_reports_at_once_that_nothing_listens() {
    let mut agent = empty_agent();
    agent.add_listed_balancers(&[node(4)], at(0));
    agent.tick(at(0), &mut Vec::new());
    agent.record_listen_state(ListenState::NotListening);
    let mut actions = Vec::new();
    agent.tick(at(10), &mut actions);
    let tells = actions.iter().any(|action| {
        matches!(action, AgentAction::Send { message: PeerMessage::Report(report), .. }
            if report.knows_all_flows && report.state == TargetState::Unknown)
    });
    assert!(tells, "{actions:?}");
}

/// While nodes were restarted in turn, packets went to one agent at a time, and flows at
/// agents that were present were found too late.
#[test]
fn a_short_absence_of_one_agent_delays_no_search_at_the_others() {
    let mut balancer = balancer(&[2, 3, 4, 9]);
    deliver_message(&mut balancer, 9, agent_stops(9), at(STOPPED_AT));
    let packet = data(flow(1), 1001, 5001);
    let routing = deliver_caller_packet(&mut balancer, &packet, at(STOPPED_AT + 500));
    for agent in [2, 3, 4] {
        assert!(receivers(&routing).contains(&node(agent)), "{routing:?}");
    }
}
