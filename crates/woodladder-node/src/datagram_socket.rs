//! UDP sockets for traffic with other nodes, callers and targets.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use slog::{Logger, warn};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Pause after a failed receive.
const FAILURE_PAUSE: Duration = Duration::from_millis(25);
/// Maximum length of a received datagram, in bytes; the rest of a longer one is cut off.
const MAXIMUM_DATAGRAM: usize = 4096;
/// Requested size of a socket's receive buffer, in bytes.
const RECEIVE_BUFFER: usize = 1 << 20;

/// Opens a UDP socket that is bound to `address`.
///
/// # Errors
/// Returns the I/O error when the socket cannot be opened or bound.
pub fn open(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // The socket also works with a smaller buffer, so an error here is ignored.
    let _ignored = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    socket.bind(&SocketAddr::V4(address).into())?;
    UdpSocket::from_std(socket.into())
}

/// Sends a datagram. It is lost without an error when the send buffer is full or the
/// receiver is unreachable, just as the network may lose it.
pub fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddrV4) {
    let _lost = socket.try_send_to(datagram, SocketAddr::V4(to));
}

/// Passes each datagram that the socket receives to `handle` until the process ends. A
/// failed receive is logged, with `name` for the socket, and followed by a pause.
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
                warn!(logger, "node: cannot receive from a UDP socket"; "event" => "receive_failed",
                    "socket" => name, "error" => %error);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
