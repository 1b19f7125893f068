//! Answers that the agent itself gives when there is none of the back end.

use std::time::Duration;

use http::header::{CACHE_CONTROL, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use woodladder_core::target::request::{RefusalReason, UnknownReason};

use super::headers::{OUTCOME_HEADER, REASON_HEADER, REPEATABLE_HEADER};

const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
const NO_STORE: &str = "no-store";

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NotRunReason {
    /// The target refused it or gave it up in the queue.
    Refused(RefusalReason),
    /// The target accepted the flow only to decline its requests.
    FlowDeclined,
    /// The request is invalid and cannot be sent to a back end.
    InvalidRequest,
}

impl NotRunReason {
    /// The target is draining.
    pub(super) const DRAINING: Self = Self::Refused(RefusalReason::Leaving);

    /// Value of the reason header field.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused(reason) => reason.name(),
            Self::FlowDeclined => "flow-declined",
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

/// Answers a request that was not run. The caller may retry after
/// `retry_after`, which is rounded up to whole seconds.
pub(super) fn not_run(reason: NotRunReason, retry_after: Duration) -> Response<()> {
    let mut response = answer(reason.status(), NOT_RUN, reason.name());
    let rounded_up = u64::from(retry_after.subsec_nanos() > 0);
    let seconds = retry_after.as_secs().saturating_add(rounded_up).max(1);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Answers a request that may have run. `repeatable` tells the caller whether
/// the request's method still makes a retry safe.
pub(super) fn unknown_outcome(reason: UnknownReason, repeatable: bool) -> Response<()> {
    let status = match reason {
        UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut response = answer(status, UNKNOWN, reason.name());
    let repeatable = if repeatable { "yes" } else { "no" };
    response
        .headers_mut()
        .insert(REPEATABLE_HEADER, HeaderValue::from_static(repeatable));
    response
}

fn answer(status: StatusCode, outcome: &'static str, reason: &'static str) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static(NO_STORE));
    response
}
