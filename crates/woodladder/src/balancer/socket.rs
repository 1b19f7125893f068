//! Binds the data sockets of the workers.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use socket2::{Domain, Protocol, Socket, Type};

/// Binds one socket for each worker to the same address with `SO_REUSEPORT`;
/// the system distributes datagrams over them. With port 0, all sockets use the
/// port that the first one gets.
pub(super) fn bind(
    address: SocketAddr,
    workers: usize,
    buffer_bytes: usize,
) -> io::Result<Vec<UdpSocket>> {
    let first = bind_one(address, buffer_bytes)?;
    let address = first.local_addr()?;
    let mut sockets = vec![first];
    for _ in 1..workers {
        sockets.push(bind_one(address, buffer_bytes)?);
    }
    Ok(sockets)
}

fn bind_one(address: SocketAddr, buffer_bytes: usize) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_reuse_port(true)?;
    socket.set_recv_buffer_size(buffer_bytes)?;
    socket.set_send_buffer_size(buffer_bytes)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}
