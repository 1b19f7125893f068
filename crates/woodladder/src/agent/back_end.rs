//! HTTP/1.1 client of the back end.
//!
//! Each request has its own connection, which is closed after it. A connection
//! kept from an earlier request could be closed by the back end just as the
//! next request is written, and then nobody would know whether that request
//! ran. A late answer on such a connection could also be taken for the answer
//! to the next request. Dropping the future of [`BackEnd::send`] closes the
//! connection, which tells the back end that the request was cancelled.

use std::io;
use std::net::SocketAddr;
use std::sync::Weak;
use std::time::Duration;

use http::request::Parts;
use http::{Response, StatusCode, Uri};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::ClientError;

use super::request_scheduler::RequestScheduler;

/// Interval between connection attempts while the back end is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for such a connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why there is no answer from the back end.
#[derive(Debug)]
pub(super) enum BackEndError {
    /// No connection could be opened, so no byte of the request was sent.
    Unreachable,
    /// The request cannot be expressed in HTTP/1.1.
    InvalidRequest,
    /// The exchange failed in another way; the back end may have run the
    /// request.
    Failed,
}

/// Client of the agent's back end.
#[derive(Clone)]
pub(super) struct BackEnd {
    address: SocketAddr,
    client: Client,
}

impl BackEnd {
    pub(super) fn new(address: SocketAddr) -> Result<Self, ClientError> {
        let mut builder = Client::builder();
        builder.set_max_idle_per_host(0);
        let client = builder.build_without_extra_layers()?;
        Ok(Self { address, client })
    }

    /// Whether the back end accepts a connection within [`PROBE_TIMEOUT`].
    pub(super) async fn is_reachable(&self) -> bool {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(self.address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    /// Status of the answer to a `GET` of `path`, or `None` when the request
    /// fails.
    pub(super) async fn get_status(&self, path: &str) -> Option<StatusCode> {
        let uri: Uri = path.parse().ok()?;
        let request = self.client.get(uri).address(self.address);
        let answer = request.send().await.ok()?;
        Some(answer.status())
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &self,
        parts: Parts,
        body: Body,
    ) -> Result<Response<Body>, BackEndError> {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri: Uri = path.parse().map_err(|_| BackEndError::InvalidRequest)?;
        let mut request = self
            .client
            .request(parts.method, uri)
            .address(self.address)
            .body(body);
        *request.headers_mut() = parts.headers;
        request.send().await.map_err(|error| classify(&error))
    }
}

/// Tries to connect to a back end that is down until it accepts a connection.
pub(super) async fn wait_for_recovery(back_end: BackEnd, scheduler: Weak<RequestScheduler>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let reachable = back_end.is_reachable().await;
        let Some(scheduler) = scheduler.upgrade() else {
            return;
        };
        if reachable {
            scheduler.mark_back_end_up();
            return;
        }
    }
}

/// Distinguishes a connection that could not be opened from one that failed
/// later.
///
/// The HTTP client has one error for both. When the connection could not be
/// opened, the error's direct source is an `io::Error`. When it failed later,
/// the direct source is an error of the HTTP library, even if that has an
/// `io::Error` as its own source.
fn classify(error: &ClientError) -> BackEndError {
    let cause = std::error::Error::source(error);
    if cause.is_some_and(|cause| cause.is::<io::Error>()) {
        BackEndError::Unreachable
    } else {
        BackEndError::Failed
    }
}
