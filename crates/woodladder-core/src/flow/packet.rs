//! The fields of a packet that decisions depend on. Code outside this crate parses and
//! writes the packets themselves.

use std::time::Duration;

use super::identity::FlowKey;
use crate::clock::Instant;

/// Times at which a caller sends an opening, counted from the first one: at once, and then
/// two retransmissions at the intervals that callers use.
const OPENING_SEND_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Effect of a packet on its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketKind {
    /// Opens the flow.
    Open,
    /// Accepts an opening; sent only by targets.
    Accept,
    /// Ends the flow at once.
    Reset,
    /// Ends one direction of the flow.
    Finish,
    /// Carries data or acknowledges it.
    Data,
}

/// One packet of a flow, in either direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowPacket {
    pub key: FlowKey,
    /// Effect of the packet on its flow.
    pub kind: PacketKind,
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Acknowledgement number: the next byte that the sender expects. An opening has
    /// nothing to acknowledge; for [`PacketKind::Open`], this field holds the number of
    /// times that the caller sent the opening before this packet.
    pub acknowledgement: u32,
    /// Payload length in bytes.
    pub payload_length: u16,
}

impl FlowPacket {
    /// Estimates when the caller first sent this opening, given that it arrives at `now`.
    /// The estimate uses the number of times that the caller sent the opening before; for
    /// openings, `acknowledgement` holds this number.
    #[must_use]
    pub fn first_sent(&self, now: Instant) -> Instant {
        let index = usize::try_from(self.acknowledgement).unwrap_or(usize::MAX);
        let delay = OPENING_SEND_DELAYS
            .get(index)
            .or(OPENING_SEND_DELAYS.last())
            .copied()
            .unwrap_or_default();
        Instant::from_origin(now.since_origin().saturating_sub(delay))
    }
}

/// A reset that the balancer sends to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerReset {
    /// The flow that ends.
    pub key: FlowKey,
    /// Sequence number that the caller accepts.
    pub sequence: u32,
}

/// Why a flow is reset.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResetReason {
    /// The address has no route, so no request has run.
    NoRoute,
    /// No target of the service accepts the flow, so no request has run.
    NoTarget,
    /// The incarnation that held the flow is known to have ended.
    TargetEnded,
    /// Every target of the route has denied holding the flow.
    HeldNowhere,
    /// The target that held the flow before the balancer's start, according to the flow
    /// record, has denied holding it.
    HolderDenied,
}

impl ResetReason {
    /// Name of the reason in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NoTarget => "no_target",
            Self::TargetEnded => "target_ended",
            Self::HeldNowhere => "held_nowhere",
            Self::HolderDenied => "holder_denied",
        }
    }

    /// Whether the request has certainly not run, so that a caller may safely send it
    /// again.
    #[must_use]
    pub fn retry_is_safe(self) -> bool {
        matches!(self, Self::NoRoute | Self::NoTarget)
    }
}
