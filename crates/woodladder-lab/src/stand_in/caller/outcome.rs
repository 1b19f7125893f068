//! Operations and their outcomes as a caller sees them.

use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};

use crate::stand_in::answer::AnswerDefect;
use crate::stand_in::operation::OperationId;

/// What kind of operation is asked for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationKind {
    /// A change, which may run at most once.
    Change,
    /// A read of a sheet, which may be repeated.
    Sheet,
}

impl OperationKind {
    /// Whether the operation may run again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        self == Self::Sheet
    }

    pub(super) fn method(self) -> Method {
        match self {
            Self::Change => Method::POST,
            Self::Sheet => Method::GET,
        }
    }
}

/// An operation to ask for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Operation {
    /// Its identity, kept over all attempts.
    pub id: OperationId,
    /// Its kind.
    pub kind: OperationKind,
}

impl Operation {
    /// A change with this identity.
    #[must_use]
    pub fn change(id: u64) -> Self {
        Self {
            id: OperationId(id),
            kind: OperationKind::Change,
        }
    }

    /// A read of a sheet with this identity.
    #[must_use]
    pub fn sheet(id: u64) -> Self {
        Self {
            id: OperationId(id),
            kind: OperationKind::Sheet,
        }
    }

    pub(super) fn path(&self) -> String {
        match self.kind {
            OperationKind::Change => format!("/operation/{}", self.id),
            OperationKind::Sheet => format!("/sheet/{}", self.id),
        }
    }
}

/// How a caller knows that an operation was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The answer said so.
    Told,
    /// The server rejected the request's stream unprocessed.
    RequestRejected,
    /// No connection was established.
    NoConnection,
    /// No connection took the request.
    NotSent,
}

/// Why a caller does not know whether an operation ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The answer said so.
    Told,
    /// The connection was lost after the request had been sent.
    ConnectionLost,
    /// The server reset the stream.
    StreamReset {
        /// HTTP/3 error code, when known.
        code: Option<u64>,
    },
    /// No whole answer came in time.
    TimedOut,
    /// The answer was larger than a caller reads.
    AnswerTooLarge,
}

/// What a caller knows of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An answer with success came to its end.
    Answered {
        /// What is wrong with its body.
        defect: Option<AnswerDefect>,
    },
    /// The operation was not run.
    NotRun {
        /// How that is known.
        reason: NotRunReason,
        /// When to come back, in milliseconds, if told.
        retry_after_ms: Option<u64>,
    },
    /// The operation may have run.
    Unknown {
        /// Why it is not known.
        reason: UnknownReason,
    },
    /// An answer came which is neither success nor one of the outcomes above.
    Refused {
        /// HTTP status.
        status: u16,
    },
}

impl Outcome {
    pub(super) fn not_run(reason: NotRunReason) -> Self {
        Self::NotRun {
            reason,
            retry_after_ms: None,
        }
    }

    /// When to come back, if told.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after_ms, .. } => retry_after_ms.map(Duration::from_millis),
            _ => None,
        }
    }
}
