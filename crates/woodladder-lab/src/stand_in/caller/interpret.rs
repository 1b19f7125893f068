//! What a whole answer says of an operation. No I/O.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use super::outcome::{NotRunReason, Operation, Outcome, UnknownReason};
use crate::stand_in::{answer, headers};

/// An answer that came to its end.
#[derive(Clone, Debug)]
pub struct ReceivedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The outcome which this answer gives to an operation asked of `service`.
#[must_use]
pub fn interpret(operation: Operation, service: &str, answer: &ReceivedAnswer) -> Outcome {
    match headers::text(&answer.headers, headers::OUTCOME) {
        Some(headers::OUTCOME_NOT_RUN) => Outcome::NotRun {
            reason: NotRunReason::Told,
            retry_after_ms: retry_after_ms(&answer.headers),
        },
        Some(headers::OUTCOME_UNKNOWN) => Outcome::Unknown {
            reason: UnknownReason::Told,
        },
        _ if answer.status.is_success() => Outcome::Answered {
            defect: answer::verify(&answer.body, operation.id, service).err(),
        },
        _ => Outcome::Refused {
            status: answer.status.as_u16(),
        },
    }
}

/// The time in `Retry-After`, in milliseconds.
pub(super) fn retry_after_ms(answer_headers: &HeaderMap) -> Option<u64> {
    let time = headers::retry_after(answer_headers)?;
    u64::try_from(time.as_millis()).ok()
}
