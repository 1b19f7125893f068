//! Decides whether one incarnation of a target supersedes the known one.
//!
//! A target states when its incarnation started, by the wall clock of its machine. An
//! incarnation with a later start time supersedes the known one at once; so does any
//! incarnation if the start time of the known one is unknown. An earlier or missing start
//! time proves nothing: the wall clock may have jumped back, and a node that has
//! restarted has no record of the incarnations that were replaced before. A message with
//! such a start time is either a delayed one of a previous incarnation or comes from a
//! new incarnation. A new incarnation supersedes the known one if it continues to send
//! messages while the known one stays silent for [`SILENCE_BEFORE_SUPERSEDED`].

use std::time::Duration;

use super::identity::Incarnation;
use crate::clock::Instant;

/// Time for which the known incarnation must stay silent before one that may be older
/// supersedes it: two heartbeat intervals.
pub const SILENCE_BEFORE_SUPERSEDED: Duration = Duration::from_millis(2500);

/// One start of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetStart {
    /// The incarnation that began with this start.
    pub incarnation: Incarnation,
    /// When the incarnation started, in milliseconds of Unix time by the clock of the
    /// target's machine; `None` if the target does not state a start time.
    pub started_at_ms: Option<u64>,
}

impl TargetStart {
    /// Whether this start counts as later than another one: its start time is later, or
    /// the other start time is unknown. In the second case, the start that was stated in
    /// the later message wins.
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
