//! The request table: one test for each way in which a request can end.

mod support;

use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::target::request::{
    RefusalReason, RequestAction, RequestEvent, RequestId, RequestOptions, RequestTable,
    UnknownReason,
};

use support::at;

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn table(slots: u16) -> RequestTable {
    let options = RequestOptions {
        queue_limit: 8,
        initial_service_time: SERVICE_TIME,
        ..RequestOptions::default()
    };
    RequestTable::new(options, slots, ChaCha8Rng::seed_from_u64(3))
}

fn arrive(
    table: &mut RequestTable,
    id: u64,
    deadline: Option<Instant>,
    now: Instant,
) -> Vec<RequestAction> {
    let arrived = RequestEvent::Arrived {
        id: RequestId(id),
        deadline,
        repeatable: false,
    };
    table.handle(arrived, now)
}

fn connect(table: &mut RequestTable, id: u64, now: Instant) {
    let actions = table.handle(RequestEvent::BackEndConnected(RequestId(id)), now);
    assert!(matches!(actions.as_slice(), [RequestAction::Send(permit)] if permit.id().0 == id));
}

fn head(id: u64, streaming: bool) -> RequestEvent {
    RequestEvent::AnswerHead {
        id: RequestId(id),
        streaming,
    }
}

fn end(id: u64, complete: bool) -> RequestEvent {
    RequestEvent::AnswerEnd {
        id: RequestId(id),
        complete,
    }
}

fn refusal(actions: &[RequestAction], id: u64) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        RequestAction::Refuse {
            id: refused,
            refusal,
        } if refused.0 == id => Some(refusal.reason()),
        _ => None,
    })
}

#[test]
fn a_complete_answer_frees_the_slot_for_the_next_request() {
    let mut table = table(1);
    assert_eq!(
        arrive(&mut table, 1, None, at(0)),
        [RequestAction::Dispatch(RequestId(1))]
    );
    assert_eq!(arrive(&mut table, 2, None, at(0)), []);
    connect(&mut table, 1, at(1));
    assert_eq!(table.handle(head(1, false), at(50)), []);
    let actions = table.handle(end(1, true), at(60));
    let expected = [
        RequestAction::Complete(RequestId(1)),
        RequestAction::Dispatch(RequestId(2)),
    ];
    assert_eq!(actions, expected);
}

#[test]
fn a_stream_has_neither_slot_nor_deadline_after_its_answer_head() {
    let mut table = table(1);
    arrive(&mut table, 1, Some(at(500)), at(0));
    arrive(&mut table, 2, None, at(0));
    connect(&mut table, 1, at(1));
    let actions = table.handle(head(1, true), at(50));
    assert_eq!(actions, [RequestAction::Dispatch(RequestId(2))]);
    assert_eq!(table.handle(RequestEvent::Tick, at(9000)), []);
    assert_eq!(table.counts().streams, 1);
    let broken = table.handle(RequestEvent::BackEndFailed(RequestId(1)), at(9000));
    assert!(broken.contains(&RequestAction::ResetCaller {
        id: RequestId(1),
        reason: UnknownReason::ConnectionBroken,
    }));
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    let late = arrive(&mut table, 2, Some(at(199)), at(0));
    assert_eq!(refusal(&late, 2), Some(RefusalReason::WouldWaitTooLong));
    let in_time = arrive(&mut table, 3, Some(at(200)), at(0));
    assert_eq!(in_time, []);
    let passed = arrive(&mut table, 4, Some(at(0)), at(0));
    assert_eq!(refusal(&passed, 4), Some(RefusalReason::WouldWaitTooLong));
}

#[test]
fn a_queued_request_is_refused_when_its_deadline_passes() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    arrive(&mut table, 2, Some(at(300)), at(0));
    assert_eq!(table.next_wakeup(), Some(at(300)));
    let actions = table.handle(RequestEvent::Tick, at(300));
    assert_eq!(refusal(&actions, 2), Some(RefusalReason::WaitedTooLong));
}

#[test]
fn a_deadline_that_passes_after_sending_leaves_the_outcome_unknown() {
    let mut table = table(2);
    arrive(&mut table, 1, Some(at(300)), at(0));
    arrive(&mut table, 2, Some(at(300)), at(0));
    connect(&mut table, 1, at(1));
    let actions = table.handle(RequestEvent::Tick, at(300));
    assert!(actions.contains(&RequestAction::CloseBackEndConnection(RequestId(1))));
    assert!(actions.contains(&RequestAction::Fail {
        id: RequestId(1),
        reason: UnknownReason::DeadlinePassed,
        repeatable: false,
    }));
    assert_eq!(refusal(&actions, 2), Some(RefusalReason::ConnectedTooLate));
    let late = table.handle(RequestEvent::BackEndConnected(RequestId(2)), at(301));
    assert_eq!(late, [], "no permission to write after the refusal");
}

#[test]
fn nothing_is_sent_on_a_connection_opened_after_the_deadline() {
    let mut table = table(1);
    arrive(&mut table, 1, Some(at(300)), at(0));
    let actions = table.handle(RequestEvent::BackEndConnected(RequestId(1)), at(300));
    assert_eq!(refusal(&actions, 1), Some(RefusalReason::ConnectedTooLate));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, RequestAction::Send(_)))
    );
}

#[test]
fn a_truncated_answer_resets_the_caller() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    connect(&mut table, 1, at(1));
    table.handle(head(1, false), at(2));
    let expected = [
        RequestAction::CloseBackEndConnection(RequestId(1)),
        RequestAction::ResetCaller {
            id: RequestId(1),
            reason: UnknownReason::AnswerTruncated,
        },
    ];
    assert_eq!(table.handle(end(1, false), at(3)), expected);
}

#[test]
fn a_refusal_by_the_back_end_means_not_run() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    connect(&mut table, 1, at(1));
    let refused = RequestEvent::BackEndRefused {
        id: RequestId(1),
        retry_after: Some(Duration::from_secs(4)),
    };
    let actions = table.handle(refused, at(2));
    assert_eq!(refusal(&actions, 1), Some(RefusalReason::BackEndRefused));
}

#[test]
fn a_failure_to_connect_means_not_run() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    let actions = table.handle(RequestEvent::BackEndFailed(RequestId(1)), at(2));
    assert_eq!(refusal(&actions, 1), Some(RefusalReason::ConnectFailed));
}

#[test]
fn queued_requests_are_served_while_arrivals_are_refused() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    arrive(&mut table, 2, None, at(0));
    table.handle(RequestEvent::RefuseArrivals, at(1));
    let refused = arrive(&mut table, 3, None, at(1));
    assert_eq!(refusal(&refused, 3), Some(RefusalReason::Leaving));
    connect(&mut table, 1, at(1));
    table.handle(head(1, false), at(2));
    let actions = table.handle(end(1, true), at(3));
    assert!(actions.contains(&RequestAction::Dispatch(RequestId(2))));
}

#[test]
fn requests_are_refused_while_the_back_end_is_down() {
    let mut table = table(1);
    arrive(&mut table, 1, None, at(0));
    arrive(&mut table, 2, None, at(0));
    let actions = table.handle(RequestEvent::SlotsChanged(0), at(1));
    assert_eq!(refusal(&actions, 2), Some(RefusalReason::BackEndDown));
    let refused = arrive(&mut table, 3, None, at(1));
    assert_eq!(refusal(&refused, 3), Some(RefusalReason::BackEndDown));
}

#[test]
fn callers_refused_together_get_different_retry_times() {
    let mut table = table(1);
    let mut retry_times = std::collections::BTreeSet::new();
    for id in 0..200 {
        let actions = arrive(&mut table, id, None, at(0));
        if let [RequestAction::Refuse { refusal, .. }] = actions.as_slice() {
            assert_eq!(refusal.reason(), RefusalReason::QueueFull);
            retry_times.insert(refusal.retry_after());
        }
    }
    assert!(
        retry_times.len() > 1,
        "all at the same time: {retry_times:?}"
    );
}
