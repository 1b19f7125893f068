//! The key-value service over the HTTP interface that Consul published.
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
use volo_http::client::Client;
use woodladder_core::control::store_operation::{
    MAXIMUM_STORED_VALUE_LENGTH, StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};

use super::http::{Answer, Ask, client, exchange};
use super::{ServiceError, Store};

/// Time for an answer that does not block.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time that the service is asked to hold a blocking read.
const WATCH_WAIT: Duration = Duration::from_secs(55);

/// Client of a key-value service that speaks Consul's HTTP interface.
pub struct ConsulStore {
    client: Client,
    addresses: Vec<SocketAddr>,
    preferred: AtomicUsize,
    answer_timeout: Duration,
    logger: Logger,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct StoredEntry {
    modify_index: u64,
    value: Option<String>,
}

impl ConsulStore {
    /// A client that asks these addresses in turn until one can be reached.
    ///
    /// # Errors
    /// [`ServiceError::Unreachable`] when the HTTP client cannot be made.
    pub fn new(addresses: Vec<SocketAddr>, logger: Logger) -> Result<Self, ServiceError> {
        Ok(Self {
            client: client()?,
            addresses,
            preferred: AtomicUsize::new(0),
            answer_timeout: ANSWER_TIMEOUT,
            logger,
        })
    }

    /// Waits this long for an answer that does not block.
    #[must_use]
    pub fn with_answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self
    }

    async fn read(
        &self,
        key: &StoreKey,
        wait: Option<StoreIndex>,
    ) -> Result<StoreAnswer, ServiceError> {
        let path = key_path(key);
        let (path, timeout) = match wait {
            None => (path, self.answer_timeout),
            Some(index) => (
                format!("{path}?index={}&wait={}s", index.0, WATCH_WAIT.as_secs()),
                WATCH_WAIT + self.answer_timeout,
            ),
        };
        let ask = Ask {
            method: Method::GET,
            path,
            body: Vec::new(),
            timeout,
        };
        read_answer(&self.ask(&ask).await?)
    }

    async fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected: StoreIndex,
        value: &[u8],
    ) -> Result<StoreAnswer, ServiceError> {
        let ask = Ask {
            method: Method::PUT,
            path: format!("{}?cas={}", key_path(key), expected.0),
            body: value.to_vec(),
            timeout: self.answer_timeout,
        };
        swap_answer(&self.ask(&ask).await?)
    }

    /// Sends a request to the first address that can be reached. Once a
    /// request may have arrived anywhere it is not sent again.
    async fn ask(&self, ask: &Ask) -> Result<Answer, ServiceError> {
        let start = self.preferred.load(Ordering::Relaxed);
        let mut last = ServiceError::Unreachable("no address".to_owned());
        for offset in 0..self.addresses.len() {
            let position = start.wrapping_add(offset) % self.addresses.len();
            match exchange(&self.client, self.addresses[position], ask).await {
                Err(ServiceError::Unreachable(reason)) => last = ServiceError::Unreachable(reason),
                answered => {
                    self.prefer(position, &answered);
                    return answered;
                }
            }
        }
        Err(last)
    }

    /// Begins with the address that answered, or after one that did not.
    fn prefer(&self, position: usize, answered: &Result<Answer, ServiceError>) {
        let next = match answered {
            Err(ServiceError::NoAnswer(_)) => position + 1,
            _ => position,
        };
        self.preferred.store(next, Ordering::Relaxed);
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
            answer_to(&error)
        })
    }
}

fn key_path(key: &StoreKey) -> String {
    format!("/v1/kv/{}", key.path())
}

/// What a failed request means for the request.
fn answer_to(error: &ServiceError) -> StoreAnswer {
    match error {
        ServiceError::Unreachable(_) => StoreAnswer::Unreachable,
        ServiceError::RateLimited { retry_after } => StoreAnswer::RateLimited {
            retry_after: *retry_after,
        },
        ServiceError::Status(status) if is_refusal(*status) => StoreAnswer::Unreachable,
        ServiceError::NoAnswer(_) | ServiceError::Status(_) | ServiceError::Malformed(_) => {
            StoreAnswer::Unknown
        }
    }
}

/// Whether the service refused the request itself and so did nothing.
fn is_refusal(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_client_error())
}

fn swap_answer(answer: &Answer) -> Result<StoreAnswer, ServiceError> {
    if answer.status != StatusCode::OK {
        return Err(ServiceError::Status(answer.status.as_u16()));
    }
    match answer.body.trim_ascii() {
        b"true" => Ok(StoreAnswer::Written),
        b"false" => Ok(StoreAnswer::Conflict),
        _ => Err(ServiceError::Malformed("answer to a write")),
    }
}

fn read_answer(answer: &Answer) -> Result<StoreAnswer, ServiceError> {
    match answer.status {
        StatusCode::OK => stored_value(&answer.body),
        StatusCode::NOT_FOUND => Ok(StoreAnswer::NotFound),
        status => Err(ServiceError::Status(status.as_u16())),
    }
}

fn stored_value(body: &[u8]) -> Result<StoreAnswer, ServiceError> {
    let entries: Vec<StoredEntry> =
        serde_json::from_slice(body).map_err(|_| ServiceError::Malformed("list of entries"))?;
    let stored = entries
        .into_iter()
        .next()
        .ok_or(ServiceError::Malformed("list of entries"))?;
    let value = STANDARD
        .decode(stored.value.unwrap_or_default())
        .map_err(|_| ServiceError::Malformed("value"))?;
    if value.len() > MAXIMUM_STORED_VALUE_LENGTH {
        return Err(ServiceError::Malformed("value"));
    }
    Ok(StoreAnswer::Value {
        index: StoreIndex(stored.modify_index),
        value,
    })
}
