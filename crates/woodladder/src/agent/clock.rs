//! The core's clock on the machine's monotonic one.

use std::time::Duration;

use tokio::time::Instant as SystemInstant;
use woodladder_core::clock::Instant;

/// Turns the machine's monotonic time into the core's and back.
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

    /// Time from now until `instant`; zero when it has passed.
    pub(super) fn until(&self, instant: Instant) -> Duration {
        instant.since(self.now())
    }
}
