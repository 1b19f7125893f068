//! Intervals between control messages that grow with the number of receivers, and the
//! liveness timeouts that follow from them.
//!
//! A node sends each kind of control message at a bounded rate whatever the size of the
//! fleet, so the interval between two messages to one receiver grows with the number of
//! receivers. The message states that interval, and its receiver derives its liveness
//! timeout from it. A constant timeout would be shorter than the interval beyond some
//! fleet size, and live nodes would be forgotten and found again.

use std::time::Duration;

/// Silence after which a sender no longer counts as live: a number of its `period`s, but
/// at least `minimum`. Also used for the silence after which the flows of an agent count
/// as lost, and after which a node is forgotten.
#[must_use]
pub fn liveness_timeout(period: Duration, periods: f64, minimum: Duration) -> Duration {
    minimum.max(period.mul_f64(periods))
}

/// Time in which each of `receivers` gets a message if `at_a_time` of them get one every
/// `step`.
#[must_use]
pub fn round_time(receivers: usize, at_a_time: usize, step: Duration) -> Duration {
    let steps = receivers.div_ceil(at_a_time.max(1)).max(1);
    step.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX))
}

/// At most `count` of the receivers, starting at index `start` and wrapping around, so
/// that calls with increasing starts cover all of them.
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

/// A duration in milliseconds, as messages state it.
#[must_use]
pub fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
