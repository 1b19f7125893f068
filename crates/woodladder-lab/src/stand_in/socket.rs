//! UDP sockets with buffers large enough for a burst of new flows.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

use super::error::StandInError;

/// Buffer asked for in each direction, in bytes. The kernel may grant less.
const BUFFER_BYTES: usize = 8 * 1024 * 1024;

/// Largest UDP datagram, in bytes.
pub const MAXIMUM_DATAGRAM: usize = 65_535;

/// Binds a UDP socket with large buffers.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind_udp(address: SocketAddr) -> Result<UdpSocket, StandInError> {
    let socket = bind_std_udp(address)?;
    UdpSocket::from_std(socket).map_err(|source| StandInError::Bind { address, source })
}

/// Binds a UDP socket with large buffers, for a library that registers it with the runtime.
///
/// # Errors
/// When the address cannot be bound.
pub fn bind_std_udp(address: SocketAddr) -> Result<std::net::UdpSocket, StandInError> {
    try_bind(address).map_err(|source| StandInError::Bind { address, source })
}

fn try_bind(address: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_nonblocking(true)?;
    // A smaller buffer than asked for is no reason to stop.
    let _ = socket.set_recv_buffer_size(BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// The address a socket is bound to.
///
/// # Errors
/// When the operating system does not tell.
pub fn bound_address(socket: &UdpSocket, asked: SocketAddr) -> Result<SocketAddr, StandInError> {
    socket.local_addr().map_err(|source| StandInError::Bind {
        address: asked,
        source,
    })
}
