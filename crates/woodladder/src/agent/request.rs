//! Forwards one request from the caller's stream to the back end, and the
//! answer back.

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

use super::agent_context::AgentContext;
use super::back_end::BackEndError;
use super::counters::{GaugeGuard, RequestOutcome};
use super::error_response::{self, NotRunReason};
use super::headers;
use super::open_work::{OpenWorkGuard, RequestStage};
use super::permitted_body::PermittedBody;
use super::request_body::{self, Receiver};
use super::request_scheduler::RequestHandle;
use super::stream::AnswerStream;

type Sender = RequestStream<AnswerStream<Bytes>, Bytes>;

/// Longest deadline that a caller may state.
const MAXIMUM_DEADLINE: Duration = Duration::from_secs(3600);

/// A request with its head read and its stream split.
pub(super) struct CallerRequest {
    pub(super) parts: Parts,
    pub(super) sender: Sender,
    pub(super) receiver: Receiver,
}

/// How the handling of a request ended.
pub(super) struct RequestCompletion {
    /// Outcome to count.
    pub(super) outcome: RequestOutcome,
    /// Whether the caller's stream was finished, rather than reset.
    pub(super) stream_finished: bool,
}

/// Why a request has no answer of the back end.
enum RequestFailure {
    NotRun {
        reason: NotRunReason,
        retry_after: Duration,
    },
    Unknown {
        reason: UnknownReason,
        repeatable: bool,
    },
    /// The caller has cancelled the request or is gone.
    Cancelled,
}

/// The back end's answer: the head has arrived, the body is still being
/// received.
struct BackEndAnswer {
    response: Response<Body>,
    /// Whether the answer states that the back end did not run the request.
    refused_by_back_end: bool,
    dispatched_at: Instant,
    handle: RequestHandle,
}

/// Why an answer was not passed to the caller in full.
enum RelayError {
    /// The caller's stream or connection was closed.
    Caller,
    /// The back end's answer ended early.
    BackEnd,
}

/// Handles one request and records its stages in `open`. With a `refusal` the
/// request is answered as not run for that reason.
pub(super) async fn run(
    request: CallerRequest,
    refusal: Option<NotRunReason>,
    open: &OpenWorkGuard<RequestStage>,
    context: &AgentContext,
) -> RequestCompletion {
    let CallerRequest {
        parts,
        sender,
        receiver,
    } = request;
    let answer = match refusal {
        Some(reason) => Err(context.not_run(reason)),
        None => dispatch(parts, receiver, open, context).await,
    };
    open.set_stage(RequestStage::SendingAnswer);
    match answer {
        Ok(answer) => relay(sender, answer, context).await,
        Err(RequestFailure::NotRun {
            reason,
            retry_after,
        }) => {
            let response = error_response::not_run(reason, retry_after);
            send_agent_answer(sender, response, RequestOutcome::NotRun).await
        }
        Err(RequestFailure::Unknown { reason, repeatable }) => {
            let response = error_response::unknown_outcome(reason, repeatable);
            send_agent_answer(sender, response, RequestOutcome::Unknown).await
        }
        Err(RequestFailure::Cancelled) => RequestCompletion::reset(RequestOutcome::Cancelled),
    }
}

/// Sends the request to the back end and waits for the head of the answer.
async fn dispatch(
    mut parts: Parts,
    receiver: Receiver,
    open: &OpenWorkGuard<RequestStage>,
    context: &AgentContext,
) -> Result<BackEndAnswer, RequestFailure> {
    let time_limit = answer_timeout(&parts, context)?;
    let deadline = context.clock.now() + time_limit;
    open.set_stage(RequestStage::ReceivingBody);
    let body = timeout(time_limit, request_body::receive_body(&parts, receiver))
        .await
        .map_err(|_| context.not_run(NotRunReason::Refused(RefusalReason::WaitedTooLong)))?
        .map_err(|_| RequestFailure::Cancelled)?;
    open.set_stage(RequestStage::Queued);
    let mut handle = context
        .scheduler
        .register(deadline, parts.method.is_idempotent());
    await_dispatch(&mut handle).await?;
    open.set_stage(RequestStage::AwaitingAnswer);

    let dispatched_at = context.clock.now();
    let authority = parts.uri.authority().map(ToString::to_string);
    headers::prepare_back_end_request(&mut parts.headers, authority.as_deref());
    headers::set_deadline(&mut parts.headers, context.clock.until(deadline));
    let framed_by_method = parts.method == Method::HEAD;
    let body = PermittedBody::new(body, handle.id(), Arc::clone(&context.scheduler));
    let response = tokio::select! {
        biased;
        failure = wait_until_given_up(&mut handle) => return Err(failure),
        response = context.back_end.send(parts, Body::from_body(body)) => response,
    };
    let response = match response {
        Ok(response) if framed_by_method || has_detectable_end(&response) => response,
        Ok(_) => return Err(report_failure(handle, None, context).await),
        Err(error) => return Err(report_failure(handle, Some(error), context).await),
    };
    Ok(report_answer_head(response, dispatched_at, handle))
}

fn answer_timeout(parts: &Parts, context: &AgentContext) -> Result<Duration, RequestFailure> {
    let stated = headers::parse_deadline(&parts.headers)
        .map_err(|_| context.not_run(NotRunReason::InvalidRequest))?;
    let time_limit = stated.unwrap_or(context.limits.default_deadline);
    Ok(time_limit.min(MAXIMUM_DEADLINE))
}

/// Waits until the request holds a slot and may be sent to the back end.
async fn await_dispatch(handle: &mut RequestHandle) -> Result<(), RequestFailure> {
    match handle.next_action().await {
        Some(RequestAction::Dispatch(_)) => Ok(()),
        Some(action) => Err(RequestFailure::from(action)),
        None => Err(RequestFailure::Cancelled),
    }
}

/// Waits until the scheduler gives the request up, which may never happen.
async fn wait_until_given_up(handle: &mut RequestHandle) -> RequestFailure {
    handle
        .final_action()
        .await
        .map_or(RequestFailure::Cancelled, RequestFailure::from)
}

/// Reports a failed exchange to the scheduler. The answer to the caller
/// depends on the stage that the request had reached.
async fn report_failure(
    mut handle: RequestHandle,
    error: Option<BackEndError>,
    context: &AgentContext,
) -> RequestFailure {
    let event = match error {
        None => RequestEvent::AnswerEnd {
            id: handle.id(),
            complete: false,
        },
        Some(BackEndError::InvalidRequest) => return context.not_run(NotRunReason::InvalidRequest),
        Some(BackEndError::Unreachable) => {
            handle.report(RequestEvent::BackEndFailed(handle.id()));
            context.report_back_end_down();
            return wait_until_given_up(&mut handle).await;
        }
        Some(BackEndError::Failed) => {
            // Only a failure to connect proves that nothing was sent. After any
            // other failure the request counts as sent, even if the client
            // failed before writing; `permit_send` records that.
            let _permit = context.scheduler.permit_send(handle.id());
            RequestEvent::BackEndFailed(handle.id())
        }
    };
    handle.report(event);
    wait_until_given_up(&mut handle).await
}

/// Whether the end of the answer can be distinguished from a lost connection.
fn has_detectable_end(response: &Response<Body>) -> bool {
    response.body().is_end_stream() || headers::has_explicit_end(response.headers())
}

/// Reports the head of an answer to the scheduler. An answer that says that the
/// request was not run is passed on unchanged.
fn report_answer_head(
    response: Response<Body>,
    dispatched_at: Instant,
    handle: RequestHandle,
) -> BackEndAnswer {
    let refused_by_back_end = headers::is_refusal(response.status(), response.headers());
    let id = handle.id();
    handle.report(if refused_by_back_end {
        RequestEvent::BackEndRefused {
            id,
            retry_after: headers::parse_retry_after(response.headers()),
        }
    } else {
        RequestEvent::AnswerHead {
            id,
            streaming: headers::is_feed(response.headers()),
        }
    });
    BackEndAnswer {
        response,
        refused_by_back_end,
        dispatched_at,
        handle,
    }
}

/// Passes an answer on to the caller, and resets the caller's stream when the
/// answer ends early.
async fn relay(
    mut sender: Sender,
    answer: BackEndAnswer,
    context: &AgentContext,
) -> RequestCompletion {
    let BackEndAnswer {
        response,
        refused_by_back_end,
        dispatched_at,
        mut handle,
    } = answer;
    let (mut parts, body) = response.into_parts();
    let feed = headers::is_feed(&parts.headers);
    let _open = feed.then(|| GaugeGuard::new(&context.counters.open_feeds));
    headers::remove_hop_by_hop(&mut parts.headers);
    let head = Response::from_parts(parts, ());
    let relayed = if refused_by_back_end {
        copy_answer(&mut sender, head, body).await
    } else {
        tokio::select! {
            biased;
            _ = handle.final_action() => Err(RelayError::BackEnd),
            relayed = copy_answer(&mut sender, head, body) => relayed,
        }
    };
    match relayed {
        Ok(()) if refused_by_back_end => RequestCompletion::finished(RequestOutcome::NotRun),
        Ok(()) => {
            handle.report(RequestEvent::AnswerEnd {
                id: handle.id(),
                complete: true,
            });
            if !feed {
                let service_time = context.clock.now().since(dispatched_at);
                context.scheduler.record_service_time(service_time);
            }
            RequestCompletion::finished(RequestOutcome::Answered)
        }
        Err(RelayError::Caller) => RequestCompletion::reset(RequestOutcome::Cancelled),
        Err(RelayError::BackEnd) => {
            handle.report(RequestEvent::AnswerEnd {
                id: handle.id(),
                complete: false,
            });
            sender.stop_stream(Code::H3_INTERNAL_ERROR);
            RequestCompletion::reset(RequestOutcome::Unknown)
        }
    }
}

async fn copy_answer(
    sender: &mut Sender,
    head: Response<()>,
    mut body: Body,
) -> Result<(), RelayError> {
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

/// Ends a request with an answer of the agent itself.
async fn send_agent_answer(
    mut sender: Sender,
    response: Response<()>,
    outcome: RequestOutcome,
) -> RequestCompletion {
    if sender.send_response(response).await.is_err() || sender.finish().await.is_err() {
        return RequestCompletion::reset(RequestOutcome::Cancelled);
    }
    RequestCompletion::finished(outcome)
}

impl RequestCompletion {
    fn finished(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            stream_finished: true,
        }
    }

    pub(super) fn reset(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            stream_finished: false,
        }
    }
}

impl AgentContext {
    /// The failure of a request that never reached the scheduler.
    fn not_run(&self, reason: NotRunReason) -> RequestFailure {
        RequestFailure::NotRun {
            reason,
            retry_after: self.limits.minimum_retry_after,
        }
    }
}

impl From<RequestAction> for RequestFailure {
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
