//! Datagram sockets: one between nodes, others towards callers and targets.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Largest datagram that is read, in bytes.
pub const MAXIMUM_DATAGRAM: usize = 4096;
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

/// Receives a datagram.
///
/// # Errors
/// The system's error.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<(usize, SocketAddrV4)> {
    loop {
        if let (length, SocketAddr::V4(from)) = socket.recv_from(buffer).await? {
            return Ok((length, from));
        }
    }
}
