//! Names of the HTTP headers which callers, agents and back ends exchange.

use std::time::Duration;

use http::HeaderMap;
use http::header::RETRY_AFTER;

/// What became of a request that has no regular answer.
pub const OUTCOME: &str = "woodladder-outcome";

/// Value of [`OUTCOME`]: the request was not run.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// Value of [`OUTCOME`]: the request may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";

/// Milliseconds left until the caller gives up.
pub const DEADLINE_MS: &str = "woodladder-deadline-ms";

/// Name of the service which the caller meant to reach.
pub const INTENDED_SERVICE: &str = "x-intended-service";

/// Number of the caller's attempt at an operation, from one.
pub const ATTEMPT: &str = "x-attempt";

/// The text of a header, when it is there and is text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The number in a header, when it is there and is a number.
#[must_use]
pub fn number<N: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<N> {
    text(headers, name)?.trim().parse().ok()
}

/// The time in `Retry-After`, when it is given in seconds.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    number(headers, RETRY_AFTER.as_str()).map(Duration::from_secs)
}
