//! Snapshots between nodes: one request and one answer over a stream, each a
//! length of four bytes and a borsh value.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use woodladder_core::flow::message::{Snapshot, SnapshotRequest};

/// Longest time that one exchange takes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest request in bytes.
const MAXIMUM_REQUEST: usize = 64;
/// Largest answer in bytes.
const MAXIMUM_ANSWER: usize = 8 << 20;
/// Most exchanges answered at a time. All nodes ask the few that the settings name
/// when everything starts; one that is turned away asks the next that it hears of.
/// Without a bound the descriptors of a small machine are used up at some 4,000
/// nodes (168 exchanges at once were seen at 300).
pub const MAXIMUM_EXCHANGES: usize = 128;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Asks a node for a snapshot.
///
/// # Errors
/// The system's error, a timeout, or [`io::ErrorKind::InvalidData`]; asking
/// again is safe after each.
pub async fn fetch(from: SocketAddrV4, request: SnapshotRequest) -> io::Result<Snapshot> {
    timeout(EXCHANGE_TIMEOUT, exchange(from, request))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn exchange(from: SocketAddrV4, request: SnapshotRequest) -> io::Result<Snapshot> {
    let mut stream = TcpStream::connect(SocketAddr::V4(from)).await?;
    write_value(&mut stream, &request).await?;
    let bytes = read_bytes(&mut stream, MAXIMUM_ANSWER).await?;
    borsh::from_slice(&bytes)
}

/// Answers other nodes until the process ends. At most one exchange for each
/// connection, each bounded in time, and at most [`MAXIMUM_EXCHANGES`] at a time:
/// further connections are closed at once.
pub async fn serve(listener: TcpListener, answer: impl Fn(&SnapshotRequest) -> Snapshot + 'static) {
    let answer = Rc::new(answer);
    let exchanges = Arc::new(Semaphore::new(MAXIMUM_EXCHANGES));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(exchange) = Arc::clone(&exchanges).try_acquire_owned() else {
                    continue;
                };
                let answer = Rc::clone(&answer);
                tokio::task::spawn_local(async move {
                    let _exchange = exchange;
                    // The asking node tries again elsewhere.
                    let _failed = timeout(EXCHANGE_TIMEOUT, respond(stream, &*answer)).await;
                });
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn respond(
    mut stream: TcpStream,
    answer: &impl Fn(&SnapshotRequest) -> Snapshot,
) -> io::Result<()> {
    let bytes = read_bytes(&mut stream, MAXIMUM_REQUEST).await?;
    let request: SnapshotRequest = borsh::from_slice(&bytes)?;
    write_value(&mut stream, &answer(&request)).await?;
    stream.shutdown().await
}

async fn write_value(stream: &mut TcpStream, value: &impl borsh::BorshSerialize) -> io::Result<()> {
    let body = borsh::to_vec(value)?;
    let length = u32::try_from(body.len()).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

async fn read_bytes(stream: &mut TcpStream, most: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    let length = usize::try_from(length).map_err(|_| io::ErrorKind::InvalidData)?;
    if length > most {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
