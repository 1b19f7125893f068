//! Header fields: which ones cross the agent, and the project's own.

use std::time::Duration;

use http::StatusCode;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Time that a caller gives for the answer, in milliseconds from now.
pub const DEADLINE: HeaderName = HeaderName::from_static("woodladder-deadline-ms");
/// Whether a request without the back end's answer has run.
pub const OUTCOME: HeaderName = HeaderName::from_static("woodladder-outcome");
/// Why a request has no answer of the back end.
pub const REASON: HeaderName = HeaderName::from_static("woodladder-reason");
/// Whether a request that may have run may be asked again.
pub const REPEATABLE: HeaderName = HeaderName::from_static("woodladder-repeatable");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const NOT_RUN: &str = "not-run";
const EVENT_STREAM: &str = "text/event-stream";
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Fields that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The value of a deadline field is not a number of milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct InvalidDeadline;

/// The time that the caller gives, if stated.
pub(super) fn stated_deadline(headers: &HeaderMap) -> Result<Option<Duration>, InvalidDeadline> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidDeadline)?;
    let milliseconds = text.parse().map_err(|_| InvalidDeadline)?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

/// Makes a caller's header fields those of the request to the back end.
pub(super) fn prepare_request(headers: &mut HeaderMap, authority: Option<&str>) {
    remove_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.insert(CONNECTION, CLOSE);
    let host = authority.and_then(|text| HeaderValue::from_str(text).ok());
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
}

/// States the time that is left to the back end.
pub(super) fn set_remaining(headers: &mut HeaderMap, remaining: Duration) {
    let milliseconds = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(milliseconds));
}

/// Removes the fields that concern the connection to the back end only.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Whether an answer is a feed: events without a foreseen end.
pub(super) fn is_feed(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    let media_type = text.and_then(|value| value.split(';').next());
    media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Whether an answer is the back end's own statement that it did not run the
/// request.
pub(super) fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME);
    status == StatusCode::SERVICE_UNAVAILABLE && outcome.is_some_and(|value| value == NOT_RUN)
}

/// When the back end says that it may be asked again.
pub(super) fn stated_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Whether the end of an answer's body can be told from a cut connection.
pub(super) fn states_its_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
