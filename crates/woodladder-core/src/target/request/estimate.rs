//! Estimates of waiting times, and the time after which to come back.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use super::options::RequestOptions;

/// Share of a new sample in the running average is one in this many.
const AVERAGE_DIVISOR: u32 = 8;
/// Greatest part of a return time that is added at random is one in this many.
const SPREAD_DIVISOR: u64 = 2;

/// Running average of service times, and what follows from it.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    service_time: Duration,
    minimum_retry_after: Duration,
    maximum_retry_after: Duration,
    random: ChaCha8Rng,
}

impl Estimate {
    pub(super) fn new(options: &RequestOptions, random: ChaCha8Rng) -> Self {
        Self {
            service_time: options.initial_service_time,
            minimum_retry_after: options.minimum_retry_after,
            maximum_retry_after: options.maximum_retry_after,
            random,
        }
    }

    pub(super) fn record(&mut self, sample: Duration) {
        let weighted = self.service_time.saturating_mul(AVERAGE_DIVISOR - 1);
        self.service_time = weighted.saturating_add(sample) / AVERAGE_DIVISOR;
    }

    pub(super) fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Time until `ahead` requests, which wait or run, have let go of a slot.
    pub(super) fn wait(&self, ahead: usize, slots: u32) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let work = self.service_time.saturating_mul(ahead);
        work.checked_div(slots).unwrap_or(Duration::MAX)
    }

    /// When a caller may come back, given the time that the work ahead takes:
    /// whole seconds within the bounds, spread at random so that callers who
    /// were refused together do not come back together.
    pub(super) fn retry_after(&mut self, wait: Duration) -> Duration {
        let least = whole_seconds(self.minimum_retry_after).max(1);
        let most = whole_seconds(self.maximum_retry_after).max(least);
        let base = whole_seconds(wait).clamp(least, most);
        let spread = (base / SPREAD_DIVISOR).max(1);
        let seconds = base + self.random.random_range(0..=spread);
        Duration::from_secs(seconds.min(most))
    }
}

/// Seconds, rounded up.
fn whole_seconds(duration: Duration) -> u64 {
    let rest = u64::from(duration.subsec_nanos() > 0);
    duration.as_secs().saturating_add(rest)
}
