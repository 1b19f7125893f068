//! The steady clock of the process as the core counts time.

use std::time::{Duration, Instant as SystemInstant, SystemTime, UNIX_EPOCH};

use woodladder_core::clock::Instant;

/// What the clock shows at the start of the process, so that times before it
/// can be told: a packet's first copy may be older than the process.
const HEAD_START: Duration = Duration::from_secs(3600);

/// Time since [`HEAD_START`] before the start of the process.
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

    /// The time of day of the machine, in milliseconds since 1970; it may be wrong.
    #[must_use]
    pub fn time_of_day(&self) -> u64 {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        since_1970.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_origin(HEAD_START + self.origin.elapsed())
    }
}
