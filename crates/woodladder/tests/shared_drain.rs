//! Guards against an agent that never reports that it has drained: two tasks
//! report to the drain at the same moment, and neither an older count of open
//! requests nor an older stage may overwrite the newer one.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use woodladder::agent::{DrainStage, SharedDrain};
use woodladder_core::clock::Instant;
use woodladder_core::target::drain::{
    Activity, DEFAULT_DRAIN_GRACE, Drain, DrainAction, DrainEvent, DrainPhase, DrainReason,
};

/// How long the first task, in the middle of its report, lets the second one try
/// to report before it. Since the drain's lock prevents that, the test always
/// waits for the whole time.
const SECOND_REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit for steps that always come.
const TIMEOUT: Duration = Duration::from_secs(20);

fn after_grace() -> Instant {
    Instant::from_origin(DEFAULT_DRAIN_GRACE + Duration::from_secs(1))
}

#[test]
fn an_older_request_count_never_overwrites_a_newer_one() {
    let drain = SharedDrain::new(Drain::new(DEFAULT_DRAIN_GRACE));
    let requests = AtomicU32::new(2);
    let count = || {
        DrainEvent::Activity(Activity {
            requests: requests.load(Ordering::Acquire),
            connections: 1,
        })
    };
    drain.handle(count, Instant::ORIGIN, |_| {});
    let begin = || DrainEvent::AddReason(DrainReason::Signal);
    drain.handle(begin, Instant::ORIGIN, |_| {});
    assert_ne!(drain.phase(), DrainPhase::Drained);

    let (count_done, first_counted) = mpsc::channel();
    let (report_done, second_reported) = mpsc::channel();
    let (shared, open_requests) = (&drain, &requests);
    thread::scope(|scope| {
        scope.spawn(move || {
            first_counted.recv().expect("the first counts");
            open_requests.fetch_sub(1, Ordering::AcqRel);
            shared.handle(count, Instant::ORIGIN, |_| {});
            // Fails when the first task has stopped waiting.
            let _ = report_done.send(());
        });
        requests.fetch_sub(1, Ordering::AcqRel);
        let first = || {
            let event = count();
            count_done.send(()).expect("the second waits");
            let _ = second_reported.recv_timeout(SECOND_REPORT_TIMEOUT);
            event
        };
        drain.handle(first, Instant::ORIGIN, |_| {});
    });
    drain.handle(|| DrainEvent::Tick, after_grace(), |_| {});

    assert_eq!(drain.phase(), DrainPhase::Drained);
    assert_eq!(*drain.subscribe_stage().borrow(), DrainStage::Drained);
}

/// Guards against an agent that has drained and lives on: a task that refuses
/// requests publishes that stage late, after another task, whose request was the
/// last one, has published that the agent has drained.
#[test]
fn a_stage_that_is_published_late_never_replaces_drained() {
    let drain = SharedDrain::new(Drain::new(DEFAULT_DRAIN_GRACE));
    let activity = |requests| {
        DrainEvent::Activity(Activity {
            requests,
            connections: 1,
        })
    };
    drain.handle(|| activity(1), Instant::ORIGIN, |_| {});
    let begin = || DrainEvent::AddReason(DrainReason::Signal);
    drain.handle(begin, Instant::ORIGIN, |_| {});
    assert_ne!(drain.phase(), DrainPhase::Drained);

    let (refusal_begun, first_refuses) = mpsc::channel();
    let (report_done, second_reported) = mpsc::channel();
    let shared = &drain;
    thread::scope(|scope| {
        scope.spawn(move || {
            first_refuses
                .recv_timeout(TIMEOUT)
                .expect("the first refuses");
            shared.handle(|| activity(0), after_grace(), |_| {});
            // Fails when the first task has stopped waiting.
            let _ = report_done.send(());
        });
        let pause = |action| {
            assert_eq!(action, DrainAction::RefuseRequests);
            refusal_begun.send(()).expect("the second waits");
            let _ = second_reported.recv_timeout(SECOND_REPORT_TIMEOUT);
        };
        drain.handle(|| DrainEvent::Tick, after_grace(), pause);
    });

    assert_eq!(drain.phase(), DrainPhase::Drained);
    assert_eq!(*drain.subscribe_stage().borrow(), DrainStage::Drained);
}
