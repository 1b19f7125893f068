//! How long rolls take until they are in force, and nodes until they serve.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use woodladder_core::clock::Instant;
use woodladder_core::identifier::Sequence;

const LONGEST_MILLISECONDS: u64 = 24 * 3600 * 1000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Distribution of durations in seconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Durations counted.
    pub count: u64,
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub longest: f64,
}

/// Collects durations.
pub(super) struct Durations(Option<Histogram<u64>>);

/// A roll and when the key-value service took it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedRoll {
    pub(super) sequence: Sequence,
    pub(super) at: Instant,
}

impl Durations {
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS);
        Self(histogram.ok())
    }

    pub(super) fn record(&mut self, duration: Duration) {
        let milliseconds = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(milliseconds);
        }
    }

    pub(super) fn spread(&self) -> Spread {
        let Some(histogram) = self.0.as_ref().filter(|known| !known.is_empty()) else {
            return Spread::default();
        };
        Spread {
            count: histogram.len(),
            median: seconds(histogram.value_at_quantile(0.5)),
            p99: seconds(histogram.value_at_quantile(0.99)),
            longest: seconds(histogram.max()),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn seconds(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1000.0
}
