//! Time in this crate: a value that the caller passes with every event.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on a monotonic clock, in nanoseconds since an arbitrary origin.
///
/// The origin is the start of the process in daemons and zero in simulations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant {
    nanoseconds: u64,
}

impl Instant {
    /// The origin of the clock.
    pub const ORIGIN: Self = Self { nanoseconds: 0 };

    /// The instant that is `elapsed` after the origin.
    #[must_use]
    pub fn from_origin(elapsed: Duration) -> Self {
        Self {
            nanoseconds: u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX),
        }
    }

    /// Time since the origin.
    #[must_use]
    pub fn since_origin(self) -> Duration {
        Duration::from_nanos(self.nanoseconds)
    }

    /// Time since `earlier`, or zero when `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.nanoseconds.saturating_sub(earlier.nanoseconds))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let nanoseconds = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self {
            nanoseconds: self.nanoseconds.saturating_add(nanoseconds),
        }
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
