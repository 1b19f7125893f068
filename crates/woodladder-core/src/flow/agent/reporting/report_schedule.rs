//! When each balancer is due a report.
//!
//! Balancers ask for reports at different rates: those that choose targets
//! themselves more often than those that hand their packets to others. One that
//! has not greeted yet gets them at a fixed rate.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::identity::NodeAddress;

/// Least time between two reports to one balancer.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reports to a balancer that has not greeted yet: at a start of
/// everything the few that the settings name may start a moment later, and until one
/// of them knows the agent its target's flows are not found. Many such balancers
/// stretch it.
const UNCONFIRMED_INTERVAL: Duration = Duration::from_millis(100);
/// Reports of one agent are at least this far apart on average, whatever the
/// balancers ask for: a hundredth of a small machine's processor.
const LEAST_SPACING: Duration = Duration::from_millis(12);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// What the balancer has asked for.
    asked: Option<Duration>,
    due_at: Instant,
    /// Whether a report was sent before.
    was_sent: bool,
}

/// A report that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DueReport {
    /// Its receiver.
    pub(crate) balancer: NodeAddress,
    /// Time to the next one.
    pub(crate) interval: Duration,
}

/// The balancers that are sent reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSchedule {
    entries: BTreeMap<NodeAddress, Entry>,
}

impl ReportSchedule {
    /// Takes in the interval that a balancer asks for.
    pub(crate) fn asked(&mut self, balancer: NodeAddress, interval: Duration, now: Instant) {
        let interval = interval.max(LEAST_INTERVAL);
        self.add(balancer, now);
        if let Some(entry) = self.entries.get_mut(&balancer) {
            entry.asked = Some(interval);
            entry.due_at = entry.due_at.min(now + interval);
        }
    }

    /// Adds a balancer, which is due a report at once.
    pub(crate) fn add(&mut self, balancer: NodeAddress, now: Instant) {
        self.entries.entry(balancer).or_insert(Entry {
            asked: None,
            due_at: now,
            was_sent: false,
        });
    }

    /// Makes a report due to one balancer.
    pub(crate) fn due_now(&mut self, balancer: NodeAddress, now: Instant) {
        self.add(balancer, now);
        if let Some(entry) = self.entries.get_mut(&balancer) {
            entry.due_at = now;
        }
    }

    /// Makes a report due to every balancer.
    pub(crate) fn all_due(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.due_at = now;
        }
    }

    /// Forgets the balancers for which `is_known` does not hold.
    pub(crate) fn retain(&mut self, is_known: impl Fn(NodeAddress) -> bool) {
        self.entries.retain(|balancer, _| is_known(*balancer));
    }

    /// Whether a balancer waits for its first report.
    pub(crate) fn has_new(&self) -> bool {
        self.entries.values().any(|entry| !entry.was_sent)
    }

    /// The reports that are due now, which counts as sending them.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<DueReport> {
        let stretch = self.stretch();
        let mut due = Vec::new();
        for (balancer, entry) in &mut self.entries {
            if entry.due_at > now {
                continue;
            }
            let interval = entry.interval().mul_f64(stretch);
            entry.due_at = now + interval;
            entry.was_sent = true;
            due.push(DueReport {
                balancer: *balancer,
                interval,
            });
        }
        due
    }

    /// By how much intervals are longer than asked for, so that the reports of
    /// all keep their spacing.
    fn stretch(&self) -> f64 {
        let reports_a_second: f64 = self
            .entries
            .values()
            .map(|entry| entry.interval().as_secs_f64().recip())
            .sum();
        (reports_a_second * LEAST_SPACING.as_secs_f64()).max(1.0)
    }
}

impl Entry {
    fn interval(&self) -> Duration {
        self.asked.unwrap_or(UNCONFIRMED_INTERVAL)
    }
}
