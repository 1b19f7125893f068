//! The store keeps its HTTP shape and shows each fault it is told to show.

mod support;

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use support::{Answer, HttpClient, PATIENCE};
use tokio::net::TcpStream;
use tokio::time::timeout;
use woodladder_core::clock::Instant;
use woodladder_lab::stand_in::store::{
    DownMode, PutCondition, Store, StoreConfig, StoreFault, StoreOperation, StoreOutcome,
    StoreState, WatchFault,
};

const KEY: &str = "/v1/kv/woodladder/current";

/// Long enough to see that an answer does not come.
const SILENCE: Duration = Duration::from_millis(200);

async fn store() -> Store {
    Store::start(StoreConfig::default()).await.expect("store")
}

async fn put(client: &HttpClient, address: SocketAddr, query: &str, value: &str) -> Answer {
    client
        .put(address, &format!("{KEY}{query}"), value.to_owned())
        .await
        .expect("answer")
}

async fn get(client: &HttpClient, address: SocketAddr, query: &str) -> Answer {
    client
        .get(address, &format!("{KEY}{query}"))
        .await
        .expect("answer")
}

fn index(answer: &Answer) -> u64 {
    answer
        .header("x-consul-index")
        .expect("index")
        .parse()
        .expect("number")
}

#[tokio::test]
async fn compare_and_swap_lets_one_of_two_writers_win() {
    let store = store().await;
    let client = HttpClient::default();
    assert_eq!(get(&client, store.address(), "").await.status, 404);
    assert!(
        put(&client, store.address(), "?cas=0", "one")
            .await
            .json::<bool>()
    );
    assert!(
        !put(&client, store.address(), "?cas=0", "two")
            .await
            .json::<bool>()
    );

    let read = get(&client, store.address(), "").await;
    let entries: Vec<Value> = read.json();
    assert_eq!(entries[0]["Value"], "b25l");
    assert_eq!(entries[0]["Key"], "woodladder/current");
    assert_eq!(entries[0]["ModifyIndex"], index(&read));

    let swap = format!("?cas={}", index(&read));
    assert!(
        put(&client, store.address(), &swap, "three")
            .await
            .json::<bool>()
    );
    assert!(
        !put(&client, store.address(), &swap, "four")
            .await
            .json::<bool>()
    );
    let deleted = client
        .send(Method::DELETE, store.address(), KEY, "")
        .await
        .expect("answer");
    assert!(deleted.json::<bool>());
    assert_eq!(get(&client, store.address(), "").await.status, 404);
}

#[tokio::test]
async fn a_blocking_read_returns_at_the_change_or_when_its_wait_is_over() {
    let store = store().await;
    let client = HttpClient::default();
    put(&client, store.address(), "", "one").await;
    let seen = index(&get(&client, store.address(), "").await);

    let over = get(
        &client,
        store.address(),
        &format!("?index={seen}&wait=30ms"),
    )
    .await;
    assert_eq!(index(&over), seen);

    let query = format!("?index={seen}&wait=1m");
    let (read, ()) = tokio::join!(get(&client, store.address(), &query), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        put(&HttpClient::default(), store.address(), "", "two").await;
    });
    assert!(index(&read) > seen);
    assert_eq!(read.json::<Vec<Value>>()[0]["Value"], "dHdv");
}

#[tokio::test]
async fn a_lapsed_session_frees_its_key_for_another() {
    let store = store().await;
    let client = HttpClient::default();
    let first = create_session(&client, store.address(), "50ms").await;
    let second = create_session(&client, store.address(), "1m").await;
    let acquire = |session: &str| format!("?acquire={session}");
    assert!(
        put(&client, store.address(), &acquire(&first), "a")
            .await
            .json::<bool>()
    );
    let seen = index(&get(&client, store.address(), "").await);
    assert!(
        !put(&client, store.address(), &acquire(&second), "b")
            .await
            .json::<bool>()
    );

    get(&client, store.address(), &format!("?index={seen}&wait=20s")).await;
    let renewed = client
        .put(store.address(), &format!("/v1/session/renew/{first}"), "")
        .await
        .expect("answer");
    assert_eq!(renewed.status, 404);
    assert!(
        put(&client, store.address(), &acquire(&second), "b")
            .await
            .json::<bool>()
    );
    let lapsed = put(&client, store.address(), &acquire(&first), "c").await;
    assert_eq!(lapsed.status, 500);
    let release = format!("?release={second}");
    assert!(
        put(&client, store.address(), &release, "b")
            .await
            .json::<bool>()
    );
}

async fn create_session(client: &HttpClient, address: SocketAddr, time: &str) -> String {
    let answer = client
        .put(
            address,
            "/v1/session/create",
            format!(r#"{{"TTL":"{time}"}}"#),
        )
        .await
        .expect("answer");
    let body: Value = answer.json();
    body["ID"].as_str().expect("ID").to_owned()
}

#[tokio::test]
async fn refuses_large_values_and_malformed_parameters() {
    let store = store().await;
    let client = HttpClient::default();
    let limit = 512 * 1024;
    assert_eq!(
        put(&client, store.address(), "", &"x".repeat(limit))
            .await
            .status,
        200
    );
    assert_eq!(
        put(&client, store.address(), "", &"x".repeat(limit + 1))
            .await
            .status,
        413
    );
    assert_eq!(
        put(&client, store.address(), "?cas=x", "").await.status,
        400
    );
    assert_eq!(get(&client, store.address(), "?index=x").await.status, 400);
    assert_eq!(
        get(&client, store.address(), "?index=1&wait=x")
            .await
            .status,
        400
    );
}

#[tokio::test]
async fn limits_the_rate_of_requests() {
    let store = Store::start(StoreConfig {
        requests_per_second: NonZeroU32::new(1),
        ..StoreConfig::default()
    })
    .await
    .expect("store");
    let client = HttpClient::default();
    assert_eq!(get(&client, store.address(), "").await.status, 404);
    let refused = get(&client, store.address(), "").await;
    assert_eq!(refused.status, 429);
    assert_eq!(refused.header("retry-after"), Some("1"));
}

#[tokio::test]
async fn a_lost_answer_belongs_to_a_write_that_took_effect() {
    let store = store().await;
    let client = HttpClient::default();
    set_fault(&client, &store, r#"{"lose_next_write_answers":1}"#).await;
    let lost = client
        .put(store.address(), &format!("{KEY}?cas=0"), "one")
        .await;
    assert!(lost.is_err());
    assert_eq!(get(&client, store.address(), "").await.status, 200);
    assert!(
        !put(&client, store.address(), "?cas=0", "one")
            .await
            .json::<bool>()
    );
}

async fn set_fault(client: &HttpClient, store: &Store, fault: &str) {
    let answer = client
        .put(store.admin_address(), "/fault", fault.to_owned())
        .await
        .expect("answer");
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn is_down_in_three_ways_and_comes_back() {
    let store = store().await;
    let client = HttpClient::default();
    put(&client, store.address(), "", "one").await;

    store.set_fault(down(DownMode::Unavailable));
    assert_eq!(get(&client, store.address(), "").await.status, 503);
    store.set_fault(down(DownMode::Refuse));
    assert!(client.get(store.address(), KEY).await.is_err());
    let refused = async {
        while TcpStream::connect(store.address()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE, refused)
        .await
        .expect("connections accepted");
    store.set_fault(down(DownMode::Hang));
    let listens = async { while TcpStream::connect(store.address()).await.is_err() {} };
    timeout(PATIENCE, listens).await.expect("does not listen");
    assert!(
        timeout(SILENCE, client.get(store.address(), KEY))
            .await
            .is_err()
    );
    store.set_fault(StoreFault::default());
    let answered = async {
        loop {
            if let Ok(answer) = HttpClient::default().get(store.address(), KEY).await {
                return answer.status;
            }
        }
    };
    let status = timeout(PATIENCE, answered).await.expect("not back");
    assert_eq!(status, 200);
}

fn down(down_mode: DownMode) -> StoreFault {
    StoreFault {
        down: true,
        down_mode,
        ..StoreFault::default()
    }
}

#[tokio::test]
async fn refuses_a_port_that_another_store_listens_on() {
    let store = store().await;
    let config = StoreConfig {
        address: store.address(),
        ..StoreConfig::default()
    };
    assert!(Store::start(config).await.is_err());
}

#[tokio::test]
async fn watches_come_never_or_twice_when_told_to() {
    let store = store().await;
    let client = HttpClient::default();
    put(&client, store.address(), "", "one").await;
    let seen = index(&get(&client, store.address(), "").await);

    store.set_fault(watch_fault(WatchFault::Twice));
    let query = format!("?index={seen}&wait=1m");
    let repeated = get(&client, store.address(), &query).await;
    assert_eq!(index(&repeated), seen);

    store.set_fault(watch_fault(WatchFault::Never));
    put(&client, store.address(), "", "two").await;
    let silent = get(&client, store.address(), &query);
    assert!(timeout(SILENCE, silent).await.is_err());

    store.set_fault(StoreFault {
        watch_delay_ms: 10,
        ..watch_fault(WatchFault::Late)
    });
    assert!(index(&get(&client, store.address(), &query).await) > seen);
}

fn watch_fault(watch: WatchFault) -> StoreFault {
    StoreFault {
        watch,
        ..StoreFault::default()
    }
}

#[test]
fn the_state_alone_runs_on_any_clock() {
    let mut state = StoreState::new(16);
    let at = |seconds| Instant::from_origin(Duration::from_secs(seconds));
    let create = StoreOperation::CreateSession {
        time_to_live: Some(Duration::from_secs(10)),
    };
    let StoreOutcome::SessionCreated { session } = state.apply(create, at(0)) else {
        panic!("no session");
    };
    let acquire = StoreOperation::Put {
        key: "leader".to_owned(),
        value: b"a".to_vec(),
        condition: PutCondition::Acquire(session.clone()),
    };
    assert!(matches!(
        state.apply(acquire.clone(), at(5)),
        StoreOutcome::Written { .. }
    ));
    let renew = StoreOperation::RenewSession { session };
    assert!(matches!(
        state.apply(renew, at(9)),
        StoreOutcome::SessionRenewed { .. }
    ));
    assert_eq!(state.next_lapse(), Some(at(19)));
    assert_eq!(state.apply(acquire, at(19)), StoreOutcome::UnknownSession);
    let get = StoreOperation::Get {
        key: "leader".to_owned(),
    };
    let StoreOutcome::Read { entry, .. } = state.apply(get, at(19)) else {
        panic!("not read");
    };
    assert_eq!(entry.expect("entry").session, None);
}
