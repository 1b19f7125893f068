//! Events that the request table handles, and actions that it returns.

use std::time::Duration;

use crate::clock::Instant;

use super::outcome::{Refusal, UnknownReason};
use super::request_id::RequestId;
use super::stage::SendPermit;

/// Events for the request table. Events for a request that is not in the
/// table, such as one already answered, are ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEvent {
    /// A caller's request has arrived.
    Arrived {
        /// The request.
        id: RequestId,
        /// Time by which the caller needs the answer, if it stated one.
        deadline: Option<Instant>,
        /// Whether the caller may repeat the request after an unknown outcome.
        repeatable: bool,
    },
    /// A back-end connection is open for a dispatched request; no byte of the
    /// request has been written.
    BackEndConnected(RequestId),
    /// The head of the answer has arrived.
    AnswerHead {
        /// The request.
        id: RequestId,
        /// Whether the answer is a long-lived stream, such as a feed.
        streaming: bool,
    },
    /// The answer has ended.
    AnswerEnd {
        /// The request.
        id: RequestId,
        /// Whether the whole answer arrived.
        complete: bool,
    },
    /// The back end answered that it refused the request without running it.
    BackEndRefused {
        /// The request.
        id: RequestId,
        /// Time after which the caller may retry, if the back end stated one.
        retry_after: Option<Duration>,
    },
    /// The back-end connection could not be opened, or was lost.
    BackEndFailed(RequestId),
    /// The caller has cancelled the request or has disconnected.
    Cancelled(RequestId),
    /// Number of slots usable now; zero means that the back end is down.
    SlotsChanged(u16),
    /// The target is leaving: requests that arrive from now on are refused.
    RefuseArrivals,
    /// Requests that arrive from now on are accepted again.
    TakeArrivals,
    /// Time has passed.
    Tick,
}

impl RequestEvent {
    /// Whether the event is a part of an answer. Such an event is handled before
    /// a deadline that passes at the same time.
    pub(super) fn is_part_of_answer(&self) -> bool {
        matches!(
            self,
            Self::AnswerHead { .. } | Self::AnswerEnd { .. } | Self::BackEndRefused { .. }
        )
    }
}

/// Actions for the caller of the state machine to carry out, in the order in which
/// they are returned.
#[derive(Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Open or reuse a back-end connection for the request, and report
    /// [`RequestEvent::BackEndConnected`] before writing to it.
    Dispatch(RequestId),
    /// Write the request to its back-end connection, and report the answer.
    Send(SendPermit),
    /// Close the request's back-end connection and ignore anything read from it.
    CloseBackEndConnection(RequestId),
    /// Final: answer the caller at once that the request did not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why, and when the caller may retry.
        refusal: Refusal,
    },
    /// Final: tell the caller at once that the outcome is unknown.
    Fail {
        /// The request.
        id: RequestId,
        /// Why the outcome is unknown.
        reason: UnknownReason,
        /// Whether the caller may repeat the request.
        repeatable: bool,
    },
    /// Final: reset the caller's stream, because the answer broke off after its
    /// head was sent; otherwise the caller could take the part for a whole answer.
    ResetCaller {
        /// The request.
        id: RequestId,
        /// Why the answer broke off, and thus why the outcome is unknown.
        reason: UnknownReason,
    },
    /// Final: end the caller's stream; the answer is complete.
    Complete(RequestId),
    /// Final: discard the request, which the caller has cancelled.
    Forget {
        /// The request.
        id: RequestId,
        /// Whether the back end may have run the request.
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

    /// Whether this is the last action for the request.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            Self::Dispatch(_) | Self::Send(_) | Self::CloseBackEndConnection(_)
        )
    }
}
