//! Leavings that were acknowledged outlive the agent's process: they are recorded in the
//! store before they are acknowledged, and read before a restarted agent takes flows.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, DeregistrationOutcome, Heartbeat, ListenState,
};
use woodladder_core::flow::balancer::BalancerAction;
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::leaving_record::LeavingStart;
use woodladder_core::flow::message::{PeerMessage, TargetState};
use woodladder_core::flow::store_session::{NextCall, StoreCall, StoreReply};

/// The target that leaves.
const TARGET: u64 = 1;
/// Another target that was at the address before.
const FORMER: u64 = 2;
/// The next target at the address.
const NEXT: u64 = 3;

/// The store's entry of one agent.
#[derive(Default)]
struct Entry {
    value: Option<Vec<u8>>,
    revision: u64,
}

impl Entry {
    fn carry_out(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::ReadLeavingRecord => StoreReply::Record {
                value: self.value.clone(),
                revision: self.value.as_ref().map_or(0, |_| self.revision),
            },
            StoreCall::WriteLeavingRecord { revision, bytes } => {
                let known = self.value.as_ref().map_or(0, |_| self.revision);
                if revision != known {
                    return StoreReply::RecordChanged { revision: known };
                }
                self.revision += 7;
                self.value = bytes;
                StoreReply::RecordWritten {
                    revision: self.revision,
                }
            }
            other => panic!("{other:?}"),
        }
    }

    fn start(&self) -> Option<LeavingStart> {
        LeavingStart::decode(self.value.as_deref()?)
    }
}

/// An agent that records leavings, in a process of its own.
fn recording_agent(epoch: u64) -> Agent {
    let options = AgentOptions {
        records_leavings: true,
        epoch,
        ..agent_options()
    };
    Agent::new(options, at(0))
}

/// Makes all calls that are due.
fn sync(agent: &mut Agent, entry: &mut Entry, milliseconds: u64) {
    while let NextCall::Now(call) = agent.next_leaving_record_call(at(milliseconds)) {
        let reply = entry.carry_out(call);
        agent.handle_leaving_record_reply(reply, at(milliseconds));
    }
}

fn leaving_heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(incarnation, sequence)
    }
}

fn takes_flow(agent: &mut Agent, port: u16, milliseconds: u64) -> bool {
    let open = opening(flow(port), 0);
    is_delivered(&forward_to(agent, &open_header(1), &open, at(milliseconds)))
}

/// Whether a balancer sends this message.
fn is_sent(action: &BalancerAction, sent: &PeerMessage) -> bool {
    matches!(action, BalancerAction::Send { message, .. } if message == sent)
}

/// The store's entry after the target has said that it leaves and was acknowledged.
fn entry_of_leaving_target() -> Entry {
    let mut entry = Entry::default();
    let mut agent = recording_agent(1);
    sync(&mut agent, &mut entry, 10);
    agent
        .handle_heartbeat(&heartbeat(TARGET, 7), at(1000))
        .expect("accepted");
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(2000))
        .expect("accepted");
    assert!(!agent.is_leaving_recorded());
    sync(&mut agent, &mut entry, 2001);
    assert!(agent.is_leaving_recorded());
    entry
}

/// A heartbeat from before the leaving opened the next process of the agent.
#[test]
fn a_recorded_leaving_holds_whatever_heartbeats_come_late_at_the_next_process() {
    let mut entry = entry_of_leaving_target();
    for record_comes_first in [true, false] {
        let mut agent = recording_agent(2);
        if record_comes_first {
            sync(&mut agent, &mut entry, 10);
        }
        let late = [(TARGET, 7, 100), (FORMER, 90, 200), (FORMER, 91, 800)];
        for (incarnation, sequence, time) in late {
            let _ignored = agent.handle_heartbeat(&heartbeat(incarnation, sequence), at(time));
            assert!(!takes_flow(&mut agent, 1, time + 5));
        }
        sync(&mut agent, &mut entry, 900);
        assert_eq!(agent.target_state(), TargetState::Leaving);
        let _ignored = agent.handle_heartbeat(&heartbeat(FORMER, 92), at(3000));
        assert!(!takes_flow(&mut agent, 2, 3100));
    }
}

/// A target that had deregistered first says nothing more, so that only the record tells.
#[test]
fn a_deregistration_is_recorded_before_it_is_acknowledged() {
    let mut entry = Entry::default();
    let mut agent = recording_agent(1);
    sync(&mut agent, &mut entry, 10);
    agent
        .handle_heartbeat(&heartbeat(TARGET, 7), at(1000))
        .expect("accepted");
    let outcome = agent.handle_deregistration(Incarnation(TARGET), at(2000));
    assert_eq!(outcome, DeregistrationOutcome::Applied);
    assert!(!agent.is_leaving_recorded());
    sync(&mut agent, &mut entry, 2001);
    assert!(agent.is_leaving_recorded());
    let recorded = entry.start().expect("a record");
    assert_eq!(recorded.incarnation, Incarnation(TARGET));
}

/// A deregistration that could not be attributed was acknowledged and bound nobody.
#[test]
fn a_deregistration_before_any_heartbeat_is_not_acknowledged() {
    let mut agent = recording_agent(1);
    let outcome = agent.handle_deregistration(Incarnation(TARGET), at(10));
    assert_eq!(outcome, DeregistrationOutcome::Unattributed);
    assert!(!takes_flow(&mut agent, 1, 20));
}

/// The record of one that has ended must not keep the next one waiting.
#[test]
fn the_next_start_at_the_address_is_served_at_once_and_the_record_removed() {
    let mut entry = entry_of_leaving_target();
    let mut agent = recording_agent(2);
    sync(&mut agent, &mut entry, 10);
    agent.record_listen_state(ListenState::NotListening);
    agent.record_listen_state(ListenState::Listening);
    agent
        .handle_heartbeat(&heartbeat(NEXT, 1), at(500))
        .expect("accepted");
    assert!(takes_flow(&mut agent, 1, 501));
    sync(&mut agent, &mut entry, 502);
    assert_eq!(entry.start(), None);
}

/// The same where heartbeats state when their start began, at the next process.
#[test]
fn a_later_start_is_served_at_once_after_a_recorded_leaving() {
    let mut entry = Entry::default();
    let started = |incarnation, sequence, started_at_ms| Heartbeat {
        started_at_ms: Some(started_at_ms),
        ..heartbeat(incarnation, sequence)
    };
    let mut agent = recording_agent(1);
    sync(&mut agent, &mut entry, 10);
    let leaving = Heartbeat {
        leaving: true,
        ..started(TARGET, 8, 5000)
    };
    agent
        .handle_heartbeat(&leaving, at(1000))
        .expect("accepted");
    sync(&mut agent, &mut entry, 1001);
    let mut next_process = recording_agent(2);
    sync(&mut next_process, &mut entry, 10);
    let former = next_process.handle_heartbeat(&started(FORMER, 90, 4000), at(20));
    assert!(former.is_err(), "{former:?}");
    next_process
        .handle_heartbeat(&started(NEXT, 1, 9000), at(30))
        .expect("accepted");
    assert!(takes_flow(&mut next_process, 1, 31));
}

/// A new machine's target was kept waiting for a record that cannot concern it.
#[test]
fn a_target_that_starts_after_its_agent_takes_flows_without_the_record() {
    let mut agent = recording_agent(1);
    agent.record_listen_state(ListenState::NotListening);
    agent
        .handle_heartbeat(&heartbeat(TARGET, 1), at(50))
        .expect("accepted");
    assert!(takes_flow(&mut agent, 1, 51));
}

/// While the store is away, callers must not find all restarted agents closed; what is
/// acknowledged counts as soon as the store is back.
#[test]
fn an_agent_goes_by_heartbeats_after_a_second_without_the_store() {
    let mut entry = entry_of_leaving_target();
    let mut agent = recording_agent(2);
    agent
        .handle_heartbeat(&heartbeat(TARGET, 7), at(5))
        .expect("accepted");
    for time in [10, 300, 700, 1000] {
        if let NextCall::Now(_) = agent.next_leaving_record_call(at(time)) {
            agent.handle_leaving_record_reply(StoreReply::NoAnswer, at(time));
        }
        assert!(!takes_flow(&mut agent, 1, time));
    }
    agent.tick(at(1010), &mut Vec::new());
    assert!(takes_flow(&mut agent, 2, 1011));
    sync(&mut agent, &mut entry, 4000);
    assert!(!takes_flow(&mut agent, 3, 4001));
}

/// A write without an answer may be carried out late; it must not undo a later one.
#[test]
fn a_late_write_of_a_record_does_not_undo_its_removal() {
    let mut entry = Entry::default();
    let mut agent = recording_agent(1);
    sync(&mut agent, &mut entry, 10);
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(1000))
        .expect("accepted");
    let NextCall::Now(unanswered) = agent.next_leaving_record_call(at(1001)) else {
        panic!("a write is due");
    };
    agent.handle_leaving_record_reply(StoreReply::NoAnswer, at(1002));
    assert!(!agent.is_leaving_recorded());
    sync(&mut agent, &mut entry, 2000);
    assert!(agent.is_leaving_recorded());
    let recorded_at = entry.revision;
    entry.carry_out(unanswered);
    assert_eq!(entry.revision, recorded_at);
}

/// A target that said that it drains while its agent stopped was remembered by nobody.
#[test]
fn a_leaving_that_is_announced_during_a_planned_stop_is_recorded_and_told() {
    let mut entry = Entry::default();
    let mut agent = recording_agent(1);
    sync(&mut agent, &mut entry, 10);
    agent.add_listed_balancers(&[node(1)], at(20));
    agent
        .handle_heartbeat(&heartbeat(TARGET, 7), at(1000))
        .expect("accepted");
    agent.begin_shutdown(at(1100));
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(1200))
        .expect("accepted");
    sync(&mut agent, &mut entry, 1201);
    assert!(entry.start().is_some());
    let mut actions = Vec::new();
    agent.tick(at(1300), &mut actions);
    let told = PeerMessage::TargetLeaves {
        incarnation: Incarnation(TARGET),
    };
    let is_told = |action: &AgentAction| match action {
        AgentAction::Send { message, .. } => *message == told,
        _ => false,
    };
    assert!(actions.iter().any(is_told), "{actions:?}");
}

/// A restarted agent that had heard a former start was not reminded of the leaving.
#[test]
fn a_restarted_agent_that_reports_another_start_is_reminded_of_the_leaving() {
    let mut balancer = balancer(&[2]);
    let mut known = report(2, 5);
    known.state = TargetState::Leaving;
    deliver_report(&mut balancer, 2, &known, at(10_010));
    let incarnation = known.incarnation.expect("stated");
    let leaves = PeerMessage::TargetLeaves { incarnation };
    deliver_message(&mut balancer, 2, leaves.clone(), at(10_011));
    let mut other = report(2, 1);
    other.epoch = 77;
    other.incarnation = Some(Incarnation(900));
    let actions = deliver_report(&mut balancer, 2, &other, at(10_100));
    assert!(actions.iter().any(|it| is_sent(it, &leaves)), "{actions:?}");
    let mut agent = recording_agent(77);
    agent
        .handle_heartbeat(&heartbeat(900, 5), at(100))
        .expect("accepted");
    agent.handle_message(node(1), &leaves, at(200), &mut Vec::new());
    assert_eq!(agent.target_state(), TargetState::Leaving);
}

/// The memory of balancers must not take a start out that an agent has seen to follow.
#[test]
fn an_agent_that_has_seen_the_next_start_is_not_reminded_of_the_former_ones_leaving() {
    let mut balancer = balancer(&[2]);
    let known = report(2, 5);
    let incarnation = known.incarnation.expect("stated");
    let leaves = PeerMessage::TargetLeaves { incarnation };
    deliver_message(&mut balancer, 2, leaves.clone(), at(10_011));
    let mut next = report(2, 6);
    next.incarnation = Some(Incarnation(900));
    deliver_report(&mut balancer, 2, &next, at(10_100));
    let mut restarted = report(2, 1);
    restarted.epoch = 77;
    restarted.incarnation = Some(Incarnation(900));
    let actions = deliver_report(&mut balancer, 2, &restarted, at(10_200));
    assert!(
        !actions.iter().any(|it| is_sent(it, &leaves)),
        "{actions:?}"
    );
}

/// A balancer's reminder brought back a start that this process had seen another one follow,
/// and balancers reset the flows of the living one.
#[test]
fn a_reminder_does_not_bring_back_a_start_that_another_has_followed() {
    let mut agent = recording_agent(77);
    let leaves = PeerMessage::TargetLeaves {
        incarnation: Incarnation(TARGET),
    };
    agent.handle_message(node(1), &leaves, at(10), &mut Vec::new());
    agent.record_listen_state(ListenState::NotListening);
    agent.record_listen_state(ListenState::Listening);
    agent
        .handle_heartbeat(&heartbeat(NEXT, 1), at(500))
        .expect("accepted");
    agent.handle_message(node(2), &leaves, at(600), &mut Vec::new());
    assert_eq!(
        agent.target_status(at(601)).incarnation,
        Some(Incarnation(NEXT))
    );
    assert!(takes_flow(&mut agent, 1, 602));
}

/// The next start listened before any probe, and was kept waiting.
#[test]
fn a_next_start_that_listens_at_once_is_served_at_once() {
    let mut entry = Entry::default();
    let mut agent = recording_agent(1);
    sync(&mut agent, &mut entry, 10);
    agent
        .handle_heartbeat(&leaving_heartbeat(TARGET, 8), at(1000))
        .expect("accepted");
    sync(&mut agent, &mut entry, 1001);
    agent.handle_deregistration(Incarnation(TARGET), at(6000));
    agent.record_closed_connection();
    sync(&mut agent, &mut entry, 6100);
    assert_eq!(entry.start(), None, "the next process need not know it");
    agent.record_listen_state(ListenState::Listening);
    agent
        .handle_heartbeat(&heartbeat(NEXT, 1), at(6101))
        .expect("accepted");
    assert!(takes_flow(&mut agent, 1, 6102));
}
