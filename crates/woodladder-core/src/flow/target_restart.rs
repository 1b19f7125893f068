//! Decides whether one incarnation of a target supersedes the known one.
//!
//! Incarnations state when they started, by the wall clock of their machine. One that
//! started later supersedes the known one at once. An earlier start time proves nothing,
//! because the wall clock may jump back, and because a node that has restarted itself
//! does not know which incarnations were replaced before. The message may be a late one
//! of a previous incarnation, or come from a new one after a clock jump. Time tells them
//! apart: either the known incarnation is heard again, or the other one continues to send
//! while the known one stays silent.

use std::time::Duration;

use super::identity::Incarnation;
use crate::clock::Instant;

/// Time for which the known incarnation must stay silent before one that may be older
/// supersedes it: two heartbeat intervals.
pub const SILENCE_BEFORE_SUPERSEDED: Duration = Duration::from_millis(2500);

/// One start of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetStart {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When the incarnation started, in milliseconds of Unix time; `None` if it does not
    /// state it.
    pub started_at_ms: Option<u64>,
}

impl TargetStart {
    /// Whether this start is certainly later than another one. If the other start time is
    /// unknown, the order of messages decides.
    fn is_later_than(&self, other: &Self) -> bool {
        match (self.started_at_ms, other.started_at_ms) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(own), Some(others)) => own > others,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    incarnation: Incarnation,
    sequence: u64,
    since: Instant,
}

/// Tracks an incarnation that may supersede the known one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartDetector {
    candidate: Option<Candidate>,
}

impl RestartDetector {
    /// Whether `next` supersedes `known`. `sequence` is the number of the message that
    /// states `next`.
    pub fn supersedes(
        &mut self,
        known: &TargetStart,
        next: &TargetStart,
        sequence: u64,
        now: Instant,
    ) -> bool {
        if next.is_later_than(known) {
            self.candidate = None;
            return true;
        }
        let candidate = self
            .candidate
            .filter(|candidate| candidate.incarnation == next.incarnation);
        let candidate = *self.candidate.insert(candidate.unwrap_or(Candidate {
            incarnation: next.incarnation,
            sequence,
            since: now,
        }));
        let is_still_sending = sequence > candidate.sequence;
        let is_proven = is_still_sending && now.since(candidate.since) >= SILENCE_BEFORE_SUPERSEDED;
        if is_proven {
            self.candidate = None;
        }
        is_proven
    }

    /// Records that the known incarnation was heard again, so that no other one has
    /// superseded it.
    pub fn confirm_known(&mut self) {
        self.candidate = None;
    }

    /// Whether an incarnation is tracked that has not proven yet that it supersedes the
    /// known one.
    #[must_use]
    pub fn is_undecided(&self) -> bool {
        self.candidate.is_some()
    }
}
