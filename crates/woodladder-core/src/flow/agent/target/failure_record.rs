//! What comes of the target's requests, as evidence of its health.
//!
//! A target can fail quickly while its heartbeats are good; it then looks idle
//! and would draw the next flow. The agent counts failures and successes with
//! decaying weights and states the share of failures with the load; balancers
//! compare it with that of the service's other targets. What a target says of
//! its own health plays no part.
//!
//! The evidence fades, so that a target which has recovered is tried again. It
//! fades more slowly for one that has been suspect before.

use std::time::Duration;

use crate::clock::Instant;

/// Time in which successes lose half of their weight: short, so that a long good
/// record does not hide that a target has begun to fail.
const SUCCESS_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time in which failures lose half of their weight at first.
const FIRST_HALF_LIFE: Duration = Duration::from_secs(2);
/// Longest such time.
const LONGEST_HALF_LIFE: Duration = Duration::from_secs(16);
/// Time without suspicion after which the first half-life holds again.
const TRUSTED_AGAIN_AFTER: Duration = Duration::from_secs(40);
/// Successes assumed before any are known, so that one failure proves little.
const ASSUMED_SUCCESSES: f64 = 3.0;
/// Share of failures, in percent, from which a target is suspect.
const SUSPECT_FROM: u8 = 25;
/// Share of failures, in percent, below which it no longer is.
const TRUSTED_BELOW: u8 = 10;

/// How an answer of the target begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// The request was served, or the caller was at fault.
    Success,
    /// The target failed.
    Failure,
    /// The target did not run the request.
    Rejected,
}

/// Whether a target has become or ceased to be suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// It fails more than now and then.
    Begun,
    /// Its failures lie far enough back.
    Ended,
}

/// FailureRecord of one incarnation's requests, with decaying weights.
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
    /// No evidence.
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

    /// Counts one request.
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
        const WHOLE: f64 = 100.0;
        let all = self.failures + self.successes + ASSUMED_SUCCESSES;
        let share = self.failures / all * WHOLE;
        // Within 0 to 100 by its definition.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let percent = share.round() as u8;
        percent
    }

    /// Lets evidence fade; says whether suspicion has begun or ended.
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
            .is_some_and(|at| now.since(at) < TRUSTED_AGAIN_AFTER);
        self.half_life = if was_suspect {
            (self.half_life * 2).min(LONGEST_HALF_LIFE)
        } else {
            FIRST_HALF_LIFE
        };
        self.suspect_at = Some(now);
        self.is_suspect = true;
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.decayed_at);
        self.decayed_at = now;
        self.successes *= kept_after(elapsed, SUCCESS_HALF_LIFE);
        self.failures *= kept_after(elapsed, self.half_life);
    }
}

/// Part of a weight that is left after some time.
fn kept_after(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
