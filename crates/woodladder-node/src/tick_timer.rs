//! When the next tick of a node is due.
//!
//! A node that has nothing to wait for ticks rarely; an event that leaves work
//! for the next tick brings it forward. The loop sleeps once per tick and is
//! woken early only when its tick has become due sooner.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The time of one node's next tick.
#[derive(Debug, Default)]
pub struct TickTimer {
    ticked_at: Cell<Option<Instant>>,
    due_at: Cell<Option<Instant>>,
    shortened: Notify,
}

impl TickTimer {
    /// Waits until the next tick is due; `interval` is asked for the time from
    /// the tick that has just been done.
    pub async fn until_due(&self, interval: impl Fn() -> Duration) {
        let ticked_at = Instant::now();
        self.ticked_at.set(Some(ticked_at));
        self.due_at.set(Some(ticked_at + interval()));
        while let Some(due_at) = self.due_at.get() {
            tokio::select! {
                () = sleep_until(due_at) => break,
                () = self.shortened.notified() => {}
            }
        }
        self.due_at.set(None);
    }

    /// Brings the next tick forward when it is to come within `interval` of the
    /// last one.
    pub fn shorten(&self, interval: Duration) {
        let (Some(ticked_at), Some(due_at)) = (self.ticked_at.get(), self.due_at.get()) else {
            return;
        };
        let sooner = ticked_at + interval;
        if sooner < due_at {
            self.due_at.set(Some(sooner));
            self.shortened.notify_one();
        }
    }
}
