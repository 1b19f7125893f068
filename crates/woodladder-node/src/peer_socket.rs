//! Datagram sockets: one between nodes, others towards callers and targets.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use slog::{Logger, warn};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Pause after a receive that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(25);
/// Largest datagram that is read, in bytes.
const MAXIMUM_DATAGRAM: usize = 4096;
/// Bytes asked for as a socket's receive buffer.
const RECEIVE_BUFFER: usize = 1 << 20;

/// Opens a socket for datagrams.
///
/// # Errors
/// The system's error.
pub fn open(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // A smaller buffer serves too, so a refusal is no failure.
    let _ignored = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    socket.bind(&SocketAddr::V4(address).into())?;
    UdpSocket::from_std(socket.into())
}

/// Sends a datagram; a full buffer or an unreachable receiver loses it, as the
/// network may.
pub fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddrV4) {
    let _lost = socket.try_send_to(datagram, SocketAddr::V4(to));
}

/// Hands each datagram that a socket receives to `handle`, until the process
/// ends. A failure is logged and followed by a pause.
pub async fn receive(
    socket: &UdpSocket,
    name: &str,
    logger: &Logger,
    mut handle: impl FnMut(SocketAddrV4, &mut [u8]),
) {
    let mut buffer = vec![0; MAXIMUM_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, SocketAddr::V4(from))) => handle(from, &mut buffer[..length]),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) => {
                warn!(logger, "node: cannot receive"; "event" => "receive_failed",
                    "socket" => name, "error" => %error);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
