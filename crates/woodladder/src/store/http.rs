//! One HTTP exchange with a service of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::client::ErrorKind;

use super::StoreError;

/// Longest body that is read.
const MAXIMUM_BODY: usize = 16 * 1024 * 1024;
/// Pause when the service asks for one without saying how long.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer with its whole body.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// One request.
pub(super) struct Ask {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) timeout: Duration,
}

/// A client for short exchanges.
pub(super) fn client() -> Result<Client, StoreError> {
    let mut builder = Client::builder();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder
        .build()
        .map_err(|error| StoreError::Unreachable(error.to_string()))
}

/// Sends a request and reads the whole answer.
///
/// [`StoreError::Unreachable`] and [`StoreError::RateLimited`] mean that the
/// request had no effect; the other errors leave it open.
pub(super) async fn exchange(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
) -> Result<Answer, StoreError> {
    let exchange = exchange_unbounded(client, address, ask);
    match tokio::time::timeout(ask.timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::NoAnswer("timed out".to_owned())),
    }
}

async fn exchange_unbounded(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
) -> Result<Answer, StoreError> {
    let uri = format!("http://{address}{}", ask.path);
    let response = client
        .request(ask.method.clone(), uri)
        .body(Body::from(ask.body.clone()))
        .send::<Body>()
        .await
        .map_err(|error| match error.kind() {
            ErrorKind::Connect | ErrorKind::Builder => StoreError::Unreachable(error.to_string()),
            _ => StoreError::NoAnswer(error.to_string()),
        })?;
    let (parts, body) = response.into_parts();
    if parts.status == StatusCode::TOO_MANY_REQUESTS {
        let retry_after = retry_after(&parts.headers);
        return Err(StoreError::RateLimited { retry_after });
    }
    let body = Limited::new(body, MAXIMUM_BODY)
        .collect()
        .await
        .map_err(|error| StoreError::NoAnswer(error.to_string()))?
        .to_bytes();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn retry_after(headers: &HeaderMap) -> Duration {
    headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
