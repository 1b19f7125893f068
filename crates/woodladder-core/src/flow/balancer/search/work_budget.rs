//! Limits the work that searches cause: CPU for queries, and link capacity for lists
//! and packets.

use std::time::Duration;

use crate::clock::Instant;

/// CPU time, in microseconds, that the two datagrams of one query and its answer take.
const QUERY_CPU_US: f64 = 30.0;
/// Share of the CPU that queries may take. Queries are numerous only when almost no
/// flow is in the table, after the loss of all state. The rest of the CPU is left for
/// packets of flows in the table.
const QUERY_CPU_SHARE: f64 = 0.8;
/// Share of the link that lists of flows may take.
const LIST_LINK_SHARE: f64 = 0.05;
/// Share of the link that callers' packets sent in searches may take.
const PACKET_LINK_SHARE: f64 = 0.4;
/// Rate assumed for a link of unknown rate, in kilobits a second.
const ASSUMED_LINK_RATE_KBPS: u32 = 10_000;
/// Bytes a second in one kilobit a second.
const BYTES_PER_KILOBIT: f64 = 125.0;
/// Microseconds of CPU time a second in a thousandth of a core.
const MICROSECONDS_PER_MILLICORE: f64 = 1000.0;
/// Duration that determines the burst size: a burst may contain the work that the rate
/// allows in this time.
const BURST_DURATION: Duration = Duration::from_millis(100);

/// A token bucket for work. A round may spend more than remains; the next round then
/// waits until `remaining` is positive again.
#[derive(Clone, Debug)]
pub struct WorkBudget {
    rate_per_second: f64,
    remaining: f64,
    refilled_at: Instant,
}

impl WorkBudget {
    /// Budget, in queries, for a CPU with the given capacity in thousandths of a core.
    #[must_use]
    pub fn for_queries(cpu_millicores: u32, now: Instant) -> Self {
        let cpu_us_per_second =
            f64::from(cpu_millicores) * MICROSECONDS_PER_MILLICORE * QUERY_CPU_SHARE;
        Self::with_rate(cpu_us_per_second / QUERY_CPU_US, now)
    }

    /// Budget, in bytes, for flow lists on a link with the given rate in kilobits a
    /// second.
    #[must_use]
    pub fn for_list_bytes(link_rate_kbps: Option<u32>, now: Instant) -> Self {
        let rate = f64::from(link_rate_kbps.unwrap_or(ASSUMED_LINK_RATE_KBPS));
        Self::with_rate(rate * BYTES_PER_KILOBIT * LIST_LINK_SHARE, now)
    }

    /// Budget, in bytes, for callers' packets that are sent in searches, on a link with
    /// the given rate in kilobits a second.
    #[must_use]
    pub fn for_packet_bytes(link_rate_kbps: Option<u32>, now: Instant) -> Self {
        let rate = f64::from(link_rate_kbps.unwrap_or(ASSUMED_LINK_RATE_KBPS));
        Self::with_rate(rate * BYTES_PER_KILOBIT * PACKET_LINK_SHARE, now)
    }

    fn with_rate(rate_per_second: f64, now: Instant) -> Self {
        Self {
            rate_per_second,
            remaining: rate_per_second * BURST_DURATION.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Whether more work may be done now.
    pub fn has_remaining(&mut self, now: Instant) -> bool {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let maximum = self.rate_per_second * BURST_DURATION.as_secs_f64();
        self.remaining = (self.remaining + passed * self.rate_per_second).min(maximum);
        self.remaining > 0.0
    }

    /// Deducts work that was done.
    pub fn spend(&mut self, amount: u32) {
        self.remaining -= f64::from(amount);
    }
}
