//! The UDP socket for messages between nodes, with counters for each kind of message.

use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::UdpSocket;
use woodladder_core::flow::message::{MESSAGE_KINDS, MessageError, PeerMessage};

use crate::datagram_socket;
use crate::metrics::MetricsText;

/// Interval at which a node logs its counters. One line per interval is less than a
/// thousandth of what the rate limit of a kind of log line allows.
pub const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(20);

/// Counters for one kind of message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageTotals {
    /// Number of messages.
    pub messages: u64,
    /// Size of all messages in bytes, without IP and UDP headers.
    pub bytes: u64,
}

/// Counters for each kind of message, in the order of [`MESSAGE_KINDS`].
pub type TotalsByKind = [MessageTotals; MESSAGE_KINDS.len()];

/// A node's UDP socket for messages to and from other nodes.
#[derive(Debug)]
pub struct PeerTransport {
    socket: UdpSocket,
    sent: Cell<TotalsByKind>,
    received: Cell<TotalsByKind>,
    unreadable_datagrams: Cell<u64>,
}

impl PeerTransport {
    /// Opens the socket.
    ///
    /// # Errors
    /// Returns the I/O error when the socket cannot be opened.
    pub fn open(address: SocketAddrV4) -> io::Result<Self> {
        Ok(Self {
            socket: datagram_socket::open(address)?,
            sent: Cell::default(),
            received: Cell::default(),
            unreadable_datagrams: Cell::new(0),
        })
    }

    /// Sends a message with a packet behind it; `packet` may be empty.
    pub fn send(&self, message: &PeerMessage, packet: &[u8], to: SocketAddrV4) {
        let datagram = self.encode(message, packet);
        self.send_datagram(&datagram, to);
    }

    /// Encodes a message with a packet behind it, which may be empty, and counts the
    /// message as sent.
    pub fn encode(&self, message: &PeerMessage, packet: &[u8]) -> Vec<u8> {
        let datagram = message.encode(packet);
        count_message(&self.sent, message, datagram.len());
        datagram
    }

    /// Sends a datagram that [`Self::encode`] returned.
    pub fn send_datagram(&self, datagram: &[u8], to: SocketAddrV4) {
        datagram_socket::send(&self.socket, datagram, to);
    }

    /// Passes each received datagram to `handle` until the process ends.
    pub async fn receive(&self, logger: &Logger, handle: impl FnMut(SocketAddrV4, &mut [u8])) {
        datagram_socket::receive(&self.socket, "peers", logger, handle).await;
    }

    /// Decodes a received datagram into the message and the packet behind it, and counts
    /// the message as received or the datagram as unreadable.
    ///
    /// # Errors
    /// Returns [`MessageError`] when the datagram is not a valid message.
    pub fn decode<'a>(&self, datagram: &'a [u8]) -> Result<(PeerMessage, &'a [u8]), MessageError> {
        let decoded = PeerMessage::decode(datagram);
        match &decoded {
            Ok((message, _)) => count_message(&self.received, message, datagram.len()),
            Err(_) => self
                .unreadable_datagrams
                .set(self.unreadable_datagrams.get() + 1),
        }
        decoded
    }

    /// Returns the number of received datagrams that were not a valid message.
    pub fn unreadable_datagrams(&self) -> u64 {
        self.unreadable_datagrams.get()
    }

    /// Adds the counters to a node's metrics.
    pub fn add_metrics(&self, text: &mut MetricsText) {
        for (direction, totals) in [("sent", self.sent.get()), ("received", self.received.get())] {
            text.add_counters(
                &format!("messages_{direction}_total"),
                "Messages exchanged with other nodes, by kind.",
                "kind",
                values_by_kind(&totals, |totals| totals.messages),
            );
            text.add_counters(
                &format!("message_bytes_{direction}_total"),
                "Bytes of messages exchanged with other nodes, by kind.",
                "kind",
                values_by_kind(&totals, |totals| totals.bytes),
            );
        }
    }

    /// Logs the counters since the start of the node. `role`, such as `agent`, is the
    /// prefix of the line.
    pub fn log_totals(&self, role: &str, logger: &Logger) {
        info!(logger, "{}: messages exchanged", role; "event" => "messages_exchanged",
            "sent" => format_totals(&self.sent.get()), "received" => format_totals(&self.received.get()));
    }
}

fn count_message(totals: &Cell<TotalsByKind>, message: &PeerMessage, bytes: usize) {
    let mut changed = totals.get();
    let kind_totals = &mut changed[message.kind_index()];
    kind_totals.messages += 1;
    kind_totals.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    totals.set(changed);
}

fn values_by_kind(
    totals: &TotalsByKind,
    value: impl Fn(&MessageTotals) -> u64,
) -> [(&'static str, u64); MESSAGE_KINDS.len()] {
    std::array::from_fn(|kind| (MESSAGE_KINDS[kind], value(&totals[kind])))
}

/// Formats the counters of each kind that occurred as `KIND=MESSAGES/BYTES`.
fn format_totals(totals: &TotalsByKind) -> String {
    let mut words = String::new();
    for (name, totals) in MESSAGE_KINDS.iter().zip(totals) {
        if totals.messages > 0 {
            let MessageTotals { messages, bytes } = totals;
            let _infallible = write!(words, "{name}={messages}/{bytes} ");
        }
    }
    words.trim_end().to_owned()
}
