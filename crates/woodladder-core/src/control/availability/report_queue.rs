//! Targets whose reports are still to be sent to other nodes, and how many
//! times.

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::control::availability::{MAXIMUM_KNOWN_TARGETS, TargetSchedule};
use crate::identifier::TargetId;

/// Largest number of targets in the queue. The queue can be full although the
/// table has the same capacity: the queue also holds the node's own target, and
/// targets that the table has removed since they were queued. Reports about
/// further targets are not queued; they reach other nodes only in digest
/// messages, and in answers to digest messages or to outdated reports.
pub const MAXIMUM_QUEUED_REPORTS: usize = MAXIMUM_KNOWN_TARGETS;

/// Queue of targets whose reports are still to be sent.
#[derive(Clone, Debug, Default)]
pub struct ReportQueue {
    sends_left: FxHashMap<TargetId, u8>,
    due: TargetSchedule,
}

impl ReportQueue {
    /// Queues the report about a target to be sent `sends` times, first at
    /// `due`. Does nothing if the queue is full and does not hold the target.
    pub fn add(&mut self, target: TargetId, sends: u8, due: Instant) {
        if self.due.len() >= MAXIMUM_QUEUED_REPORTS && !self.due.contains(target) {
            return;
        }
        self.sends_left.insert(target, sends);
        self.due.set(target, due);
    }

    /// When the next report is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.due.next_due()
    }

    /// Removes and returns up to `limit` targets whose reports are due.
    pub fn take_due(&mut self, limit: usize, now: Instant) -> Vec<TargetId> {
        let mut taken = Vec::new();
        while taken.len() < limit {
            let Some(target) = self.due.take_due(now) else {
                break;
            };
            taken.push(target);
        }
        taken
    }

    /// Records that a report was sent. It is due again at `again` unless this
    /// was the last time.
    pub fn record_sent(&mut self, target: TargetId, again: Instant) {
        let remaining_sends = self.sends_left.get(&target).copied().unwrap_or_default();
        if remaining_sends > 1 {
            self.sends_left.insert(target, remaining_sends - 1);
            self.due.set(target, again);
        } else {
            self.sends_left.remove(&target);
        }
    }

    /// Makes a report that could not be sent due again at `until`.
    pub fn postpone(&mut self, target: TargetId, until: Instant) {
        self.due.set(target, until);
    }
}
