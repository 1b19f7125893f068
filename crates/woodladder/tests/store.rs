//! The client of the key-value service against canned HTTP answers: what each
//! one says about a write.

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

/// Answers one request with these bytes and closes; gives the request back.
async fn serve_once(answer: &str) -> std::io::Result<(SocketAddr, oneshot::Receiver<String>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (asked, request) = oneshot::channel();
    let answer = answer.to_owned();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut buffer = vec![0; 4096];
        let length = stream.read(&mut buffer).await?;
        let _ = asked.send(String::from_utf8_lossy(&buffer[..length]).into_owned());
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    });
    Ok((address, request))
}

fn client(addresses: Vec<SocketAddr>) -> ConsulStore {
    ConsulStore::new(addresses, woodladder::log::discarding_logger())
        .expect("a client without I/O")
        .with_answer_timeout(Duration::from_secs(2))
}

/// A whole answer with this body.
fn ok(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn swap() -> StoreOperation {
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

async fn answer_to(operation: &StoreOperation, answer: &str) -> std::io::Result<StoreAnswer> {
    let (address, _request) = serve_once(answer).await?;
    Ok(client(vec![address]).perform(operation).await)
}

#[tokio::test]
async fn a_write_is_told_apart_as_written_refused_or_unknown() -> std::io::Result<()> {
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
    for (answer, expected) in cases {
        assert_eq!(answer_to(&swap(), answer).await?, expected, "{answer}");
    }
    Ok(())
}

#[tokio::test]
async fn a_write_names_the_index_that_it_expects() -> std::io::Result<()> {
    let (address, request) = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue").await?;
    client(vec![address]).perform(&swap()).await;
    let request = request.await.unwrap_or_default();
    assert!(
        request.starts_with("PUT /v1/kv/woodladder/current?cas=7 "),
        "{request}"
    );
    Ok(())
}

#[tokio::test]
async fn an_address_that_refuses_the_connection_is_passed_over() -> std::io::Result<()> {
    let closed = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    assert_eq!(
        client(vec![closed]).perform(&swap()).await,
        StoreAnswer::Unreachable
    );
    let (open, _request) = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue").await?;
    let answer = client(vec![closed, open]).perform(&swap()).await;
    assert_eq!(answer, StoreAnswer::Written);
    Ok(())
}

#[tokio::test]
async fn a_read_gives_the_value_and_its_index() -> std::io::Result<()> {
    let found = ok(r#"[{"Key":"a","Flags":0,"ModifyIndex":12,"Value":"cm9sbA=="}]"#);
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
async fn the_machine_list_is_read_as_far_as_it_can_be_understood()
-> Result<(), Box<dyn std::error::Error>> {
    let body = ok(
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
