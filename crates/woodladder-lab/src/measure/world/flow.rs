//! Flows and requests of the model.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::ServiceId;
use woodladder_core::packets::hop_list::flow_hash;
use woodladder_core::packets::token::TOKEN_LENGTH;

use super::event::{FlowIndex, RequestIndex, TargetIndex};
use crate::measure::datagram::CLIENT_ID_LENGTH;
use crate::measure::workload::FlowKind;

/// First octet of callers' addresses.
const CALLER_NETWORK: u8 = 100;
/// Port of callers.
const CALLER_PORT: u16 = 50_000;

/// One connection, or an attempt at one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    /// Position of its plan, where later requests are planned on it.
    pub(super) plan: Option<usize>,
    pub(super) service: ServiceId,
    pub(super) kind: FlowKind,
    pub(super) work: Duration,
    /// When the caller first tried.
    pub(super) first_tried_at: Instant,
    pub(super) attempts: u32,
    pub(super) stage: Stage,
    pub(super) token: [u8; TOKEN_LENGTH],
    /// Chosen before the first packet; only the omniscient assignment does.
    pub(super) assigned: Option<TargetIndex>,
    /// Its first request, once sent.
    pub(super) first_request: Option<RequestIndex>,
    /// Times that the packet under way was lost.
    pub(super) losses: u32,
}

/// How far a flow has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// No agent has taken it.
    Opening,
    /// An agent has taken it, and the caller may not know.
    Accepted(TargetIndex),
    /// Taken only for its request to be refused.
    Declined,
    /// The caller knows its target.
    Established(TargetIndex),
    /// Ended, or broken.
    Closed,
}

/// One request on a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) flow: FlowIndex,
    pub(super) target: TargetIndex,
    pub(super) work: Duration,
    /// Whether it is the first of its flow.
    pub(super) first: bool,
    /// Whether its answer lasts.
    pub(super) streaming: bool,
    /// When the caller first tried.
    pub(super) first_tried_at: Instant,
    pub(super) dispatched_at: Instant,
    /// Times that its packet was lost.
    pub(super) losses: u32,
}

impl Flow {
    /// The target, while there is one.
    pub(super) fn owner(&self) -> Option<TargetIndex> {
        match self.stage {
            Stage::Accepted(target) | Stage::Established(target) => Some(target),
            Stage::Opening | Stage::Declined | Stage::Closed => None,
        }
    }

    pub(super) fn is_established(&self) -> bool {
        matches!(self.stage, Stage::Established(_))
    }
}

/// Connection identifier that the caller of a flow draws.
pub(super) fn client_id(flow: FlowIndex, salt: u64) -> [u8; CLIENT_ID_LENGTH] {
    let number = u64::try_from(flow).unwrap_or(u64::MAX);
    flow_hash(&(salt ^ number).to_be_bytes()).to_be_bytes()
}

/// Address of the caller of a flow.
pub(super) fn caller_address(flow: FlowIndex) -> SocketAddr {
    let [.., a, b, c] = flow.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(CALLER_NETWORK, a, b, c), CALLER_PORT))
}

/// Hash of the addresses of a flow.
pub(super) fn address_hash(flow: FlowIndex, service: ServiceId, salt: u64) -> u64 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&salt.to_be_bytes());
    bytes[8..16].copy_from_slice(&flow.to_be_bytes());
    bytes[16..].copy_from_slice(&service.0.to_be_bytes());
    flow_hash(&bytes)
}
