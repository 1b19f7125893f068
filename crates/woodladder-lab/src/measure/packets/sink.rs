//! Sockets in the place of agents; what they receive is thrown away.

use std::io::{self, IoSliceMut};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket as StandardSocket};

use quinn_udp::{BATCH_SIZE, RecvMeta, UdpSockRef, UdpSocketState};
use socket2::Socket;
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Bytes asked for as buffers of every socket, as a balancer asks.
pub(super) const SOCKET_BUFFER: usize = 4 * 1024 * 1024;
/// Longest payload that the system hands over in one buffer.
const BUFFER_LENGTH: usize = 65_535;

/// The sinks; they are drained by one thread until the program ends.
pub(super) struct Sinks {
    addresses: Vec<SocketAddr>,
}

/// Receives batches into buffers of its own.
pub(super) struct BatchReceiver {
    state: UdpSocketState,
    buffers: Vec<Vec<u8>>,
    meta: [RecvMeta; BATCH_SIZE],
}

impl Sinks {
    pub(super) fn start(count: usize) -> io::Result<Self> {
        let sockets: Vec<StandardSocket> = (0..count).map(|_| bind()).collect::<Result<_, _>>()?;
        let addresses = sockets.iter().map(StandardSocket::local_addr);
        let addresses = addresses.collect::<Result<_, _>>()?;
        std::thread::Builder::new()
            .name("sink".to_owned())
            .spawn(move || drain_all(sockets))?;
        Ok(Self { addresses })
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

/// A socket on loopback that does not block.
pub(super) fn bind() -> io::Result<StandardSocket> {
    let socket = StandardSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let socket = Socket::from(socket);
    socket.set_recv_buffer_size(SOCKET_BUFFER)?;
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

fn drain_all(sockets: Vec<StandardSocket>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    runtime.block_on(async {
        let drains = sockets.into_iter().map(drain);
        futures::future::try_join_all(drains).await.map(|_| ())
    })
}

async fn drain(socket: StandardSocket) -> io::Result<()> {
    let socket = UdpSocket::from_std(socket)?;
    let mut receiver = BatchReceiver::new(&socket)?;
    loop {
        socket.readable().await?;
        // An error of one batch does not end the draining.
        let _ = receiver.receive(&socket);
        tokio::task::yield_now().await;
    }
}

impl BatchReceiver {
    pub(super) fn new(socket: &UdpSocket) -> io::Result<Self> {
        Ok(Self {
            state: UdpSocketState::new(UdpSockRef::from(socket))?,
            buffers: vec![vec![0; BUFFER_LENGTH]; BATCH_SIZE],
            meta: [RecvMeta::default(); BATCH_SIZE],
        })
    }

    /// Receives a batch without waiting; gives the number of filled buffers.
    pub(super) fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        let mut buffers = self.buffers.iter_mut();
        let mut slices: [IoSliceMut<'_>; BATCH_SIZE] = std::array::from_fn(|_| {
            IoSliceMut::new(buffers.next().map_or(&mut [], Vec::as_mut_slice))
        });
        let state = &self.state;
        let meta = &mut self.meta;
        socket.try_io(Interest::READABLE, || {
            state.recv(UdpSockRef::from(socket), &mut slices, meta)
        })
    }

    /// The datagrams of the first `filled` buffers.
    pub(super) fn datagrams(&self, filled: usize) -> impl Iterator<Item = &[u8]> {
        let buffers = self.buffers.iter().zip(&self.meta).take(filled);
        buffers.flat_map(|(buffer, meta)| buffer[..meta.len].chunks(meta.stride.max(1)))
    }
}
