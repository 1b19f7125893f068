//! One worker: a thread that forwards the datagrams of its own socket.

use std::io;
use std::net::UdpSocket as StandardSocket;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use slog::{Logger, error};
use tokio::net::UdpSocket;
use woodladder_core::packets::envelope::MAXIMUM_OVERHEAD_LENGTH;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::router::Router;

use super::counters::{PacketDropReason, WorkerCounters};
use super::proxy_header;
use super::receive::BatchReceiver;
use crate::process::StopSignal;

/// Longest datagram that is sent to an agent, in bytes, envelope included.
const MAXIMUM_SENT_DATAGRAM_LENGTH: usize = 65_535 + MAXIMUM_OVERHEAD_LENGTH;

/// A worker before its thread runs.
pub(super) struct Worker {
    pub(super) router: Arc<ArcSwapOption<Router>>,
    pub(super) envelope_key: TagKey,
    pub(super) counters: Arc<WorkerCounters>,
    pub(super) logger: Logger,
}

impl Worker {
    /// Forwards datagrams until a stop is requested.
    pub(super) fn run(self, socket: StandardSocket, stop: StopSignal) {
        let logger = self.logger.clone();
        let result = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .and_then(|runtime| runtime.block_on(self.forward_all(socket, stop)));
        if let Err(problem) = result {
            error!(logger, "balancer: a worker has failed"; "error" => %problem);
        }
    }

    async fn forward_all(self, socket: StandardSocket, mut stop: StopSignal) -> io::Result<()> {
        let socket = UdpSocket::from_std(socket)?;
        let mut receiver = BatchReceiver::new(&socket)?;
        let mut buffer = Vec::with_capacity(MAXIMUM_SENT_DATAGRAM_LENGTH);
        loop {
            tokio::select! {
                readable = socket.readable() => readable?,
                () = stop.wait_until_requested() => return Ok(()),
            }
            match receiver.receive_batch(&socket) {
                Ok(filled) => self.forward_batch(&socket, &receiver, filled, &mut buffer),
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn forward_batch(
        &self,
        socket: &UdpSocket,
        receiver: &BatchReceiver,
        filled: usize,
        buffer: &mut Vec<u8>,
    ) {
        let router = self.router.load();
        for datagram in receiver.datagrams(filled) {
            self.counters.count_received();
            match self.forward(socket, router.as_deref(), datagram, buffer) {
                Ok(()) => self.counters.count_forwarded(),
                Err(reason) => self.counters.count_dropped(reason),
            }
        }
    }

    fn forward(
        &self,
        socket: &UdpSocket,
        router: Option<&Router>,
        datagram: &[u8],
        buffer: &mut Vec<u8>,
    ) -> Result<(), PacketDropReason> {
        let inbound = proxy_header::parse_proxy_header(datagram)?;
        let router = router.ok_or(PacketDropReason::NoBundle)?;
        let forward = router.route(&inbound)?;
        forward
            .envelope
            .encode_into(&self.envelope_key, inbound.datagram, buffer);
        match socket.try_send_to(buffer, forward.to) {
            Ok(_) => Ok(()),
            Err(_) => Err(PacketDropReason::SendFailed),
        }
    }
}

/// Whether receiving can continue after this error.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
    )
}
