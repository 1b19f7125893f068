//! HTTP/1.1 server of the stand-ins, which can refuse connections and cut answers on demand.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use volo::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::{IntoResponse, Router, Server};

use super::error::StandInError;
use super::gate::Gate;
use super::incoming::{GatedIncoming, PortReservation};

/// A running HTTP server. Dropping it stops it.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    gate: Gate,
    listening: watch::Sender<bool>,
}

impl HttpServer {
    /// Starts a server on `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        gate: Gate,
    ) -> Result<Self, StandInError> {
        let bind_error = |source| StandInError::Bind { address, source };
        let reservation = PortReservation::take(address).map_err(bind_error)?;
        let bound = reservation.address();
        let listening = watch::Sender::new(true);
        let incoming = GatedIncoming::open(reservation, gate.clone(), listening.subscribe())
            .map_err(bind_error)?;
        let service = GatedService {
            router,
            gate: gate.clone(),
        };
        tokio::spawn(async move {
            // Ends only with the runtime: `shutdown` closes the listener and shuts the gate.
            let _ = Server::new(service).run(incoming).await;
        });
        Ok(Self {
            address: bound,
            gate,
            listening,
        })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and cuts the requests in progress.
    pub fn shutdown(&self) {
        self.listening.send_replace(false);
        self.gate.set_shut(true);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.shutdown();
    }
}

struct GatedService {
    router: Router,
    gate: Gate,
}

impl Service<ServerContext, Request> for GatedService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        tokio::select! {
            biased;
            () = self.gate.wait_shut() => Ok(close_without_answer()),
            answer = self.router.call(context, request) => Ok(answer.into_response()),
        }
    }
}

/// Why a body ended before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was cut on purpose")
    }
}

impl std::error::Error for AnswerCut {}

/// An answer of which no byte leaves: the connection closes instead.
///
/// The server writes head and first piece of a body together, so a body that fails at once takes
/// the head with it.
#[must_use]
pub fn close_without_answer() -> Response {
    let failing = stream::once(async { Err(AnswerCut.into()) });
    Response::new(Body::from_stream(failing))
}

/// An answer with a JSON body.
#[must_use]
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let Ok(body) = serde_json::to_vec(value) else {
        return text_answer(StatusCode::INTERNAL_SERVER_ERROR, "cannot write JSON");
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// An answer with a short text.
#[must_use]
pub fn text_answer(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(Body::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Reads a JSON body, or gives the answer that says what is wrong with it.
///
/// # Errors
/// The answer with status 400 when the body is not the JSON of `T`.
#[expect(clippy::result_large_err, reason = "the error is the answer to send")]
pub fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Response> {
    serde_json::from_slice(body)
        .map_err(|error| text_answer(StatusCode::BAD_REQUEST, &error.to_string()))
}
