//! The monotonic clock of a process, in the core's unit of time.

use std::time::{Duration, Instant as SystemInstant, SystemTime, UNIX_EPOCH};

use woodladder_core::clock::Instant;

/// Time that the clock shows when the process starts. It is above zero so that earlier
/// instants can be expressed: a caller may have sent the first copy of a packet before
/// the process started.
const INITIAL_TIME: Duration = Duration::from_secs(3600);

/// A monotonic clock that shows `INITIAL_TIME` when it is created.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    started_at: SystemInstant,
}

impl NodeClock {
    /// Creates the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: SystemInstant::now(),
        }
    }

    /// Returns the machine's wall-clock time in milliseconds since the Unix epoch. It may
    /// be wrong and may jump.
    #[must_use]
    pub fn unix_time_ms(&self) -> u64 {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        since_1970.map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_origin(INITIAL_TIME + self.started_at.elapsed())
    }
}
