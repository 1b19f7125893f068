//! Pauses between failed calls: doubling, with jitter, so that a whole fleet
//! that lost the store does not come back at one moment.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    random: ChaCha8Rng,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            failures: 0,
        }
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// The pause after one more failure: from half to the whole of its bound.
    pub(crate) fn failed(&mut self) -> Duration {
        let doubled = FIRST_PAUSE.saturating_mul(1 << self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        self.spread(doubled.min(LONGEST_PAUSE))
    }

    /// A random time from half of a duration to the whole of it.
    pub(crate) fn spread(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.random.random_range(0.5..=1.0))
    }
}
