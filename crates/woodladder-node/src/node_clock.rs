//! The steady clock of the process as the core counts time.

use std::time::Instant as SystemInstant;

use woodladder_core::clock::Instant;

/// Time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: SystemInstant,
}

impl NodeClock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: SystemInstant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_origin(self.origin.elapsed())
    }
}
