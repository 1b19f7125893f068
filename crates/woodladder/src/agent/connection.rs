//! One caller's HTTP/3 connection: accepts requests, and sends GOAWAY when the
//! agent drains.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h3::error::{ConnectionError, StreamError};
use h3::server::{self, RequestResolver};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::agent_context::AgentContext;
use super::counters::RequestOutcome;
use super::error_response::NotRunReason;
use super::open_work::{ConnectionStage, OpenWorkGuard, RequestStage};
use super::request::{self, CallerRequest, RequestCompletion};
use super::shared_drain::DrainStage;
use super::stream::{CallerConnection, LastAcceptedStream, StreamEnd};

/// Longest header section of a request, in bytes.
const MAXIMUM_HEADER_SECTION_LENGTH: u64 = 16 * 1024;
/// Argument of [`server::Connection::shutdown`] for the first GOAWAY.
///
/// The library adds this number of requests to the identifier of the last
/// accepted request and caps the sum at the greatest request identifier. The
/// GOAWAY with that identifier asks the caller to open no more requests, while
/// requests already on their way are still accepted (RFC 9114, section 5.2).
///
/// Exception: when no request was accepted yet, the library sends identifier 0,
/// which excludes all requests.
const FIRST_GOAWAY_OFFSET: usize = usize::MAX;
/// Argument of [`server::Connection::shutdown`] for the last GOAWAY: its
/// identifier is that of the request after the last accepted one, and excludes
/// that request and all later ones.
const LAST_GOAWAY_OFFSET: usize = 1;
/// How long a connection without requests stays open after the last GOAWAY, so
/// that requests that crossed the GOAWAY on the way are still answered as not
/// run.
pub(super) const CLOSE_DELAY: Duration = Duration::from_millis(500);

type Http = server::Connection<CallerConnection, Bytes>;
type Resolver = RequestResolver<CallerConnection, Bytes>;

/// A caller's connection as the core's admission identifies it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    /// Hash of the connection identifier that the caller chose.
    pub(super) hash: u64,
    /// Whether the flow was accepted only to answer all its requests as not
    /// run.
    pub(super) declined: bool,
}

/// Serves a connection until it ends. `open` counts the connection as open.
pub(super) async fn serve(
    connection: quinn::Connection,
    flow: Flow,
    open: &OpenWorkGuard<ConnectionStage>,
    context: Arc<AgentContext>,
) {
    let last_accepted = LastAcceptedStream::default();
    let transport = CallerConnection::new(connection, last_accepted.clone());
    let built = server::builder()
        .max_field_section_size(MAXIMUM_HEADER_SECTION_LENGTH)
        .send_grease(false)
        .build(transport)
        .await;
    let Ok(http) = built else {
        return;
    };
    open.set_stage(ConnectionStage::Serving);
    let connection = Connection {
        http,
        open,
        last_accepted,
        flow,
        drain_stages: context.admission_control.subscribe_stage(),
        reconnects: context.admission_control.subscribe_reconnects(),
        asked_to_reconnect: false,
        goaway_stage: DrainStage::Serving,
        goaway_preceded_requests: false,
        close_at: None,
        had_request: false,
        requests: JoinSet::new(),
        context,
    };
    connection.run().await;
}

struct Connection<'a> {
    http: Http,
    open: &'a OpenWorkGuard<ConnectionStage>,
    last_accepted: LastAcceptedStream,
    flow: Flow,
    drain_stages: watch::Receiver<DrainStage>,
    reconnects: watch::Receiver<u64>,
    /// Whether callers were asked to reconnect since this connection opened. The
    /// GOAWAY for this is sent only after the connection's first request.
    asked_to_reconnect: bool,
    /// Last GOAWAY sent on this connection, whatever the reason, as a drain
    /// stage; only advances.
    goaway_stage: DrainStage,
    /// Whether the first GOAWAY was sent before any request. Its identifier is 0
    /// then, and excludes all requests.
    goaway_preceded_requests: bool,
    close_at: Option<Instant>,
    had_request: bool,
    requests: JoinSet<()>,
    context: Arc<AgentContext>,
}

impl Connection<'_> {
    /// Serves the connection until it ends. Dropping `self` closes the
    /// connection and cancels the requests that are still open.
    async fn run(mut self) {
        if self.send_due_goaways().await.is_err() {
            return;
        }
        loop {
            let close_at = self.close_at.filter(|_| self.requests.is_empty());
            tokio::select! {
                accepted = self.http.accept() => match accepted {
                    Ok(Some(resolver)) => {
                        self.start_request(resolver);
                        if self.send_due_goaways().await.is_err() {
                            return;
                        }
                    }
                    Ok(None) => return self.finish_open_requests().await,
                    Err(_) => return,
                },
                changed = self.drain_stages.changed() => {
                    if changed.is_err() || self.send_due_goaways().await.is_err() {
                        return;
                    }
                }
                changed = self.reconnects.changed() => {
                    self.asked_to_reconnect = true;
                    if changed.is_err() || self.send_due_goaways().await.is_err() {
                        return;
                    }
                }
                Some(_) = self.requests.join_next() => {}
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    return;
                }
            }
        }
    }

    /// Sends the GOAWAY frames that the agent's drain stage or a request to
    /// reconnect requires. The caller of a declined flow gets the last GOAWAY
    /// after its first request, so that the caller opens another connection.
    async fn send_due_goaways(&mut self) -> Result<(), ConnectionError> {
        let mut stage = *self.drain_stages.borrow_and_update();
        if self.flow.declined && self.had_request {
            stage = stage.max(DrainStage::Refusing);
        }
        if stage >= DrainStage::CallersNotified || (self.asked_to_reconnect && self.had_request) {
            self.send_first_goaway().await?;
        }
        if stage >= DrainStage::Refusing && self.goaway_stage < DrainStage::Refusing {
            self.goaway_stage = DrainStage::Refusing;
            self.open.set_stage(ConnectionStage::Refusing);
            self.close_at = Some(Instant::now() + CLOSE_DELAY);
            self.http.shutdown(LAST_GOAWAY_OFFSET).await?;
        }
        Ok(())
    }

    /// Sends the first GOAWAY, which asks the caller to open no more requests
    /// on this connection, unless it was sent already.
    async fn send_first_goaway(&mut self) -> Result<(), ConnectionError> {
        if self.goaway_stage >= DrainStage::CallersNotified {
            return Ok(());
        }
        self.goaway_stage = DrainStage::CallersNotified;
        self.open.set_stage(ConnectionStage::CallerNotified);
        self.goaway_preceded_requests = !self.had_request;
        self.http.shutdown(FIRST_GOAWAY_OFFSET).await
    }

    /// Waits for the open requests to end, after the caller has stopped opening
    /// requests.
    async fn finish_open_requests(mut self) {
        self.open.set_stage(ConnectionStage::AwaitingRequests);
        while self.requests.join_next().await.is_some() {}
    }

    fn start_request(&mut self, resolver: Resolver) {
        let Some(stream_end) = self.last_accepted.take() else {
            return;
        };
        // Counted before the decision: a drain that knows of the request waits
        // for its end, and one that is past refusing requests refuses it.
        let open = OpenRequest::new(Arc::clone(&self.context));
        let refusal = self.refusal();
        if refusal.is_none() && !self.had_request {
            self.context
                .admission_control
                .request_arrived(self.flow.hash);
        }
        self.had_request = true;
        self.requests
            .spawn(serve_stream(resolver, stream_end, refusal, open));
    }

    fn refusal(&self) -> Option<NotRunReason> {
        if self.flow.declined {
            return Some(NotRunReason::FlowDeclined);
        }
        let refusing = self.goaway_stage >= DrainStage::Refusing
            || !self.context.admission_control.takes_new_requests();
        (refusing || self.goaway_preceded_requests).then_some(NotRunReason::DRAINING)
    }
}

async fn serve_stream(
    resolver: Resolver,
    mut stream_end: StreamEnd,
    refusal: Option<NotRunReason>,
    open: OpenRequest,
) {
    let context = &open.report.context;
    let deadline = context.limits.default_deadline;
    let Ok(Ok(request)) = timeout(deadline, resolve(resolver)).await else {
        return;
    };
    let completion = tokio::select! {
        biased;
        _ = &mut stream_end => RequestCompletion::reset(RequestOutcome::Cancelled),
        completion = request::run(request, refusal, &open.work, context) => completion,
    };
    context.counters.count_request(completion.outcome);
    if completion.stream_finished {
        open.work.set_stage(RequestStage::AwaitingAcknowledgement);
        // Waits until the caller has acknowledged the whole stream. If the
        // connection is lost first, the result no longer matters.
        let _ = stream_end.await;
    }
    drop(open);
}

async fn resolve(resolver: Resolver) -> Result<CallerRequest, StreamError> {
    let (request, stream) = resolver.resolve_request().await?;
    let (parts, ()) = request.into_parts();
    let (sender, receiver) = stream.split();
    Ok(CallerRequest {
        parts,
        sender,
        receiver,
    })
}

/// Counts a request as open until this guard is dropped, and reports the
/// beginning and the end to the drain.
struct OpenRequest {
    work: OpenWorkGuard<RequestStage>,
    // Dropped after `work`, so that it reports a count without this request.
    report: ActivityReport,
}

/// Reports the open requests and connections to the drain when dropped.
struct ActivityReport {
    context: Arc<AgentContext>,
}

impl OpenRequest {
    fn new(context: Arc<AgentContext>) -> Self {
        let work = context
            .counters
            .open_requests
            .open(RequestStage::ReceivingHead);
        context.admission_control.activity_changed();
        Self {
            work,
            report: ActivityReport { context },
        }
    }
}

impl Drop for ActivityReport {
    fn drop(&mut self) {
        self.context.admission_control.activity_changed();
    }
}
