//! A target that restarts under its former name is a new incarnation: nothing of the
//! former start remains, and late messages of the former start change nothing.

mod flow_support;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{Agent, Heartbeat, HeartbeatError, ListenState};
use woodladder_core::flow::balancer::{Balancer, BalancerAction};
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::message::{
    ForwardPurpose, PeerMessage, TargetLoad, TargetReport, TargetState,
};
use woodladder_core::flow::target_restart::{
    RestartDetector, SILENCE_BEFORE_SUPERSEDED, TargetStart,
};

const NAME: &str = "i-7f3a";
/// When the first start began, in milliseconds of Unix time.
const FIRST_START_UNIX_MS: u64 = 1_790_000_000_000;

/// A heartbeat of the start under [`NAME`] that began this many milliseconds after the
/// first one.
fn heartbeat_of(after_ms: i64, sequence: u64) -> Heartbeat {
    let started_at = FIRST_START_UNIX_MS
        .checked_add_signed(after_ms)
        .expect("a time");
    Heartbeat {
        incarnation: Incarnation::started_at(NAME, started_at),
        instance: Incarnation::named(NAME),
        started_at_ms: Some(started_at),
        ..heartbeat(0, sequence)
    }
}

/// A report of an agent whose target is the start that began this many milliseconds after
/// the first one.
fn report_of(after_ms: i64, epoch: u64, sequence: u64) -> TargetReport {
    let beat = heartbeat_of(after_ms, 1);
    TargetReport {
        epoch,
        incarnation: Some(beat.incarnation),
        started_at_ms: beat.started_at_ms,
        ..report(2, sequence)
    }
}

/// An agent whose target is the first start and has sent many heartbeats.
fn agent_of_first_start() -> Agent {
    let mut agent = empty_agent();
    for (sequence, time) in [(1, 0), (2, 1000), (90, 2000)] {
        agent
            .handle_heartbeat(&heartbeat_of(0, sequence), at(time))
            .expect("taken");
    }
    agent
}

fn milliseconds(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("short")
}

#[test]
fn a_new_start_under_the_same_name_is_accepted_at_once_with_a_lower_sequence() {
    let mut agent = agent_of_first_start();
    open_flow_at(&mut agent, flow(1), at(1900));
    assert_eq!(agent.load().flows, 1);
    let cold = Heartbeat {
        slots: 3,
        ..heartbeat_of(3000, 1)
    };
    agent.handle_heartbeat(&cold, at(3000)).expect("taken");
    assert_eq!(agent.load().flows, 0);
    let request = header(1, ForwardPurpose::Established);
    let delivery = forward_to(&mut agent, &request, &data(flow(1), 1101, 5001), at(3001));
    assert!(!is_delivered(&delivery), "{delivery:?}");
}

#[test]
fn a_late_heartbeat_of_the_former_start_changes_nothing_whatever_its_number() {
    let mut agent = agent_of_first_start();
    agent
        .handle_heartbeat(&heartbeat_of(3000, 1), at(3000))
        .expect("taken");
    open_flow_at(&mut agent, flow(1), at(3100));
    for (sequence, time) in [(91, 3200), (4000, 3300), (u64::MAX, 9000)] {
        let late = Heartbeat {
            leaving: true,
            ..heartbeat_of(0, sequence)
        };
        assert_eq!(
            agent.handle_heartbeat(&late, at(time)),
            Err(HeartbeatError::Replaced)
        );
    }
    assert_eq!(agent.target_state(), TargetState::Ready);
    assert_eq!(agent.load().flows, 1);
    assert_eq!(agent.counters().heartbeats_replaced, 3);
}

#[test]
fn an_intermediate_start_that_was_never_heard_does_not_replace_the_last_one() {
    let mut agent = agent_of_first_start();
    agent
        .handle_heartbeat(&heartbeat_of(3000, 1), at(3000))
        .expect("taken");
    let between = heartbeat_of(2500, 1);
    let refused = agent.handle_heartbeat(&between, at(3100));
    assert_eq!(refused, Err(HeartbeatError::Unproven));
    agent
        .handle_heartbeat(&heartbeat_of(3000, 2), at(4000))
        .expect("taken");
    let again = agent.handle_heartbeat(&heartbeat_of(2500, 2), at(9000));
    assert_eq!(again, Err(HeartbeatError::Unproven));
    assert_eq!(agent.counters().heartbeats_unproven, 2);
}

#[test]
fn a_start_whose_clock_went_back_is_accepted_once_the_known_one_stays_silent() {
    let mut agent = agent_of_first_start();
    let begin = 3000;
    let first = agent.handle_heartbeat(&heartbeat_of(-5000, 1), at(begin));
    assert_eq!(first, Err(HeartbeatError::Unproven));
    let early = begin + milliseconds(SILENCE_BEFORE_SUPERSEDED) - 1;
    let second = agent.handle_heartbeat(&heartbeat_of(-5000, 2), at(early));
    assert_eq!(second, Err(HeartbeatError::Unproven));
    agent
        .handle_heartbeat(&heartbeat_of(-5000, 3), at(early + 1))
        .expect("taken");
    let late = agent.handle_heartbeat(&heartbeat_of(0, 91), at(early + 2));
    assert_eq!(late, Err(HeartbeatError::Replaced));
}

#[test]
fn a_start_whose_clock_went_back_replaces_a_deregistered_one_at_once() {
    let mut agent = agent_of_first_start();
    let leaving = Heartbeat {
        leaving: true,
        ..heartbeat_of(0, 91)
    };
    agent.handle_heartbeat(&leaving, at(3000)).expect("taken");
    agent.handle_deregistration(Incarnation::named(NAME), at(3050));
    let may_be_late = agent.handle_heartbeat(&heartbeat_of(-5000, 1), at(3060));
    assert_eq!(may_be_late, Err(HeartbeatError::Unproven));
    agent.record_listen_state(ListenState::NotListening);
    agent.record_listen_state(ListenState::Listening);
    agent
        .handle_heartbeat(&heartbeat_of(-5000, 1), at(3100))
        .expect("taken");
    assert_eq!(agent.target_state(), TargetState::Ready);
}

#[test]
fn a_heartbeat_that_does_not_say_when_its_start_began_does_not_replace_one_that_did() {
    let mut agent = agent_of_first_start();
    let foreign = Heartbeat {
        incarnation: Incarnation::named(NAME),
        started_at_ms: None,
        ..heartbeat_of(0, 500)
    };
    assert_eq!(
        agent.handle_heartbeat(&foreign, at(2100)),
        Err(HeartbeatError::Unproven)
    );
    agent
        .handle_heartbeat(&heartbeat_of(0, 91), at(3000))
        .expect("taken");
    assert_eq!(
        agent.handle_heartbeat(&foreign, at(9000)),
        Err(HeartbeatError::Unproven)
    );
}

#[test]
fn a_late_deregistration_of_the_former_start_does_not_make_the_new_one_leave() {
    for former in [
        Incarnation::started_at(NAME, FIRST_START_UNIX_MS),
        Incarnation::named(NAME),
    ] {
        let mut agent = agent_of_first_start();
        agent
            .handle_heartbeat(&heartbeat_of(3000, 1), at(3000))
            .expect("taken");
        agent.handle_deregistration(former, at(3100));
        assert_eq!(agent.target_state(), TargetState::Ready);
        assert_eq!(agent.counters().deregistrations_ignored, 1);
    }
}

#[test]
fn a_deregistration_of_the_present_start_makes_it_leave() {
    let mut agent = agent_of_first_start();
    agent.handle_deregistration(Incarnation::named(NAME), at(2100));
    assert_eq!(agent.target_state(), TargetState::Leaving);
    let mut agent = agent_of_first_start();
    agent
        .handle_heartbeat(&heartbeat_of(3000, 1), at(3000))
        .expect("taken");
    let start = heartbeat_of(3000, 1).incarnation;
    agent.handle_deregistration(start, at(3100));
    assert_eq!(agent.target_state(), TargetState::Leaving);
}

#[test]
fn a_deregistration_before_any_heartbeat_is_attributed_to_no_start() {
    let mut agent = empty_agent();
    agent.handle_deregistration(Incarnation::named(NAME), at(50));
    assert_eq!(agent.target_state(), TargetState::Leaving);
    agent
        .handle_heartbeat(&heartbeat_of(0, 40), at(100))
        .expect("taken");
    assert_eq!(agent.target_state(), TargetState::Ready);
}

/// After its own start, an agent may first receive a late heartbeat of a former start.
/// The start that follows it may then have lived before the agent, and have flows.
#[test]
fn a_single_late_heartbeat_does_not_make_a_restarted_agent_deny_living_flows() {
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat_of(0, 90), at(100))
        .expect("taken");
    agent
        .handle_heartbeat(&heartbeat_of(3000, 40), at(200))
        .expect("taken");
    let search = header(1, ForwardPurpose::Established);
    let delivery = forward_to(&mut agent, &search, &data(flow(1), 1101, 5001), at(300));
    assert!(is_delivered(&delivery), "{delivery:?}");
}

/// A balancer with a flow open at agent 2, whose target is the start that began this many
/// milliseconds after the first one.
fn balancer_with_flow(after_ms: i64) -> Balancer {
    let mut balancer = balancer(&[]);
    deliver_report(&mut balancer, 2, &report_of(after_ms, 1, 1), at(10_000));
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    let acceptance = PeerMessage::Accepted {
        key: flow(1),
        sequence: 5000,
        incarnation: Some(heartbeat_of(after_ms, 1).incarnation),
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, 2, acceptance, at(10_011));
    deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_012));
    balancer
}

fn resets(balancer: &mut Balancer, report: &TargetReport, now: Instant) -> usize {
    let actions = deliver_report(balancer, 2, report, now);
    actions
        .iter()
        .filter(|action| matches!(action, BalancerAction::Reset(_)))
        .count()
}

#[test]
fn flows_of_the_former_start_are_reset_once_and_at_once() {
    let mut balancer = balancer_with_flow(0);
    let next = report_of(3000, 1, 2);
    assert_eq!(resets(&mut balancer, &next, at(10_100)), 1);
    let again = report_of(3000, 1, 3);
    assert_eq!(resets(&mut balancer, &again, at(10_200)), 0);
}

#[test]
fn a_restarted_agent_that_has_heard_a_late_heartbeat_resets_no_living_flow() {
    let mut balancer = balancer_with_flow(3000);
    for sequence in 1..=10 {
        let late = report_of(0, 2, sequence);
        assert_eq!(resets(&mut balancer, &late, at(10_100 + 100 * sequence)), 0);
    }
    let present = report_of(3000, 2, 11);
    assert_eq!(resets(&mut balancer, &present, at(11_200)), 0);
    let next = report_of(6000, 2, 12);
    assert_eq!(resets(&mut balancer, &next, at(11_300)), 1);
}

#[test]
fn a_restarted_agent_that_keeps_reporting_a_start_whose_clock_went_back_is_presumed_restarted() {
    let mut balancer = balancer_with_flow(0);
    let mut reset = 0;
    for sequence in 1..=30 {
        let next = report_of(-5000, 2, sequence);
        reset += resets(&mut balancer, &next, at(10_100 + 100 * sequence));
    }
    assert_eq!(reset, 1);
}

#[test]
fn a_late_report_of_an_agents_former_process_changes_nothing() {
    let mut balancer = balancer_with_flow(0);
    deliver_report(&mut balancer, 2, &report_of(0, 2, 1), at(10_100));
    let late = report_of(-9000, 1, 90);
    assert_eq!(resets(&mut balancer, &late, at(10_200)), 0);
    let late = report_of(9000, 1, 91);
    assert_eq!(resets(&mut balancer, &late, at(10_300)), 0);
}

#[test]
fn only_a_start_that_surely_began_later_supersedes_without_proof() {
    let start = |number, started_at_ms| TargetStart {
        incarnation: Incarnation(number),
        started_at_ms,
    };
    for (known, next, supersedes) in [
        (None, None, false),
        (None, Some(1), false),
        (Some(1), Some(2), true),
        (Some(2), Some(2), false),
        (Some(2), Some(1), false),
        (Some(2), None, false),
    ] {
        let mut succession = RestartDetector::default();
        let superseded = succession.supersedes(&start(1, known), &start(2, next), 1, at(0));
        assert_eq!(superseded, supersedes, "{known:?} {next:?}");
        assert_eq!(succession.is_undecided(), !supersedes);
        succession.confirm_known();
        let later = at(milliseconds(SILENCE_BEFORE_SUPERSEDED));
        let superseded = succession.supersedes(&start(1, known), &start(2, next), 2, later);
        assert_eq!(
            superseded, supersedes,
            "a claim lapses when the known one is heard"
        );
    }
}
