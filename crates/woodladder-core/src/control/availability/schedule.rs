//! Due times of targets, in ascending order.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::identifier::TargetId;

/// At most one due time for each target.
#[derive(Clone, Debug, Default)]
pub struct TargetSchedule {
    due_times: FxHashMap<TargetId, Instant>,
    order: BTreeSet<(Instant, TargetId)>,
}

impl TargetSchedule {
    /// Sets the due time of a target and replaces an earlier one.
    pub fn set(&mut self, target: TargetId, due: Instant) {
        self.remove(target);
        self.due_times.insert(target, due);
        self.order.insert((due, target));
    }

    /// Removes the due time of a target.
    pub fn remove(&mut self, target: TargetId) {
        if let Some(due) = self.due_times.remove(&target) {
            self.order.remove(&(due, target));
        }
    }

    /// Whether a target has a due time.
    #[must_use]
    pub fn contains(&self, target: TargetId) -> bool {
        self.due_times.contains_key(&target)
    }

    /// The earliest due time.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.order.first().map(|(due, _)| *due)
    }

    /// Removes and returns the first target if it is due.
    pub fn take_due(&mut self, now: Instant) -> Option<TargetId> {
        let (due, target) = *self.order.first()?;
        if due > now {
            return None;
        }
        self.remove(target);
        Some(target)
    }

    /// Number of targets in the schedule.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the schedule is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The targets in the order of their due times.
    pub fn targets(&self) -> impl Iterator<Item = TargetId> {
        self.order.iter().map(|(_, target)| *target)
    }
}
