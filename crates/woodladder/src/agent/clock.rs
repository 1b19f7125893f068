//! The agent's clock: the time for the core's state machines that decide on
//! flows and requests. The control plane has its own clock, `ProcessClock`.

use std::time::Duration;

use tokio::time::Instant as SystemInstant;
use woodladder_core::clock::Instant;

/// Converts Tokio's monotonic time to the core's, which counts from the start of
/// this clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    origin: SystemInstant,
}

impl Clock {
    /// A clock whose origin is now.
    pub(super) fn start() -> Self {
        Self {
            origin: SystemInstant::now(),
        }
    }

    /// The time now.
    pub(super) fn now(&self) -> Instant {
        Instant::from_origin(self.origin.elapsed())
    }

    /// Time from now until `instant`; zero when that has passed.
    pub(super) fn until(&self, instant: Instant) -> Duration {
        instant.since(self.now())
    }
}
