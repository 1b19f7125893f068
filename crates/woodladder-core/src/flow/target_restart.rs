//! Decides whether one incarnation of a target supersedes the known one.
//!
//! A target may state when its incarnation started, by the wall clock of its machine. An
//! incarnation with a later start time than the known one supersedes it at once. An earlier
//! or missing start time proves nothing: the wall clock may have jumped back, messages may
//! be late, and a node that has restarted has no record of the incarnations that were
//! replaced before. A message of another incarnation is then either a delayed one of a
//! previous incarnation or comes from a new one. A new incarnation supersedes the known one
//! if it continues to send messages while the known one stays silent for
//! [`SILENCE_BEFORE_SUPERSEDED`].

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

/// Order of two starts by the times that they state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOrder {
    /// It began later than the other one.
    Later,
    /// It did not begin later, or states no time although the other one does.
    Earlier,
    /// The other start states no time, so nothing is known.
    Unknown,
}

impl TargetStart {
    /// The order of this start after another one.
    #[must_use]
    pub fn order_after(&self, other: &Self) -> StartOrder {
        match (self.started_at_ms, other.started_at_ms) {
            (_, None) => StartOrder::Unknown,
            (Some(own), Some(others)) if own > others => StartOrder::Later,
            _ => StartOrder::Earlier,
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
        if next.order_after(known) == StartOrder::Later {
            self.candidate = None;
            return true;
        }
        let span = self.record_claim(next.incarnation, sequence, now);
        let is_proven = span >= SILENCE_BEFORE_SUPERSEDED;
        if is_proven {
            self.candidate = None;
        }
        is_proven
    }

    /// Records a message of another incarnation than the known one. Returns for how long
    /// this incarnation has kept sending while the known one was silent; zero for a first
    /// message and for one that is not newer than the first.
    pub fn record_claim(
        &mut self,
        incarnation: Incarnation,
        sequence: u64,
        now: Instant,
    ) -> Duration {
        let candidate = self
            .candidate
            .filter(|candidate| candidate.incarnation == incarnation);
        let candidate = *self.candidate.insert(candidate.unwrap_or(Candidate {
            incarnation,
            sequence,
            since: now,
        }));
        if sequence > candidate.sequence {
            now.since(candidate.since)
        } else {
            Duration::ZERO
        }
    }

    /// When the first message of an incarnation arrived that is tracked.
    #[must_use]
    pub fn claimed_since(&self, incarnation: Incarnation) -> Option<Instant> {
        self.candidate
            .filter(|candidate| candidate.incarnation == incarnation)
            .map(|candidate| candidate.since)
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
