//! The exchange with the back end over HTTP/1.1.
//!
//! Each request has a connection of its own, closed after it. A connection
//! kept from an earlier request may be closed by the back end just as the next
//! one is written, and then nobody knows whether that one ran; and an answer
//! that comes late on it would be another request's. Dropping the exchange
//! closes the connection, which is how the back end learns of a cancellation.

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

use super::request_desk::RequestDesk;

/// How often a back end that took no connection is tried.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a back end may take to take a connection when it is tried.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the back end gave no answer.
#[derive(Debug)]
pub(super) enum BackEndError {
    /// There is no connection, so no byte of the request went out.
    Unreachable,
    /// The request cannot be written at all.
    InvalidRequest,
    /// The exchange broke off; the back end may have run the request.
    Failed,
}

/// The back end beside the agent.
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

    /// Whether the back end takes a connection.
    pub(super) async fn is_reachable(&self) -> bool {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(self.address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    /// Status of the answer to a `GET`, if one comes.
    pub(super) async fn status_of(&self, path: &str) -> Option<StatusCode> {
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

/// Tries a back end that took no connection until it does.
pub(super) async fn await_recovery(back_end: BackEnd, desk: Weak<RequestDesk>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let reachable = back_end.is_reachable().await;
        let Some(desk) = desk.upgrade() else {
            return;
        };
        if reachable {
            desk.back_end_up();
            return;
        }
    }
}

/// Tells a connection that was never made from an exchange that broke off.
///
/// The client reports both alike. The first has the socket's error as its
/// cause; the second has the HTTP library's, even when a socket's error lies
/// beneath that.
fn classify(error: &ClientError) -> BackEndError {
    let cause = std::error::Error::source(error);
    if cause.is_some_and(|cause| cause.is::<io::Error>()) {
        BackEndError::Unreachable
    } else {
        BackEndError::Failed
    }
}
