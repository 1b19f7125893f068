//! Announcements of open flows by agents, and what a balancer concludes from them:
//! announcements that are lost, late, of a former start, or wrong, and bounds on their
//! bytes.

mod flow_support;

use std::collections::BTreeSet;
use std::time::Duration;

use flow_support::*;
use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::AgentAction;
use woodladder_core::flow::agent::flow_announcer::{FlowAnnouncer, LIST_PARTS_PER_SECOND};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, FlowIndex, WorkBudget};
use woodladder_core::flow::configuration::Configuration;
use woodladder_core::flow::held_flows::{
    AnnouncementCoverage, FlowAnnouncement, FlowFingerprint, MAXIMUM_ANNOUNCED_FLOWS,
};
use woodladder_core::flow::identity::{FlowKey, Incarnation, NodeAddress};
use woodladder_core::flow::message::{PeerMessage, TargetReport, TargetState};
use woodladder_core::flow::packet::PacketKind;

const EPOCH: u64 = 7;

fn fingerprints(numbers: impl IntoIterator<Item = u32>) -> Vec<FlowFingerprint> {
    numbers.into_iter().map(FlowFingerprint).collect()
}

fn announced_by(index: &FlowIndex, agent: NodeAddress, among: u32) -> BTreeSet<u32> {
    (0..among)
        .filter(|number| index.holders(FlowFingerprint(*number)).contains(&agent))
        .collect()
}

fn complete(flows: &[FlowKey]) -> FlowAnnouncement {
    FlowAnnouncement {
        coverage: AnnouncementCoverage::Complete,
        base_change: 0,
        last_change: 0,
        open: flows.iter().map(FlowFingerprint::of).collect(),
        closed: Vec::new(),
    }
}

/// A configuration under which flows are located by lists and queries: its route has a
/// short timeout.
fn locating_configuration() -> Configuration {
    let mut locating = Configuration::clone(&configuration(1));
    for route in &mut locating.routes {
        route.terms.timeout_ms = 1400;
    }
    locating
}

/// A balancer that locates flows, and agents that know all flows of their targets; the
/// agents in `announcers` announce these flows.
fn locating_balancer(agents: &[u8], announcers: &[(u8, &[FlowKey])]) -> Balancer {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(locating_configuration().into());
    for agent in agents {
        let mut report = report(*agent, 1);
        report.knows_all_flows = true;
        let announced = announcers.iter().find(|(announcer, _)| announcer == agent);
        let flows = complete(announced.map_or(&[], |(_, flows)| *flows));
        let message = PeerMessage::ReportWithFlows { report, flows };
        deliver_message(&mut balancer, *agent, message, at(10_000));
    }
    balancer
}

fn tick(balancer: &mut Balancer, now: u64) -> Vec<BalancerAction> {
    let mut actions = Vec::new();
    balancer.tick(at(now), &mut actions);
    actions
}

fn queried_agents(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Send {
                to,
                message: PeerMessage::Locate { .. },
            } => Some(*to),
            _ => None,
        })
        .collect()
}

fn forward_receivers(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Forward { to, .. } => Some(*to),
            _ => None,
        })
        .collect()
}

fn has_reset(actions: &[BalancerAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, BalancerAction::Reset(_)))
}

fn located(key: FlowKey) -> PeerMessage {
    PeerMessage::Located {
        key,
        incarnation: None,
        heartbeat: 0,
    }
}

fn not_held(key: FlowKey) -> PeerMessage {
    PeerMessage::NotHeld { keys: vec![key] }
}

#[test]
fn a_packet_goes_only_to_the_agent_that_announces_its_flow() {
    let mut balancer = locating_balancer(&[2, 3, 4], &[(3, &[flow(1)])]);
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    assert_eq!(receivers(&routing), vec![node(3)]);
    assert!(queried_agents(&tick(&mut balancer, 10_510)).is_empty());
    let actions = deliver_message(&mut balancer, 3, located(flow(1)), at(10_512));
    assert!(
        forward_receivers(&actions).is_empty(),
        "the packet was sent twice"
    );
    assert_eq!(balancer.counters().flows_located_by_list, 1);
}

/// The holder's announcement is missing, or older than the flow.
#[test]
fn agents_are_queried_about_an_unannounced_flow_and_its_holder_gets_the_packet() {
    let mut balancer = locating_balancer(&[2, 3, 4], &[]);
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    assert!(receivers(&routing).is_empty());
    assert!(balancer.tick_interval() <= Duration::from_millis(5));
    assert_eq!(queried_agents(&tick(&mut balancer, 10_504)).len(), 3);
    let actions = deliver_message(&mut balancer, 4, located(flow(1)), at(10_506));
    assert_eq!(forward_receivers(&actions), vec![node(4)]);
    assert_eq!(balancer.counters().flows_located_by_query, 1);
}

#[test]
fn a_kept_packet_is_not_forwarded_after_its_timeout() {
    let mut balancer = locating_balancer(&[2, 3], &[]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    let actions = deliver_message(&mut balancer, 3, located(flow(1)), at(11_900));
    assert!(forward_receivers(&actions).is_empty());
}

/// The announcement is wrong: by an agent that lies, by a shared fingerprint, or because
/// the flow has closed.
#[test]
fn when_the_announcing_agent_denies_the_flow_all_others_are_queried_at_once() {
    let mut balancer = locating_balancer(&[2, 3, 4], &[(3, &[flow(1)])]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    deliver_message(&mut balancer, 3, not_held(flow(1)), at(10_502));
    assert_eq!(
        queried_agents(&tick(&mut balancer, 10_506)),
        vec![node(2), node(4)]
    );
    let actions = deliver_message(&mut balancer, 2, located(flow(1)), at(10_508));
    assert_eq!(forward_receivers(&actions), vec![node(2)]);
}

/// The agent that announced the flow is cut off or gone.
#[test]
fn when_the_announcing_agent_is_silent_all_are_queried_before_the_caller_retransmits() {
    let mut balancer = locating_balancer(&[2, 3, 4], &[(3, &[flow(1)])]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    assert!(queried_agents(&tick(&mut balancer, 10_540)).is_empty());
    assert_eq!(queried_agents(&tick(&mut balancer, 10_565)).len(), 3);
}

/// All lists are complete and none contains the flow, which may have been opened since.
#[test]
fn no_list_proves_that_a_flow_is_gone() {
    let mut balancer = locating_balancer(&[2, 3], &[]);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(11_000));
    assert!(!has_reset(&tick(&mut balancer, 11_010)));
    assert!(!has_reset(&deliver_message(
        &mut balancer,
        2,
        not_held(flow(1)),
        at(11_020)
    )));
    assert!(has_reset(&deliver_message(
        &mut balancer,
        3,
        not_held(flow(1)),
        at(11_030)
    )));
}

/// Sets up agent 2 and agent 3, whose report `change` adapts. Agent 2 denies the flow,
/// and agent 3 is silent from 10,500 ms on. Returns whether the flow is reset before
/// `until`.
fn is_reset_with_silent(change: impl Fn(&mut TargetReport), until: u64) -> bool {
    let mut balancer = locating_balancer(&[2], &[]);
    let mut silent = report(3, 1);
    silent.knows_all_flows = true;
    silent.state = TargetState::Unknown;
    silent.incarnation = None;
    change(&mut silent);
    let message = PeerMessage::ReportWithFlows {
        report: silent,
        flows: complete(&[]),
    };
    deliver_message(&mut balancer, 3, message, at(10_480));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    let mut any_reset = false;
    for (sequence, now) in (10_504..until).step_by(25).enumerate() {
        any_reset |= has_reset(&tick(&mut balancer, now));
        let mut living = report(2, 2 + sequence as u64);
        living.knows_all_flows = true;
        any_reset |= has_reset(&deliver_report(&mut balancer, 2, &living, at(now)));
        any_reset |= has_reset(&deliver_message(
            &mut balancer,
            2,
            not_held(flow(1)),
            at(now),
        ));
    }
    any_reset
}

/// A machine whose agent had no target disappears: the agent is queried repeatedly for
/// 400 ms.
#[test]
fn a_silent_agent_without_a_target_is_waited_for_less_long_than_another() {
    assert!(!is_reset_with_silent(|_| {}, 10_880));
    assert!(is_reset_with_silent(|_| {}, 11_000));
}

#[test]
fn a_silent_agent_that_may_have_a_target_is_waited_for() {
    let changes: [fn(&mut TargetReport); 5] = [
        |report| report.state = TargetState::Ready,
        |report| report.state = TargetState::Leaving,
        |report| report.incarnation = Some(Incarnation(3)),
        |report| report.knows_all_flows = false,
        |report| report.load.flows = 1,
    ];
    for change in changes {
        assert!(!is_reset_with_silent(change, 11_100));
    }
}

/// Two flows share a fingerprint.
#[test]
fn an_agent_of_another_service_does_not_get_the_packet() {
    let mut balancer = locating_balancer(&[2], &[]);
    let mut other = report(3, 1);
    other.service = other_service();
    let flows = complete(&[flow(1)]);
    let message = PeerMessage::ReportWithFlows {
        report: other,
        flows,
    };
    deliver_message(&mut balancer, 3, message, at(10_000));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    assert!(receivers(&routing).is_empty());
}

#[test]
fn an_agent_known_to_be_undecided_gets_the_packet_without_a_query() {
    let mut balancer = locating_balancer(&[2], &[]);
    deliver_report(&mut balancer, 3, &report(3, 1), at(10_000));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_500));
    let actions = tick(&mut balancer, 10_504);
    assert_eq!(queried_agents(&actions), vec![node(2)]);
    assert_eq!(forward_receivers(&actions), vec![node(3)]);
}

#[test]
fn announcements_of_a_former_start_of_an_agent_are_removed() {
    let mut index = FlowIndex::default();
    let announcement = |open: &[u32]| FlowAnnouncement {
        coverage: AnnouncementCoverage::Complete,
        base_change: 0,
        last_change: 5,
        open: fingerprints(open.iter().copied()),
        closed: Vec::new(),
    };
    index.apply_statement(node(2), 1, &announcement(&[1, 2]));
    index.apply_statement(node(2), 2, &announcement(&[3]));
    assert_eq!(announced_by(&index, node(2), 10), BTreeSet::from([3]));
    index.remove_agent(node(2));
    assert!(index.is_empty());
}

#[test]
fn a_late_announcement_changes_nothing() {
    let mut announcer = FlowAnnouncer::new(EPOCH, at(0));
    let mut index = FlowIndex::default();
    announcer.update(fingerprints([1]).into_iter(), at(0));
    let first = announcer.announcement_for(node(1));
    announcer.update(fingerprints([2]).into_iter(), at(200));
    let second = announcer.announcement_for(node(1));
    index.apply_statement(node(9), EPOCH, &second);
    index.apply_statement(node(9), EPOCH, &first);
    index.apply_statement(node(9), EPOCH, &second);
    index.apply_statement(node(9), EPOCH, &first);
    assert_eq!(announced_by(&index, node(9), 10), BTreeSet::from([2]));
}

#[test]
fn the_loss_of_one_report_costs_nothing() {
    let mut announcer = FlowAnnouncer::new(EPOCH, at(0));
    let mut index = FlowIndex::default();
    let mut now = 0;
    for round in 0..20_u32 {
        now += 200;
        announcer.update(fingerprints(round..round + 5).into_iter(), at(now));
        let announcement = announcer.announcement_for(node(1));
        if round % 2 == 0 {
            index.apply_statement(node(9), EPOCH, &announcement);
            assert!(index.is_complete(node(9)), "round {round}");
            let open: BTreeSet<u32> = (round..round + 5).collect();
            assert_eq!(announced_by(&index, node(9), 40), open);
        }
    }
}

#[test]
fn after_a_gap_the_list_is_requested_at_intervals() {
    let mut announcer = FlowAnnouncer::new(EPOCH, at(0));
    let mut index = FlowIndex::default();
    index.apply_statement(node(9), EPOCH, &announcer.announcement_for(node(1)));
    for round in 1..4_u32 {
        announcer.update(
            fingerprints(round..round + 5).into_iter(),
            at(u64::from(round) * 200),
        );
        let announcement = announcer.announcement_for(node(1));
        if round == 3 {
            index.apply_statement(node(9), EPOCH, &announcement);
        }
    }
    assert!(!index.is_complete(node(9)));
    let ask = |index: &mut FlowIndex, now: u64| {
        index.take_agents_to_list([node(9)].into_iter(), 4, at(now))
    };
    assert_eq!(ask(&mut index, 1000), vec![node(9)]);
    assert!(ask(&mut index, 1100).is_empty());
    for part in announcer.list_parts(at(1100)) {
        index.add_list_part(node(9), part);
    }
    assert!(index.is_complete(node(9)));
    assert_eq!(announced_by(&index, node(9), 40), (3..8).collect());
}

/// One step of the random sequence: flows open and close, announcements are lost, late or
/// duplicated, the agent restarts, and the balancer asks for lists.
#[derive(Clone, Debug)]
enum Step {
    Flows(BTreeSet<u32>),
    Report { is_lost: bool },
    Late(usize),
    Restart,
    AskForList { is_lost: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => proptest::collection::btree_set(0..40_u32, 0..20).prop_map(Step::Flows),
        4 => any::<bool>().prop_map(|is_lost| Step::Report { is_lost }),
        2 => (0..8_usize).prop_map(Step::Late),
        1 => Just(Step::Restart),
        2 => any::<bool>().prop_map(|is_lost| Step::AskForList { is_lost }),
    ]
}

proptest! {
    /// Whatever was lost, late, duplicated or of a former start: if the index is marked
    /// complete after a report of the present start, it contains exactly what that report
    /// states.
    #[test]
    fn a_complete_index_matches_the_announced_flows(steps in proptest::collection::vec(step(), 1..80)) {
        let mut epoch = 1;
        let mut now = 0;
        let mut open = BTreeSet::new();
        let mut announcer = FlowAnnouncer::new(epoch, at(now));
        let mut index = FlowIndex::default();
        let mut sent: Vec<(u64, FlowAnnouncement)> = Vec::new();
        for step in steps {
            now += 150;
            match step {
                Step::Flows(flows) => {
                    open = flows;
                    announcer.update(fingerprints(open.iter().copied()).into_iter(), at(now));
                }
                Step::Report { is_lost } => {
                    let announcement = announcer.announcement_for(node(1));
                    sent.push((epoch, announcement.clone()));
                    if !is_lost {
                        index.apply_statement(node(9), epoch, &announcement);
                        if index.is_complete(node(9)) {
                            prop_assert_eq!(&announced_by(&index, node(9), 40), &open);
                        }
                    }
                }
                Step::Late(back) => {
                    if let Some((epoch, announcement)) = sent.iter().rev().nth(back) {
                        index.apply_statement(node(9), *epoch, announcement);
                    }
                }
                Step::Restart => {
                    epoch += 1;
                    open = BTreeSet::new();
                    announcer = FlowAnnouncer::new(epoch, at(now));
                }
                Step::AskForList { is_lost } => {
                    let parts = announcer.list_parts(at(now));
                    for part in parts.into_iter().filter(|_| !is_lost) {
                        index.add_list_part(node(9), part);
                    }
                }
            }
        }
    }
}

#[test]
fn an_agent_with_too_many_flows_announces_none() {
    let mut announcer = FlowAnnouncer::new(EPOCH, at(0));
    let flows = u32::try_from(MAXIMUM_ANNOUNCED_FLOWS).expect("a small number") + 1;
    announcer.update(fingerprints(0..flows).into_iter(), at(0));
    let announcement = announcer.announcement_for(node(1));
    assert_eq!(announcement.coverage, AnnouncementCoverage::Nothing);
    assert!(announcer.list_parts(at(0)).is_empty());
    let mut index = FlowIndex::default();
    index.apply_statement(node(9), EPOCH, &announcement);
    assert!(
        index
            .take_agents_to_list([node(9)].into_iter(), 1, at(10))
            .is_empty()
    );
}

/// Datagrams of reports and lists stay below 1,200 bytes, whatever has changed.
#[test]
fn each_datagram_is_small() {
    let mut announcer = FlowAnnouncer::new(EPOCH, at(0));
    announcer.announcement_for(node(1));
    for round in 0..4_u32 {
        let flows = fingerprints(round * 4000..round * 4000 + 4000);
        announcer.update(flows.into_iter(), at(u64::from(round) * 200));
        let flows = announcer.announcement_for(node(1));
        let report = report(9, 1);
        let datagram = PeerMessage::ReportWithFlows { report, flows }.encode(b"");
        assert!(datagram.len() <= 1200, "{}", datagram.len());
        for part in announcer.list_parts(at(u64::from(round) * 2000)) {
            let datagram = PeerMessage::FlowList(part).encode(b"");
            assert!(datagram.len() <= 1200, "{}", datagram.len());
        }
    }
}

/// An agent sends the same bytes per second whether 100, 1,000 or 4,000 balancers ask for
/// its list at once and never stop asking.
#[test]
fn the_lists_of_an_agent_are_bounded_at_any_number_of_balancers() {
    const DURATION_SECONDS: u32 = 10;
    for balancers in [100, 1000, 4000] {
        let mut announcer = FlowAnnouncer::new(EPOCH, at(0));
        announcer.update(fingerprints(0..2000).into_iter(), at(0));
        let mut parts = 0;
        for round in 0..DURATION_SECONDS * 2 {
            let now = at(u64::from(round) * 500);
            parts += (0..balancers)
                .map(|_| announcer.list_parts(now).len())
                .sum::<usize>();
        }
        let bound = usize::try_from(LIST_PARTS_PER_SECOND * (DURATION_SECONDS + 1)).expect("small");
        assert!(parts <= bound, "{balancers} balancers: {parts} parts");
        assert!(parts > 0);
    }
}

/// A balancer that misses the lists of 100 or 160 agents asks for the same bytes per
/// second: 5 percent of its link, and a tenth of a second's worth at the beginning. Of
/// 1,000 or 4,000 agents, whose flows it does not locate by lists, it asks for none.
#[test]
fn the_lists_that_a_balancer_asks_for_are_bounded_at_any_number_of_agents() {
    const FLOWS: u32 = 2000;
    const DURATION_SECONDS: u64 = 10;
    const BYTES_PER_SECOND: u64 = 62_500;
    for (agents, requests_lists) in [(100_u32, true), (160, true), (1000, false), (4000, false)] {
        let mut balancer = large_table_balancer();
        balancer.adopt_store_configuration(std::sync::Arc::new(Configuration {
            version: 2,
            ..locating_configuration()
        }));
        let mut asked = 0;
        for step in 0..DURATION_SECONDS * 40 {
            let now = at(10_000 + step * 25);
            if step % 4 == 0 {
                report_all(&mut balancer, agents, step, FLOWS, now);
            }
            let mut actions = Vec::new();
            balancer.tick(now, &mut actions);
            asked += actions
                .iter()
                .filter(|action| {
                    matches!(
                        action,
                        BalancerAction::Send {
                            message: PeerMessage::ListFlows,
                            ..
                        }
                    )
                })
                .count();
        }
        let bytes = u64::try_from(asked).expect("small") * u64::from(FLOWS) * 4;
        // One round may exceed the budget by the lists of one tick.
        let bound = BYTES_PER_SECOND * (DURATION_SECONDS + 1) + 4 * u64::from(FLOWS) * 4;
        assert!(bytes <= bound, "{agents} agents: {bytes} bytes");
        assert_eq!(asked > 0, requests_lists, "{agents} agents: {asked}");
    }
}

/// Sends reports of many agents, of which the balancer has missed changes.
fn report_all(balancer: &mut Balancer, agents: u32, sequence: u64, flows: u32, now: Instant) {
    for agent in 0..agents {
        let [_, _, high, low] = agent.to_be_bytes();
        let address = NodeAddress::new([10, 9, high, low].into(), 7160);
        let mut report = report(2, sequence + 1);
        report.load.flows = flows;
        report.interval_ms = 1000;
        let announcement = FlowAnnouncement {
            coverage: AnnouncementCoverage::Changes,
            base_change: 50,
            last_change: 50,
            open: Vec::new(),
            closed: Vec::new(),
        };
        let message = PeerMessage::ReportWithFlows {
            report,
            flows: announcement,
        };
        balancer.handle_message(address, message, None, now, &mut Vec::new());
    }
}

/// A machine of 0.09 of a core sends 2,400 queries per second: 0.8 of its processor, at
/// 30 microseconds each.
#[test]
fn queries_are_bounded_by_the_processor() {
    let mut budget = WorkBudget::for_queries(90, at(0));
    let mut asked = 0;
    for step in 0..1000_u64 {
        if budget.has_remaining(at(step * 10)) {
            budget.spend(100);
            asked += 100;
        }
    }
    assert!((22_500..=24_500).contains(&asked), "{asked}");
}

#[test]
fn an_agent_announces_flows_that_stay_open_and_sends_its_list_on_request() {
    let mut agent = agent();
    let snapshot = woodladder_core::flow::message::Snapshot {
        configuration: Some(locating_configuration()),
        ..Default::default()
    };
    agent.apply_snapshot(node(1), snapshot, at(0));
    agent.add_listed_balancers(&[node(1)], at(0));
    open_flow_at(&mut agent, flow(1), at(1000));
    assert_eq!(announced_flows(&mut agent, 1200), Some(Vec::new()));
    assert_eq!(
        announced_flows(&mut agent, 3000),
        Some(vec![FlowFingerprint::of(&flow(1))])
    );
    let mut actions = Vec::new();
    agent.handle_message(node(1), &PeerMessage::ListFlows, at(3100), &mut actions);
    let is_list = |action: &AgentAction| {
        matches!(action, AgentAction::Send { message: PeerMessage::FlowList(part), .. }
            if part.open == vec![FlowFingerprint::of(&flow(1))])
    };
    assert!(actions.iter().any(is_list));
    agent.handle_target_packet(
        &packet(flow(1), PacketKind::Reset, 5001, 1201, 0),
        None,
        at(3200),
    );
    let mut actions = Vec::new();
    agent.tick(at(5000), &mut actions);
    assert!(actions.iter().any(|action| matches!(
        action,
        AgentAction::Send { message: PeerMessage::ReportWithFlows { flows, .. }, .. }
            if flows.closed == vec![FlowFingerprint::of(&flow(1))]
    )));
}

/// The open flows that the agent's report at this time announces.
fn announced_flows(
    agent: &mut woodladder_core::flow::agent::Agent,
    now: u64,
) -> Option<Vec<FlowFingerprint>> {
    let mut actions = Vec::new();
    agent.tick(at(now), &mut actions);
    actions.into_iter().find_map(|action| match action {
        AgentAction::Send {
            message: PeerMessage::ReportWithFlows { flows, .. },
            ..
        } => Some(flows.open),
        _ => None,
    })
}

/// In a fleet of many agents, a query to all of them costs more than sending the packet
/// to the first targets, so a balancer searches as it does without lists.
#[test]
fn a_balancer_that_knows_very_many_agents_sends_packets_to_the_first_targets() {
    let few: Vec<u8> = (2..=60).collect();
    let many: Vec<u8> = (2..=200).collect();
    assert!(locating_balancer(&few, &[]).locates_flows());
    let mut balancer = locating_balancer(&many, &[]);
    assert!(!balancer.locates_flows());
    let unknown = data(flow(1), 1001, 5001);
    let routing = deliver_caller_packet(&mut balancer, &unknown, at(10_010));
    let sent = receivers(&routing).len();
    assert_eq!(sent, woodladder_core::flow::balancer::SEARCH_FANOUT);
}
