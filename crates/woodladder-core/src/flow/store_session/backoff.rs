//! Pauses between failed store calls. They double and are randomized, so that the nodes
//! of a fleet that lost the store do not all retry at the same moment.

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

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after another failure, at random between half of its upper bound and the
    /// whole of it.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let doubled = FIRST_PAUSE.saturating_mul(1 << self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        self.randomize(doubled.min(LONGEST_PAUSE))
    }

    /// A random time between half of a duration and the whole of it.
    pub(crate) fn randomize(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.random.random_range(0.5..=1.0))
    }
}
