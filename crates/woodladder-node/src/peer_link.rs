//! The socket between nodes, and what goes over it by kind of message.

use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::UdpSocket;
use woodladder_core::flow::message::{MESSAGE_KINDS, MessageError, PeerMessage};

use crate::metrics::MetricsText;
use crate::peer_socket;

/// Time between two log lines of a node with its totals: a thousandth of what a
/// line budget allows.
pub const MESSAGES_LOGGED_EVERY: Duration = Duration::from_secs(20);

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageTotals {
    /// Messages.
    pub messages: u64,
    /// Their bytes, without the headers of the network.
    pub bytes: u64,
}

/// Totals by kind, in the order of [`MESSAGE_KINDS`].
pub type TotalsByKind = [MessageTotals; MESSAGE_KINDS.len()];

/// A node's socket for messages of other nodes.
#[derive(Debug)]
pub struct PeerLink {
    socket: UdpSocket,
    sent: Cell<TotalsByKind>,
    received: Cell<TotalsByKind>,
    unreadable: Cell<u64>,
}

impl PeerLink {
    /// Opens the socket.
    ///
    /// # Errors
    /// The system's error.
    pub fn open(address: SocketAddrV4) -> io::Result<Self> {
        Ok(Self {
            socket: peer_socket::open(address)?,
            sent: Cell::default(),
            received: Cell::default(),
            unreadable: Cell::new(0),
        })
    }

    /// Sends a message, followed by a packet or by nothing.
    pub fn send(&self, message: &PeerMessage, packet: &[u8], to: SocketAddrV4) {
        let datagram = self.encode(message, packet);
        self.send_datagram(&datagram, to);
    }

    /// The datagram of a message, followed by a packet or by nothing; it counts as sent.
    pub fn encode(&self, message: &PeerMessage, packet: &[u8]) -> Vec<u8> {
        let datagram = message.encode(packet);
        add(&self.sent, message, datagram.len());
        datagram
    }

    /// Sends a datagram of [`Self::encode`].
    pub fn send_datagram(&self, datagram: &[u8], to: SocketAddrV4) {
        peer_socket::send(&self.socket, datagram, to);
    }

    /// Hands each datagram to `handle`, until the process ends.
    pub async fn receive(&self, logger: &Logger, handle: impl FnMut(SocketAddrV4, &mut [u8])) {
        peer_socket::receive(&self.socket, "peers", logger, handle).await;
    }

    /// The message of a datagram and the packet behind it; one that cannot be read
    /// is counted.
    ///
    /// # Errors
    /// [`MessageError`] when the datagram is not a message.
    pub fn read<'a>(&self, datagram: &'a [u8]) -> Result<(PeerMessage, &'a [u8]), MessageError> {
        let read = PeerMessage::decode(datagram);
        match &read {
            Ok((message, _)) => add(&self.received, message, datagram.len()),
            Err(_) => self.unreadable.set(self.unreadable.get() + 1),
        }
        read
    }

    /// Datagrams that could not be read.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.get()
    }

    /// Adds the totals to a node's figures.
    pub fn figures(&self, text: &mut MetricsText) {
        for (direction, totals) in [("sent", self.sent.get()), ("received", self.received.get())] {
            text.counters(
                &format!("messages_{direction}_total"),
                "Messages between nodes.",
                "kind",
                by_kind(&totals, |totals| totals.messages),
            );
            text.counters(
                &format!("message_bytes_{direction}_total"),
                "Bytes of messages between nodes.",
                "kind",
                by_kind(&totals, |totals| totals.bytes),
            );
        }
    }

    /// Writes one line with the totals since the start of the node, whose role goes
    /// before it.
    pub fn log(&self, role: &str, logger: &Logger) {
        info!(logger, "{}: messages exchanged", role; "event" => "messages_exchanged",
            "sent" => in_words(&self.sent.get()), "received" => in_words(&self.received.get()));
    }
}

fn add(totals: &Cell<TotalsByKind>, message: &PeerMessage, bytes: usize) {
    let mut changed = totals.get();
    let of_kind = &mut changed[message.kind_index()];
    of_kind.messages += 1;
    of_kind.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    totals.set(changed);
}

fn by_kind(
    totals: &TotalsByKind,
    figure: impl Fn(&MessageTotals) -> u64,
) -> [(&'static str, u64); MESSAGE_KINDS.len()] {
    std::array::from_fn(|kind| (MESSAGE_KINDS[kind], figure(&totals[kind])))
}

/// Each kind that was seen, as `KIND=MESSAGES/BYTES`.
fn in_words(totals: &TotalsByKind) -> String {
    let mut words = String::new();
    for (name, totals) in MESSAGE_KINDS.iter().zip(totals) {
        if totals.messages > 0 {
            let MessageTotals { messages, bytes } = totals;
            let _infallible = write!(words, "{name}={messages}/{bytes} ");
        }
    }
    words.trim_end().to_owned()
}
