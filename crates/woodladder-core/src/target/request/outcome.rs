//! Outcomes of requests that were not answered.

use std::fmt;
use std::time::Duration;

/// The statement that a request did not run.
///
/// Only stages in which that is certain make one; see the `stage` module.
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
    /// Too many requests wait.
    QueueFull,
    /// All back-end connections are in use.
    ConnectionLimit,
    /// It would wait past its deadline, or longer than requests may.
    WouldWaitTooLong,
    /// It waited past its deadline, or longer than requests may.
    WaitedTooLong,
    /// Its deadline passed while a back-end connection was opened.
    ConnectedTooLate,
    /// The back end is down.
    BackEndDown,
    /// No back-end connection could be opened.
    ConnectFailed,
    /// The back end refused it without running it.
    BackEndRefused,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The back-end connection broke before a whole answer.
    ConnectionBroken,
    /// The answer ended before it was whole.
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

    /// After how long the caller may come back; whole seconds.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

impl RefusalReason {
    /// Whether it passes as the work at hand is done.
    pub(super) fn follows_from_work(self) -> bool {
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
