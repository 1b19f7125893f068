//! Stages of a request, as types. A request that has not been written to the
//! back end can be refused; a sent request is refused only when the back end
//! states that it did not run the request. Each transition consumes its stage,
//! so that no transition happens twice.

use std::time::Duration;

use crate::clock::Instant;

use super::outcome::{Refusal, RefusalReason};
use super::request_id::RequestId;

/// Permission to write one request to the back end once. As soon as it has
/// been given, the request may have run.
#[derive(Debug, Eq, PartialEq)]
pub struct SendPermit {
    id: RequestId,
}

impl SendPermit {
    /// The request that may be written.
    #[must_use]
    pub fn id(&self) -> RequestId {
        self.id
    }
}

/// Stage of a request.
#[derive(Debug)]
pub(super) enum Stage {
    Queued(Queued),
    Connecting(Connecting),
    Sent(Sent),
    Answering(Answering),
}

/// The request waits for a slot. The private field makes `Queued::new` the only
/// way for other modules to create this stage.
#[derive(Debug)]
pub(super) struct Queued(());

/// The request holds a slot, and a back-end connection is being opened for it.
#[derive(Debug)]
pub(super) struct Connecting {
    dispatched_at: Instant,
}

/// The request may have reached the back end, and no answer has arrived.
#[derive(Debug)]
pub(super) struct Sent {
    dispatched_at: Instant,
}

/// The head of the answer has arrived from the back end, so that the request can no
/// longer be refused.
#[derive(Debug)]
pub(super) struct Answering {
    streaming: bool,
    dispatched_at: Instant,
}

impl Queued {
    pub(super) fn new() -> Self {
        Self(())
    }

    pub(super) fn dispatch(self, now: Instant) -> Connecting {
        Connecting { dispatched_at: now }
    }

    pub(super) fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal::new(reason, retry_after)
    }
}

impl Connecting {
    pub(super) fn send(self, id: RequestId) -> (Sent, SendPermit) {
        let sent = Sent {
            dispatched_at: self.dispatched_at,
        };
        (sent, SendPermit { id })
    }

    pub(super) fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal::new(reason, retry_after)
    }
}

impl Sent {
    pub(super) fn answer(self, streaming: bool) -> Answering {
        Answering {
            streaming,
            dispatched_at: self.dispatched_at,
        }
    }

    /// A refusal because the back end stated that it did not run the request.
    pub(super) fn refused_by_back_end(self, retry_after: Duration) -> Refusal {
        Refusal::new(RefusalReason::BackEndRefused, retry_after)
    }
}

impl Answering {
    pub(super) fn is_streaming(&self) -> bool {
        self.streaming
    }

    pub(super) fn service_time(&self, now: Instant) -> Duration {
        now.since(self.dispatched_at)
    }
}

impl Stage {
    pub(super) fn is_queued(&self) -> bool {
        matches!(self, Self::Queued(_))
    }

    pub(super) fn is_connecting(&self) -> bool {
        matches!(self, Self::Connecting(_))
    }

    pub(super) fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }

    pub(super) fn is_answering(&self) -> bool {
        matches!(self, Self::Answering(_))
    }

    /// Whether the request may have reached the back end.
    pub(super) fn may_have_run(&self) -> bool {
        self.is_sent() || self.is_answering()
    }

    /// Whether the request holds a slot of the back end.
    pub(super) fn holds_slot(&self) -> bool {
        match self {
            Self::Queued(_) => false,
            Self::Connecting(_) | Self::Sent(_) => true,
            Self::Answering(answering) => !answering.streaming,
        }
    }

    /// Whether the request holds a connection but no slot.
    pub(super) fn is_stream(&self) -> bool {
        matches!(self, Self::Answering(answering) if answering.streaming)
    }

    /// Time since the request was dispatched; `None` when the request has not been
    /// sent yet or holds no slot any more.
    pub(super) fn service_time(&self, now: Instant) -> Option<Duration> {
        match self {
            Self::Sent(sent) => Some(now.since(sent.dispatched_at)),
            Self::Answering(answering) if !answering.streaming => Some(answering.service_time(now)),
            _ => None,
        }
    }
}
