//! Outcomes of the target's requests, as evidence of its health.
//!
//! A target can fail quickly while its heartbeats are good; it then looks idle and would
//! attract the next flow. The agent counts failures and successes with decaying weights
//! and reports the share of failures with the load. Balancers compare it with the share
//! of the service's other targets. What a target reports about its own health is not
//! used.
//!
//! The evidence decays, so that a target that has recovered is tried again. It decays
//! more slowly for a target that has been suspect before.

use std::time::Duration;

use crate::clock::Instant;

/// Half-life of the weight of successes. It is short, so that a long good record does not
/// hide that a target has begun to fail.
const SUCCESS_HALF_LIFE: Duration = Duration::from_millis(500);
/// Initial half-life of the weight of failures.
const FIRST_HALF_LIFE: Duration = Duration::from_secs(2);
/// Longest half-life of the weight of failures.
const MAXIMUM_HALF_LIFE: Duration = Duration::from_secs(16);
/// Time since the last suspicion began after which [`FIRST_HALF_LIFE`] applies again.
const HALF_LIFE_RESET_AFTER: Duration = Duration::from_secs(40);
/// Successes that are assumed in addition to the counted ones, so that a single failure
/// without any success is a share of 25 percent, not 100.
const ASSUMED_SUCCESSES: f64 = 3.0;
/// Share of failures, in percent, from which a target is suspect.
const SUSPECT_FROM: u8 = 25;
/// Share of failures, in percent, below which a target is no longer suspect.
const TRUSTED_BELOW: u8 = 10;

/// Outcome of a request, as the first bytes of the answer show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The request was served, or the caller was at fault.
    Success,
    /// The target failed.
    Failure,
    /// The target refused the request without running it.
    Rejected,
}

/// Change of whether a target is suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// The target has become suspect: it fails more than occasionally.
    Begun,
    /// The target is no longer suspect: its share of failures has decayed far enough.
    Ended,
}

/// Outcomes of one incarnation's requests, with decaying weights.
#[derive(Clone, Debug)]
pub(crate) struct FailureRecord {
    successes: f64,
    failures: f64,
    decayed_at: Instant,
    half_life: Duration,
    suspect_at: Option<Instant>,
    is_suspect: bool,
}

impl FailureRecord {
    /// A record without evidence.
    pub fn new(now: Instant) -> Self {
        Self {
            successes: 0.0,
            failures: 0.0,
            decayed_at: now,
            half_life: FIRST_HALF_LIFE,
            suspect_at: None,
            is_suspect: false,
        }
    }

    /// Counts the outcome of one request.
    pub fn count(&mut self, succeeded: bool, now: Instant) {
        self.decay(now);
        if succeeded {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    /// Share of failures, in percent.
    pub fn failed_percent(&self) -> u8 {
        const PERCENT: f64 = 100.0;
        let all = self.failures + self.successes + ASSUMED_SUCCESSES;
        let share = self.failures / all * PERCENT;
        // The share is between 0 and 100.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let percent = share.round() as u8;
        percent
    }

    /// Decays the weights of the outcomes. Returns whether the target has become or
    /// ceased to be suspect.
    pub fn tick(&mut self, now: Instant) -> Option<Suspicion> {
        self.decay(now);
        let share = self.failed_percent();
        if !self.is_suspect && share >= SUSPECT_FROM {
            self.begin_suspicion(now);
            return Some(Suspicion::Begun);
        }
        if self.is_suspect && share < TRUSTED_BELOW {
            self.is_suspect = false;
            return Some(Suspicion::Ended);
        }
        None
    }

    fn begin_suspicion(&mut self, now: Instant) {
        let was_suspect = self
            .suspect_at
            .is_some_and(|at| now.since(at) < HALF_LIFE_RESET_AFTER);
        self.half_life = if was_suspect {
            (self.half_life * 2).min(MAXIMUM_HALF_LIFE)
        } else {
            FIRST_HALF_LIFE
        };
        self.suspect_at = Some(now);
        self.is_suspect = true;
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.decayed_at);
        self.decayed_at = now;
        self.successes *= remaining_weight(elapsed, SUCCESS_HALF_LIFE);
        self.failures *= remaining_weight(elapsed, self.half_life);
    }
}

/// Factor on a weight after some time.
fn remaining_weight(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
