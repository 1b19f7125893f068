//! What an agent states about its target: why it holds it for ready or leaving, what it
//! ignored, and which new flows reached a target whose leaving was acknowledged.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::agent::{
    Agent, DeregistrationOutcome, Heartbeat, HeartbeatOutcome, LeavingWatch, StateCause,
    SuccessionEvidence, TargetStatus,
};
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::log_event::LogEvent;
use woodladder_core::flow::message::TargetState;

fn leaving_heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        leaving: true,
        ..heartbeat(incarnation, sequence)
    }
}

fn take_events(agent: &mut Agent) -> Vec<LogEvent> {
    agent.take_log_events().0
}

#[test]
fn the_status_names_the_heartbeat_that_the_state_rests_on() {
    let mut agent = agent();
    agent
        .handle_heartbeat(&leaving_heartbeat(1, 7), at(1000))
        .expect("accepted");
    agent
        .handle_heartbeat(&leaving_heartbeat(1, 8), at(2200))
        .expect("accepted");
    let expected = TargetStatus {
        state: TargetState::Leaving,
        cause: StateCause::Heartbeat,
        state_age: Duration::from_millis(2000),
        incarnation: Some(Incarnation(1)),
        heartbeat_sequence: 8,
        heartbeat_age: Some(Duration::from_millis(800)),
        heard_for: Duration::from_millis(2200),
        started_at_ms: None,
        agent_age: Duration::from_millis(3000),
    };
    assert_eq!(agent.target_status(at(3000)), expected);
}

#[test]
fn a_change_of_state_is_logged_with_its_cause_and_heartbeat() {
    let mut agent = agent();
    take_events(&mut agent);
    agent
        .handle_heartbeat(&leaving_heartbeat(1, 7), at(1000))
        .expect("accepted");
    let events = take_events(&mut agent);
    let [
        LogEvent::TargetState { former, status },
        LogEvent::LeavingAcknowledged {
            incarnation,
            status: acknowledged,
        },
    ] = events.as_slice()
    else {
        panic!("{events:?}");
    };
    assert_eq!(*incarnation, Incarnation(1));
    assert_eq!(acknowledged, status);
    assert_eq!(*former, TargetState::Ready);
    assert_eq!(status.cause, StateCause::Heartbeat);
    assert_eq!(status.heartbeat_sequence, 7);
}

#[test]
fn a_start_that_replaces_another_is_logged_with_what_the_other_had_said() {
    let mut agent = agent();
    agent
        .handle_heartbeat(&heartbeat(1, 7), at(100))
        .expect("accepted");
    take_events(&mut agent);
    agent
        .handle_heartbeat(&heartbeat(2, 1), at(200))
        .expect("accepted");
    let events = take_events(&mut agent);
    let replaced = events.iter().find_map(|event| match event {
        LogEvent::TargetStartReplaced {
            former,
            incarnation,
            sequence,
            evidence,
        } => Some((*former, *incarnation, *sequence, *evidence)),
        _ => None,
    });
    let (former, incarnation, sequence, evidence) = replaced.expect("a replacement");
    assert_eq!((incarnation, sequence), (Incarnation(2), 1));
    assert_eq!(evidence, SuccessionEvidence::HeardOnce);
    assert_eq!(agent.counters().successions[evidence.index()], 1);
    assert_eq!(former.state, TargetState::Ready);
    assert_eq!(former.heartbeat_sequence, 7);
}

#[test]
fn ignored_statements_are_told_from_applied_ones() {
    let mut agent = agent();
    assert_eq!(
        agent.handle_heartbeat(&heartbeat(1, 5), at(10)),
        Ok(HeartbeatOutcome::Applied)
    );
    assert_eq!(
        agent.handle_heartbeat(&heartbeat(1, 5), at(20)),
        Ok(HeartbeatOutcome::Outdated)
    );
    assert_eq!(agent.counters().heartbeats_outdated, 1);
    assert_eq!(
        agent.handle_deregistration(Incarnation(8), at(30)),
        DeregistrationOutcome::OtherTarget
    );
    assert_eq!(
        agent.handle_deregistration(Incarnation(1), at(40)),
        DeregistrationOutcome::Applied
    );
}

#[test]
fn an_acknowledged_leaving_is_watched_until_nothing_listens_at_the_address() {
    let mut watch = LeavingWatch::default();
    watch.record_acknowledged(Incarnation(1), at(10));
    watch.record_acknowledged(Incarnation(1), at(1210));
    let leaving = watch.outstanding().expect("watched");
    assert_eq!(leaving.acknowledged_at, at(10));
    watch.record_deregistration([Some(Incarnation(1)), Some(Incarnation(1))], at(3500));
    assert!(watch.outstanding().is_some(), "it may take packets on");
    watch.record_end();
    assert!(watch.outstanding().is_none());
}

#[test]
fn a_deregistration_without_a_leaving_before_it_begins_the_watch() {
    let mut watch = LeavingWatch::default();
    watch.record_deregistration([None, Some(Incarnation(1))], at(10));
    assert!(watch.outstanding().is_some());
}

/// A single heartbeat of another start may be a late one, so it ends no watch.
#[test]
fn a_leaving_is_watched_until_another_start_goes_on_while_it_is_silent() {
    let mut watch = LeavingWatch::default();
    watch.record_acknowledged(Incarnation(1), at(0));
    watch.record_heartbeat(Incarnation(2), 3, at(100));
    watch.record_heartbeat(Incarnation(1), 9, at(1200));
    watch.record_heartbeat(Incarnation(2), 4, at(2700));
    assert!(watch.outstanding().is_some(), "the leaving one was heard");
    watch.record_heartbeat(Incarnation(2), 4, at(5300));
    assert!(watch.outstanding().is_some(), "the same heartbeat again");
    watch.record_heartbeat(Incarnation(2), 5, at(5400));
    assert!(watch.outstanding().is_none());
}

/// Flows of a later start were counted as new flows at the one that had left before.
#[test]
fn a_leaving_is_watched_no_longer_once_a_later_start_is_present() {
    let started = |incarnation, started_at_ms| Heartbeat {
        started_at_ms: Some(started_at_ms),
        ..heartbeat(incarnation, 1)
    };
    let mut agent = empty_agent();
    let leaving = Heartbeat {
        leaving: true,
        ..started(1, 5000)
    };
    agent.handle_heartbeat(&leaving, at(10)).expect("accepted");
    agent
        .handle_heartbeat(&started(2, 9000), at(20))
        .expect("accepted");
    let open = opening(flow(1), 0);
    assert!(is_delivered(&forward_to(
        &mut agent,
        &open_header(1),
        &open,
        at(30)
    )));
    assert_eq!(agent.broken_promises().opened_after_leaving, 0);
}
