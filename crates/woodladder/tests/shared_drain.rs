//! Two tasks that end their requests at the same moment, while the agent leaves.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use woodladder::agent::{Notice, SharedDrain};
use woodladder_core::clock::Instant;
use woodladder_core::target::drain::{
    Activity, DEFAULT_DRAIN_GRACE, Drain, DrainEvent, DrainPhase, DrainReason,
};

/// Time that a task which has counted gives the other to hand its count over first.
/// It passes in full where that is impossible, as it should be.
const CHANCE: Duration = Duration::from_millis(200);

fn after_grace() -> Instant {
    Instant::from_origin(DEFAULT_DRAIN_GRACE + Duration::from_secs(1))
}

#[test]
fn a_count_of_requests_never_takes_the_place_of_a_later_one() {
    let drain = SharedDrain::new(Drain::new(DEFAULT_DRAIN_GRACE));
    let begin = || DrainEvent::AddReason(DrainReason::Signal);
    drain.handle(begin, Instant::ORIGIN, |_| {});
    let requests = AtomicU32::new(2);
    let count = || {
        DrainEvent::Activity(Activity {
            requests: requests.load(Ordering::Acquire),
            connections: 1,
        })
    };
    drain.handle(count, Instant::ORIGIN, |_| {});

    let (has_counted, counted) = mpsc::channel();
    let (has_handed_over, handed_over) = mpsc::channel();
    let (shared, left) = (&drain, &requests);
    thread::scope(|scope| {
        scope.spawn(move || {
            counted.recv().expect("the first counts");
            left.fetch_sub(1, Ordering::AcqRel);
            shared.handle(count, Instant::ORIGIN, |_| {});
            // The first may have stopped waiting.
            let _ = has_handed_over.send(());
        });
        requests.fetch_sub(1, Ordering::AcqRel);
        let first = || {
            let event = count();
            has_counted.send(()).expect("the second waits");
            let _ = handed_over.recv_timeout(CHANCE);
            event
        };
        drain.handle(first, Instant::ORIGIN, |_| {});
    });
    drain.handle(|| DrainEvent::Tick, after_grace(), |_| {});

    assert_eq!(drain.phase(), DrainPhase::Drained);
    assert_eq!(*drain.notices().borrow(), Notice::Drained);
}
