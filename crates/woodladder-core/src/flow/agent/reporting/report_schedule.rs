//! Schedule of the reports to each balancer.
//!
//! Balancers request reports at different rates: those that choose targets themselves
//! request more than those that relay their packets to other balancers. A balancer that
//! has not sent a hello yet gets reports at a fixed rate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::identity::NodeAddress;

/// Minimum time between two reports to one balancer.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports to a balancer that has not sent a hello yet. The interval is
/// short because a balancer cannot find the target's flows before it has received a
/// report, and when a whole fleet starts, the few balancers that the settings name may
/// start after the agent's first report. With many such balancers,
/// [`ReportSchedule::interval_factor`] lengthens the interval.
const UNCONFIRMED_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum mean time between two reports of one agent, whatever the balancers request.
/// As long as a small machine needs at most 120 microseconds for one report (a hundredth
/// of this spacing), reports take at most a hundredth of its processor time.
const MINIMUM_MEAN_SPACING: Duration = Duration::from_millis(12);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Interval that the balancer has requested.
    requested_interval: Option<Duration>,
    due_at: Instant,
    /// Whether a report has been sent.
    was_reported: bool,
}

/// A report that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DueReport {
    /// The balancer that receives the report.
    pub(crate) balancer: NodeAddress,
    /// Time to the next report.
    pub(crate) interval: Duration,
}

/// The balancers that are sent reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSchedule {
    entries: BTreeMap<NodeAddress, Entry>,
}

impl ReportSchedule {
    /// Sets the interval that a balancer requests.
    pub(crate) fn set_requested_interval(
        &mut self,
        balancer: NodeAddress,
        interval: Duration,
        now: Instant,
    ) {
        let interval = interval.max(MINIMUM_INTERVAL);
        self.add(balancer, now);
        if let Some(entry) = self.entries.get_mut(&balancer) {
            entry.requested_interval = Some(interval);
            entry.due_at = entry.due_at.min(now + interval);
        }
    }

    /// Adds a balancer, which is due a report at once.
    pub(crate) fn add(&mut self, balancer: NodeAddress, now: Instant) {
        self.entries.entry(balancer).or_insert(Entry {
            requested_interval: None,
            due_at: now,
            was_reported: false,
        });
    }

    /// Sets the next report to one balancer to be due now.
    pub(crate) fn make_due(&mut self, balancer: NodeAddress, now: Instant) {
        self.add(balancer, now);
        if let Some(entry) = self.entries.get_mut(&balancer) {
            entry.due_at = now;
        }
    }

    /// Sets the next report to every balancer to be due now.
    pub(crate) fn make_all_due(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.due_at = now;
        }
    }

    /// Removes the balancers for which `is_known` does not hold.
    pub(crate) fn retain(&mut self, is_known: impl Fn(NodeAddress) -> bool) {
        self.entries.retain(|balancer, _| is_known(*balancer));
    }

    /// Whether a balancer has not been sent a report yet.
    pub(crate) fn has_unreported(&self) -> bool {
        self.entries.values().any(|entry| !entry.was_reported)
    }

    /// The reports that are due now; they count as sent.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<DueReport> {
        let interval_factor = self.interval_factor();
        let mut due = Vec::new();
        for (balancer, entry) in &mut self.entries {
            if entry.due_at > now {
                continue;
            }
            let interval = entry.interval().mul_f64(interval_factor);
            entry.due_at = now + interval;
            entry.was_reported = true;
            due.push(DueReport {
                balancer: *balancer,
                interval,
            });
        }
        due
    }

    /// Factor on all intervals that keeps the mean time between two reports at
    /// [`MINIMUM_MEAN_SPACING`] or more.
    fn interval_factor(&self) -> f64 {
        let reports_per_second: f64 = self
            .entries
            .values()
            .map(|entry| entry.interval().as_secs_f64().recip())
            .sum();
        (reports_per_second * MINIMUM_MEAN_SPACING.as_secs_f64()).max(1.0)
    }
}

impl Entry {
    fn interval(&self) -> Duration {
        self.requested_interval.unwrap_or(UNCONFIRMED_INTERVAL)
    }
}
