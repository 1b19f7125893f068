//! Figures of a node in the text format that scrapers read.

use std::fmt::Write;
use std::time::Duration;

use woodladder_core::flow::activation::ActiveMechanisms;

/// Upper bounds of a latency histogram's buckets, in seconds.
const BOUNDS: [f64; 11] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// A histogram of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyHistogram {
    buckets: [u64; BOUNDS.len()],
    count: u64,
    sum: f64,
}

impl LatencyHistogram {
    /// Takes one duration in.
    pub fn record(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.count += 1;
        self.sum += seconds;
        for (bucket, bound) in self.buckets.iter_mut().zip(BOUNDS) {
            *bucket += u64::from(seconds <= bound);
        }
    }
}

/// Builds the text.
#[derive(Clone, Debug, Default)]
pub struct MetricsText {
    text: String,
}

impl MetricsText {
    /// Adds a total that only grows.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        self.head(name, help, "counter");
        let _infallible = writeln!(self.text, "woodladder_{name} {value}");
    }

    /// Adds a total for each value of a label.
    pub fn counters<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: [(&str, u64); N],
    ) {
        self.head(name, help, "counter");
        for (kind, value) in values {
            let _infallible =
                writeln!(self.text, "woodladder_{name}{{{label}=\"{kind}\"}} {value}");
        }
    }

    /// Adds which optional mechanisms act.
    pub fn mechanisms(&mut self, active: ActiveMechanisms) {
        let acts = [
            ("locates_flows", active.locates_flows),
            ("orders_requests", active.orders_requests),
            ("paces_link", active.paces_link),
        ];
        self.head(
            "mechanism_active",
            "Whether an optional mechanism acts.",
            "gauge",
        );
        for (name, is_active) in acts {
            let value = u8::from(is_active);
            let _infallible = writeln!(
                self.text,
                "woodladder_mechanism_active{{mechanism=\"{name}\"}} {value}"
            );
        }
    }

    /// Adds a value that may fall.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        self.head(name, help, "gauge");
        let _infallible = writeln!(self.text, "woodladder_{name} {value}");
    }

    /// Adds a value that may fall for each value of a label.
    pub fn gauges<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: [(&str, f64); N],
    ) {
        self.head(name, help, "gauge");
        for (kind, value) in values {
            let _infallible =
                writeln!(self.text, "woodladder_{name}{{{label}=\"{kind}\"}} {value}");
        }
    }

    /// Adds a histogram.
    pub fn histogram(&mut self, name: &str, help: &str, histogram: &LatencyHistogram) {
        self.head(name, help, "histogram");
        for (count, bound) in histogram.buckets.iter().zip(BOUNDS) {
            let _infallible = writeln!(
                self.text,
                "woodladder_{name}_bucket{{le=\"{bound}\"}} {count}"
            );
        }
        let LatencyHistogram { count, sum, .. } = histogram;
        let _infallible = writeln!(
            self.text,
            "woodladder_{name}_bucket{{le=\"+Inf\"}} {count}\n\
             woodladder_{name}_sum {sum}\n\
             woodladder_{name}_count {count}"
        );
    }

    /// The text.
    #[must_use]
    pub fn finish(self) -> String {
        self.text
    }

    fn head(&mut self, name: &str, help: &str, kind: &str) {
        let _infallible = writeln!(
            self.text,
            "# HELP woodladder_{name} {help}\n# TYPE woodladder_{name} {kind}"
        );
    }
}

/// A count as a metric.
pub(crate) fn count(value: usize) -> f64 {
    u32::try_from(value).map_or(f64::INFINITY, f64::from)
}

/// A version as a metric; exact up to two to the power of 53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn wide(value: u64) -> f64 {
    value as f64
}
