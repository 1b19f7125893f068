//! Random choices of a run, all drawn from its seed.

use std::time::Duration;

use rand::{Rng as _, RngCore as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// A seeded generator with the draws that the models need.
#[derive(Clone, Debug)]
pub struct Random {
    generator: ChaCha8Rng,
}

impl Random {
    /// The generator for a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// An independent generator for one part of the world.
    #[must_use]
    pub fn fork(&mut self) -> Self {
        Self::new(self.generator.next_u64())
    }

    /// A generator to hand to the core.
    #[must_use]
    pub fn generator(&mut self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.generator.next_u64())
    }

    /// True with this probability, in thousandths.
    pub fn chance(&mut self, thousandths: u32) -> bool {
        self.generator.random_range(0..1000) < thousandths
    }

    /// A number in `0..bound`, or zero when the bound is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.generator.random_range(0..bound)
    }

    /// A 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.generator.next_u64()
    }

    /// Random bytes.
    pub fn bytes<const N: usize>(&mut self) -> [u8; N] {
        let mut bytes = [0; N];
        self.generator.fill_bytes(&mut bytes);
        bytes
    }

    /// A duration between two, in whole microseconds.
    pub fn between(&mut self, least: Duration, most: Duration) -> Duration {
        let least = micros(least);
        let most = micros(most).max(least);
        Duration::from_micros(self.generator.random_range(least..=most))
    }

    /// A duration between two, in milliseconds.
    pub fn milliseconds(&mut self, least: u64, most: u64) -> Duration {
        self.between(Duration::from_millis(least), Duration::from_millis(most))
    }

    /// One of some values, or `None` when there are none.
    pub fn pick<T: Clone>(&mut self, values: &[T]) -> Option<T> {
        let index = self.below(values.len());
        values.get(index).cloned()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
