//! One HTTP exchange with a service of the platform.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt as _, Limited};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::client::{ClientError, ErrorKind};
use woodladder_core::control::store_operation::MAXIMUM_STORED_VALUE_LENGTH;

use super::ServiceError;

/// Longest body that is read: the longest value in base64, and some more.
const MAXIMUM_BODY: usize = MAXIMUM_STORED_VALUE_LENGTH / 3 * 4 + 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer with its whole body.
pub(super) struct Answer {
    pub(super) status: StatusCode,
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
pub(super) fn client() -> Result<Client, ServiceError> {
    let mut builder = Client::builder();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder
        .build()
        .map_err(|error| ServiceError::Unreachable(error.to_string()))
}

/// Sends a request and reads the whole answer.
///
/// [`ServiceError::Unreachable`] and [`ServiceError::RateLimited`] mean that the
/// request had no effect; the other errors leave it open.
pub(super) async fn exchange(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
) -> Result<Answer, ServiceError> {
    let exchange = exchange_unbounded(client, address, ask);
    match tokio::time::timeout(ask.timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(ServiceError::NoAnswer("timed out".to_owned())),
    }
}

async fn exchange_unbounded(
    client: &Client,
    address: SocketAddr,
    ask: &Ask,
) -> Result<Answer, ServiceError> {
    let uri = format!("http://{address}{}", ask.path);
    let response = client
        .request(ask.method.clone(), uri)
        .body(Body::from(ask.body.clone()))
        .send::<Body>()
        .await
        .map_err(|error| failure(&error))?;
    let (parts, body) = response.into_parts();
    if parts.status == StatusCode::TOO_MANY_REQUESTS {
        let retry_after = retry_after(&parts.headers);
        return Err(ServiceError::RateLimited { retry_after });
    }
    let body = Limited::new(body, MAXIMUM_BODY)
        .collect()
        .await
        .map_err(|error| ServiceError::NoAnswer(error.to_string()))?
        .to_bytes();
    Ok(Answer {
        status: parts.status,
        body,
    })
}

/// The client does not tell a connection that could not be made from one that
/// broke by the kind of its error. It passes the system's error on as it is in
/// the first case only.
fn failure(error: &ClientError) -> ServiceError {
    let not_connected = error
        .source()
        .is_some_and(|source| source.is::<std::io::Error>());
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => ServiceError::Unreachable(error.to_string()),
        _ if not_connected => ServiceError::Unreachable(error.to_string()),
        _ => ServiceError::NoAnswer(error.to_string()),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
