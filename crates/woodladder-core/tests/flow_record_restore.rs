//! Which flows a balancer records, and what happens to recorded flows after its start.

mod flow_support;

use std::sync::Arc;
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{Balancer, BalancerAction, Routing};
use woodladder_core::flow::configuration::{Configuration, RouteTerms};
use woodladder_core::flow::flow_record::FlowRecord;
use woodladder_core::flow::flow_record::restorer::QUERY_DURATION;
use woodladder_core::flow::identity::{FlowKey, Incarnation};
use woodladder_core::flow::message::{
    ForwardPurpose, PeerMessage, ReturnReason, TargetLoad, TargetReport,
};
use woodladder_core::flow::store_session::{NextCall, StoreCall, StoreReply};

/// Wall-clock time at the origin of the monotonic clock, in milliseconds since 1970.
const WALL_CLOCK_ORIGIN_MS: u64 = 1_700_000_000_000;

/// A configuration whose routes have this timeout.
fn configuration_with_timeout(timeout_ms: u32) -> Arc<Configuration> {
    let mut configuration = (*configuration(1)).clone();
    for route in &mut configuration.routes {
        route.terms = RouteTerms {
            timeout_ms,
            ..RouteTerms::default()
        };
    }
    Arc::new(configuration)
}

/// Number of the target's last heartbeat before each flow is opened.
const HEARTBEAT_BEFORE_OPENING: u64 = 5;

fn started_balancer(now: u64) -> Balancer {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration_with_timeout(1500));
    balancer.tick(at(now), &mut Vec::new());
    balancer
}

/// Opens a flow at an agent's target; the incarnation has the same number as the agent.
fn open_flow(balancer: &mut Balancer, port: u16, agent: u8, now: u64) {
    deliver_caller_packet(balancer, &opening(flow(port), 0), at(now));
    let acceptance = PeerMessage::Accepted {
        key: flow(port),
        sequence: 5000,
        incarnation: Some(Incarnation(agent.into())),
        load: report_after(agent, 1, HEARTBEAT_BEFORE_OPENING).load,
    };
    deliver_message(balancer, agent, acceptance, at(now + 1));
    deliver_caller_packet(balancer, &data(flow(port), 1001, 5001), at(now + 2));
}

/// A report of a target whose last heartbeat has this number.
fn report_after(agent: u8, sequence: u64, heartbeat: u64) -> TargetReport {
    let mut report = report(agent, sequence);
    report.load.last_heartbeat = heartbeat;
    report
}

/// A record of flows given by port and agent; each incarnation has the same number as its
/// agent.
fn record(flows: &[(u16, u8)]) -> FlowRecord {
    let flows = flows.iter().map(|(port, agent)| {
        let incarnation = Incarnation(u64::from(*agent));
        (flow(*port), node(*agent), incarnation, 5001, 1101)
    });
    FlowRecord::of(node(1), WALL_CLOCK_ORIGIN_MS, flows)
}

fn deliver_record(balancer: &mut Balancer, record: &FlowRecord, now: u64) -> Vec<BalancerAction> {
    let time_of_day = WALL_CLOCK_ORIGIN_MS + now;
    let call = balancer.next_record_call(time_of_day, at(now));
    assert_eq!(call, NextCall::Now(StoreCall::ReadFlowRecord));
    let mut actions = Vec::new();
    let reply = StoreReply::Record {
        value: Some(record.encode()),
        revision: 9,
    };
    balancer.handle_record_reply(reply, time_of_day, at(now), &mut actions);
    actions
}

/// A balancer that has started and read a record of these flows.
fn restored_balancer(flows: &[(u16, u8)]) -> Balancer {
    let mut balancer = started_balancer(0);
    deliver_record(&mut balancer, &record(flows), 10);
    balancer
}

fn resets(actions: &[BalancerAction]) -> Vec<(FlowKey, u32)> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Reset(reset) => Some((reset.key, reset.sequence)),
            _ => None,
        })
        .collect()
}

/// The queried agents, each with the flows that it is asked for.
fn queries(actions: &[BalancerAction]) -> Vec<(u8, Vec<FlowKey>)> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Send {
                to,
                message: PeerMessage::LocateRecorded { keys, .. },
            } => Some((to.ip().octets()[3], keys.clone())),
            _ => None,
        })
        .collect()
}

fn probes(actions: &[BalancerAction]) -> Vec<u8> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Send {
                to,
                message: PeerMessage::Probe,
            } => Some(to.ip().octets()[3]),
            _ => None,
        })
        .collect()
}

fn denial(agent: u8, ports: &[u16]) -> PeerMessage {
    PeerMessage::RecordedNotHeld {
        incarnation: Incarnation(agent.into()),
        keys: ports.iter().map(|port| flow(*port)).collect(),
    }
}

#[test]
fn only_flows_that_a_heartbeat_has_confirmed_are_recorded() {
    let mut balancer = started_balancer(0);
    deliver_report(&mut balancer, 2, &report(2, 1), at(100));
    open_flow(&mut balancer, 1, 2, 200);
    for (sequence, heartbeat) in [
        (2, HEARTBEAT_BEFORE_OPENING),
        (3, HEARTBEAT_BEFORE_OPENING + 1),
    ] {
        let report = report_after(2, sequence, heartbeat);
        deliver_report(&mut balancer, 2, &report, at(5000 * sequence));
        assert!(
            balancer.flow_record(WALL_CLOCK_ORIGIN_MS).is_empty(),
            "{heartbeat}"
        );
    }
    deliver_report(
        &mut balancer,
        2,
        &report_after(2, 4, HEARTBEAT_BEFORE_OPENING + 2),
        at(20_000),
    );
    let record = balancer.flow_record(WALL_CLOCK_ORIGIN_MS);
    assert_eq!(record.len(), 1);
    let group = &record.holders[0];
    assert_eq!((group.agent, group.incarnation), (node(2), Incarnation(2)));
    let recorded = group.flows[0];
    assert_eq!(
        (recorded.caller, recorded.acknowledged, recorded.caller_next),
        (flow(1).caller, 5001, 1101)
    );
}

#[test]
fn flows_of_an_incarnation_that_has_ended_are_not_recorded() {
    let mut balancer = started_balancer(0);
    deliver_report(&mut balancer, 2, &report(2, 1), at(100));
    open_flow(&mut balancer, 1, 2, 200);
    let mut next = report_after(2, 2, HEARTBEAT_BEFORE_OPENING + 2);
    next.incarnation = Some(Incarnation(99));
    next.previous_heartbeat_age_ms = 5000;
    deliver_report(&mut balancer, 2, &next, at(2000));
    assert!(balancer.flow_record(WALL_CLOCK_ORIGIN_MS).is_empty());
}

#[test]
fn nothing_is_read_or_written_where_timeouts_are_long() {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration_with_timeout(10_000));
    for now in (0..20_000).step_by(50) {
        let call = balancer.next_record_call(WALL_CLOCK_ORIGIN_MS + now, at(now));
        assert!(matches!(call, NextCall::At(_)), "{call:?}");
    }
}

#[test]
fn a_record_is_written_under_the_revision_that_was_read() {
    let mut balancer = started_balancer(0);
    deliver_report(&mut balancer, 2, &report(2, 1), at(5));
    open_flow(&mut balancer, 1, 2, 6);
    deliver_record(&mut balancer, &record(&[]), 10);
    deliver_report(
        &mut balancer,
        2,
        &report_after(2, 2, HEARTBEAT_BEFORE_OPENING + 2),
        at(900),
    );
    let written = (20..5000).step_by(10).find_map(|now| {
        match balancer.next_record_call(WALL_CLOCK_ORIGIN_MS + now, at(now)) {
            NextCall::Now(StoreCall::WriteFlowRecord { revision, bytes }) => {
                Some((revision, FlowRecord::decode(&bytes)))
            }
            _ => None,
        }
    });
    let (revision, record) = written.expect("a write");
    assert_eq!(revision, 9);
    let record = record.expect("a record");
    assert_eq!((record.balancer, record.len()), (node(1), 1));
    assert!(record.written_at_ms > WALL_CLOCK_ORIGIN_MS);
}

#[test]
fn recorded_agents_are_probed_until_they_are_heard() {
    let mut balancer = started_balancer(0);
    let actions = deliver_record(&mut balancer, &record(&[(1, 2), (2, 3)]), 10);
    assert_eq!(probes(&actions), [2, 3]);
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    let mut later = Vec::new();
    for now in (60..60_000).step_by(25) {
        balancer.tick(at(now), &mut later);
    }
    let probed = probes(&later);
    assert!(!probed.contains(&2), "{probed:?}");
    assert!((5..=25).contains(&probed.len()), "{probed:?}");
}

#[test]
fn a_recorded_flow_that_its_agent_denies_is_reset_with_the_callers_sequence_number() {
    let mut balancer = restored_balancer(&[(1, 2), (2, 2), (3, 3)]);
    let actions = deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    assert_eq!(queries(&actions), [(2, vec![flow(1), flow(2)])]);
    let actions = deliver_message(&mut balancer, 2, denial(2, &[1]), at(51));
    assert_eq!(resets(&actions), [(flow(1), 5001)]);
    assert_eq!(balancer.counters().reset_holder_denied, 1);
    let again = deliver_message(&mut balancer, 2, denial(2, &[1]), at(52));
    assert!(again.is_empty(), "{again:?}");
}

#[test]
fn a_report_alone_resets_nothing() {
    let mut balancer = restored_balancer(&[(1, 2)]);
    let mut other = report(2, 1);
    other.incarnation = Some(Incarnation(99));
    other.knows_all_flows = true;
    let actions = deliver_report(&mut balancer, 2, &other, at(50));
    assert!(resets(&actions).is_empty(), "{actions:?}");
}

#[test]
fn denials_of_another_agent_or_incarnation_or_without_a_query_reset_nothing() {
    let mut balancer = restored_balancer(&[(1, 2)]);
    let unasked = deliver_message(&mut balancer, 2, denial(2, &[1]), at(20));
    assert!(resets(&unasked).is_empty(), "{unasked:?}");
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    deliver_report(&mut balancer, 3, &report(3, 1), at(50));
    for (from, named) in [(3, 2), (3, 3), (2, 3)] {
        let actions = deliver_message(&mut balancer, from, denial(named, &[1]), at(51));
        assert!(resets(&actions).is_empty(), "{from} {named}: {actions:?}");
    }
}

#[test]
fn a_flow_without_an_answer_is_queried_again_and_finally_dropped_without_a_reset() {
    let mut balancer = restored_balancer(&[(1, 2)]);
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    let mut actions = Vec::new();
    let end = u64::try_from(QUERY_DURATION.as_millis()).expect("some seconds") + 100;
    for now in (60..=end).step_by(50) {
        balancer.tick(at(now), &mut actions);
    }
    assert!(resets(&actions).is_empty(), "{actions:?}");
    assert!(queries(&actions).len() >= 10);
    assert_eq!(balancer.restore_totals().unproven, 1);
    let late = deliver_message(&mut balancer, 2, denial(2, &[1]), at(end + 50));
    assert!(resets(&late).is_empty(), "{late:?}");
}

#[test]
fn a_flow_that_its_target_holds_is_in_the_table_without_a_search() {
    let mut balancer = restored_balancer(&[(1, 2)]);
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    deliver_report(&mut balancer, 3, &report(3, 1), at(50));
    let located = PeerMessage::Located {
        key: flow(1),
        incarnation: Some(Incarnation(2)),
        heartbeat: 5,
    };
    deliver_message(&mut balancer, 2, located, at(52));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1101, 5001), at(60));
    let Routing::One { to, header } = routing else {
        panic!("{routing:?}");
    };
    assert_eq!((to, header.purpose), (node(2), ForwardPurpose::Established));
    assert_eq!(balancer.counters().searched_packets, 0);
}

#[test]
fn a_packet_that_comes_before_the_answer_goes_to_the_recorded_holder_only() {
    let mut balancer = restored_balancer(&[(1, 2)]);
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    deliver_report(&mut balancer, 3, &report(3, 1), at(50));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1101, 5003), at(51));
    assert_eq!(receivers(&routing), [node(2)]);
    let returned = PeerMessage::Returned {
        reason: ReturnReason::NotHeld,
        load: TargetLoad::default(),
        version: 1,
        excluded_zones: Default::default(),
    };
    let packet = data(flow(1), 1101, 5003);
    let actions = deliver_message_with_packet(&mut balancer, 2, returned, &packet, at(53));
    assert_eq!(resets(&actions), [(flow(1), 5003)]);
}

#[test]
fn an_undecided_flow_is_queried_again_when_its_agent_starts_to_know_all_flows() {
    let mut balancer = restored_balancer(&[(1, 2)]);
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    let undecided = PeerMessage::MayBeHeld {
        keys: vec![flow(1)],
    };
    let actions = deliver_message(&mut balancer, 2, undecided, at(52));
    assert!(resets(&actions).is_empty(), "{actions:?}");
    let same = deliver_report(&mut balancer, 2, &report(2, 2), at(400));
    assert!(queries(&same).is_empty(), "{same:?}");
    let mut informed = report(2, 3);
    informed.knows_all_flows = true;
    let actions = deliver_report(&mut balancer, 2, &informed, at(500));
    assert_eq!(queries(&actions), [(2, vec![flow(1)])]);
    let actions = deliver_message(&mut balancer, 2, denial(2, &[1]), at(501));
    assert_eq!(resets(&actions), [(flow(1), 5001)]);
}

/// A restarted agent reports an incarnation that is not known to be the later one; its
/// heartbeats confirmed a flow at the other one, which was then recorded, denied and reset.
#[test]
fn heartbeats_of_another_incarnation_do_not_confirm_a_holder() {
    let confirmed = HEARTBEAT_BEFORE_OPENING + 2;
    for (epoch, incarnation, flows) in [(2, 2, 1), (77, 99, 0)] {
        let mut balancer = started_balancer(0);
        let before = report_after(2, 1, HEARTBEAT_BEFORE_OPENING);
        deliver_report(&mut balancer, 2, &before, at(10));
        open_flow(&mut balancer, 1, 2, 20);
        let after = TargetReport {
            epoch,
            incarnation: Some(Incarnation(incarnation)),
            ..report_after(2, 2, confirmed)
        };
        deliver_report(&mut balancer, 2, &after, at(50));
        assert_eq!(balancer.flow_record(WALL_CLOCK_ORIGIN_MS).len(), flows);
    }
}

#[test]
fn a_later_flow_from_the_same_port_is_not_reset() {
    let mut opening_anew = restored_balancer(&[(1, 2)]);
    deliver_report(&mut opening_anew, 2, &report(2, 1), at(50));
    deliver_caller_packet(&mut opening_anew, &opening(flow(1), 0), at(51));
    let actions = deliver_message(&mut opening_anew, 2, denial(2, &[1]), at(52));
    assert!(resets(&actions).is_empty(), "{actions:?}");

    // The flow was opened anew through another balancer: the sequence numbers belong to
    // another flow.
    let mut open_elsewhere = restored_balancer(&[(1, 2)]);
    deliver_report(&mut open_elsewhere, 2, &report(2, 1), at(50));
    let far = 5001_u32.wrapping_add(1 << 30);
    deliver_caller_packet(&mut open_elsewhere, &data(flow(1), 1, far), at(51));
    let actions = deliver_message(&mut open_elsewhere, 2, denial(2, &[1]), at(52));
    assert!(resets(&actions).is_empty(), "{actions:?}");
}

#[test]
fn flows_are_reset_when_their_agent_reports_that_its_target_has_ended() {
    let mut balancer = restored_balancer(&[(1, 2), (2, 3)]);
    let of_former_start = PeerMessage::TargetEnded { epoch: 1 };
    let unknown = deliver_message(&mut balancer, 2, of_former_start, at(20));
    assert!(
        resets(&unknown).is_empty(),
        "the agent was not heard since the start"
    );
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    let actions = deliver_message(&mut balancer, 2, target_ended(2), at(60));
    assert_eq!(resets(&actions), [(flow(1), 5001)]);
}

/// Agent and balancer restart at the same time, and the target is replaced later: flows
/// restored from the record are reset like any others.
#[test]
fn restored_flows_are_reset_when_their_target_is_replaced_later() {
    let mut balancer = restored_balancer(&[(1, 2), (2, 2)]);
    deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    let undecided = PeerMessage::MayBeHeld {
        keys: vec![flow(1), flow(2)],
    };
    deliver_message(&mut balancer, 2, undecided, at(52));
    assert_eq!(balancer.flow_count(), 2);
    let mut replaced = report(2, 2);
    replaced.incarnation = Some(Incarnation(99));
    replaced.previous_heartbeat_age_ms = 200;
    let actions = deliver_report(&mut balancer, 2, &replaced, at(1000));
    let mut ended: Vec<u16> = resets(&actions)
        .iter()
        .map(|it| it.0.caller.port())
        .collect();
    ended.sort_unstable();
    assert_eq!(ended, [1, 2]);
}

#[test]
fn a_limited_number_of_flows_is_queried_at_a_time() {
    let flows: Vec<(u16, u8)> = (1..=1000).map(|port| (port, 2)).collect();
    let mut balancer = restored_balancer(&flows);
    let first = deliver_report(&mut balancer, 2, &report(2, 1), at(50));
    let count = |actions: &[BalancerAction]| -> usize {
        queries(actions).iter().map(|(_, keys)| keys.len()).sum()
    };
    assert!((1..=256).contains(&count(&first)), "{}", count(&first));
    let mut actions = Vec::new();
    for now in [75, 100, 125] {
        balancer.tick(at(now), &mut actions);
    }
    assert_eq!(count(&first) + count(&actions), 1000);
}

#[test]
fn records_that_are_foreign_old_or_invalid_are_not_used() {
    let mut other = record(&[(1, 2)]);
    other.balancer = node(7);
    let mut old = record(&[(1, 2)]);
    old.written_at_ms = WALL_CLOCK_ORIGIN_MS - 61_000;
    let mut of_tomorrow = record(&[(1, 2)]);
    of_tomorrow.written_at_ms = WALL_CLOCK_ORIGIN_MS + 86_400_000;
    for unusable in [other, old, of_tomorrow] {
        let mut balancer = started_balancer(0);
        deliver_record(&mut balancer, &unusable, 10);
        assert_eq!(balancer.restore_totals().recorded, 0, "{unusable:?}");
    }
    let mut balancer = started_balancer(0);
    balancer.next_record_call(WALL_CLOCK_ORIGIN_MS, at(0));
    let reply = StoreReply::Record {
        value: Some(b"something else".to_vec()),
        revision: 9,
    };
    balancer.handle_record_reply(reply, WALL_CLOCK_ORIGIN_MS, at(5), &mut Vec::new());
    assert_eq!(balancer.restore_totals().recorded, 0);
}

/// A record was ignored from 60 s on, whatever lifetime the settings gave flows.
#[test]
fn a_record_is_used_for_as_long_as_its_flows_can_live() {
    for (lifetime_s, recorded) in [(90, 1), (60, 0)] {
        let mut balancer = started_balancer(0);
        balancer.set_flow_lifetime(Duration::from_secs(lifetime_s));
        let mut old = record(&[(1, 2)]);
        old.written_at_ms = WALL_CLOCK_ORIGIN_MS - 70_000;
        deliver_record(&mut balancer, &old, 10);
        assert_eq!(balancer.restore_totals().recorded, recorded);
    }
}

#[test]
fn a_planned_stop_writes_the_record_at_once() {
    let mut balancer = started_balancer(0);
    deliver_record(&mut balancer, &record(&[]), 10);
    deliver_report(&mut balancer, 2, &report(2, 1), at(20));
    open_flow(&mut balancer, 1, 2, 30);
    deliver_report(
        &mut balancer,
        2,
        &report_after(2, 2, HEARTBEAT_BEFORE_OPENING + 2),
        at(900),
    );
    balancer.leave(at(901), &mut Vec::new());
    let call = balancer.next_record_call(WALL_CLOCK_ORIGIN_MS, at(901));
    assert!(
        matches!(call, NextCall::Now(StoreCall::WriteFlowRecord { .. })),
        "{call:?}"
    );
}

/// Tests the agent: how it answers a query for a given incarnation.
#[test]
fn an_agent_denies_flows_of_an_earlier_incarnation_only_after_a_heartbeat_of_another() {
    let ask = |agent: &mut woodladder_core::flow::agent::Agent, incarnation: u64| {
        let query = PeerMessage::LocateRecorded {
            incarnation: Incarnation(incarnation),
            keys: vec![flow(1)],
        };
        let mut actions = Vec::new();
        agent.handle_message(node(1), &query, at(100), &mut actions);
        format!("{actions:?}")
    };
    let mut agent = empty_agent();
    assert!(
        ask(&mut agent, 7).contains("MayBeHeld"),
        "no heartbeat and no deregistration"
    );
    agent.handle_deregistration(Incarnation(8), at(100));
    assert!(ask(&mut agent, 7).contains("MayBeHeld"), "no heartbeat");
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat(8, 5), at(50))
        .expect("heartbeat");
    assert!(
        ask(&mut agent, 8).contains("MayBeHeld"),
        "the same incarnation"
    );
    assert!(
        ask(&mut agent, 7).contains("RecordedNotHeld"),
        "another incarnation"
    );
    open_flow_at(&mut agent, flow(1), at(60));
    assert!(
        ask(&mut agent, 7).contains("Located"),
        "the flow is in the table"
    );
}
