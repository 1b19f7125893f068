//! What the decisions need of one packet; its layout belongs to the shell.

use std::time::Duration;

use super::identity::FlowKey;
use crate::clock::Instant;

/// Time between an opening and its copies, as callers send them.
const COPY_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketKind {
    /// Asks to open the flow.
    Open,
    /// Accepts an opening; only targets send it.
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
    /// The flow.
    pub key: FlowKey,
    /// What the packet does.
    pub kind: PacketKind,
    /// Number of its first byte.
    pub sequence: u32,
    /// Next byte that the sender awaits. For [`PacketKind::Open`]: how many
    /// copies were sent before.
    pub acknowledgement: u32,
    /// Bytes of data.
    pub payload_length: u16,
}

impl FlowPacket {
    /// When the caller sent this opening, which has come now, for the first time, from
    /// the copies that it says it has sent since.
    #[must_use]
    pub fn first_sent(&self, now: Instant) -> Instant {
        let index = usize::try_from(self.acknowledgement).unwrap_or(usize::MAX);
        let delay = COPY_DELAYS
            .get(index)
            .or(COPY_DELAYS.last())
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
    /// No route names the address, so nothing has run.
    NoRoute,
    /// The service has no target that takes the flow, so nothing has run.
    NoTarget,
    /// The incarnation that held the flow is known to have ended.
    TargetEnded,
    /// Every target of the route said that it does not hold the flow.
    HeldNowhere,
    /// The target that held the flow before the balancer's start, as was recorded, does
    /// not hold it.
    HolderDenied,
}

impl ResetReason {
    /// The reason's name in logs and metrics.
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

    /// Whether the request has certainly not run, so that a caller may send
    /// any request again.
    #[must_use]
    pub fn retry_is_safe(self) -> bool {
        matches!(self, Self::NoRoute | Self::NoTarget)
    }
}
