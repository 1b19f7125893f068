//! The clients of the key-value service and the machine list against canned HTTP
//! responses.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use woodladder::store::{ConsulStore, MachineListClient, MachineRole, MachineState, Store};
use woodladder_core::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};

const VALUE: &[u8] = b"roll";

/// Listens for one request, responds with these bytes and closes the connection.
/// Returns the address and a receiver of the request.
async fn serve_once(response: &str) -> std::io::Result<(SocketAddr, oneshot::Receiver<String>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (request_sender, request) = oneshot::channel();
    let response = response.to_owned();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buffer = vec![0; 4096];
        let length = stream.read(&mut buffer).await?;
        let _ = request_sender.send(String::from_utf8_lossy(&buffer[..length]).into_owned());
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    });
    Ok((address, request))
}

fn client(addresses: Vec<SocketAddr>) -> ConsulStore {
    ConsulStore::new(addresses, woodladder::log::discarding_logger())
        .expect("client is built without I/O")
        .with_response_timeout(Duration::from_secs(2))
}

/// A complete response with status 200 and this body.
fn ok_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn write() -> StoreOperation {
    StoreOperation::CompareAndSwap {
        key: StoreKey::Current,
        expected: StoreIndex(7),
        value: VALUE.to_vec(),
    }
}

fn read(wait: Option<StoreIndex>) -> StoreOperation {
    StoreOperation::Read {
        key: StoreKey::Current,
        wait,
    }
}

async fn answer_to(operation: &StoreOperation, response: &str) -> std::io::Result<StoreAnswer> {
    let (address, _request) = serve_once(response).await?;
    Ok(client(vec![address]).perform(operation).await)
}

#[tokio::test]
async fn a_write_counts_as_written_without_effect_or_unknown() -> std::io::Result<()> {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue",
            StoreAnswer::Written,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfalse",
            StoreAnswer::Conflict,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nmaybe",
            StoreAnswer::Unknown,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntr",
            StoreAnswer::Unknown,
        ),
        (
            "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
            StoreAnswer::Unknown,
        ),
        (
            "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n",
            StoreAnswer::Unreachable,
        ),
        ("", StoreAnswer::Unknown),
        (
            "HTTP/1.1 429 Slow\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n",
            StoreAnswer::RateLimited {
                retry_after: Some(Duration::from_secs(3)),
            },
        ),
    ];
    for (response, expected) in cases {
        assert_eq!(answer_to(&write(), response).await?, expected, "{response}");
    }
    Ok(())
}

#[tokio::test]
async fn a_write_sends_the_index_that_it_expects() -> std::io::Result<()> {
    let (address, request) = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue").await?;
    client(vec![address]).perform(&write()).await;
    let request = request.await.unwrap_or_default();
    assert!(
        request.starts_with("PUT /v1/kv/woodladder/current?cas=7 "),
        "{request}"
    );
    Ok(())
}

#[tokio::test]
async fn an_address_that_refuses_the_connection_is_skipped() -> std::io::Result<()> {
    let closed = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    assert_eq!(
        client(vec![closed]).perform(&write()).await,
        StoreAnswer::Unreachable
    );
    let (open, _request) = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue").await?;
    let answer = client(vec![closed, open]).perform(&write()).await;
    assert_eq!(answer, StoreAnswer::Written);
    Ok(())
}

#[tokio::test]
async fn a_read_returns_the_value_and_its_index() -> std::io::Result<()> {
    let found = ok_response(r#"[{"Key":"a","Flags":0,"ModifyIndex":12,"Value":"cm9sbA=="}]"#);
    let value = StoreAnswer::Value {
        index: StoreIndex(12),
        value: VALUE.to_vec(),
    };
    assert_eq!(answer_to(&read(None), &found).await?, value);
    let missing = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(
        answer_to(&read(None), missing).await?,
        StoreAnswer::NotFound
    );
    let garbage = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    assert_eq!(answer_to(&read(None), garbage).await?, StoreAnswer::Unknown);
    let (address, request) = serve_once(missing).await?;
    client(vec![address])
        .perform(&read(Some(StoreIndex(12))))
        .await;
    let request = request.await.unwrap_or_default();
    assert!(request.contains("?index=12&wait="), "{request}");
    Ok(())
}

#[tokio::test]
async fn malformed_entries_of_the_machine_list_are_left_out()
-> Result<(), Box<dyn std::error::Error>> {
    let body = ok_response(
        r#"[{"address":"10.0.0.1:7001","role":"agent","state":"leaving"},
            {"address":"machine.example:7001","role":"agent","state":"live"}]"#,
    );
    let (address, _request) = serve_once(&body).await?;
    let machines = MachineListClient::new(address)?.read().await?;
    assert_eq!(machines.len(), 1);
    assert_eq!(machines[0].role, MachineRole::Agent);
    assert_eq!(machines[0].state, MachineState::Leaving);
    Ok(())
}
