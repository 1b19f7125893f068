//! HTTP requests to the platform's services.

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

/// Longest response body that is read, in bytes: the longest stored value in
/// base64, and 64 KiB for the JSON around it.
const MAXIMUM_BODY_LENGTH: usize = MAXIMUM_STORED_VALUE_LENGTH / 3 * 4 + 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A response with its complete body.
pub(super) struct Response {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// A request.
pub(super) struct Request {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) timeout: Duration,
}

/// Builds an HTTP client with a connect timeout.
pub(super) fn build_client() -> Result<Client, ServiceError> {
    let mut builder = Client::builder();
    builder.set_connect_timeout(CONNECT_TIMEOUT);
    builder
        .build()
        .map_err(|error| ServiceError::Unreachable(error.to_string()))
}

/// Sends a request and reads the complete response.
///
/// [`ServiceError::Unreachable`] and [`ServiceError::RateLimited`] mean that the
/// request had no effect. After the other errors it may have had one.
pub(super) async fn send(
    client: &Client,
    address: SocketAddr,
    request: &Request,
) -> Result<Response, ServiceError> {
    let response = send_without_timeout(client, address, request);
    match tokio::time::timeout(request.timeout, response).await {
        Ok(result) => result,
        Err(_) => Err(ServiceError::NoResponse("timed out".to_owned())),
    }
}

async fn send_without_timeout(
    client: &Client,
    address: SocketAddr,
    request: &Request,
) -> Result<Response, ServiceError> {
    let uri = format!("http://{address}{}", request.path);
    let response = client
        .request(request.method.clone(), uri)
        .body(Body::from(request.body.clone()))
        .send::<Body>()
        .await
        .map_err(|error| classify_error(&error))?;
    let (parts, body) = response.into_parts();
    if parts.status == StatusCode::TOO_MANY_REQUESTS {
        let retry_after = parse_retry_after(&parts.headers);
        return Err(ServiceError::RateLimited { retry_after });
    }
    let body = Limited::new(body, MAXIMUM_BODY_LENGTH)
        .collect()
        .await
        .map_err(|error| ServiceError::NoResponse(error.to_string()))?
        .to_bytes();
    Ok(Response {
        status: parts.status,
        body,
    })
}

/// Distinguishes a failed connect from a connection that broke.
///
/// The kind of the client's error can be the same for both. The direct source of
/// the error is the system's I/O error only when no connection could be made.
fn classify_error(error: &ClientError) -> ServiceError {
    let is_not_connected = error
        .source()
        .is_some_and(|source| source.is::<std::io::Error>());
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => ServiceError::Unreachable(error.to_string()),
        _ if is_not_connected => ServiceError::Unreachable(error.to_string()),
        _ => ServiceError::NoResponse(error.to_string()),
    }
}

/// The `Retry-After` header when it gives a number of seconds.
fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
