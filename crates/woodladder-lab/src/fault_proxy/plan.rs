//! What becomes of each datagram or piece of a stream, drawn from a seeded generator. No I/O.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::rule::{Direction, FaultRule};

/// What becomes of one datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It is lost.
    Lost,
    /// It is delivered after a delay.
    Delivered {
        /// The delay.
        after: Duration,
    },
    /// It is delivered twice, each time after a delay.
    DeliveredTwice {
        /// The delay of the first copy.
        after: Duration,
        /// The delay of the second copy.
        again_after: Duration,
    },
}

/// Draws the fate of what is relayed. The same seed and calls give the same fates.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    generator: ChaCha8Rng,
}

impl FaultPlan {
    /// A plan which draws from this seed; `stream` tells apart the plans of one seed.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        Self { generator }
    }

    /// The fate of one datagram under this rule. A freeze is the caller's matter.
    pub fn datagram(&mut self, rule: &FaultRule, direction: Direction) -> Fate {
        // All draws are made for each datagram, so that a changed rule shifts no later draw.
        let lost = self.happens(rule.loss);
        let twice = self.happens(rule.duplicate);
        let after = self.delay(rule);
        let again_after = self.delay(rule);
        if lost || rule.cut.covers(direction) {
            return Fate::Lost;
        }
        if twice {
            return Fate::DeliveredTwice { after, again_after };
        }
        Fate::Delivered { after }
    }

    /// The delay of one piece of a stream under this rule.
    pub fn piece(&mut self, rule: &FaultRule) -> Duration {
        self.delay(rule)
    }

    fn happens(&mut self, chance: f64) -> bool {
        self.generator.random::<f64>() < chance
    }

    fn delay(&mut self, rule: &FaultRule) -> Duration {
        let share: f64 = self.generator.random();
        let jitter = Duration::from_micros(rule.jitter_us).mul_f64(share);
        rule.delay() + jitter
    }
}
