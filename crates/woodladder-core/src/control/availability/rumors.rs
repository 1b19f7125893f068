//! Targets whose reports are still to be passed on, and how often.

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::control::availability::{MAXIMUM_KNOWN_TARGETS, Schedule};
use crate::identifier::TargetId;

/// Targets that wait to be passed on at most; further ones spread by the
/// comparison of marks alone.
pub const MAXIMUM_RUMORS: usize = MAXIMUM_KNOWN_TARGETS;

/// What is still to be passed on.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    sends_left: FxHashMap<TargetId, u8>,
    due: Schedule,
}

impl Rumors {
    /// Has a target's report passed on so many times, first at `due`.
    pub fn add(&mut self, target: TargetId, sends: u8, due: Instant) {
        if self.due.len() >= MAXIMUM_RUMORS && !self.due.contains(target) {
            return;
        }
        self.sends_left.insert(target, sends);
        self.due.set(target, due);
    }

    /// When the next report is due.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.due.next()
    }

    /// Up to `limit` targets that are due.
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

    /// Takes note that a report was passed on; it is due again at `again`
    /// unless this was the last time.
    pub fn sent(&mut self, target: TargetId, again: Instant) {
        let left = self.sends_left.get(&target).copied().unwrap_or_default();
        if left > 1 {
            self.sends_left.insert(target, left - 1);
            self.due.set(target, again);
        } else {
            self.sends_left.remove(&target);
        }
    }

    /// Puts a report off that could not be passed on.
    pub fn postpone(&mut self, target: TargetId, until: Instant) {
        self.due.set(target, until);
    }
}
