//! Slow start: a back end that has just started gets a growing share of its
//! slots, because its caches are cold and its first answers are slow.
//!
//! The share grows with time, and grows more slowly while the average service
//! time is above the lowest average since the ramp began.

use std::time::Duration;

use crate::clock::Instant;

/// A full share of the slots, or the normal speed of the ramp, in thousandths.
const FULL_THOUSANDTHS: u32 = 1000;
/// Divisor of the moving average of service times: a new sample has the weight
/// 1 / `AVERAGE_DIVISOR`.
const AVERAGE_DIVISOR: u32 = 8;

/// Parameters of slow start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowStartOptions {
    /// Share of the slots that is usable when the ramp begins, in thousandths.
    pub initial_share_thousandths: u32,
    /// Time until all slots are usable, when answers do not become slower.
    pub window: Duration,
    /// Lowest speed of the ramp while answers are slow, in thousandths of the
    /// normal speed.
    pub minimum_speed_thousandths: u32,
}

impl Default for SlowStartOptions {
    fn default() -> Self {
        Self {
            initial_share_thousandths: 250,
            window: Duration::from_secs(10),
            minimum_speed_thousandths: 250,
        }
    }
}

/// Slots that are usable now, in thousandths of a slot.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EffectiveSlots(u32);

impl EffectiveSlots {
    /// All of this many slots.
    #[must_use]
    pub fn all(slots: u16) -> Self {
        Self(u32::from(slots) * FULL_THOUSANDTHS)
    }

    /// The share of `slots` that `share_thousandths` states, at most all slots. The
    /// result is at least one slot, or zero when `slots` is zero.
    #[must_use]
    pub fn share(slots: u16, share_thousandths: u32) -> Self {
        let scaled = u32::from(slots) * share_thousandths.min(FULL_THOUSANDTHS);
        Self(scaled.max(FULL_THOUSANDTHS.min(u32::from(slots) * FULL_THOUSANDTHS)))
    }

    /// Thousandths of a slot.
    #[must_use]
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Whole slots, rounded down: requests that may run at the same time.
    #[must_use]
    pub fn whole(self) -> u16 {
        u16::try_from(self.0 / FULL_THOUSANDTHS).unwrap_or(u16::MAX)
    }
}

/// Slow-start ramp of one back end.
#[derive(Clone, Debug)]
pub struct SlowStart {
    options: SlowStartOptions,
    /// Progress of the ramp, from zero to `options.window`.
    progress: Duration,
    updated_at: Instant,
    /// Moving average of the service time since the ramp began.
    average_service_time: Option<Duration>,
    /// Lowest value of that average since the ramp began.
    lowest_average_service_time: Option<Duration>,
}

impl SlowStart {
    /// A ramp that begins now.
    #[must_use]
    pub fn new(options: SlowStartOptions, now: Instant) -> Self {
        Self {
            options,
            progress: Duration::ZERO,
            updated_at: now,
            average_service_time: None,
            lowest_average_service_time: None,
        }
    }

    /// Restarts the ramp after the back end has come back.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::new(self.options, now);
    }

    /// Records the service time of a request.
    pub fn record_service_time(&mut self, sample: Duration, now: Instant) {
        self.advance(now);
        let average = match self.average_service_time {
            None => sample,
            Some(average) => {
                (average * (AVERAGE_DIVISOR - 1)).saturating_add(sample) / AVERAGE_DIVISOR
            }
        };
        self.average_service_time = Some(average);
        let lowest = self
            .lowest_average_service_time
            .map_or(average, |known| known.min(average));
        self.lowest_average_service_time = Some(lowest);
    }

    /// How many of the back end's `slots` are usable now.
    pub fn effective_slots(&mut self, slots: u16, now: Instant) -> EffectiveSlots {
        self.advance(now);
        EffectiveSlots::share(slots, self.current_share_thousandths())
    }

    /// Whether the ramp has ended and all slots are usable.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.progress >= self.options.window
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let step = scale(elapsed, self.speed_thousandths());
        let progress = self.progress.saturating_add(step);
        self.progress = progress.min(self.options.window);
    }

    /// Speed of the ramp in thousandths of the normal speed.
    fn speed_thousandths(&self) -> u32 {
        let (Some(average), Some(lowest)) =
            (self.average_service_time, self.lowest_average_service_time)
        else {
            return FULL_THOUSANDTHS;
        };
        let speed = thousandths(lowest, average);
        speed.clamp(
            self.options.minimum_speed_thousandths.min(FULL_THOUSANDTHS),
            FULL_THOUSANDTHS,
        )
    }

    fn current_share_thousandths(&self) -> u32 {
        let initial = self.options.initial_share_thousandths.min(FULL_THOUSANDTHS);
        let grown = thousandths(self.progress, self.options.window);
        initial + (FULL_THOUSANDTHS - initial) * grown / FULL_THOUSANDTHS
    }
}

/// `part` in thousandths of `whole`, at most [`FULL_THOUSANDTHS`].
fn thousandths(part: Duration, whole: Duration) -> u32 {
    let scaled = part.as_nanos() * u128::from(FULL_THOUSANDTHS);
    let share = scaled.checked_div(whole.as_nanos());
    let share = share.unwrap_or(u128::from(FULL_THOUSANDTHS));
    u32::try_from(share)
        .unwrap_or(FULL_THOUSANDTHS)
        .min(FULL_THOUSANDTHS)
}

fn scale(duration: Duration, thousandths: u32) -> Duration {
    duration.saturating_mul(thousandths) / FULL_THOUSANDTHS
}
