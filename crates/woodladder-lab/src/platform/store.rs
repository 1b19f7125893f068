//! The store over HTTP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;
use woodladder_node::http::{HttpRequest, HttpResponse};

use super::store_state::{Change, Entry, StoreFault, StoreState};

/// Time between two looks of a watch.
const LOOK: Duration = Duration::from_millis(5);

/// The store, shared by its calls.
pub type SharedStore = Rc<RefCell<StoreState>>;

/// Answers one call; `None` closes the connection without an answer.
pub async fn answer(store: SharedStore, request: HttpRequest) -> HttpResponse {
    store.borrow_mut().calls += 1;
    let fault = store.borrow().fault;
    match fault {
        StoreFault::Busy => return empty(StatusCode::SERVICE_UNAVAILABLE),
        StoreFault::Throttled => return empty(StatusCode::TOO_MANY_REQUESTS),
        StoreFault::Closed => return never().await,
        StoreFault::None | StoreFault::AnswersLost | StoreFault::ChangesUnanswered => {}
    }
    let answered = carry_out(&store, &request).await;
    let is_write = request.method != Method::GET;
    if fault == StoreFault::AnswersLost && is_write {
        return never().await;
    }
    answered
}

/// No answer within any caller's patience.
async fn never() -> HttpResponse {
    sleep(Duration::from_secs(30)).await;
    empty(StatusCode::SERVICE_UNAVAILABLE)
}

async fn carry_out(store: &SharedStore, request: &HttpRequest) -> HttpResponse {
    let query = query(&request.query);
    let prefix = query.get("path_prefix").cloned().unwrap_or_default();
    let path = request.path.as_str();
    match (request.method.as_str(), path) {
        ("GET", "/kv-key") => {
            let key = query.get("tls_key").cloned().unwrap_or_default();
            let mut state = store.borrow_mut();
            let at = state.revision();
            match state.get(&key) {
                Some(entry) => ok(&with_at(item(&key, &entry), at)),
                None => HttpResponse::json(StatusCode::NOT_FOUND, json!({ "at": at }).to_string()),
            }
        }
        ("GET", "/kv-range") => {
            let mut state = store.borrow_mut();
            let items: Vec<Value> = state
                .range(&prefix)
                .iter()
                .map(|(key, entry)| item(key, entry))
                .collect();
            ok(&json!({ "items": items, "more": false, "at": state.revision() }))
        }
        ("GET", "/kv-watch") => watch(store, &prefix, &query).await,
        ("POST", "/kv-txn") => transaction(&mut store.borrow_mut(), &request.body),
        ("POST", "/kv-lease") => {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let lifetime = body["ttl_ms"].as_u64().unwrap_or(10_000);
            let lease = store.borrow_mut().grant(Duration::from_millis(lifetime));
            ok(&json!({ "lease": lease, "ttl_ms": lifetime }))
        }
        ("POST", _) if path.starts_with("/kv-keep/") => {
            match store.borrow_mut().renew(number(path)) {
                Some(lifetime) => ok(&json!({ "ttl_ms": lifetime.as_millis() })),
                None => empty(StatusCode::NOT_FOUND),
            }
        }
        ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
            store.borrow_mut().end_lease(number(path));
            ok(&json!({}))
        }
        _ => empty(StatusCode::BAD_REQUEST),
    }
}

async fn watch(
    store: &SharedStore,
    prefix: &str,
    query: &BTreeMap<String, String>,
) -> HttpResponse {
    let whole = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = whole("after").unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(whole("wait_ms").unwrap_or(0));
    loop {
        let (changes, revision) = {
            let mut state = store.borrow_mut();
            (state.changes(prefix, after), state.revision())
        };
        let Some(changes) = changes else {
            return empty(StatusCode::GONE);
        };
        let is_unanswered = store.borrow().fault == StoreFault::ChangesUnanswered;
        if !changes.is_empty() && is_unanswered {
            return never().await;
        }
        if !changes.is_empty() || Instant::now() >= until {
            let events: Vec<Value> = changes.iter().map(event).collect();
            return ok(&json!({ "events": events, "at": revision }));
        }
        sleep(LOOK).await;
    }
}

fn transaction(state: &mut StoreState, body: &[u8]) -> HttpResponse {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let expected = body["expected_rev"].as_array().into_iter().flatten();
    let mut is_expected = true;
    let mut items = Vec::new();
    for row in expected {
        let key = row["tls_key"].as_str().unwrap_or_default();
        let entry = state.get(key);
        let revision = entry.as_ref().map_or(0, |entry| entry.revision);
        is_expected &= row["revision"].as_u64() == Some(revision);
        items.extend(entry.map(|entry| item(key, &entry)));
    }
    if !is_expected {
        let found = json!({ "items": items, "at": state.revision() });
        return HttpResponse::json(StatusCode::PRECONDITION_FAILED, found.to_string());
    }
    for put in body["put"].as_array().into_iter().flatten() {
        let key = put["tls_key"].as_str().unwrap_or_default();
        let value = put["value"].as_str().unwrap_or_default();
        if key.starts_with("op/") || key.starts_with("servers/") {
            return empty(StatusCode::FORBIDDEN);
        }
        if !state.put(key, value, put["lease"].as_u64().unwrap_or(0)) {
            return empty(StatusCode::NOT_FOUND);
        }
    }
    for key in body["remove"].as_array().into_iter().flatten() {
        state.remove(key.as_str().unwrap_or_default());
    }
    ok(&json!({ "revision": state.revision() }))
}

fn item(key: &str, entry: &Entry) -> Value {
    json!({
        "tls_key": key, "value": entry.value, "revision": entry.revision,
        "made": entry.made, "lease": entry.lease,
    })
}

fn with_at(mut item: Value, at: u64) -> Value {
    item["at"] = at.into();
    item
}

fn event(change: &Change) -> Value {
    match &change.entry {
        Some(entry) => item(&change.key, entry),
        None => json!({ "tls_key": change.key, "revision": change.revision, "gone": true }),
    }
}

fn query(text: &str) -> BTreeMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn number(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn ok(value: &Value) -> HttpResponse {
    HttpResponse::json(StatusCode::OK, value.to_string())
}

fn empty(status: StatusCode) -> HttpResponse {
    HttpResponse::json(status, "{}")
}
