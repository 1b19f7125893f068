//! Request handlers for keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode, Uri};
use serde::Serialize;
use tokio::time::{Instant, sleep, timeout_at};
use volo::net::Address;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::utils::Extension;

use super::fault::{DownMode, WatchFault};
use super::query;
use super::shared::{Shared, Watcher};
use super::state::{
    DeleteCondition, PutCondition, SessionId, StoreEntry, StoreOperation, StoreOutcome,
};
use crate::stand_in::http_server::{close_without_answer, json_answer, text_answer};

/// Header which carries the index to watch from.
const INDEX_HEADER: &str = "x-consul-index";

/// Wait of a blocking read that names none, and the longest one.
const DEFAULT_WAIT: Duration = Duration::from_secs(5 * 60);
const LONGEST_WAIT: Duration = Duration::from_secs(10 * 60);

/// When a client over the rate limit may come back, in seconds.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct EntryBody<'a> {
    lock_index: u64,
    key: &'a str,
    flags: u64,
    value: String,
    create_index: u64,
    modify_index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<&'a str>,
}

pub(super) async fn get_key(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(key): PathParams<String>,
    address: Address,
    uri: Uri,
) -> Response {
    if let Some(answer) = admit(&shared).await {
        return answer;
    }
    let watched = match query::parameter(uri.query(), "index").map(str::parse::<u64>) {
        None => return read_answer(&shared, &key),
        Some(Ok(index)) => index,
        Some(Err(_)) => return text_answer(StatusCode::BAD_REQUEST, "index is not a number"),
    };
    let wait = match query::parameter(uri.query(), "wait").map(query::duration) {
        None => DEFAULT_WAIT,
        Some(Some(wait)) => wait.min(LONGEST_WAIT),
        Some(None) => return text_answer(StatusCode::BAD_REQUEST, "wait is not a duration"),
    };
    let watcher = Watcher {
        peer: peer(&address),
        key,
    };
    wait_for_change(&shared, &watcher, watched, wait).await;
    if shared.fault().watch == WatchFault::Never {
        shared
            .wait_while(|fault| fault.watch == WatchFault::Never)
            .await;
    }
    read_answer(&shared, &watcher.key)
}

fn peer(address: &Address) -> Option<SocketAddr> {
    match address {
        Address::Ip(address) => Some(*address),
        Address::Unix(_) => None,
    }
}

async fn wait_for_change(shared: &Shared, watcher: &Watcher, watched: u64, wait: Duration) {
    let mut changes = shared.changes();
    let deadline = Instant::now() + wait;
    loop {
        changes.borrow_and_update();
        let index = index_of(shared, &watcher.key);
        if index != watched {
            break;
        }
        if shared.fault().watch == WatchFault::Twice && shared.repeats(watcher, index) {
            return;
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            return;
        }
    }
    let fault = shared.fault();
    if fault.watch == WatchFault::Late {
        sleep(Duration::from_millis(fault.watch_delay_ms)).await;
    }
}

fn index_of(shared: &Shared, key: &str) -> u64 {
    match shared.apply(StoreOperation::Get {
        key: key.to_owned(),
    }) {
        StoreOutcome::Read { index, .. } => index,
        _ => 0,
    }
}

fn read_answer(shared: &Shared, key: &str) -> Response {
    match shared.apply(StoreOperation::Get {
        key: key.to_owned(),
    }) {
        StoreOutcome::Read { entry, index } => {
            let mut answer = match entry {
                Some(entry) => json_answer(StatusCode::OK, &[entry_body(key, &entry)]),
                None => text_answer(StatusCode::NOT_FOUND, ""),
            };
            answer
                .headers_mut()
                .insert(INDEX_HEADER, HeaderValue::from(index));
            answer
        }
        other => refusal(&other),
    }
}

fn entry_body<'a>(key: &'a str, entry: &'a StoreEntry) -> EntryBody<'a> {
    EntryBody {
        lock_index: entry.lock_index,
        key,
        flags: 0,
        value: STANDARD.encode(&entry.value),
        create_index: entry.create_index,
        modify_index: entry.modify_index,
        session: entry.session.as_ref().map(|session| session.0.as_str()),
    }
}

pub(super) async fn put_key(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(key): PathParams<String>,
    uri: Uri,
    body: Bytes,
) -> Response {
    if let Some(answer) = admit(&shared).await {
        return answer;
    }
    let Some(condition) = put_condition(uri.query()) else {
        return text_answer(StatusCode::BAD_REQUEST, "cas is not a number");
    };
    let operation = StoreOperation::Put {
        key,
        value: body.into(),
        condition,
    };
    write_answer(&shared, operation)
}

pub(super) async fn delete_key(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(key): PathParams<String>,
    uri: Uri,
) -> Response {
    if let Some(answer) = admit(&shared).await {
        return answer;
    }
    let condition = match query::parameter(uri.query(), "cas").map(str::parse) {
        None => DeleteCondition::Always,
        Some(Ok(index)) => DeleteCondition::ModifyIndex(index),
        Some(Err(_)) => return text_answer(StatusCode::BAD_REQUEST, "cas is not a number"),
    };
    write_answer(&shared, StoreOperation::Delete { key, condition })
}

fn put_condition(query: Option<&str>) -> Option<PutCondition> {
    if let Some(index) = query::parameter(query, "cas") {
        return index.parse().ok().map(PutCondition::ModifyIndex);
    }
    if let Some(session) = query::parameter(query, "acquire") {
        return Some(PutCondition::Acquire(SessionId(session.to_owned())));
    }
    if let Some(session) = query::parameter(query, "release") {
        return Some(PutCondition::Release(SessionId(session.to_owned())));
    }
    Some(PutCondition::Always)
}

fn write_answer(shared: &Shared, operation: StoreOperation) -> Response {
    let outcome = shared.apply(operation);
    if matches!(outcome, StoreOutcome::Written { .. }) && shared.loses_write_answer() {
        return close_without_answer();
    }
    match outcome {
        StoreOutcome::Written { .. } => json_answer(StatusCode::OK, &true),
        StoreOutcome::ConditionFailed => json_answer(StatusCode::OK, &false),
        other => refusal(&other),
    }
}

pub(super) fn refusal(outcome: &StoreOutcome) -> Response {
    match outcome {
        StoreOutcome::ValueTooLarge { limit } => text_answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("value exceeds {limit} byte limit"),
        ),
        StoreOutcome::UnknownSession => {
            text_answer(StatusCode::INTERNAL_SERVER_ERROR, "invalid session")
        }
        _ => text_answer(StatusCode::INTERNAL_SERVER_ERROR, "unexpected outcome"),
    }
}

/// Applies faults and the rate limit; an answer means that the request goes no further.
pub(super) async fn admit(shared: &Shared) -> Option<Response> {
    let fault = shared.fault();
    if fault.down {
        return Some(down_answer(shared, fault.down_mode).await);
    }
    if !shared.within_rate() {
        let mut answer = text_answer(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded");
        answer
            .headers_mut()
            .insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
        return Some(answer);
    }
    if fault.delay_ms > 0 {
        sleep(Duration::from_millis(fault.delay_ms)).await;
    }
    None
}

async fn down_answer(shared: &Shared, mode: DownMode) -> Response {
    match mode {
        DownMode::Refuse => close_without_answer(),
        DownMode::Unavailable => text_answer(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
        DownMode::Hang => {
            shared.wait_while(|fault| fault.down).await;
            close_without_answer()
        }
    }
}
