//! Counters of the packet path. Each worker has its own set, so that no two
//! threads write to the same cache line.

use std::sync::atomic::{AtomicU64, Ordering};

use woodladder_core::packets::router::DropReason;

use super::proxy_header::ProxyHeaderError;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketDropReason {
    /// Its PROXY header is malformed.
    MalformedProxyHeader,
    /// Its PROXY header does not describe a datagram between two IP addresses.
    NotProxied,
    /// No bundle is in force yet.
    NoBundle,
    /// It holds no QUIC packet.
    MalformedPacket,
    /// No service has its destination address.
    UnknownService,
    /// Its token is not valid, and it cannot open a flow.
    InvalidToken,
    /// Its token names a target of another service.
    WrongService,
    /// The service has no target.
    NoTarget,
    /// Sending it failed.
    SendFailed,
}

const DROP_REASONS: usize = PacketDropReason::ALL.len();

/// Totals over all workers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PacketCounts {
    /// Datagrams received.
    pub received: u64,
    /// Datagrams sent to agents.
    pub forwarded: u64,
    dropped: [u64; DROP_REASONS],
}

/// Counters of one worker; only that worker writes them.
#[derive(Debug, Default)]
#[repr(align(128))]
pub(super) struct WorkerCounters {
    received: AtomicU64,
    forwarded: AtomicU64,
    dropped: [AtomicU64; DROP_REASONS],
}

impl PacketDropReason {
    /// All reasons, in declaration order.
    pub const ALL: [Self; 9] = [
        Self::MalformedProxyHeader,
        Self::NotProxied,
        Self::NoBundle,
        Self::MalformedPacket,
        Self::UnknownService,
        Self::InvalidToken,
        Self::WrongService,
        Self::NoTarget,
        Self::SendFailed,
    ];

    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::MalformedProxyHeader => "malformed_proxy_header",
            Self::NotProxied => "not_proxied",
            Self::NoBundle => "no_bundle",
            Self::MalformedPacket => "malformed_packet",
            Self::UnknownService => "unknown_service",
            Self::InvalidToken => "invalid_token",
            Self::WrongService => "wrong_service",
            Self::NoTarget => "no_target",
            Self::SendFailed => "send_failed",
        }
    }
}

impl From<ProxyHeaderError> for PacketDropReason {
    fn from(error: ProxyHeaderError) -> Self {
        match error {
            ProxyHeaderError::Malformed => Self::MalformedProxyHeader,
            ProxyHeaderError::NotProxied => Self::NotProxied,
        }
    }
}

impl From<DropReason> for PacketDropReason {
    fn from(reason: DropReason) -> Self {
        match reason {
            DropReason::Malformed => Self::MalformedPacket,
            DropReason::UnknownService => Self::UnknownService,
            DropReason::InvalidToken => Self::InvalidToken,
            DropReason::WrongService => Self::WrongService,
            DropReason::NoTarget => Self::NoTarget,
        }
    }
}

impl PacketCounts {
    /// Datagrams dropped for one reason.
    #[must_use]
    pub fn dropped(&self, reason: PacketDropReason) -> u64 {
        self.dropped[reason as usize]
    }
}

impl WorkerCounters {
    pub(super) fn count_received(&self) {
        increment(&self.received);
    }

    pub(super) fn count_forwarded(&self) {
        increment(&self.forwarded);
    }

    pub(super) fn count_dropped(&self, reason: PacketDropReason) {
        increment(&self.dropped[reason as usize]);
    }

    /// Adds this worker's counts to the totals.
    pub(super) fn add_totals(&self, counts: &mut PacketCounts) {
        counts.received += self.received.load(Ordering::Relaxed);
        counts.forwarded += self.forwarded.load(Ordering::Relaxed);
        for (sum, counter) in counts.dropped.iter_mut().zip(&self.dropped) {
            *sum += counter.load(Ordering::Relaxed);
        }
    }
}

/// Increments without an atomic read-modify-write: only one thread writes to
/// the counter.
fn increment(counter: &AtomicU64) {
    let value = counter.load(Ordering::Relaxed);
    counter.store(value.wrapping_add(1), Ordering::Relaxed);
}
