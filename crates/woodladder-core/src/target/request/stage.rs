//! Stages of a request. A refusal can be made only in the stages that allow
//! one, and each step takes its stage away, so that none is taken twice.

use std::time::Duration;

use crate::clock::Instant;

use super::outcome::{Refusal, RefusalReason};
use super::request_id::RequestId;

/// Permission to write one request to the back end once. From the moment that
/// it is given, the request may have run.
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

/// Where a request is.
#[derive(Debug)]
pub(super) enum Stage {
    Queued(Queued),
    Connecting(Connecting),
    Sent(Sent),
    Answering(Answering),
}

/// It waits for a slot.
#[derive(Debug)]
pub(super) struct Queued(());

/// It holds a slot, and a back-end connection is opened for it.
#[derive(Debug)]
pub(super) struct Connecting {
    since: Instant,
}

/// It may have reached the back end, and no answer has come.
#[derive(Debug)]
pub(super) struct Sent {
    since: Instant,
}

/// The head of its answer has gone to the caller.
#[derive(Debug)]
pub(super) struct Answering {
    streaming: bool,
    since: Instant,
}

impl Queued {
    pub(super) fn new() -> Self {
        Self(())
    }

    pub(super) fn dispatch(self, now: Instant) -> Connecting {
        Connecting { since: now }
    }

    pub(super) fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal::new(reason, retry_after)
    }
}

impl Connecting {
    pub(super) fn send(self, id: RequestId) -> (Sent, SendPermit) {
        let sent = Sent { since: self.since };
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
            since: self.since,
        }
    }

    /// The back end itself says that it did not run the request.
    pub(super) fn refused_by_back_end(self, retry_after: Duration) -> Refusal {
        Refusal::new(RefusalReason::BackEndRefused, retry_after)
    }
}

impl Answering {
    pub(super) fn is_streaming(&self) -> bool {
        self.streaming
    }

    pub(super) fn service_time(&self, now: Instant) -> Duration {
        now.since(self.since)
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

    /// Whether the request holds a connection and no slot.
    pub(super) fn is_stream(&self) -> bool {
        matches!(self, Self::Answering(answering) if answering.streaming)
    }

    /// How long the request has held its slot, when it holds one.
    pub(super) fn service_time(&self, now: Instant) -> Option<Duration> {
        match self {
            Self::Sent(sent) => Some(now.since(sent.since)),
            Self::Answering(answering) if !answering.streaming => Some(answering.service_time(now)),
            _ => None,
        }
    }
}
