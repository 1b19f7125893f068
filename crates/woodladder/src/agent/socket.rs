//! The transport's UDP socket: receives envelopes, sends datagrams with a PROXY
//! header.
//!
//! The transport is given only the addresses of callers. In fact each received
//! datagram comes from a balancer or another agent, and each sent datagram goes
//! to the fabric.

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

use super::counters::{Counters, DatagramDropReason};
use super::egress::{self, Egress};
use super::ingress::{Ingress, IngressAction};

/// Longest datagram that the transport accepts, in bytes. The value exceeds the
/// sum of a QUIC packet of 1350 bytes, the longest that the agent itself sends,
/// and an envelope of at most [`MAXIMUM_OVERHEAD_LENGTH`] bytes.
///
/// [`MAXIMUM_OVERHEAD_LENGTH`]: woodladder_core::packets::envelope::MAXIMUM_OVERHEAD_LENGTH
pub(super) const MAXIMUM_DATAGRAM_LENGTH: u16 = 2048;

/// The agent's UDP socket in the form that the transport uses.
pub(super) struct AgentSocket {
    io: UdpSocket,
    envelope_key: TagKey,
    ingress: Arc<Ingress>,
    egress: Egress,
    counters: Arc<Counters>,
    forward_buffer: Mutex<Vec<u8>>,
}

impl AgentSocket {
    pub(super) fn new(
        io: UdpSocket,
        envelope_key: TagKey,
        ingress: Arc<Ingress>,
        egress: Egress,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            io,
            envelope_key,
            ingress,
            egress,
            counters,
            forward_buffer: Mutex::new(Vec::with_capacity(usize::from(MAXIMUM_DATAGRAM_LENGTH))),
        }
    }

    /// Decides on the datagram in `buffer`. If the transport is to receive it,
    /// moves the payload to the start of the buffer and returns the metadata for
    /// the transport.
    fn process_datagram(&self, buffer: &mut [u8], length: usize) -> Option<RecvMeta> {
        let received = &buffer[..length];
        let Ok((envelope, datagram)) = Envelope::decode(&self.envelope_key, received) else {
            self.counters.count_drop(DatagramDropReason::BadEnvelope);
            return None;
        };
        let start = length - datagram.len();
        let delivery = match self.ingress.decide(envelope, datagram) {
            IngressAction::Deliver(delivery) => delivery,
            IngressAction::Forward(forward) => {
                self.forward(&forward, datagram);
                return None;
            }
            IngressAction::Drop(reason) => {
                self.counters.count_drop(reason);
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
        let Ok(mut forward_buffer) = self.forward_buffer.lock() else {
            return;
        };
        forward
            .envelope
            .encode_into(&self.envelope_key, datagram, &mut forward_buffer);
        if self.io.try_send_to(&forward_buffer, forward.to).is_err() {
            self.counters.count_drop(DatagramDropReason::SendFailed);
        }
    }

    fn send_to_caller(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let caller = transmit.destination;
        let service_address = transmit
            .src_ip
            .and_then(|address| self.ingress.addresses().service_address(address));
        let (Some(service_address), Some(egress)) =
            (service_address, self.egress.address_for(caller))
        else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let datagram = egress::add_proxy_header(service_address, caller, transmit.contents)?;
        self.io.try_send_to(&datagram, egress).map(|_| ())
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: self,
            writable: None,
        })
    }

    /// Sends one datagram. Only `WouldBlock` is reported, because the transport
    /// closes a connection on any other error. A datagram that is lost here is
    /// retransmitted.
    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        match self.send_to_caller(transmit) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            Err(_) => {
                self.counters.count_drop(DatagramDropReason::SendFailed);
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
                // The system reports here that a datagram sent earlier could not
                // be delivered.
                Poll::Ready(Err(_)) => continue,
                Poll::Ready(Ok(_)) => {}
            }
            let length = buffer.filled().len();
            if let Some(received) = self.process_datagram(&mut buffers[filled], length) {
                meta[filled] = received;
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

/// Waits until the socket is writable again. The transport creates one poller
/// for each connection.
struct WritePoller {
    socket: Arc<AgentSocket>,
    writable: Option<Writable>,
}

impl UdpPoller for WritePoller {
    fn poll_writable(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = Arc::clone(&self.socket);
        let writable = self
            .writable
            .get_or_insert_with(|| Box::pin(async move { socket.io.writable().await }));
        let result = writable.as_mut().poll(context);
        if result.is_ready() {
            self.writable = None;
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
