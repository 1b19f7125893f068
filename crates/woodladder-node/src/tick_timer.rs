//! The timer of a node's periodic work, its tick.
//!
//! A node without pending work ticks rarely; an event that leaves work for the next tick
//! brings that tick forward. The loop sleeps once per tick, and is woken early only when
//! the tick is due sooner than planned.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Determines when a node's next tick is due.
#[derive(Debug, Default)]
pub struct TickTimer {
    last_tick_at: Cell<Option<Instant>>,
    due_at: Cell<Option<Instant>>,
    brought_forward: Notify,
}

impl TickTimer {
    /// Waits until the next tick is due. `interval` returns the time between the tick that
    /// has just ended and the next one.
    pub async fn wait_until_due(&self, interval: impl Fn() -> Duration) {
        let last_tick_at = Instant::now();
        self.last_tick_at.set(Some(last_tick_at));
        self.due_at.set(Some(last_tick_at + interval()));
        while let Some(due_at) = self.due_at.get() {
            tokio::select! {
                () = sleep_until(due_at) => break,
                () = self.brought_forward.notified() => {}
            }
        }
        self.due_at.set(None);
    }

    /// Brings the next tick forward, if need be, so that it comes at most `interval` after
    /// the last one.
    pub fn bring_forward(&self, interval: Duration) {
        let (Some(last_tick_at), Some(due_at)) = (self.last_tick_at.get(), self.due_at.get())
        else {
            return;
        };
        let earlier_due_at = last_tick_at + interval;
        if earlier_due_at < due_at {
            self.due_at.set(Some(earlier_due_at));
            self.brought_forward.notify_one();
        }
    }
}
