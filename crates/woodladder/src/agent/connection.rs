//! One caller's connection: requests in, GOAWAY when the agent leaves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h3::error::{ConnectionError, StreamError};
use h3::server::{self, RequestResolver};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::counters::{GaugeGuard, RequestEnd};
use super::outcome::NotRunReason;
use super::request::{self, CallerRequest, Conclusion};
use super::shared::Shared;
use super::shared_drain::Notice;
use super::stream::{CallerConnection, LastAccepted, Stopped};

/// Longest header section of a request in bytes.
const MAXIMUM_HEADER_SECTION: u64 = 16 * 1024;
/// A first GOAWAY names no last request: it asks callers to stop and lets the
/// requests in that are on their way (RFC 9114, section 5.2).
const ALL_REQUESTS: usize = usize::MAX;
/// The last GOAWAY names the request after the last one taken.
const NO_MORE_REQUESTS: usize = 1;
/// How long a connection without requests stays open after the last GOAWAY,
/// for the requests that crossed it and must be told that they didn't run.
pub(super) const CLOSE_DELAY: Duration = Duration::from_millis(500);

type Http = server::Connection<CallerConnection, Bytes>;
type Resolver = RequestResolver<CallerConnection, Bytes>;

/// A flow as admission knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    /// Hash of the connection identifier that the caller chose.
    pub(super) hash: u64,
    /// Whether its requests are only to be told that they don't run.
    pub(super) declined: bool,
}

/// Serves a connection until it ends.
pub(super) async fn serve(connection: quinn::Connection, flow: Flow, shared: Arc<Shared>) {
    let last = LastAccepted::default();
    let transport = CallerConnection::new(connection, last.clone());
    let built = server::builder()
        .max_field_section_size(MAXIMUM_HEADER_SECTION)
        .send_grease(false)
        .build(transport)
        .await;
    let Ok(http) = built else {
        return;
    };
    let connection = Connection {
        http,
        last,
        flow,
        notices: shared.control.notices(),
        moves: shared.control.moves(),
        asked_to_move: false,
        told: Notice::Serving,
        told_first: false,
        close_at: None,
        any_request: false,
        requests: JoinSet::new(),
        shared,
    };
    connection.run().await;
}

struct Connection {
    http: Http,
    last: LastAccepted,
    flow: Flow,
    notices: watch::Receiver<Notice>,
    moves: watch::Receiver<u64>,
    /// Whether the caller is to use another connection after its first request.
    asked_to_move: bool,
    /// What this caller was told; it never goes back.
    told: Notice,
    /// Whether the first GOAWAY came before any request, and so already
    /// excludes all of them.
    told_first: bool,
    close_at: Option<Instant>,
    any_request: bool,
    requests: JoinSet<()>,
    shared: Arc<Shared>,
}

impl Connection {
    /// Ends by dropping itself, which closes the connection and takes back
    /// the requests that are still open.
    async fn run(mut self) {
        if self.tell().await.is_err() {
            return;
        }
        loop {
            let close_at = self.close_at.filter(|_| self.requests.is_empty());
            tokio::select! {
                accepted = self.http.accept() => match accepted {
                    Ok(Some(resolver)) => {
                        self.start(resolver);
                        if self.tell().await.is_err() {
                            return;
                        }
                    }
                    Ok(None) => return self.finish().await,
                    Err(_) => return,
                },
                changed = self.notices.changed() => {
                    if changed.is_err() || self.tell().await.is_err() {
                        return;
                    }
                }
                changed = self.moves.changed() => {
                    self.asked_to_move = true;
                    if changed.is_err() || self.tell().await.is_err() {
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

    /// Brings the caller up to the agent's notice. A declined flow is told to
    /// go after its first request, so that the caller may come back on another.
    async fn tell(&mut self) -> Result<(), ConnectionError> {
        let mut notice = *self.notices.borrow_and_update();
        if self.flow.declined && self.any_request {
            notice = notice.max(Notice::Refusing);
        }
        if notice >= Notice::Leaving || (self.asked_to_move && self.any_request) {
            self.tell_leaving().await?;
        }
        if notice >= Notice::Refusing && self.told < Notice::Refusing {
            self.told = Notice::Refusing;
            self.close_at = Some(Instant::now() + CLOSE_DELAY);
            self.http.shutdown(NO_MORE_REQUESTS).await?;
        }
        Ok(())
    }

    /// Asks the caller, once, to open no more requests on this connection.
    async fn tell_leaving(&mut self) -> Result<(), ConnectionError> {
        if self.told >= Notice::Leaving {
            return Ok(());
        }
        self.told = Notice::Leaving;
        self.told_first = !self.any_request;
        self.http.shutdown(ALL_REQUESTS).await
    }

    /// The caller opens no more requests: its last answers are still awaited.
    async fn finish(mut self) {
        while self.requests.join_next().await.is_some() {}
    }

    fn start(&mut self, resolver: Resolver) {
        let Some(stopped) = self.last.claim() else {
            return;
        };
        let refusal = self.refusal();
        if refusal.is_none() && !self.any_request {
            self.shared.control.request_arrived(self.flow.hash);
        }
        self.any_request = true;
        let shared = Arc::clone(&self.shared);
        self.requests
            .spawn(serve_stream(resolver, stopped, refusal, shared));
    }

    fn refusal(&self) -> Option<NotRunReason> {
        if self.flow.declined {
            return Some(NotRunReason::FlowDeclined);
        }
        let refusing = self.told >= Notice::Refusing || !self.shared.control.takes_new_requests();
        (refusing || self.told_first).then_some(NotRunReason::LEAVING)
    }
}

async fn serve_stream(
    resolver: Resolver,
    mut stopped: Stopped,
    refusal: Option<NotRunReason>,
    shared: Arc<Shared>,
) {
    let open = OpenRequest::new(&shared);
    let deadline = shared.limits.default_deadline;
    let Ok(Ok(request)) = timeout(deadline, resolve(resolver)).await else {
        return;
    };
    let conclusion = tokio::select! {
        biased;
        _ = &mut stopped => Conclusion::reset(RequestEnd::Cancelled),
        conclusion = request::run(request, refusal, &shared) => conclusion,
    };
    shared.counters.end_request(conclusion.end);
    if conclusion.finished {
        // A finished stream has ended when the caller has all of it. Without
        // the connection the outcome no longer matters.
        let _ = stopped.await;
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

/// Counts a request as open while it lives, and tells the drain.
struct OpenRequest<'a> {
    gauge: Option<GaugeGuard<'a>>,
    shared: &'a Shared,
}

impl<'a> OpenRequest<'a> {
    fn new(shared: &'a Shared) -> Self {
        let gauge = Some(GaugeGuard::new(&shared.counters.requests));
        shared.control.activity_changed();
        Self { gauge, shared }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.gauge = None;
        self.shared.control.activity_changed();
    }
}
