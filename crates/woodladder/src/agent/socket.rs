//! The transport's socket: envelopes in, PROXY protocol datagrams out.
//!
//! The transport believes that it talks to callers; in truth each datagram
//! comes from a balancer or another agent and leaves through the fabric.

use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::router::Forward;

use super::counters::{Counters, DatagramDrop};
use super::egress::{self, Egress};
use super::gate::{Gate, Passage};

/// Longest datagram that the socket takes: an envelope round a full packet.
pub(super) const MAXIMUM_DATAGRAM: u16 = 2048;

/// The agent's UDP socket as the transport sees it.
pub(super) struct AgentSocket {
    io: UdpSocket,
    envelope_key: TagKey,
    gate: Arc<Gate>,
    egress: Egress,
    counters: Arc<Counters>,
    scratch: Mutex<Vec<u8>>,
}

impl AgentSocket {
    pub(super) fn new(
        io: UdpSocket,
        envelope_key: TagKey,
        gate: Arc<Gate>,
        egress: Egress,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            io,
            envelope_key,
            gate,
            egress,
            counters,
            scratch: Mutex::new(Vec::with_capacity(usize::from(MAXIMUM_DATAGRAM))),
        }
    }

    /// Judges the datagram in `buffer`. When the transport is to see it, moves
    /// it to the buffer's start and returns what the transport is told.
    fn admit(&self, buffer: &mut [u8], length: usize) -> Option<RecvMeta> {
        let received = &buffer[..length];
        let Ok((envelope, datagram)) = Envelope::decode(&self.envelope_key, received) else {
            self.counters.drop_datagram(DatagramDrop::BadEnvelope);
            return None;
        };
        let start = length - datagram.len();
        let delivery = match self.gate.judge(envelope, datagram) {
            Passage::Deliver(delivery) => delivery,
            Passage::Forward(forward) => {
                self.forward(&forward, datagram);
                return None;
            }
            Passage::Drop(reason) => {
                self.counters.drop_datagram(reason);
                return None;
            }
        };
        buffer.copy_within(start..length, 0);
        Some(RecvMeta {
            addr: delivery.caller,
            len: length - start,
            stride: length - start,
            ecn: None,
            dst_ip: Some(delivery.local_address),
        })
    }

    fn forward(&self, forward: &Forward, datagram: &[u8]) {
        let Ok(mut scratch) = self.scratch.lock() else {
            return;
        };
        forward
            .envelope
            .encode_into(&self.envelope_key, datagram, &mut scratch);
        if self.io.try_send_to(&scratch, forward.to).is_err() {
            self.counters.drop_datagram(DatagramDrop::SendFailed);
        }
    }

    fn send_to_caller(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let caller = transmit.destination;
        let service_address = transmit
            .src_ip
            .and_then(|address| self.gate.addresses().service_address(address));
        let (Some(service_address), Some(egress)) =
            (service_address, self.egress.address_for(caller))
        else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let datagram = egress::wrap(service_address, caller, transmit.contents)?;
        self.io.try_send_to(&datagram, egress).map(|_| ())
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: self,
            waiting: None,
        })
    }

    /// Sends one datagram. Only a full socket is reported: the transport ends
    /// a connection at any other error, and a lost datagram is sent again.
    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        match self.send_to_caller(transmit) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            Err(_) => {
                self.counters.drop_datagram(DatagramDrop::SendFailed);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let capacity = buffers.len().min(meta.len());
        let mut filled = 0;
        while filled < capacity {
            let mut buffer = ReadBuf::new(&mut buffers[filled]);
            match self.io.poll_recv_from(context, &mut buffer) {
                Poll::Pending if filled == 0 => return Poll::Pending,
                Poll::Pending => break,
                // An error here speaks of an earlier datagram to some peer.
                Poll::Ready(Err(_)) => continue,
                Poll::Ready(Ok(_)) => {}
            }
            let length = buffer.filled().len();
            if let Some(admitted) = self.admit(&mut buffers[filled], length) {
                meta[filled] = admitted;
                filled += 1;
            }
        }
        Poll::Ready(Ok(filled))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

impl fmt::Debug for AgentSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AgentSocket")
            .field("io", &self.io)
            .finish_non_exhaustive()
    }
}

type Writable = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the socket takes datagrams again; one per connection.
struct WritePoller {
    socket: Arc<AgentSocket>,
    waiting: Option<Writable>,
}

impl UdpPoller for WritePoller {
    fn poll_writable(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = Arc::clone(&self.socket);
        let waiting = self
            .waiting
            .get_or_insert_with(|| Box::pin(async move { socket.io.writable().await }));
        let result = waiting.as_mut().poll(context);
        if result.is_ready() {
            self.waiting = None;
        }
        result
    }
}

impl fmt::Debug for WritePoller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WritePoller")
            .finish_non_exhaustive()
    }
}
