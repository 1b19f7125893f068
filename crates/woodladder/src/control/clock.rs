//! The clock of the control plane and of the operator's commands: the time for
//! the core's replica, from the system's monotonic clock. The agent's flows and
//! requests have their own clock, in `agent::clock`.

use std::time::Instant as SystemInstant;

use woodladder_core::clock::Instant;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: SystemInstant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ProcessClock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: SystemInstant::now(),
        }
    }

    /// Time since the origin.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_origin(self.origin.elapsed())
    }

    /// Waits until `instant`.
    pub async fn sleep_until(&self, instant: Instant) {
        let until = self.origin + instant.since_origin();
        tokio::time::sleep_until(until.into()).await;
    }
}
