//! Header fields: those removed or set when forwarding, and the ones that this
//! project defines.

use std::time::Duration;

use http::StatusCode;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Time in milliseconds, counted from the arrival of the request, that the
/// caller waits for the answer.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("woodladder-deadline-ms");
/// Whether a request that has no answer of the back end was run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("woodladder-outcome");
/// Why a request has no answer of the back end.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("woodladder-reason");
/// Whether a request that may have run can safely be repeated.
pub const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("woodladder-repeatable");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const NOT_RUN: &str = "not-run";
const EVENT_STREAM_TYPE: &str = "text/event-stream";
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Hop-by-hop fields (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The value of the deadline field is not a number of milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct InvalidDeadline;

/// Reads the caller's deadline, as time from now, if it states one.
pub(super) fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, InvalidDeadline> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidDeadline)?;
    let milliseconds = text.parse().map_err(|_| InvalidDeadline)?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

/// Turns the header fields of a caller's request into those of the request to
/// the back end.
pub(super) fn prepare_back_end_request(headers: &mut HeaderMap, authority: Option<&str>) {
    remove_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.insert(CONNECTION, CLOSE);
    let host = authority.and_then(|text| HeaderValue::from_str(text).ok());
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
}

/// Sets the deadline field to the time that is left for the back end.
pub(super) fn set_deadline(headers: &mut HeaderMap, remaining: Duration) {
    let milliseconds = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(milliseconds));
}

/// Removes hop-by-hop fields, including those that `connection` names.
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

/// Whether an answer is a feed, that is, an event stream without a foreseen
/// end.
pub(super) fn is_feed(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    let media_type = text.and_then(|value| value.split(';').next());
    media_type.is_some_and(|value| value.trim().eq_ignore_ascii_case(EVENT_STREAM_TYPE))
}

/// Whether the back end states in an answer that it did not run the request.
pub(super) fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME_HEADER);
    status == StatusCode::SERVICE_UNAVAILABLE && outcome.is_some_and(|value| value == NOT_RUN)
}

/// Time after which the back end accepts a repeated request, if it states one.
pub(super) fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Whether the answer states its length or uses chunks, so that the end of its
/// body can be distinguished from a lost connection.
pub(super) fn has_explicit_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
