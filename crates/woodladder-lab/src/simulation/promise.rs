//! The promises that the oracle checks, and how a violation is reported.

use std::fmt;

use serde::Serialize;
use woodladder_core::clock::Instant;

/// A promise of the product, as the oracle checks it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// An attempt stated as not run was not executed.
    NotRunMeansNotRun,
    /// A non-repeatable operation is executed at most once.
    AtMostOnce,
    /// An answer taken as whole is the caller's own and complete.
    WholeOwnAnswer,
    /// No agent takes a packet meant for another service.
    RightService,
    /// A leaving target gets no new work after the limit.
    LeavingGetsNoWork,
    /// A planned stop cuts no request.
    PlannedStopKeepsRequests,
    /// A planned change cuts no feed.
    PlannedChangeKeepsFeeds,
    /// A node never goes back to an earlier roll, nor to one not accepted.
    NeverReverts,
    /// An accepted roll is soon in force at every sound node.
    SoonInForce,
    /// A refusal is sent in the instant in which it is decided.
    ImmediateRefusal,
    /// An operator is told the truth about a roll.
    TrueRollVerdict,
}

/// Every promise, in the order of reports.
pub const PROMISES: [Promise; 11] = [
    Promise::NotRunMeansNotRun,
    Promise::AtMostOnce,
    Promise::WholeOwnAnswer,
    Promise::RightService,
    Promise::LeavingGetsNoWork,
    Promise::PlannedStopKeepsRequests,
    Promise::PlannedChangeKeepsFeeds,
    Promise::NeverReverts,
    Promise::SoonInForce,
    Promise::ImmediateRefusal,
    Promise::TrueRollVerdict,
];

/// A promise that a run did not keep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it was broken.
    pub at: Instant,
    /// What happened, as a short sentence.
    pub detail: String,
}

impl Promise {
    /// Name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRunMeansNotRun => "not-run-means-not-run",
            Self::AtMostOnce => "at-most-once",
            Self::WholeOwnAnswer => "whole-own-answer",
            Self::RightService => "right-service",
            Self::LeavingGetsNoWork => "leaving-gets-no-work",
            Self::PlannedStopKeepsRequests => "planned-stop-keeps-requests",
            Self::PlannedChangeKeepsFeeds => "planned-change-keeps-feeds",
            Self::NeverReverts => "never-reverts",
            Self::SoonInForce => "soon-in-force",
            Self::ImmediateRefusal => "immediate-refusal",
            Self::TrueRollVerdict => "true-roll-verdict",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.since_origin().as_secs_f64();
        write!(formatter, "{at:.6} s: {}: {}", self.promise, self.detail)
    }
}
