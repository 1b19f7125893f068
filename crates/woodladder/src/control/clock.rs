//! The process's clock, as the core wants it.

use std::time::Instant as SystemInstant;

use woodladder_core::clock::Instant;

/// A monotonic clock whose origin is its creation.
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
    /// A clock that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: SystemInstant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_origin(self.origin.elapsed())
    }

    /// Waits until this time.
    pub async fn sleep_until(&self, instant: Instant) {
        let until = self.origin + instant.since_origin();
        tokio::time::sleep_until(until.into()).await;
    }
}
