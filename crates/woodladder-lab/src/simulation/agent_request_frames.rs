//! What a modelled agent sends for one request: to its back end, or a refusal
//! to the caller.

use woodladder_core::clock::Instant;

use super::agent_means::Means;
use super::back_end::ConnectionId;
use super::frame::{FirstIdentifier, Frame, RequestFrame};
use super::log::{AttemptId, Entry};
use super::output::Output;

/// A request without an outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct Served {
    pub(super) flow: FirstIdentifier,
    pub(super) frame: RequestFrame,
    pub(super) arrived: Instant,
    pub(super) connection: Option<ConnectionId>,
}

/// Sends a request to its back end.
pub(super) fn write_request(
    connection: ConnectionId,
    frame: &RequestFrame,
    means: &mut Means<'_, '_>,
) {
    let around = &mut *means.around;
    let schedule = means
        .back_end
        .request(connection, frame, around.now, around.log);
    around.outputs.push(Output::BackEnd {
        connection,
        schedule,
    });
}

/// Tells a caller that its request was not run, and when to come back.
pub(super) fn send_refusal(
    served: &Served,
    decided: Instant,
    retry_after: u32,
    means: &mut Means<'_, '_>,
) {
    let attempt = served.frame.attempt;
    let entry = Entry::Refused {
        attempt: AttemptId(attempt),
        decided,
        retry_after,
    };
    means.around.log.add(means.around.now, entry);
    let frame = Frame::NotRun {
        attempt,
        retry_after,
    };
    means.flows.send(&served.flow, frame, means.around);
}
