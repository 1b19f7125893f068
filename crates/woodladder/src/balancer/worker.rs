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
use super::receive::Receiver;
use crate::process::StopSignal;

/// Longest datagram that is forwarded, envelope included.
const SEND_CAPACITY: usize = 65_535 + MAXIMUM_OVERHEAD_LENGTH;

/// What a worker works with.
pub(super) struct Worker {
    pub(super) router: Arc<ArcSwapOption<Router>>,
    pub(super) envelope_key: TagKey,
    pub(super) counters: Arc<WorkerCounters>,
    pub(super) logger: Logger,
}

impl Worker {
    /// Forwards until a stop is asked for.
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
        let mut receiver = Receiver::new(&socket)?;
        let mut buffer = Vec::with_capacity(SEND_CAPACITY);
        loop {
            tokio::select! {
                readable = socket.readable() => readable?,
                () = stop.wait_until_requested() => return Ok(()),
            }
            match receiver.receive(&socket) {
                Ok(filled) => self.forward_batch(&socket, &receiver, filled, &mut buffer),
                Err(error) if is_passing(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn forward_batch(
        &self,
        socket: &UdpSocket,
        receiver: &Receiver,
        filled: usize,
        buffer: &mut Vec<u8>,
    ) {
        let router = self.router.load();
        for datagram in receiver.datagrams(filled) {
            self.counters.received();
            match self.forward(socket, router.as_deref(), datagram, buffer) {
                Ok(()) => self.counters.forwarded(),
                Err(reason) => self.counters.dropped(reason),
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
        let inbound = proxy_header::parse(datagram)?;
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

/// Whether receiving may go on after this error.
fn is_passing(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
    )
}
