//! Data sockets of the workers.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

/// Binds one socket for each worker to the same address; the system spreads
/// datagrams over them. With port zero the first socket's port is used by all.
pub(super) fn bind(
    address: SocketAddr,
    workers: usize,
    buffer: usize,
) -> io::Result<Vec<UdpSocket>> {
    let first = bind_one(address, buffer)?;
    let address = first.local_addr()?;
    let mut sockets = vec![first];
    for _ in 1..workers {
        sockets.push(bind_one(address, buffer)?);
    }
    Ok(sockets)
}

fn bind_one(address: SocketAddr, buffer: usize) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_reuse_port(true)?;
    socket.set_recv_buffer_size(buffer)?;
    socket.set_send_buffer_size(buffer)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
