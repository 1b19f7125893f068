//! Drain of a target.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_core::target::drain::{
    Activity, DEFAULT_DRAIN_GRACE, Drain, DrainAction, DrainEvent, DrainPhase, DrainReason,
    MAXIMUM_DRAIN_GRACE,
};

use support::at;

fn activity(requests: u32, connections: u32) -> DrainEvent {
    DrainEvent::Activity(Activity {
        requests,
        connections,
    })
}

fn add_reason(drain: &mut Drain, reason: DrainReason, now: Instant) -> Vec<DrainAction> {
    drain.handle(DrainEvent::AddReason(reason), now)
}

fn reason() -> impl Strategy<Value = DrainReason> {
    prop_oneof![
        Just(DrainReason::Signal),
        Just(DrainReason::Bundle),
        Just(DrainReason::MachineList),
        Just(DrainReason::BackEndHealth),
    ]
}

fn event() -> impl Strategy<Value = DrainEvent> {
    prop_oneof![
        1 => reason().prop_map(DrainEvent::AddReason),
        1 => reason().prop_map(DrainEvent::RemoveReason),
        2 => (0..3_u32, 0..3_u32).prop_map(|(requests, connections)| activity(requests, connections)),
        2 => Just(DrainEvent::Tick),
    ]
}

proptest! {
    /// New flows are accepted exactly while no reason to leave holds, and
    /// requests for at most the grace period after that. A drained target has no
    /// request left.
    #[test]
    fn a_target_leaves_while_a_reason_holds(
        grace in 0..10_000_u64,
        steps in prop::collection::vec((event(), 0..3000_u64), 1..60),
    ) {
        let mut drain = Drain::new(Duration::from_millis(grace));
        let mut reasons = std::collections::BTreeSet::new();
        let mut requests = 0;
        let mut now = at(0);
        let mut leaving_since = now;
        for (event, after) in steps {
            now = now + Duration::from_millis(after);
            let was_serving = reasons.is_empty();
            match event {
                DrainEvent::AddReason(reason) => {
                    reasons.insert(reason);
                }
                DrainEvent::RemoveReason(reason) if reason != DrainReason::Signal => {
                    reasons.remove(&reason);
                }
                DrainEvent::Activity(activity) => requests = activity.requests,
                _ => {}
            }
            if was_serving {
                leaving_since = now;
            }
            let actions = drain.handle(event, now);
            prop_assert_eq!(drain.takes_new_flows(), reasons.is_empty());
            if !reasons.is_empty() && now.since(leaving_since) >= MAXIMUM_DRAIN_GRACE {
                prop_assert!(!drain.takes_new_requests(now));
            }
            prop_assert!(reasons.is_empty() || drain.phase() != DrainPhase::Serving);
            if actions.contains(&DrainAction::Finish) && !matches!(event, DrainEvent::AddReason(_)) {
                prop_assert_eq!(requests, 0);
            }
            let begins = was_serving && !reasons.is_empty();
            prop_assert_eq!(actions.contains(&DrainAction::NotifyCallers), begins);
            prop_assert!(drain.next_wakeup().is_none_or(|at| at > now));
        }
    }
}

#[test]
fn requests_are_accepted_during_the_grace_and_running_ones_finish() {
    let mut drain = Drain::new(DEFAULT_DRAIN_GRACE);
    drain.handle(activity(1, 2), at(0));
    let actions = add_reason(&mut drain, DrainReason::Signal, at(1000));
    assert_eq!(actions, [DrainAction::NotifyCallers]);
    assert!(!drain.takes_new_flows());
    assert!(drain.takes_new_requests(at(3999)));
    assert!(!drain.takes_new_requests(at(4000)));
    let actions = drain.handle(DrainEvent::Tick, at(4000));
    assert_eq!(actions, [DrainAction::RefuseRequests]);
    let actions = drain.handle(activity(0, 1), at(9000));
    assert_eq!(actions, [DrainAction::Finish]);
}

#[test]
fn an_idle_target_with_open_connections_is_not_drained_at_once() {
    let mut drain = Drain::new(DEFAULT_DRAIN_GRACE);
    drain.handle(activity(0, 1), at(0));
    let actions = add_reason(&mut drain, DrainReason::Signal, at(0));
    assert!(!actions.contains(&DrainAction::Finish));
    let actions = drain.handle(activity(0, 0), at(10));
    let expected = [DrainAction::RefuseRequests, DrainAction::Finish];
    assert_eq!(actions, expected);
}

#[test]
fn removing_the_last_reason_resumes_service_except_for_a_signal() {
    let mut drain = Drain::new(DEFAULT_DRAIN_GRACE);
    drain.handle(activity(1, 1), at(0));
    add_reason(&mut drain, DrainReason::BackEndHealth, at(0));
    add_reason(&mut drain, DrainReason::Bundle, at(0));
    let remove_reason =
        |drain: &mut Drain, reason| drain.handle(DrainEvent::RemoveReason(reason), at(9000));
    remove_reason(&mut drain, DrainReason::Bundle);
    assert!(!drain.takes_new_flows());
    let actions = remove_reason(&mut drain, DrainReason::BackEndHealth);
    assert_eq!(actions, [DrainAction::Resume]);
    assert!(drain.takes_new_requests(at(9000)));
    add_reason(&mut drain, DrainReason::Signal, at(9000));
    remove_reason(&mut drain, DrainReason::Signal);
    assert!(!drain.takes_new_flows());
}

#[test]
fn a_signal_to_a_drained_target_finishes_at_once() {
    let mut drain = Drain::new(DEFAULT_DRAIN_GRACE);
    add_reason(&mut drain, DrainReason::Bundle, at(0));
    assert_eq!(drain.phase(), DrainPhase::Drained);
    let actions = add_reason(&mut drain, DrainReason::Signal, at(5000));
    assert_eq!(actions, [DrainAction::Finish]);
}
