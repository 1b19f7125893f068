//! One request: from the caller's stream to the back end and back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h3::error::{Code, StreamError};
use h3::server::RequestStream;
use http::request::Parts;
use http::{Method, Response};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use tokio::time::timeout;
use volo_http::body::Body;
use woodladder_core::clock::Instant;
use woodladder_core::target::request::{RefusalReason, RequestAction, RequestEvent, UnknownReason};

use super::back_end::BackEndError;
use super::counters::{GaugeGuard, RequestEnd};
use super::headers;
use super::outcome::{self, NotRunReason};
use super::permitted_body::PermittedBody;
use super::request_body::{self, Receiver};
use super::request_desk::Ticket;
use super::shared::Shared;
use super::stream::AnswerStream;

type Sender = RequestStream<AnswerStream<Bytes>, Bytes>;

/// Longest deadline that a caller may state.
const MAXIMUM_DEADLINE: Duration = Duration::from_secs(3600);

/// A request as the caller's stream brought it.
pub(super) struct CallerRequest {
    pub(super) parts: Parts,
    pub(super) sender: Sender,
    pub(super) receiver: Receiver,
}

/// How a request's run ended.
pub(super) struct Conclusion {
    /// What became of the request.
    pub(super) end: RequestEnd,
    /// Whether the caller's stream was finished, rather than reset.
    pub(super) finished: bool,
}

/// Why a request has no answer of the back end.
enum Failure {
    NotRun {
        reason: NotRunReason,
        retry_after: Duration,
    },
    Unknown {
        reason: UnknownReason,
        repeatable: bool,
    },
    /// The caller is gone.
    Cancelled,
}

/// The head of the back end's answer, its body still to come.
struct Answer {
    response: Response<Body>,
    /// Whether the back end says itself that it did not run the request.
    refusal: bool,
    begun_at: Instant,
    ticket: Ticket,
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
) -> Conclusion {
    let CallerRequest {
        parts,
        sender,
        receiver,
    } = request;
    let answer = match refusal {
        Some(reason) => Err(shared.not_run(reason)),
        None => dispatch(parts, receiver, shared).await,
    };
    match answer {
        Ok(answer) => relay(sender, answer, shared).await,
        Err(Failure::NotRun {
            reason,
            retry_after,
        }) => {
            let response = outcome::not_run(reason, retry_after);
            conclude(sender, response, RequestEnd::NotRun).await
        }
        Err(Failure::Unknown { reason, repeatable }) => {
            let response = outcome::unknown(reason, repeatable);
            conclude(sender, response, RequestEnd::Unknown).await
        }
        Err(Failure::Cancelled) => Conclusion::reset(RequestEnd::Cancelled),
    }
}

/// Takes the request to the back end and waits for the head of the answer.
async fn dispatch(
    mut parts: Parts,
    receiver: Receiver,
    shared: &Shared,
) -> Result<Answer, Failure> {
    let time = stated_time(&parts, shared)?;
    let deadline = shared.clock.now() + time;
    let body = timeout(time, request_body::receive(&parts, receiver))
        .await
        .map_err(|_| shared.not_run(NotRunReason::Refused(RefusalReason::WaitedTooLong)))?
        .map_err(|_| Failure::Cancelled)?;
    let mut ticket = shared.desk.arrive(deadline, parts.method.is_idempotent());
    await_dispatch(&mut ticket).await?;

    let begun_at = shared.clock.now();
    let authority = parts.uri.authority().map(ToString::to_string);
    headers::prepare_request(&mut parts.headers, authority.as_deref());
    headers::set_remaining(&mut parts.headers, shared.clock.until(deadline));
    let framed_by_method = parts.method == Method::HEAD;
    let body = PermittedBody::new(body, ticket.id(), Arc::clone(&shared.desk));
    let response = tokio::select! {
        biased;
        failure = given_up(&mut ticket) => return Err(failure),
        response = shared.back_end.send(parts, Body::from_body(body)) => response,
    };
    let response = match response {
        Ok(response) if framed_by_method || ends_visibly(&response) => response,
        Ok(_) => return Err(fail(ticket, None, shared).await),
        Err(error) => return Err(fail(ticket, Some(error), shared).await),
    };
    Ok(begin_answer(response, begun_at, ticket))
}

fn stated_time(parts: &Parts, shared: &Shared) -> Result<Duration, Failure> {
    let stated = headers::stated_deadline(&parts.headers)
        .map_err(|_| shared.not_run(NotRunReason::InvalidRequest))?;
    let time = stated.unwrap_or(shared.limits.default_deadline);
    Ok(time.min(MAXIMUM_DEADLINE))
}

/// Waits until the request may go to the back end.
async fn await_dispatch(ticket: &mut Ticket) -> Result<(), Failure> {
    match ticket.next().await {
        Some(RequestAction::Dispatch(_)) => Ok(()),
        Some(action) => Err(Failure::from(action)),
        None => Err(Failure::Cancelled),
    }
}

/// Waits until the request is given up, which may never happen.
async fn given_up(ticket: &mut Ticket) -> Failure {
    ticket
        .outcome()
        .await
        .map_or(Failure::Cancelled, Failure::from)
}

/// Reports a failed exchange; what the caller may be told follows from how far
/// the request had come.
async fn fail(mut ticket: Ticket, error: Option<BackEndError>, shared: &Shared) -> Failure {
    let event = match error {
        None => RequestEvent::AnswerEnd {
            id: ticket.id(),
            complete: false,
        },
        Some(BackEndError::InvalidRequest) => return shared.not_run(NotRunReason::InvalidRequest),
        Some(BackEndError::Unreachable) => {
            ticket.handle(RequestEvent::BackEndFailed(ticket.id()));
            shared.back_end_down();
            return given_up(&mut ticket).await;
        }
        Some(BackEndError::Failed) => {
            // Any failure but that of the connection counts as after the
            // first byte, also when the client failed before it wrote.
            let _permit = shared.desk.connected(ticket.id());
            RequestEvent::BackEndFailed(ticket.id())
        }
    };
    ticket.handle(event);
    given_up(&mut ticket).await
}

/// Whether a cut connection cannot pass for the end of the answer.
fn ends_visibly(response: &Response<Body>) -> bool {
    response.body().is_end_stream() || headers::states_its_end(response.headers())
}

/// Reports the head of an answer. One in which the back end says that it did
/// not run the request is passed on as it is.
fn begin_answer(response: Response<Body>, begun_at: Instant, ticket: Ticket) -> Answer {
    let refusal = headers::is_refusal(response.status(), response.headers());
    let id = ticket.id();
    ticket.handle(if refusal {
        RequestEvent::BackEndRefused {
            id,
            retry_after: headers::stated_retry_after(response.headers()),
        }
    } else {
        RequestEvent::AnswerHead {
            id,
            streaming: headers::is_feed(response.headers()),
        }
    });
    Answer {
        response,
        refusal,
        begun_at,
        ticket,
    }
}

/// Passes an answer on. One that breaks off resets the caller's stream.
async fn relay(mut sender: Sender, answer: Answer, shared: &Shared) -> Conclusion {
    let Answer {
        response,
        refusal,
        begun_at,
        mut ticket,
    } = answer;
    let (mut parts, body) = response.into_parts();
    let feed = headers::is_feed(&parts.headers);
    let _open = feed.then(|| GaugeGuard::new(&shared.counters.feeds));
    headers::remove_hop_by_hop(&mut parts.headers);
    let head = Response::from_parts(parts, ());
    let relayed = if refusal {
        copy(&mut sender, head, body).await
    } else {
        tokio::select! {
            biased;
            _ = ticket.outcome() => Err(RelayError::BackEnd),
            relayed = copy(&mut sender, head, body) => relayed,
        }
    };
    match relayed {
        Ok(()) if refusal => Conclusion::finished(RequestEnd::NotRun),
        Ok(()) => {
            ticket.handle(RequestEvent::AnswerEnd {
                id: ticket.id(),
                complete: true,
            });
            if !feed {
                let service_time = shared.clock.now().since(begun_at);
                shared.desk.record_service_time(service_time);
            }
            Conclusion::finished(RequestEnd::Answered)
        }
        Err(RelayError::Caller) => Conclusion::reset(RequestEnd::Cancelled),
        Err(RelayError::BackEnd) => {
            ticket.handle(RequestEvent::AnswerEnd {
                id: ticket.id(),
                complete: false,
            });
            sender.stop_stream(Code::H3_INTERNAL_ERROR);
            Conclusion::reset(RequestEnd::Unknown)
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
async fn conclude(mut sender: Sender, response: Response<()>, end: RequestEnd) -> Conclusion {
    if sender.send_response(response).await.is_err() || sender.finish().await.is_err() {
        return Conclusion::reset(RequestEnd::Cancelled);
    }
    Conclusion::finished(end)
}

impl Conclusion {
    fn finished(end: RequestEnd) -> Self {
        Self {
            end,
            finished: true,
        }
    }

    pub(super) fn reset(end: RequestEnd) -> Self {
        Self {
            end,
            finished: false,
        }
    }
}

impl Shared {
    /// A failure of a request that never came to the desk.
    fn not_run(&self, reason: NotRunReason) -> Failure {
        Failure::NotRun {
            reason,
            retry_after: self.limits.minimum_retry_after,
        }
    }
}

impl From<RequestAction> for Failure {
    fn from(action: RequestAction) -> Self {
        match action {
            RequestAction::Refuse { refusal, .. } => Self::NotRun {
                reason: NotRunReason::Refused(refusal.reason()),
                retry_after: refusal.retry_after(),
            },
            RequestAction::Fail {
                reason, repeatable, ..
            } => Self::Unknown { reason, repeatable },
            _ => Self::Cancelled,
        }
    }
}

impl From<StreamError> for RelayError {
    fn from(_: StreamError) -> Self {
        Self::Caller
    }
}
