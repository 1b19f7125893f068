//! Silent agents are detected by what they leave unanswered, however rare the reports
//! of a large fleet are.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::AgentAction;
use woodladder_core::flow::balancer::{Balancer, BalancerAction};
use woodladder_core::flow::identity::NodeAddress;
use woodladder_core::flow::message::{PeerMessage, Snapshot};
use woodladder_core::flow::packet::FlowPacket;

/// Time between two reports of an agent, in milliseconds.
const REPORT_INTERVAL_MS: u32 = 5000;

/// A balancer with two agents whose reports are rare.
fn balancer_with_rare_reports() -> Balancer {
    let mut balancer = balancer(&[]);
    for agent in [2, 3] {
        let mut report = report(agent, 1);
        report.interval_ms = REPORT_INTERVAL_MS;
        deliver_report(&mut balancer, agent, &report, at(10_000));
    }
    balancer
}

/// Opens a flow and returns the number of the agent that accepted it.
fn open(balancer: &mut Balancer, packet: &FlowPacket, now: u64) -> u8 {
    let routing = deliver_caller_packet(balancer, packet, at(now));
    let to = receivers(&routing)[0].ip().octets()[3];
    let accepted = PeerMessage::Accepted {
        key: packet.key,
        sequence: 5000,
        incarnation: None,
        load: Default::default(),
    };
    deliver_message(balancer, to, accepted, at(now + 1));
    deliver_caller_packet(balancer, &data(packet.key, 1001, 5001), at(now + 2));
    to
}

fn probed(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Send {
                to,
                message: PeerMessage::Probe,
            } => Some(*to),
            _ => None,
        })
        .collect()
}

fn resets(actions: &[BalancerAction]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, BalancerAction::Reset(_)))
        .count()
}

/// Runs the ticks from one time to another; the agents with these numbers answer each
/// probe. Returns the number of probes sent and the time of the first reset.
fn run_ticks(balancer: &mut Balancer, times: (u64, u64), answering: &[u8]) -> (usize, Option<u64>) {
    let mut probes = 0;
    let mut reset_at = None;
    for now in (times.0..times.1).step_by(25) {
        let mut actions = Vec::new();
        balancer.tick(at(now), &mut actions);
        for to in probed(&actions) {
            probes += 1;
            let number = to.ip().octets()[3];
            if answering.contains(&number) {
                let mut report = report(number, now);
                report.interval_ms = REPORT_INTERVAL_MS;
                deliver_report(balancer, number, &report, at(now));
            }
        }
        if resets(&actions) > 0 {
            reset_at.get_or_insert(now);
        }
    }
    (probes, reset_at)
}

/// Runs the ticks while another agent reports, which shows that the balancer itself is
/// not cut off. Returns the time of the first reset.
fn run_ticks_with_reports(balancer: &mut Balancer, other: u8, times: (u64, u64)) -> Option<u64> {
    let mut reset_at = None;
    for now in (times.0..times.1).step_by(25) {
        let mut report = report(other, now);
        report.interval_ms = REPORT_INTERVAL_MS;
        deliver_report(balancer, other, &report, at(now));
        let (_, reset) = run_ticks(balancer, (now, now + 25), &[]);
        reset_at = reset_at.or(reset);
    }
    reset_at
}

#[test]
fn a_retransmission_causes_a_probe_and_an_unanswered_one_ends_the_flow() {
    let mut balancer = balancer_with_rare_reports();
    let holder = open(&mut balancer, &opening(flow(1), 0), 10_050);
    let other = 5 - holder;
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_300));
    let reset_at = run_ticks_with_reports(&mut balancer, other, (10_300, 12_000)).expect("a reset");
    assert!((11_300..11_500).contains(&reset_at), "{reset_at}");
}

#[test]
fn an_agent_that_answers_keeps_its_flows_however_slow_its_target_is() {
    let mut balancer = balancer_with_rare_reports();
    open(&mut balancer, &opening(flow(1), 0), 10_050);
    let mut probes = 0;
    for now in (10_300..14_000).step_by(200) {
        deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(now));
        let (sent, reset_at) = run_ticks(&mut balancer, (now, now + 200), &[2, 3]);
        assert_eq!(reset_at, None);
        probes += sent;
    }
    assert!(probes <= 20, "{probes} probes for 19 repetitions");
}

#[test]
fn a_balancer_that_hears_nobody_considers_no_agent_lost() {
    let mut balancer = balancer_with_rare_reports();
    open(&mut balancer, &opening(flow(1), 0), 10_050);
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_300));
    let (probes, reset_at) = run_ticks(&mut balancer, (10_300, 13_000), &[]);
    assert!(probes > 3);
    assert_eq!(reset_at, None);
}

#[test]
fn an_agent_that_leaves_an_opening_unanswered_gets_no_further_flow() {
    let mut balancer = balancer_with_rare_reports();
    let silent = receivers(&deliver_caller_packet(
        &mut balancer,
        &opening(flow(1), 0),
        at(10_050),
    ))[0];
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 1), at(10_250));
    assert_ne!(receivers(&routing), vec![silent]);
    let other = 5 - silent.ip().octets()[3];
    run_ticks_with_reports(&mut balancer, other, (10_250, 10_700));
    for port in 2..30 {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_700));
        assert_ne!(receivers(&routing), vec![silent]);
    }
}

#[test]
fn new_data_causes_no_probe() {
    let mut balancer = balancer_with_rare_reports();
    open(&mut balancer, &opening(flow(1), 0), 10_050);
    let mut sequence = 1101;
    for now in (10_100..11_000).step_by(100) {
        deliver_caller_packet(&mut balancer, &data(flow(1), sequence, 5001), at(now));
        sequence += 100;
    }
    let (probes, _) = run_ticks(&mut balancer, (11_000, 11_200), &[]);
    assert_eq!(probes, 0);
}

#[test]
fn an_agent_answers_a_probe_with_a_report_at_once() {
    let mut agent = agent();
    let mut actions = Vec::new();
    agent.tick(at(5), &mut actions);
    actions.clear();
    agent.handle_message(node(4), &PeerMessage::Probe, at(10), &mut actions);
    let reports = actions.iter().filter(|action| {
        matches!(action, AgentAction::Send { to, message: PeerMessage::Report(_) } if *to == node(4))
    });
    assert_eq!(reports.count(), 1);
}

/// A lost hello must not delay the proof that no target holds a flow, and a named agent
/// that is gone must not prevent it.
#[test]
fn named_agents_are_sent_hellos_and_dropped_when_they_stay_silent() {
    let mut balancer = balancer(&[2]);
    let snapshot = Snapshot {
        agents: vec![node(2), node(7)],
        knows_all_agents: true,
        ..Snapshot::default()
    };
    let mut actions = Vec::new();
    balancer.handle_snapshot(node(5), snapshot, at(10_100), &mut actions);
    let mut hellos = 0;
    for now in (10_100..12_100).step_by(25) {
        deliver_report(&mut balancer, 2, &report(2, now), at(now));
        balancer.tick(at(now), &mut actions);
        hellos += actions
            .drain(..)
            .filter(|action| matches!(action, BalancerAction::Send { to, .. } if *to == node(7)))
            .count();
    }
    assert!((6..=9).contains(&hellos), "{hellos}");
    deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(12_110));
    let denial = PeerMessage::NotHeld {
        keys: vec![flow(1)],
    };
    assert_eq!(
        resets(&deliver_message(&mut balancer, 2, denial, at(12_120))),
        1
    );
}
