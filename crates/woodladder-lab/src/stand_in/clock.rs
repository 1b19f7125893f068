//! Clocks of the stand-ins: monotonic for decisions, wall clock for logs of several processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use woodladder_core::clock::Instant;

/// Monotonic clock whose origin is its creation.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: std::time::Instant,
}

impl MonotonicClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_origin(self.origin.elapsed())
    }
}

/// Milliseconds since the Unix epoch, for logs which are joined across processes.
#[must_use]
pub fn unix_milliseconds() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
