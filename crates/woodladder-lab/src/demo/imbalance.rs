//! Imbalance of a service, worked out from its back ends' execution logs.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::stand_in::execution_log::ExecutionLog;

/// Time between two samples, in milliseconds.
const SAMPLE_PERIOD_MS: u64 = 20;
/// Least mean of busy slots over slots at which a sample counts.
const LEAST_MEAN: f64 = 0.1;
/// Ratios are recorded in thousandths.
const SCALE: f64 = 1000.0;
const GREATEST_RATIO: u64 = 1_000_000;

/// A back end's log, with the time in which it takes new work.
#[derive(Debug)]
pub struct BackEndLoad<'a> {
    /// What it ran.
    pub log: &'a ExecutionLog,
    /// Slots that it has.
    pub slots: u16,
    /// When it was told to leave, in milliseconds since the Unix epoch.
    pub leaving_ms: Option<u64>,
}

/// Distribution of the greatest load over the mean load of a service's targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Imbalance {
    /// Samples that counted.
    pub samples: u64,
    /// Median of the ratio.
    pub median: f64,
    /// 99th percentile of the ratio.
    pub p99: f64,
    /// Mean of busy slots over slots.
    pub mean_load: f64,
}

/// Imbalance of one service between two times.
#[must_use]
pub fn imbalance(back_ends: &[BackEndLoad<'_>], from_ms: u64, to_ms: u64) -> Imbalance {
    let Ok(mut ratios) = Histogram::<u64>::new_with_bounds(1, GREATEST_RATIO, 3) else {
        return Imbalance::default();
    };
    let mut load_sum = 0.0;
    let mut time = from_ms;
    while time < to_ms {
        if let Some((ratio, mean)) = sample(back_ends, time) {
            ratios.saturating_record(to_thousandths(ratio));
            load_sum += mean;
        }
        time += SAMPLE_PERIOD_MS;
    }
    Imbalance {
        samples: ratios.len(),
        median: from_thousandths(ratios.value_at_quantile(0.5)),
        p99: from_thousandths(ratios.value_at_quantile(0.99)),
        mean_load: load_sum / as_float(ratios.len().max(1)),
    }
}

/// Greatest over mean load, and the mean, when the mean is worth a sample.
fn sample(back_ends: &[BackEndLoad<'_>], time: u64) -> Option<(f64, f64)> {
    let active = back_ends
        .iter()
        .filter(|back_end| back_end.leaving_ms.is_none_or(|leaving| time < leaving));
    let loads: Vec<f64> = active.map(|back_end| busy_share(back_end, time)).collect();
    let mean = loads.iter().sum::<f64>() / as_float(loads.len() as u64);
    let greatest = loads.iter().copied().fold(0.0, f64::max);
    (mean >= LEAST_MEAN).then(|| (greatest / mean, mean))
}

fn busy_share(back_end: &BackEndLoad<'_>, time: u64) -> f64 {
    let running = back_end.log.executions.iter().filter(|execution| {
        execution.started_ms <= time && execution.ended_ms.is_none_or(|ended| ended > time)
    });
    as_float(running.count() as u64) / f64::from(back_end.slots.max(1))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "ratios are small"
)]
fn to_thousandths(ratio: f64) -> u64 {
    (ratio * SCALE).round() as u64
}

fn from_thousandths(value: u64) -> f64 {
    as_float(value) / SCALE
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn as_float(value: u64) -> f64 {
    value as f64
}
