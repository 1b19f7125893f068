//! Slow start: a back end that has just come up gets a growing part of its
//! slots, because caches are cold and its first answers are late.
//!
//! The part grows with time, and slower while answers take longer than the
//! quickest average seen since the ramp began.

use std::time::Duration;

use crate::clock::Instant;

/// Thousandths in a whole.
const WHOLE: u32 = 1000;
/// Share of a new sample in the running average is one in this many.
const AVERAGE_DIVISOR: u32 = 8;

/// How slots come into use after a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowStartOptions {
    /// Part of the slots in use at once, in thousandths.
    pub initial_share: u32,
    /// Time until all slots are in use, when answers are not late.
    pub window: Duration,
    /// Least speed of the ramp while answers are late, in thousandths of the
    /// usual speed.
    pub minimum_speed: u32,
}

impl Default for SlowStartOptions {
    fn default() -> Self {
        Self {
            initial_share: 250,
            window: Duration::from_secs(10),
            minimum_speed: 250,
        }
    }
}

/// Slots that may be used now, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EffectiveSlots(u32);

impl EffectiveSlots {
    /// So many slots, all in use.
    #[must_use]
    pub fn all(slots: u16) -> Self {
        Self(u32::from(slots) * WHOLE)
    }

    /// A share of so many slots, in thousandths; at least one slot when there
    /// is one.
    #[must_use]
    pub fn share(slots: u16, share: u32) -> Self {
        let scaled = u32::from(slots) * share.min(WHOLE);
        Self(scaled.max(WHOLE.min(u32::from(slots) * WHOLE)))
    }

    /// Thousandths of a slot.
    #[must_use]
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Whole slots: the requests that may run at the same time.
    #[must_use]
    pub fn whole(self) -> u16 {
        u16::try_from(self.0 / WHOLE).unwrap_or(u16::MAX)
    }
}

/// The ramp of one back end.
#[derive(Clone, Debug)]
pub struct SlowStart {
    options: SlowStartOptions,
    /// Advance of the ramp, out of the window.
    progress: Duration,
    updated_at: Instant,
    average: Option<Duration>,
    quickest_average: Option<Duration>,
}

impl SlowStart {
    /// A ramp that begins now.
    #[must_use]
    pub fn new(options: SlowStartOptions, now: Instant) -> Self {
        Self {
            options,
            progress: Duration::ZERO,
            updated_at: now,
            average: None,
            quickest_average: None,
        }
    }

    /// Begins the ramp again: the back end has come back.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(self.options, now);
    }

    /// Takes in how long a request ran.
    pub fn record_service_time(&mut self, sample: Duration, now: Instant) {
        self.advance(now);
        let average = match self.average {
            None => sample,
            Some(average) => {
                (average * (AVERAGE_DIVISOR - 1)).saturating_add(sample) / AVERAGE_DIVISOR
            }
        };
        self.average = Some(average);
        let quickest = self
            .quickest_average
            .map_or(average, |known| known.min(average));
        self.quickest_average = Some(quickest);
    }

    /// Slots out of `slots` that may be used now.
    pub fn effective_slots(&mut self, slots: u16, now: Instant) -> EffectiveSlots {
        self.advance(now);
        EffectiveSlots::share(slots, self.current_share())
    }

    /// Whether all slots are in use.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.progress >= self.options.window
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let step = scale(elapsed, self.speed());
        let progress = self.progress.saturating_add(step);
        self.progress = progress.min(self.options.window);
    }

    /// Speed of the ramp in thousandths.
    fn speed(&self) -> u32 {
        let (Some(average), Some(quickest)) = (self.average, self.quickest_average) else {
            return WHOLE;
        };
        let speed = thousandths(quickest, average);
        speed.clamp(self.options.minimum_speed.min(WHOLE), WHOLE)
    }

    fn current_share(&self) -> u32 {
        let initial = self.options.initial_share.min(WHOLE);
        let grown = thousandths(self.progress, self.options.window);
        initial + (WHOLE - initial) * grown / WHOLE
    }
}

/// `part` in thousandths of `whole`, at most [`WHOLE`].
fn thousandths(part: Duration, whole: Duration) -> u32 {
    let scaled = part.as_nanos() * u128::from(WHOLE);
    let share = scaled.checked_div(whole.as_nanos());
    let share = share.unwrap_or(u128::from(WHOLE));
    u32::try_from(share).unwrap_or(WHOLE).min(WHOLE)
}

fn scale(duration: Duration, thousandths: u32) -> Duration {
    duration.saturating_mul(thousandths) / WHOLE
}
