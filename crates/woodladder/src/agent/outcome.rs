//! What a caller is told when there is no answer of the back end.

use std::time::Duration;

use http::header::{CACHE_CONTROL, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};

use super::headers::{OUTCOME, REASON};

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
const NO_STORE: &str = "no-store";

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NotRunReason {
    /// Too many requests wait for a slot.
    QueueFull,
    /// Its deadline passed before it was dispatched.
    DeadlinePassed,
    /// The target is leaving.
    Draining,
    /// The target took the flow only to say that it is overloaded.
    Overloaded,
    /// The back end holds as many connections as it may.
    ConnectionLimit,
    /// The back end does not take connections.
    BackEndUnreachable,
    /// The request cannot be passed to a back end.
    InvalidRequest,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The exchange with the back end failed.
    BackEndFailed,
    /// The back end's answer does not say where it ends.
    UnframedAnswer,
    /// Its deadline passed after it was dispatched.
    DeadlinePassed,
}

impl NotRunReason {
    /// Word for the reason's header field.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::DeadlinePassed => "deadline",
            Self::Draining => "draining",
            Self::Overloaded => "overloaded",
            Self::ConnectionLimit => "connection-limit",
            Self::BackEndUnreachable => "back-end-unreachable",
            Self::InvalidRequest => "invalid-request",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl UnknownReason {
    /// Word for the reason's header field.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::BackEndFailed => "back-end-failed",
            Self::UnframedAnswer => "unframed-answer",
            Self::DeadlinePassed => "deadline",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// The answer to a request that did not run; the caller may ask again after
/// `retry_after`, which is rounded up to whole seconds.
pub(super) fn not_run(reason: NotRunReason, retry_after: Duration) -> Response<()> {
    let mut response = answer(reason.status(), NOT_RUN, reason.word());
    let rounded_up = u64::from(retry_after.subsec_nanos() > 0);
    let seconds = (retry_after.as_secs() + rounded_up).max(1);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// The answer to a request that may have run.
pub(super) fn unknown(reason: UnknownReason) -> Response<()> {
    answer(reason.status(), UNKNOWN, reason.word())
}

fn answer(status: StatusCode, outcome: &'static str, reason: &'static str) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    headers.insert(REASON, HeaderValue::from_static(reason));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static(NO_STORE));
    response
}
