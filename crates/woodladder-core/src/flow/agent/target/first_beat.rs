//! What the first heartbeat that an agent gets of its target proves about the time
//! before.
//!
//! An agent hands its target no flow before it has answered a heartbeat, and a target
//! whose heartbeat was answered sends the next one an interval later. So a target that
//! sends a heartbeat at an age below half the interval has had none answered before:
//! whatever ran in the agent's place, the target holds no flow that came earlier. The
//! target does not state its age, but how much longer it is slow from its start; the
//! operators state for how long it is in all.

use std::time::Duration;

/// Part of the interval between two heartbeats, as a divisor, below which no two
/// answered ones lie apart: targets keep the interval only roughly.
const LEAST_PART_OF_INTERVAL: u32 = 2;

/// What the first heartbeat has stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FirstBeat {
    /// How much longer the target is slow from its start.
    pub warm_up_left: Duration,
}

impl FirstBeat {
    /// Whether no heartbeat of the target was answered before. `warm_up` is the time for
    /// which a target is slow in all, zero when it is not stated; `interval` is the time
    /// between two heartbeats.
    #[must_use]
    pub fn is_first_answered(&self, warm_up: Duration, interval: Option<Duration>) -> bool {
        let Some(interval) = interval else {
            return false;
        };
        if self.warm_up_left.is_zero() {
            return false;
        }
        warm_up
            .checked_sub(self.warm_up_left)
            .is_some_and(|age| age < interval / LEAST_PART_OF_INTERVAL)
    }
}
