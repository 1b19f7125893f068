//! Batched receiving into buffers that are made once.

use std::io::{self, IoSliceMut};

use quinn_udp::{BATCH_SIZE, RecvMeta, UdpSockRef, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Longest payload that the system hands over in one buffer: datagrams that it
/// coalesced included.
const MAXIMUM_PAYLOAD: usize = 65_535;
/// Distance between buffers. Not a power of two, so that the starts of the
/// buffers do not compete for the same cache sets.
const BUFFER_STRIDE: usize = MAXIMUM_PAYLOAD + 1 + 1344;

/// Buffers for one batch.
pub(super) struct Receiver {
    state: UdpSocketState,
    memory: Box<[u8]>,
    meta: [RecvMeta; BATCH_SIZE],
}

impl Receiver {
    pub(super) fn new(socket: &UdpSocket) -> io::Result<Self> {
        Ok(Self {
            state: UdpSocketState::new(UdpSockRef::from(socket))?,
            memory: vec![0; BUFFER_STRIDE * BATCH_SIZE].into_boxed_slice(),
            meta: [RecvMeta::default(); BATCH_SIZE],
        })
    }

    /// Receives a batch without waiting; gives the number of filled buffers.
    pub(super) fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        let mut chunks = self.memory.chunks_exact_mut(BUFFER_STRIDE);
        let mut buffers: [IoSliceMut<'_>; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let state = &self.state;
        let meta = &mut self.meta;
        socket.try_io(Interest::READABLE, || {
            state.recv(UdpSockRef::from(socket), &mut buffers, meta)
        })
    }

    /// The datagrams of the first `filled` buffers.
    pub(super) fn datagrams(&self, filled: usize) -> impl Iterator<Item = &[u8]> {
        let chunks = self.memory.chunks_exact(BUFFER_STRIDE);
        let buffers = chunks.zip(&self.meta).take(filled);
        buffers.flat_map(|(chunk, meta)| {
            let payload = chunk.get(..meta.len).unwrap_or_default();
            payload.chunks(meta.stride.max(1))
        })
    }
}
