//! Snapshot transfer over TCP connections on loopback.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use woodladder_core::flow::message::{Snapshot, SnapshotRequest};
use woodladder_node::snapshot_exchange::{MAXIMUM_EXCHANGES, fetch, serve};

const REQUEST: SnapshotRequest = SnapshotRequest {
    known_version: 0,
    wants_nodes: true,
};

/// Longest time for which a connection that carries nothing may hold up a node.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

async fn bind_listener() -> (TcpListener, SocketAddrV4) {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let listener = TcpListener::bind(any).await.expect("a port");
    match listener.local_addr().expect("its address") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(address) => panic!("{address}"),
    }
}

fn sample_snapshot() -> Snapshot {
    Snapshot {
        knows_all_agents: true,
        ..Snapshot::default()
    }
}

#[tokio::test]
async fn exchanges_beyond_the_limit_are_refused_at_once() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = bind_listener().await;
            spawn_local(serve(listener, |_| sample_snapshot()));
            let mut idle_connections = Vec::new();
            for _ in 0..MAXIMUM_EXCHANGES {
                idle_connections.push(TcpStream::connect(address).await.expect("connected"));
            }
            let error = fetch(address, REQUEST).await.expect_err("too many");
            assert_ne!(error.kind(), std::io::ErrorKind::TimedOut);

            drop(idle_connections);
            let mut answer = fetch(address, REQUEST).await;
            while answer.is_err() {
                answer = fetch(address, REQUEST).await;
            }
            assert_eq!(answer.expect("an answer"), sample_snapshot());
        })
        .await;
}

/// Guards against a node that waits for a snapshot on a connection that carries nothing.
#[tokio::test]
async fn a_silent_connection_costs_a_fetch_no_more_than_its_time_limit() {
    let (listener, address) = bind_listener().await;
    let since = Instant::now();
    let (fetched, accepted) = tokio::join!(fetch(address, REQUEST), listener.accept());
    let error = fetched.expect_err("no answer");
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    assert!(since.elapsed() < SILENCE_LIMIT);
    drop(accepted);
}

/// Guards against silent connections that keep a node from answering others.
#[tokio::test]
async fn silent_connections_keep_others_from_an_answer_for_a_time_limit_only() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = bind_listener().await;
            spawn_local(serve(listener, |_| sample_snapshot()));
            let mut silent_connections = Vec::new();
            for _ in 0..MAXIMUM_EXCHANGES {
                silent_connections.push(TcpStream::connect(address).await.expect("connected"));
            }
            let since = Instant::now();
            let mut answer = fetch(address, REQUEST).await;
            assert!(answer.is_err());
            while answer.is_err() {
                answer = fetch(address, REQUEST).await;
            }
            assert!(since.elapsed() < SILENCE_LIMIT);
            drop(silent_connections);
        })
        .await;
}
