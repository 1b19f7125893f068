//! Receives datagrams in batches, into buffers that are allocated once.

use std::io::{self, IoSliceMut};

use quinn_udp::{BATCH_SIZE, RecvMeta, UdpSockRef, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Longest payload that the system returns in one buffer, in bytes. A buffer
/// may hold several datagrams that the system has coalesced.
const MAXIMUM_PAYLOAD_LENGTH: usize = 65_535;
/// Distance between the starts of two buffers, in bytes. A distance of 64 KiB
/// (the longest payload, plus 1) would be a power of two, and the starts of all
/// buffers would map to the same cache sets. The additional 1344 bytes are 21
/// cache lines of 64 bytes, an odd number, so that the starts map to different
/// sets.
const BUFFER_STRIDE_BYTES: usize = MAXIMUM_PAYLOAD_LENGTH + 1 + 1344;

/// A receive state with buffers for one batch.
pub(super) struct BatchReceiver {
    state: UdpSocketState,
    memory: Box<[u8]>,
    meta: [RecvMeta; BATCH_SIZE],
}

impl BatchReceiver {
    pub(super) fn new(socket: &UdpSocket) -> io::Result<Self> {
        Ok(Self {
            state: UdpSocketState::new(UdpSockRef::from(socket))?,
            memory: vec![0; BUFFER_STRIDE_BYTES * BATCH_SIZE].into_boxed_slice(),
            meta: [RecvMeta::default(); BATCH_SIZE],
        })
    }

    /// Receives a batch without waiting and returns the number of filled
    /// buffers.
    pub(super) fn receive_batch(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        let mut chunks = self.memory.chunks_exact_mut(BUFFER_STRIDE_BYTES);
        let mut buffers: [IoSliceMut<'_>; BATCH_SIZE] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        let state = &self.state;
        let meta = &mut self.meta;
        socket.try_io(Interest::READABLE, || {
            state.recv(UdpSockRef::from(socket), &mut buffers, meta)
        })
    }

    /// The datagrams in the first `filled` buffers, with coalesced ones split.
    pub(super) fn datagrams(&self, filled: usize) -> impl Iterator<Item = &[u8]> {
        let chunks = self.memory.chunks_exact(BUFFER_STRIDE_BYTES);
        let buffers = chunks.zip(&self.meta).take(filled);
        buffers.flat_map(|(chunk, meta)| {
            let payload = chunk.get(..meta.len).unwrap_or_default();
            payload.chunks(meta.stride.max(1))
        })
    }
}
