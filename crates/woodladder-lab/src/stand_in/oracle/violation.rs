//! Kinds of broken promises.

use serde::{Deserialize, Serialize};

use crate::stand_in::answer::AnswerDefect;
use crate::stand_in::caller::{FeedBreak, UnknownReason};
use crate::stand_in::operation::OperationId;

/// One broken promise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "violation")]
pub enum Violation {
    /// An attempt was said not to be run, yet a back end ran it.
    NotRunButExecuted {
        /// The operation.
        operation: OperationId,
        /// The attempt, when the execution tells which one it was.
        attempt: Option<u32>,
        /// Where it ran.
        back_end: String,
    },
    /// An operation that may not be repeated ran more than once.
    RanMoreThanOnce {
        /// The operation.
        operation: OperationId,
        /// How often it ran.
        executions: usize,
    },
    /// A whole answer came to an operation which no back end ran.
    AnsweredWithoutExecution {
        /// The operation.
        operation: OperationId,
        /// The attempt.
        attempt: u32,
    },
    /// A back end ran an operation which no caller asked for.
    ExecutedWithoutRequest {
        /// The operation.
        operation: OperationId,
        /// Where it ran.
        back_end: String,
    },
    /// An answer belongs to another request, is incomplete or is damaged.
    DefectiveAnswer {
        /// The operation.
        operation: OperationId,
        /// The attempt.
        attempt: u32,
        /// What is wrong with it.
        defect: AnswerDefect,
    },
    /// A request reached a back end of another service.
    WrongService {
        /// Service of the back end.
        service: String,
        /// Service which the caller meant.
        intended: String,
        /// What arrived there.
        path: String,
    },
    /// A feed carried ticks of another service.
    WrongServiceTicks {
        /// Service which the caller meant.
        intended: String,
        /// How many ticks.
        ticks: u64,
    },
    /// A back end got new work too long after it had started to leave.
    NewWorkWhileLeaving {
        /// The back end.
        back_end: String,
        /// The operation; `None` for a feed.
        operation: Option<OperationId>,
        /// For how long it had been leaving, in milliseconds.
        leaving_for_ms: u64,
    },
    /// A refusal came too late.
    RefusalHeldBack {
        /// The operation.
        operation: OperationId,
        /// The attempt.
        attempt: u32,
        /// How long it took, in milliseconds.
        held_ms: u64,
    },
    /// A request was cut though only planned changes were made.
    RequestCut {
        /// The operation.
        operation: OperationId,
        /// The attempt.
        attempt: u32,
        /// Why its outcome is not known.
        reason: UnknownReason,
    },
    /// An established feed broke though only planned changes were made.
    FeedBroken {
        /// The service.
        service: String,
        /// Why.
        reason: FeedBreak,
    },
    /// A feed lost ticks or received them out of order.
    FeedGap {
        /// The service.
        service: String,
        /// How often.
        gaps: u64,
    },
}
