//! Metrics of a node in the Prometheus text format.

use std::fmt::Write;
use std::time::Duration;

use woodladder_core::flow::activation::ActiveMechanisms;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 11] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// A histogram of durations. Its buckets are cumulative: each counts all durations up to
/// its bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationHistogram {
    buckets: [u64; BUCKET_BOUNDS_SECONDS.len()],
    count: u64,
    sum_seconds: f64,
}

impl DurationHistogram {
    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.count += 1;
        self.sum_seconds += seconds;
        for (bucket, bound) in self.buckets.iter_mut().zip(BUCKET_BOUNDS_SECONDS) {
            *bucket += u64::from(seconds <= bound);
        }
    }
}

/// Builds the text of a scrape.
#[derive(Clone, Debug, Default)]
pub struct MetricsText {
    text: String,
}

impl MetricsText {
    /// Adds a counter.
    pub fn add_counter(&mut self, name: &str, help: &str, value: u64) {
        self.add_header(name, help, "counter");
        let _infallible = writeln!(self.text, "woodladder_{name} {value}");
    }

    /// Adds a counter with one sample for each value of a label.
    pub fn add_counters<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: [(&str, u64); N],
    ) {
        self.add_header(name, help, "counter");
        for (kind, value) in values {
            let _infallible =
                writeln!(self.text, "woodladder_{name}{{{label}=\"{kind}\"}} {value}");
        }
    }

    /// Adds a gauge that is 1 for each active optional mechanism: flow location, request
    /// ordering and link pacing.
    pub fn add_mechanisms(&mut self, active: ActiveMechanisms) {
        let mechanisms = [
            ("locates_flows", active.locates_flows),
            ("orders_requests", active.orders_requests),
            ("paces_link", active.paces_link),
        ];
        self.add_header(
            "mechanism_active",
            "1 when the optional mechanism is active, otherwise 0.",
            "gauge",
        );
        for (name, is_active) in mechanisms {
            let value = u8::from(is_active);
            let _infallible = writeln!(
                self.text,
                "woodladder_mechanism_active{{mechanism=\"{name}\"}} {value}"
            );
        }
    }

    /// Adds a gauge that is always 1 and whose labels carry the information.
    pub fn add_info(&mut self, name: &str, help: &str, labels: &[(&str, &str)]) {
        self.add_header(name, help, "gauge");
        let labels: Vec<String> = labels
            .iter()
            .map(|(label, value)| format!("{label}=\"{value}\""))
            .collect();
        let _infallible = writeln!(self.text, "woodladder_{name}{{{}}} 1", labels.join(","));
    }

    /// Adds a gauge.
    pub fn add_gauge(&mut self, name: &str, help: &str, value: f64) {
        self.add_header(name, help, "gauge");
        let _infallible = writeln!(self.text, "woodladder_{name} {value}");
    }

    /// Adds a gauge with one sample for each value of a label.
    pub fn add_gauges<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: [(&str, f64); N],
    ) {
        self.add_header(name, help, "gauge");
        for (kind, value) in values {
            let _infallible =
                writeln!(self.text, "woodladder_{name}{{{label}=\"{kind}\"}} {value}");
        }
    }

    /// Adds a histogram.
    pub fn add_histogram(&mut self, name: &str, help: &str, histogram: &DurationHistogram) {
        self.add_header(name, help, "histogram");
        for (count, bound) in histogram.buckets.iter().zip(BUCKET_BOUNDS_SECONDS) {
            let _infallible = writeln!(
                self.text,
                "woodladder_{name}_bucket{{le=\"{bound}\"}} {count}"
            );
        }
        let DurationHistogram {
            count, sum_seconds, ..
        } = histogram;
        let _infallible = writeln!(
            self.text,
            "woodladder_{name}_bucket{{le=\"+Inf\"}} {count}\n\
             woodladder_{name}_sum {sum_seconds}\n\
             woodladder_{name}_count {count}"
        );
    }

    /// Returns the text.
    #[must_use]
    pub fn finish(self) -> String {
        self.text
    }

    fn add_header(&mut self, name: &str, help: &str, kind: &str) {
        let _infallible = writeln!(
            self.text,
            "# HELP woodladder_{name} {help}\n# TYPE woodladder_{name} {kind}"
        );
    }
}

/// Converts a count to f64, the type of metric values. Counts up to `u32::MAX` are converted
/// exactly, through u32, the widest integer for which std has a lossless conversion to f64.
/// Higher counts become infinity.
pub(crate) fn count_as_f64(value: usize) -> f64 {
    u32::try_from(value).map_or(f64::INFINITY, f64::from)
}

/// Converts a number to f64, the type of metric values. Numbers up to 2^53 are converted
/// exactly, higher ones are rounded.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn u64_as_f64(value: u64) -> f64 {
    value as f64
}
