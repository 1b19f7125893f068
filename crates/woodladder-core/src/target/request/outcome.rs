//! Outcomes of requests that were not answered.

use std::fmt;
use std::time::Duration;

/// States that a request did not run, why, and when the caller may retry.
///
/// Made only before the request is written to the back end, or when the back
/// end has stated that it refused the request; see the `stage` module.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    reason: RefusalReason,
    retry_after: Duration,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// The target is leaving.
    Leaving,
    /// The queue is full.
    QueueFull,
    /// Streams hold all back-end connections that the connection limit allows.
    ConnectionLimit,
    /// The request could not be answered before its deadline, or would be queued
    /// for longer than allowed.
    WouldWaitTooLong,
    /// The request was queued until its deadline, or for longer than allowed.
    WaitedTooLong,
    /// The deadline passed while a back-end connection was being opened.
    ConnectedTooLate,
    /// The back end is down.
    BackEndDown,
    /// No back-end connection could be opened.
    ConnectFailed,
    /// The back end refused the request without running it.
    BackEndRefused,
}

/// Why the outcome of a request is unknown: the request was sent to the back end,
/// but either no answer began, so that the request may or may not have run, or the
/// answer broke off.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The back-end connection was lost before the answer was complete.
    ConnectionBroken,
    /// The answer ended before it was complete.
    AnswerTruncated,
    /// The deadline passed.
    DeadlinePassed,
}

impl Refusal {
    pub(super) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    /// Why the request did not run.
    #[must_use]
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Time after which the caller may retry, in whole seconds.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

impl RefusalReason {
    /// Whether the cause is load, which falls as requests are finished.
    pub(super) fn is_caused_by_load(self) -> bool {
        matches!(
            self,
            Self::QueueFull | Self::WouldWaitTooLong | Self::WaitedTooLong
        )
    }

    /// Name in answers to callers and in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::QueueFull => "queue-full",
            Self::ConnectionLimit => "connection-limit",
            Self::WouldWaitTooLong => "would-wait-too-long",
            Self::WaitedTooLong => "waited-too-long",
            Self::ConnectedTooLate => "connected-too-late",
            Self::BackEndDown => "back-end-down",
            Self::ConnectFailed => "connect-failed",
            Self::BackEndRefused => "back-end-refused",
        }
    }
}

impl UnknownReason {
    /// Name in answers to callers and in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionBroken => "connection-broken",
            Self::AnswerTruncated => "answer-truncated",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
