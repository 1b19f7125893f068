//! Whether a start of a target takes the place of the one that is known.
//!
//! Starts state when they began by their machine's time of day. One that began later
//! follows at once. The time of day may jump back, and a node that itself has restarted
//! does not know which starts were replaced before, so an earlier beginning proves
//! nothing: it may be a late message of a former start or a new start after a jump. Then
//! the living one is told by time: the known start is heard again, or the other one
//! goes on while the known one stays silent.

use std::time::Duration;

use super::identity::Incarnation;
use crate::clock::Instant;

/// How long the known start must stay silent before one that may be older follows:
/// two heartbeats.
pub const SILENCE_BEFORE_SUPERSEDED: Duration = Duration::from_millis(2500);

/// One start of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetStart {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When it began, in milliseconds of Unix time; `None` when it does not state it.
    pub started_at_ms: Option<u64>,
}

impl TargetStart {
    /// Whether it surely began after another one: where nothing is known of the other
    /// one's beginning, the order of messages decides.
    fn is_later_than(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(own), Some(others)) => own > others,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    incarnation: Incarnation,
    sequence: u64,
    since: Instant,
}

/// What is known of a start that may follow the known one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartDetector {
    claim: Option<Claim>,
}

impl RestartDetector {
    /// Whether a start that is not the known one follows it. `sequence` is the number
    /// of its message.
    pub fn supersedes(
        &mut self,
        known: &TargetStart,
        next: &TargetStart,
        sequence: u64,
        now: Instant,
    ) -> bool {
        if next.is_later_than(known) {
            self.claim = None;
            return true;
        }
        let claim = self
            .claim
            .filter(|claim| claim.incarnation == next.incarnation);
        let claim = *self.claim.insert(claim.unwrap_or(Claim {
            incarnation: next.incarnation,
            sequence,
            since: now,
        }));
        let goes_on = sequence > claim.sequence;
        let is_proven = goes_on && now.since(claim.since) >= SILENCE_BEFORE_SUPERSEDED;
        if is_proven {
            self.claim = None;
        }
        is_proven
    }

    /// The known start was heard again: no other one has followed it.
    pub fn confirm_known(&mut self) {
        self.claim = None;
    }

    /// Whether some start may follow and has not proven it yet.
    #[must_use]
    pub fn is_undecided(&self) -> bool {
        self.claim.is_some()
    }
}
