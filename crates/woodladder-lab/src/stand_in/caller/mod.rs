//! Caller: an HTTP/3 client which asks for operations, watches feeds and logs every outcome.
//!
//! Thousands of callers share a few QUIC endpoints.

mod connection;
mod endpoints;
mod exchange;
mod feed;
mod feed_stream;
mod interpret;
mod outcome;
mod outcome_log;
mod tick;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::sync::Mutex;
use tokio::time::sleep;

pub use endpoints::{CallerEndpoints, EndpointsConfig};
pub use feed::FeedWatch;
pub use interpret::{ReceivedAnswer, interpret};
pub use outcome::{NotRunReason, Operation, OperationKind, Outcome, UnknownReason};
pub use outcome_log::{FeedBreak, FeedEnd, FeedRecord, OutcomeLog, OutcomeRecord, OutcomeRecorder};

use self::connection::{Connection, NoConnection};
use self::exchange::ExchangeFailure;
use super::clock::unix_milliseconds;
use super::headers;

/// Connections tried for one attempt when each of them takes no more requests.
const CONNECTIONS_PER_ATTEMPT: usize = 4;

/// How a caller behaves.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// Where the service is reached.
    pub service_address: SocketAddr,
    /// Name of the service, sent with each request and expected in each answer.
    pub service: String,
    /// Name which the server's certificate must carry.
    pub server_name: String,
    /// Limit for a connection to be established.
    pub connect_timeout: Duration,
    /// Limit for one attempt; also sent as the deadline.
    pub request_timeout: Duration,
    /// Attempts at one operation at most.
    pub attempts: u32,
    /// Wait before another attempt when the answer names no time.
    pub retry_delay: Duration,
    /// Whether a feed moves to another connection when its server is going
    /// away; otherwise it stays where it is to its end.
    pub feeds_move: bool,
}

impl CallerConfig {
    /// A caller of the service at this address, with limits fit for tests.
    #[must_use]
    pub fn new(service_address: SocketAddr, service: &str) -> Self {
        Self {
            service_address,
            service: service.to_owned(),
            server_name: "woodladder.test".to_owned(),
            connect_timeout: Duration::from_secs(5),
            request_timeout: Duration::from_secs(10),
            attempts: 5,
            retry_delay: Duration::from_millis(100),
            feeds_move: true,
        }
    }
}

/// One client with at most one connection for new requests.
#[derive(Clone, Debug)]
pub struct Caller {
    shared: Arc<CallerShared>,
}

#[derive(Debug)]
struct CallerShared {
    config: CallerConfig,
    endpoints: CallerEndpoints,
    recorder: Arc<OutcomeRecorder>,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl Caller {
    /// A caller which connects when it first asks, and writes to the recorder.
    #[must_use]
    pub fn new(
        config: CallerConfig,
        endpoints: CallerEndpoints,
        recorder: Arc<OutcomeRecorder>,
    ) -> Self {
        Self {
            shared: Arc::new(CallerShared {
                config,
                endpoints,
                recorder,
                connection: Mutex::new(None),
            }),
        }
    }

    /// How the caller behaves.
    #[must_use]
    pub fn config(&self) -> &CallerConfig {
        &self.shared.config
    }

    /// Asks until the operation is answered, its outcome is unknown or the attempts are used up.
    ///
    /// Asks again after "not run", and after "unknown" only if the operation is repeatable.
    pub async fn ask(&self, operation: Operation) -> Outcome {
        let mut attempt = 1;
        loop {
            let outcome = self.ask_once(operation, attempt).await;
            if attempt >= self.shared.config.attempts || !may_ask_again(operation, &outcome) {
                return outcome;
            }
            let told = outcome.retry_after();
            sleep(told.unwrap_or(self.shared.config.retry_delay)).await;
            attempt += 1;
        }
    }

    /// Makes one attempt, limited by the configured request timeout.
    pub async fn ask_once(&self, operation: Operation, attempt: u32) -> Outcome {
        let limit = self.shared.config.request_timeout;
        self.ask_once_within(operation, attempt, limit).await
    }

    /// Makes one attempt and cancels it when the limit is over.
    pub async fn ask_once_within(
        &self,
        operation: Operation,
        attempt: u32,
        limit: Duration,
    ) -> Outcome {
        let asked_ms = unix_milliseconds();
        let outcome = self.attempt(operation, attempt, limit).await;
        self.shared.recorder.outcome(OutcomeRecord {
            operation: operation.id,
            attempt,
            service: self.shared.config.service.clone(),
            repeatable: operation.kind.is_repeatable(),
            outcome: outcome.clone(),
            gave_up_early: limit < self.shared.config.request_timeout,
            asked_ms,
            ended_ms: unix_milliseconds(),
        });
        outcome
    }

    /// Opens a feed and watches it in a task of its own, until told to end or it breaks.
    #[must_use]
    pub fn watch_feed(&self) -> FeedWatch {
        feed::start(self.clone())
    }

    /// Forgets the connection, so that the next request opens another. Requests in progress and
    /// feeds keep the old one.
    pub async fn forget_connection(&self) {
        *self.shared.connection.lock().await = None;
    }

    async fn attempt(&self, operation: Operation, attempt: u32, limit: Duration) -> Outcome {
        for _ in 0..CONNECTIONS_PER_ATTEMPT {
            let connection = match self.connection().await {
                Ok(connection) => connection,
                Err(NoConnection) => return Outcome::not_run(NotRunReason::NoConnection),
            };
            let Some(request) = self.operation_request(operation, attempt, limit) else {
                return Outcome::not_run(NotRunReason::NotSent);
            };
            let body = Bytes::from(operation.id.to_string());
            match exchange::run(&connection, request, body, limit).await {
                Ok(answer) => return interpret(operation, &self.shared.config.service, &answer),
                // The server took no more requests on this connection; another one is opened.
                Err(ExchangeFailure::NotSent) => self.discard(&connection).await,
                Err(ExchangeFailure::Failed(outcome)) => return outcome,
            }
        }
        Outcome::not_run(NotRunReason::NotSent)
    }

    fn operation_request(
        &self,
        operation: Operation,
        attempt: u32,
        limit: Duration,
    ) -> Option<Request<()>> {
        Request::builder()
            .method(operation.kind.method())
            .uri(self.uri(&operation.path()))
            .header(headers::INTENDED_SERVICE, &self.shared.config.service)
            .header(headers::ATTEMPT, attempt)
            .header(headers::DEADLINE_MS, limit.as_millis().to_string())
            .body(())
            .ok()
    }

    fn uri(&self, path: &str) -> String {
        format!("https://{}{path}", self.shared.config.server_name)
    }

    /// The connection for new requests; opens one when there is none that takes any.
    async fn connection(&self) -> Result<Arc<Connection>, NoConnection> {
        let mut current = self.shared.connection.lock().await;
        if let Some(connection) = current.as_ref()
            && connection.takes_requests()
        {
            return Ok(Arc::clone(connection));
        }
        *current = None;
        let opened = Connection::open(&self.shared.endpoints, &self.shared.config).await?;
        let opened = Arc::new(opened);
        *current = Some(Arc::clone(&opened));
        Ok(opened)
    }

    async fn discard(&self, connection: &Arc<Connection>) {
        let mut current = self.shared.connection.lock().await;
        if current
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, connection))
        {
            *current = None;
        }
    }
}

fn may_ask_again(operation: Operation, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun { .. } => true,
        Outcome::Unknown { .. } => operation.kind.is_repeatable(),
        Outcome::Answered { .. } | Outcome::Refused { .. } => false,
    }
}
