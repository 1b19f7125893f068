//! Events that the request table takes in, and actions that it returns.

use std::time::Duration;

use crate::clock::Instant;

use super::outcome::{Refusal, UnknownReason};
use super::request_id::RequestId;
use super::stage::SendPermit;

/// What happens to requests. Events for a request without a place in the
/// table, such as one already answered, are ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEvent {
    /// A caller's request has arrived.
    Arrived {
        /// The request.
        id: RequestId,
        /// When the caller gives up, if it said so.
        deadline: Option<Instant>,
        /// Whether the caller may repeat it after an unknown outcome.
        repeatable: bool,
    },
    /// A back-end connection is open for a dispatched request; no byte of the
    /// request has been written.
    BackEndConnected(RequestId),
    /// The head of the answer has arrived.
    AnswerHead {
        /// The request.
        id: RequestId,
        /// Whether the answer is a stream that lasts, such as a feed.
        streaming: bool,
    },
    /// The answer has ended.
    AnswerEnd {
        /// The request.
        id: RequestId,
        /// Whether all of it arrived.
        complete: bool,
    },
    /// The back end answered that it refused the request without running it.
    BackEndRefused {
        /// The request.
        id: RequestId,
        /// When it may be asked again, if it said so.
        retry_after: Option<Duration>,
    },
    /// The back-end connection could not be opened, or broke.
    BackEndFailed(RequestId),
    /// The caller has cancelled the request or is gone.
    Cancelled(RequestId),
    /// Slots that may be used now; none means that the back end is down.
    SlotsChanged(u16),
    /// Requests that arrive from now on are refused, because the target leaves.
    RefuseArrivals,
    /// Requests that arrive are taken again.
    TakeArrivals,
    /// Time has passed.
    Tick,
}

impl RequestEvent {
    /// Whether it tells of an answer, which counts though its deadline passes
    /// at the same time.
    pub(super) fn brings_answer(&self) -> bool {
        matches!(
            self,
            Self::AnswerHead { .. } | Self::AnswerEnd { .. } | Self::BackEndRefused { .. }
        )
    }
}

/// What the caller of the state machine carries out, in this order.
#[derive(Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Open or take a back-end connection for the request, and report
    /// [`RequestEvent::BackEndConnected`] before writing to it.
    Dispatch(RequestId),
    /// Write the request to its back-end connection, and report the answer.
    Send(SendPermit),
    /// Close the request's back-end connection; nothing read from it counts.
    CloseBackEndConnection(RequestId),
    /// Final: answer the caller at once that the request did not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Final: tell the caller at once that the outcome is not known.
    Fail {
        /// The request.
        id: RequestId,
        /// Why it is not known.
        reason: UnknownReason,
        /// Whether the caller may repeat the request.
        repeatable: bool,
    },
    /// Final: the answer broke off after its head went to the caller; reset the
    /// caller's stream, so that it is not taken for a whole answer.
    ResetCaller {
        /// The request.
        id: RequestId,
        /// Why the answer broke off.
        reason: UnknownReason,
    },
    /// Final: end the caller's stream; the answer is whole.
    Complete(RequestId),
    /// Final: forget the request; the caller has cancelled it.
    Forget {
        /// The request.
        id: RequestId,
        /// Whether the back end may have run it.
        may_have_run: bool,
    },
}

impl RequestAction {
    /// The request that the action is for.
    #[must_use]
    pub fn id(&self) -> RequestId {
        match self {
            Self::Send(permit) => permit.id(),
            Self::Dispatch(id) | Self::CloseBackEndConnection(id) | Self::Complete(id) => *id,
            Self::Refuse { id, .. }
            | Self::Fail { id, .. }
            | Self::ResetCaller { id, .. }
            | Self::Forget { id, .. } => *id,
        }
    }

    /// Whether nothing further follows for the request.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            Self::Dispatch(_) | Self::Send(_) | Self::CloseBackEndConnection(_)
        )
    }
}
