//! Client of the key-value service over Consul's HTTP interface.
//!
//! Source: HashiCorp, "Consul HTTP API", sections "KV store" and "Blocking
//! queries".

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use serde::Deserialize;
use slog::{Logger, debug};
use woodladder_core::control::store_operation::{
    MAXIMUM_STORED_VALUE_LENGTH, StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};

use super::connections::Connections;
use super::http::{Request, Response, send};
use super::{ServiceError, Store};

/// Time limit for the response to a request that does not block.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time for which the service is asked to hold a blocking read.
const BLOCKING_READ_WAIT: Duration = Duration::from_secs(55);

/// Client of a key-value service that speaks Consul's HTTP interface.
pub struct ConsulStore {
    connections: Connections,
    addresses: Vec<SocketAddr>,
    /// Index of the address to try first, modulo the number of addresses.
    preferred_index: AtomicUsize,
    /// Time limit for the response to a request that does not block.
    response_timeout: Duration,
    logger: Logger,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct StoredEntry {
    modify_index: u64,
    value: Option<String>,
}

impl ConsulStore {
    /// A client that tries these addresses in turn until one can be reached.
    ///
    /// # Errors
    /// [`ServiceError::Unreachable`] when the HTTP client cannot be built.
    pub fn new(addresses: Vec<SocketAddr>, logger: Logger) -> Result<Self, ServiceError> {
        Ok(Self {
            connections: Connections::new()?,
            addresses,
            preferred_index: AtomicUsize::new(0),
            response_timeout: RESPONSE_TIMEOUT,
            logger,
        })
    }

    /// Sets the time limit for the response to a request that does not block.
    #[must_use]
    pub fn with_response_timeout(mut self, timeout: Duration) -> Self {
        self.response_timeout = timeout;
        self
    }

    async fn read(
        &self,
        key: &StoreKey,
        wait: Option<StoreIndex>,
    ) -> Result<StoreAnswer, ServiceError> {
        let path = key_path(key);
        let (path, timeout) = match wait {
            None => (path, self.response_timeout),
            Some(index) => (
                format!(
                    "{path}?index={}&wait={}s",
                    index.0,
                    BLOCKING_READ_WAIT.as_secs()
                ),
                BLOCKING_READ_WAIT + self.response_timeout,
            ),
        };
        let request = Request {
            method: Method::GET,
            path,
            body: Vec::new(),
            timeout,
        };
        parse_read_response(&self.send_to_any(&request).await?)
    }

    async fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected: StoreIndex,
        value: &[u8],
    ) -> Result<StoreAnswer, ServiceError> {
        let request = Request {
            method: Method::PUT,
            path: format!("{}?cas={}", key_path(key), expected.0),
            body: value.to_vec(),
            timeout: self.response_timeout,
        };
        parse_write_response(&self.send_to_any(&request).await?)
    }

    /// Sends a request to the first address that can be reached. Once the request
    /// may have reached an address, it is not sent again.
    async fn send_to_any(&self, request: &Request) -> Result<Response, ServiceError> {
        let start = self.preferred_index.load(Ordering::Relaxed);
        let mut last_error = ServiceError::Unreachable("no address".to_owned());
        for offset in 0..self.addresses.len() {
            let index = start.wrapping_add(offset) % self.addresses.len();
            let client = self.connections.client();
            match send(&client, self.addresses[index], request).await {
                Err(ServiceError::Unreachable(reason)) => {
                    last_error = ServiceError::Unreachable(reason);
                }
                result => {
                    if let Err(ServiceError::NoResponse(_)) = &result {
                        self.connections.replace(&client);
                    }
                    self.update_preferred(index, &result);
                    return result;
                }
            }
        }
        Err(last_error)
    }

    /// Makes the next request start with the address at `index`, or with the
    /// following address when this one gave no complete response.
    fn update_preferred(&self, index: usize, result: &Result<Response, ServiceError>) {
        let next = match result {
            Err(ServiceError::NoResponse(_)) => index + 1,
            _ => index,
        };
        self.preferred_index.store(next, Ordering::Relaxed);
    }
}

#[async_trait]
impl Store for ConsulStore {
    async fn perform(&self, operation: &StoreOperation) -> StoreAnswer {
        let result = match operation {
            StoreOperation::Read { key, wait } => self.read(key, *wait).await,
            StoreOperation::CompareAndSwap {
                key,
                expected,
                value,
            } => self.compare_and_swap(key, *expected, value).await,
        };
        result.unwrap_or_else(|error| {
            debug!(self.logger, "store: no answer"; "reason" => %error);
            answer_for_error(&error)
        })
    }
}

fn key_path(key: &StoreKey) -> String {
    format!("/v1/kv/{}", key.path())
}

/// The answer for a failed request, by whether the request may have had an effect.
/// [`StoreAnswer::Unreachable`] also stands for a request that the service rejected,
/// because that request had no effect either.
fn answer_for_error(error: &ServiceError) -> StoreAnswer {
    match error {
        ServiceError::Unreachable(_) => StoreAnswer::Unreachable,
        ServiceError::RateLimited { retry_after } => StoreAnswer::RateLimited {
            retry_after: *retry_after,
        },
        ServiceError::Status(status) if is_rejection(*status) => StoreAnswer::Unreachable,
        ServiceError::NoResponse(_) | ServiceError::Status(_) | ServiceError::Malformed(_) => {
            StoreAnswer::Unknown
        }
    }
}

/// Whether the service rejected the request as invalid, so that it had no
/// effect.
fn is_rejection(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_client_error())
}

fn parse_write_response(response: &Response) -> Result<StoreAnswer, ServiceError> {
    if response.status != StatusCode::OK {
        return Err(ServiceError::Status(response.status.as_u16()));
    }
    match response.body.trim_ascii() {
        b"true" => Ok(StoreAnswer::Written),
        b"false" => Ok(StoreAnswer::Conflict),
        _ => Err(ServiceError::Malformed("response to a write")),
    }
}

fn parse_read_response(response: &Response) -> Result<StoreAnswer, ServiceError> {
    match response.status {
        StatusCode::OK => parse_stored_value(&response.body),
        StatusCode::NOT_FOUND => Ok(StoreAnswer::NotFound),
        status => Err(ServiceError::Status(status.as_u16())),
    }
}

/// Parses the first entry of a read's response.
fn parse_stored_value(body: &[u8]) -> Result<StoreAnswer, ServiceError> {
    let entries: Vec<StoredEntry> =
        serde_json::from_slice(body).map_err(|_| ServiceError::Malformed("list of entries"))?;
    let entry = entries
        .into_iter()
        .next()
        .ok_or(ServiceError::Malformed("list of entries"))?;
    let value = STANDARD
        .decode(entry.value.unwrap_or_default())
        .map_err(|_| ServiceError::Malformed("value"))?;
    if value.len() > MAXIMUM_STORED_VALUE_LENGTH {
        return Err(ServiceError::Malformed("value"));
    }
    Ok(StoreAnswer::Value {
        index: StoreIndex(entry.modify_index),
        value,
    })
}
