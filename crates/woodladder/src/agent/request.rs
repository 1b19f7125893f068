//! One request: from the caller's stream to the back end and back.

use std::time::Duration;

use bytes::{Buf as _, Bytes};
use futures::{StreamExt as _, TryStreamExt as _, stream};
use h3::error::{Code, StreamError};
use h3::server::RequestStream;
use http::request::Parts;
use http::{Method, Response};
use http_body::{Body as _, Frame};
use http_body_util::BodyExt as _;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

use super::back_end::BackEndError;
use super::counters::{GaugeGuard, RequestEnd};
use super::headers;
use super::outcome::{self, NotRunReason, UnknownReason};
use super::shared::Shared;
use super::slots::SlotGuard;
use super::stream::{AnswerStream, BodyStream};

type Sender = RequestStream<AnswerStream<Bytes>, Bytes>;
type Receiver = RequestStream<BodyStream, Bytes>;

/// Longest deadline that a caller may state.
const MAXIMUM_DEADLINE: Duration = Duration::from_secs(3600);

/// A request as the caller's stream brought it.
pub(super) struct CallerRequest {
    pub(super) parts: Parts,
    pub(super) sender: Sender,
    pub(super) receiver: Receiver,
}

/// Why a request has no answer of the back end.
enum Failure {
    NotRun(NotRunReason),
    Unknown(UnknownReason),
}

/// The head of the back end's answer, its body still to come.
struct Answer {
    response: Response<Body>,
    slot: SlotGuard,
    deadline: Instant,
}

/// Why an answer did not reach the caller whole.
enum RelayError {
    /// The caller's stream or connection is gone.
    Caller,
    /// The back end's answer broke off.
    BackEnd,
}

/// Runs one request; `refusal` is why it must not run, if it must not.
pub(super) async fn run(
    request: CallerRequest,
    refusal: Option<NotRunReason>,
    shared: &Shared,
) -> RequestEnd {
    let CallerRequest {
        parts,
        sender,
        receiver,
    } = request;
    let answer = match refusal {
        Some(reason) => Err(Failure::NotRun(reason)),
        None => dispatch(parts, receiver, shared).await,
    };
    match answer {
        Ok(answer) => relay(sender, answer, shared).await,
        Err(Failure::NotRun(reason)) => {
            let response = outcome::not_run(reason, shared.limits.retry_after);
            conclude(sender, response, RequestEnd::NotRun).await
        }
        Err(Failure::Unknown(reason)) => {
            conclude(sender, outcome::unknown(reason), RequestEnd::Unknown).await
        }
    }
}

/// Takes the request to the back end and waits for the head of the answer.
async fn dispatch(
    mut parts: Parts,
    receiver: Receiver,
    shared: &Shared,
) -> Result<Answer, Failure> {
    let deadline = deadline(&parts, shared)?;
    let body = request_body(&parts, receiver, deadline).await?;
    let slot = shared.slots.acquire(deadline).await;
    let slot = slot.map_err(Failure::NotRun)?;
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(Failure::NotRun(NotRunReason::DeadlinePassed));
    }
    let authority = parts.uri.authority().map(ToString::to_string);
    headers::prepare_request(&mut parts.headers, authority.as_deref());
    headers::set_remaining(&mut parts.headers, remaining);
    let head_request = parts.method == Method::HEAD;
    let response = timeout_at(deadline, shared.back_end.send(parts, body))
        .await
        .map_err(|_| Failure::Unknown(UnknownReason::DeadlinePassed))?
        .map_err(back_end_failure)?;
    if !head_request && !ends_visibly(&response) {
        return Err(Failure::Unknown(UnknownReason::UnframedAnswer));
    }
    Ok(Answer {
        response,
        slot,
        deadline,
    })
}

fn deadline(parts: &Parts, shared: &Shared) -> Result<Instant, Failure> {
    let stated = headers::stated_deadline(&parts.headers)
        .map_err(|_| Failure::NotRun(NotRunReason::InvalidRequest))?;
    let time = stated.unwrap_or(shared.limits.default_deadline);
    if time.is_zero() {
        return Err(Failure::NotRun(NotRunReason::DeadlinePassed));
    }
    Ok(Instant::now() + time.min(MAXIMUM_DEADLINE))
}

fn back_end_failure(error: BackEndError) -> Failure {
    match error {
        BackEndError::Unreachable => Failure::NotRun(NotRunReason::BackEndUnreachable),
        BackEndError::InvalidRequest => Failure::NotRun(NotRunReason::InvalidRequest),
        BackEndError::Failed => Failure::Unknown(UnknownReason::BackEndFailed),
    }
}

/// Whether a cut connection cannot pass for the end of the answer.
fn ends_visibly(response: &Response<Body>) -> bool {
    response.body().is_end_stream() || headers::states_its_end(response.headers())
}

/// The body for the back end. Methods without one get none; for others the
/// first part is awaited, so that a slot isn't held for a caller who has yet
/// to begin.
async fn request_body(
    parts: &Parts,
    mut receiver: Receiver,
    deadline: Instant,
) -> Result<Body, Failure> {
    if matches!(parts.method, Method::GET | Method::HEAD) {
        return Ok(Body::empty());
    }
    let first = timeout_at(deadline, next_chunk(&mut receiver))
        .await
        .map_err(|_| Failure::NotRun(NotRunReason::DeadlinePassed))?
        .map_err(|_| Failure::NotRun(NotRunReason::InvalidRequest))?;
    let Some(first) = first else {
        return Ok(Body::empty());
    };
    let rest = stream::unfold(receiver, |mut receiver| async move {
        let chunk = next_chunk(&mut receiver).await.transpose()?;
        Some((chunk, receiver))
    });
    let chunks = stream::once(std::future::ready(Ok(first))).chain(rest);
    Ok(Body::from_stream(chunks.map_ok(Frame::data).err_into()))
}

async fn next_chunk(receiver: &mut Receiver) -> Result<Option<Bytes>, StreamError> {
    let chunk = receiver.recv_data().await?;
    Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
}

/// Passes an answer on. One that breaks off resets the caller's stream.
async fn relay(mut sender: Sender, answer: Answer, shared: &Shared) -> RequestEnd {
    let Answer {
        response,
        mut slot,
        deadline,
    } = answer;
    let (mut parts, body) = response.into_parts();
    let feed = headers::is_feed(&parts.headers);
    headers::remove_hop_by_hop(&mut parts.headers);
    let head = Response::from_parts(parts, ());
    let relayed = if feed {
        slot.release_slot();
        let _open = GaugeGuard::new(&shared.counters.feeds);
        copy(&mut sender, head, body).await
    } else {
        timeout_at(deadline, copy(&mut sender, head, body))
            .await
            .unwrap_or(Err(RelayError::BackEnd))
    };
    match relayed {
        Ok(()) => RequestEnd::Answered,
        Err(RelayError::Caller) => RequestEnd::Cancelled,
        Err(RelayError::BackEnd) => {
            sender.stop_stream(Code::H3_INTERNAL_ERROR);
            RequestEnd::Unknown
        }
    }
}

async fn copy(sender: &mut Sender, head: Response<()>, mut body: Body) -> Result<(), RelayError> {
    sender.send_response(head).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RelayError::BackEnd)?;
        match frame.into_data() {
            Ok(data) => sender.send_data(data).await?,
            Err(other) => {
                if let Ok(trailers) = other.into_trailers() {
                    sender.send_trailers(trailers).await?;
                }
            }
        }
    }
    sender.finish().await?;
    Ok(())
}

/// Ends a request with an answer of the agent's own.
async fn conclude(mut sender: Sender, response: Response<()>, end: RequestEnd) -> RequestEnd {
    if sender.send_response(response).await.is_err() || sender.finish().await.is_err() {
        return RequestEnd::Cancelled;
    }
    end
}

impl From<StreamError> for RelayError {
    fn from(_: StreamError) -> Self {
        Self::Caller
    }
}
