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
use volo_http::client::Client;

use super::http::{Answer, Ask, client, exchange};
use super::{Entry, ModifyIndex, Store, StoreError, SwapOutcome};

/// Time for an answer that does not block.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const INDEX_HEADER: &str = "x-consul-index";

/// Client of a key-value service that speaks Consul's HTTP interface.
pub struct ConsulStore {
    client: Client,
    addresses: Vec<SocketAddr>,
    preferred: AtomicUsize,
    answer_timeout: Duration,
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
    /// [`StoreError::Unreachable`] when the HTTP client cannot be built.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, StoreError> {
        Ok(Self {
            client: client()?,
            addresses,
            preferred: AtomicUsize::new(0),
            answer_timeout: ANSWER_TIMEOUT,
        })
    }

    /// Waits this long for an answer that does not block.
    #[must_use]
    pub fn with_answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self
    }

    /// Sends a request to the first address that can be reached. Once a
    /// request may have arrived anywhere it is not sent again.
    async fn ask(&self, ask: &Ask) -> Result<Answer, StoreError> {
        let start = self.preferred.load(Ordering::Relaxed);
        let mut last = StoreError::Unreachable("no address".to_owned());
        for offset in 0..self.addresses.len() {
            let position = (start + offset) % self.addresses.len();
            match exchange(&self.client, self.addresses[position], ask).await {
                Err(StoreError::Unreachable(reason)) => last = StoreError::Unreachable(reason),
                answered => {
                    self.preferred.store(position, Ordering::Relaxed);
                    return answered;
                }
            }
        }
        Err(last)
    }

    async fn get(&self, path: String, timeout: Duration) -> Result<Entry, StoreError> {
        let ask = Ask {
            method: Method::GET,
            path,
            body: Vec::new(),
            timeout,
        };
        let answer = self.ask(&ask).await;
        if let Err(StoreError::NoAnswer(_)) = answer {
            self.preferred.fetch_add(1, Ordering::Relaxed);
        }
        entry(&answer?)
    }
}

#[async_trait]
impl Store for ConsulStore {
    async fn read(&self, key: &str) -> Result<Entry, StoreError> {
        self.get(format!("/v1/kv/{key}"), self.answer_timeout).await
    }

    async fn read_after(
        &self,
        key: &str,
        after: ModifyIndex,
        wait: Duration,
    ) -> Result<Entry, StoreError> {
        let path = format!("/v1/kv/{key}?index={}&wait={}ms", after.0, wait.as_millis());
        self.get(path, wait + self.answer_timeout).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: ModifyIndex,
        value: Vec<u8>,
    ) -> SwapOutcome {
        let ask = Ask {
            method: Method::PUT,
            path: format!("/v1/kv/{key}?cas={}", expected.0),
            body: value,
            timeout: self.answer_timeout,
        };
        swap_outcome(self.ask(&ask).await)
    }
}

fn swap_outcome(answer: Result<Answer, StoreError>) -> SwapOutcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error @ (StoreError::Unreachable(_) | StoreError::RateLimited { .. })) => {
            return SwapOutcome::NotApplied(error);
        }
        Err(error) => return SwapOutcome::Unknown(error),
    };
    if answer.status.is_client_error() {
        return SwapOutcome::NotApplied(StoreError::Failed(answer.status.as_u16()));
    }
    if answer.status != StatusCode::OK {
        return SwapOutcome::Unknown(StoreError::Failed(answer.status.as_u16()));
    }
    match answer.body.trim_ascii() {
        b"true" => SwapOutcome::Applied,
        b"false" => SwapOutcome::Conflict,
        _ => SwapOutcome::Unknown(StoreError::Malformed("answer to a write")),
    }
}

fn entry(answer: &Answer) -> Result<Entry, StoreError> {
    let watch_index = header_index(answer);
    match answer.status {
        StatusCode::OK => stored_entry(&answer.body, watch_index),
        StatusCode::NOT_FOUND => Ok(Entry {
            value: None,
            modify_index: ModifyIndex::default(),
            watch_index: watch_index.unwrap_or_default(),
        }),
        status => Err(StoreError::Failed(status.as_u16())),
    }
}

fn stored_entry(body: &[u8], watch_index: Option<ModifyIndex>) -> Result<Entry, StoreError> {
    let entries: Vec<StoredEntry> =
        serde_json::from_slice(body).map_err(|_| StoreError::Malformed("list of entries"))?;
    let stored = entries
        .into_iter()
        .next()
        .ok_or(StoreError::Malformed("list of entries"))?;
    let value = STANDARD
        .decode(stored.value.unwrap_or_default())
        .map_err(|_| StoreError::Malformed("value"))?;
    let modify_index = ModifyIndex(stored.modify_index);
    Ok(Entry {
        value: Some(value),
        modify_index,
        watch_index: watch_index.unwrap_or(modify_index),
    })
}

fn header_index(answer: &Answer) -> Option<ModifyIndex> {
    let text = answer.headers.get(INDEX_HEADER)?.to_str().ok()?;
    text.parse().ok().map(ModifyIndex)
}
