//! Estimate of service and waiting times, and the retry times that follow.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use super::options::RequestOptions;

/// Divisor of the moving average: a new sample has the weight
/// 1 / `AVERAGE_DIVISOR`.
const AVERAGE_DIVISOR: u32 = 8;
/// Divisor of the random jitter: the jitter is at most the retry time divided by
/// this, but may always be up to one second.
const JITTER_DIVISOR: u64 = 2;

/// Moving average of service times, with the bounds of retry times.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimeEstimate {
    service_time: Duration,
    minimum_retry_after: Duration,
    maximum_retry_after: Duration,
    random: ChaCha8Rng,
}

impl ServiceTimeEstimate {
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

    /// Estimated time until `releases` releases of a slot have happened in total,
    /// while all of `slots` slots are busy; [`Duration::MAX`] when there are no slots.
    pub(super) fn queue_wait(&self, releases: usize, slots: u32) -> Duration {
        let releases = u32::try_from(releases).unwrap_or(u32::MAX);
        let work = self.service_time.saturating_mul(releases);
        work.checked_div(slots).unwrap_or(Duration::MAX)
    }

    /// Time after which a refused caller may retry, given how long the work ahead
    /// takes: whole seconds within the bounds, with random jitter so that callers
    /// refused at the same time do not retry at the same time.
    pub(super) fn retry_after(&mut self, wait: Duration) -> Duration {
        let least = whole_seconds(self.minimum_retry_after).max(1);
        let most = whole_seconds(self.maximum_retry_after).max(least);
        let base = whole_seconds(wait).clamp(least, most);
        let maximum_jitter = (base / JITTER_DIVISOR).max(1);
        let seconds = base + self.random.random_range(0..=maximum_jitter);
        Duration::from_secs(seconds.min(most))
    }
}

/// The duration in seconds, rounded up.
fn whole_seconds(duration: Duration) -> u64 {
    let partial_second = u64::from(duration.subsec_nanos() > 0);
    duration.as_secs().saturating_add(partial_second)
}
