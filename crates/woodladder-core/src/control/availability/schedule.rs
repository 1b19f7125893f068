//! Instants by target, in the order in which they come.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::identifier::TargetId;

/// One instant for each of some targets.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    instants: FxHashMap<TargetId, Instant>,
    order: BTreeSet<(Instant, TargetId)>,
}

impl Schedule {
    /// Sets a target's instant, in place of an earlier one.
    pub fn set(&mut self, target: TargetId, at: Instant) {
        self.remove(target);
        self.instants.insert(target, at);
        self.order.insert((at, target));
    }

    /// Forgets a target's instant.
    pub fn remove(&mut self, target: TargetId) {
        if let Some(at) = self.instants.remove(&target) {
            self.order.remove(&(at, target));
        }
    }

    /// Whether a target has an instant.
    #[must_use]
    pub fn contains(&self, target: TargetId) -> bool {
        self.instants.contains_key(&target)
    }

    /// The first instant.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Takes a target out whose instant has come.
    pub fn take_due(&mut self, now: Instant) -> Option<TargetId> {
        let (at, target) = *self.order.first()?;
        if at > now {
            return None;
        }
        self.remove(target);
        Some(target)
    }

    /// Targets in the schedule.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The targets, by their instants.
    pub fn targets(&self) -> impl Iterator<Item = TargetId> {
        self.order.iter().map(|(_, target)| *target)
    }
}
