//! The HTTP server for health, readiness, status and metrics.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use async_trait::async_trait;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use slog::{Logger, error};
use tokio::task::JoinHandle;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::server::Server;
use volo_http::server::route::{Router, get};

use super::prometheus_text::render_prometheus;
use super::status::{NodeStatus, NotReadyReason};
use crate::process::StopSignal;

const JSON: &str = "application/json";
const METRICS_TEXT: &str = "text/plain; version=0.0.4";
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";

/// Gives the server the node's status.
#[async_trait]
pub trait StatusProvider: Send + Sync + 'static {
    /// The current status.
    async fn status(&self) -> NodeStatus;
}

/// A running HTTP server; dropping it stops the server.
pub struct StatusServer {
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl StatusServer {
    /// Listens on `address` and serves the status that `provider` returns until
    /// the server is dropped.
    ///
    /// volo-http's server stops accepting connections when the process gets
    /// SIGTERM, SIGINT or SIGHUP. Readiness must stay visible while a node drains,
    /// so a second server accepts on the same listening socket once a stop is
    /// requested.
    ///
    /// # Errors
    /// The system's error when the address cannot be listened on.
    pub fn start(
        address: SocketAddr,
        provider: Arc<dyn StatusProvider>,
        mut stop: StopSignal,
        log: &Logger,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let first_incoming = incoming(&listener)?;
        let second_incoming = incoming(&listener)?;
        let while_running = tokio::spawn(serve(first_incoming, provider.clone(), log.clone()));
        let log = log.clone();
        let while_stopping = tokio::spawn(async move {
            stop.wait_until_requested().await;
            serve(second_incoming, provider, log).await;
        });
        Ok(Self {
            address,
            tasks: vec![while_running, while_stopping],
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StatusServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn incoming(listener: &TcpListener) -> std::io::Result<DefaultIncoming> {
    let listener = tokio::net::TcpListener::from_std(listener.try_clone()?)?;
    Ok(DefaultIncoming::from(listener))
}

async fn serve(incoming: DefaultIncoming, provider: Arc<dyn StatusProvider>, log: Logger) {
    if let Err(problem) = Server::new(router(provider)).run(incoming).await {
        error!(log, "endpoint: cannot serve"; "error" => %problem);
    }
}

fn router(provider: Arc<dyn StatusProvider>) -> Router {
    let health_provider = provider.clone();
    let ready_provider = provider.clone();
    let status_provider = provider.clone();
    Router::new()
        .route(
            "/health",
            get(async move || health(&health_provider.status().await)),
        )
        .route(
            "/ready",
            get(async move || ready(&ready_provider.status().await)),
        )
        .route(
            "/status",
            get(async move || status(&status_provider.status().await)),
        )
        .route(
            "/metrics",
            get(async move || metrics(&provider.status().await)),
        )
}

fn health(status: &NodeStatus) -> Response<Body> {
    match status.not_ready {
        Some(reason @ NotReadyReason::Failed) => unavailable(reason),
        _ => answer(StatusCode::OK, PLAIN_TEXT, "ok\n".to_owned()),
    }
}

fn metrics(status: &NodeStatus) -> Response<Body> {
    answer(StatusCode::OK, METRICS_TEXT, render_prometheus(status))
}

fn ready(status: &NodeStatus) -> Response<Body> {
    match status.not_ready {
        None => answer(StatusCode::OK, PLAIN_TEXT, "ready\n".to_owned()),
        Some(reason) => unavailable(reason),
    }
}

fn unavailable(reason: NotReadyReason) -> Response<Body> {
    let text = format!("{reason}\n");
    answer(StatusCode::SERVICE_UNAVAILABLE, PLAIN_TEXT, text)
}

fn status(status: &NodeStatus) -> Response<Body> {
    match serde_json::to_string(status) {
        Ok(text) => answer(StatusCode::OK, JSON, text),
        Err(problem) => answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            PLAIN_TEXT,
            problem.to_string(),
        ),
    }
}

fn answer(status: StatusCode, content_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
