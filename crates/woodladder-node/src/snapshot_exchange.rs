//! Transfer of snapshots between nodes over TCP.
//!
//! A connection carries one request and one answer. Each is a borsh value behind its
//! length, which is a 32-bit big-endian number.

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

/// Time limit for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum length of a request, in bytes.
const MAXIMUM_REQUEST_LENGTH: usize = 64;
/// Maximum length of an answer, in bytes.
const MAXIMUM_ANSWER_LENGTH: usize = 8 << 20;
/// Maximum number of exchanges that a node answers at the same time. When a whole cluster
/// starts, all nodes ask the few that the settings name; a node that is refused asks the
/// next one that it hears from. Without a limit a small machine runs out of file
/// descriptors at about 4,000 nodes: with 300 nodes, 168 exchanges at once were seen.
pub const MAXIMUM_EXCHANGES: usize = 128;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Requests a snapshot from a node.
///
/// # Errors
/// Returns the I/O error of the connection, [`io::ErrorKind::TimedOut`], or
/// [`io::ErrorKind::InvalidData`] when the answer cannot be decoded. The request can be
/// repeated after each of them.
pub async fn fetch(from: SocketAddrV4, request: SnapshotRequest) -> io::Result<Snapshot> {
    timeout(EXCHANGE_TIMEOUT, exchange(from, request))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn exchange(from: SocketAddrV4, request: SnapshotRequest) -> io::Result<Snapshot> {
    let mut stream = TcpStream::connect(SocketAddr::V4(from)).await?;
    write_frame(&mut stream, &request).await?;
    let bytes = read_frame(&mut stream, MAXIMUM_ANSWER_LENGTH).await?;
    borsh::from_slice(&bytes)
}

/// Answers other nodes' requests until the process ends: one exchange for each connection,
/// within a time limit. While [`MAXIMUM_EXCHANGES`] are in progress, further connections
/// are closed at once.
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
                    // The requesting node tries another node after a failure.
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
    let bytes = read_frame(&mut stream, MAXIMUM_REQUEST_LENGTH).await?;
    let request: SnapshotRequest = borsh::from_slice(&bytes)?;
    write_frame(&mut stream, &answer(&request)).await?;
    stream.shutdown().await
}

async fn write_frame(stream: &mut TcpStream, value: &impl borsh::BorshSerialize) -> io::Result<()> {
    let body = borsh::to_vec(value)?;
    let length = u32::try_from(body.len()).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

async fn read_frame(stream: &mut TcpStream, maximum_length: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    let length = usize::try_from(length).map_err(|_| io::ErrorKind::InvalidData)?;
    if length > maximum_length {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
