//! Oracle: joins what back ends ran with what callers saw, and names each broken promise.
//!
//! It reads only the logs of the stand-ins, never the code under test. No I/O.

mod answers;
mod executions;
mod feeds;
mod violation;

use serde::{Deserialize, Serialize};

pub use violation::Violation;

use super::caller::{FeedEnd, Outcome, OutcomeLog};
use super::execution_log::ExecutionLog;

/// Logs of one run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The log of each back end.
    pub back_ends: Vec<ExecutionLog>,
    /// The log of the callers.
    pub callers: OutcomeLog,
}

/// What the run was, and how strict the oracle is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OracleSettings {
    /// How long a leaving back end may still get new work, in milliseconds.
    pub leaving_limit_ms: u64,
    /// Longest time until a refusal, in milliseconds; `None` when it is not judged.
    pub refusal_limit_ms: Option<u64>,
    /// Whether all changes of the run were planned, so that no request and no feed may be cut.
    pub planned_changes_only: bool,
    /// Whether the log of every back end is there, also of those that ended.
    pub all_logs_present: bool,
}

impl Default for OracleSettings {
    fn default() -> Self {
        Self {
            leaving_limit_ms: 5_000,
            refusal_limit_ms: None,
            planned_changes_only: false,
            all_logs_present: true,
        }
    }
}

/// How many attempts and feeds had which end.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Totals {
    /// Attempts with a whole answer.
    pub answered: usize,
    /// Attempts that were not run.
    pub not_run: usize,
    /// Attempts of which it is not known whether they ran.
    pub unknown: usize,
    /// Attempts with another answer.
    pub refused: usize,
    /// Executions at back ends.
    pub executions: usize,
    /// Feeds that were established.
    pub feeds: usize,
    /// Feeds that broke.
    pub broken_feeds: usize,
    /// Moves of feeds to another connection.
    pub feed_moves: u64,
}

/// What the oracle found.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OracleReport {
    /// Broken promises, in the order of the checks.
    pub violations: Vec<Violation>,
    /// Counts, whether or not a promise is broken.
    pub totals: Totals,
}

/// Joins the logs and reports each violation.
#[must_use]
pub fn judge(evidence: &Evidence, settings: &OracleSettings) -> OracleReport {
    let mut violations = Vec::new();
    executions::check(evidence, settings, &mut violations);
    answers::check(evidence, settings, &mut violations);
    feeds::check(evidence, settings, &mut violations);
    OracleReport {
        violations,
        totals: totals(evidence),
    }
}

fn totals(evidence: &Evidence) -> Totals {
    let mut totals = Totals {
        executions: evidence
            .back_ends
            .iter()
            .map(|log| log.executions.len())
            .sum(),
        ..Totals::default()
    };
    for record in &evidence.callers.outcomes {
        match record.outcome {
            Outcome::Answered { .. } => totals.answered += 1,
            Outcome::NotRun { .. } => totals.not_run += 1,
            Outcome::Unknown { .. } => totals.unknown += 1,
            Outcome::Refused { .. } => totals.refused += 1,
        }
    }
    for feed in &evidence.callers.feeds {
        totals.feeds += usize::from(feed.opened_ms.is_some());
        totals.broken_feeds += usize::from(matches!(feed.end, FeedEnd::Broken { .. }));
        totals.feed_moves += feed.moves;
    }
    totals
}
