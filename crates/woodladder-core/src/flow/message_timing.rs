//! Periods that grow with the number of receivers, and the silence that follows
//! from them.
//!
//! A node sends each kind of control message at a bounded rate whatever the size
//! of the fleet, so the time between two messages to one receiver grows with the
//! number of receivers. The message states that time, and its receiver judges
//! silence by it: a limit that is only a constant would be shorter than the period
//! beyond some size, and living nodes would be forgotten and found again.

use std::time::Duration;

/// Silence that means something: so many of the sender's `period`s, at least
/// `least`.
#[must_use]
pub fn liveness_timeout(period: Duration, periods: f64, least: Duration) -> Duration {
    least.max(period.mul_f64(periods))
}

/// Time in which each of `receivers` gets a message, when `at_a_time` of them do
/// every `step`.
#[must_use]
pub fn round_time(receivers: usize, at_a_time: usize, step: Duration) -> Duration {
    let steps = receivers.div_ceil(at_a_time.max(1)).max(1);
    step.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX))
}

/// At most `count` of the receivers, beginning at the one numbered `start`, so that
/// calls with growing starts go round all of them.
pub fn take_cyclic<T: Copy>(
    receivers: impl Iterator<Item = T>,
    start: usize,
    count: usize,
) -> Vec<T> {
    let all: Vec<T> = receivers.collect();
    let count = count.min(all.len());
    (start..start + count)
        .filter_map(|index| all.get(index % all.len()).copied())
        .collect()
}

/// Milliseconds of a duration as messages state them.
#[must_use]
pub fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
