//! The content of a flow record and its encoding.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};
use crate::flow::snapshot::StoppedAgent;

/// Most flows in one record. Each flow takes 14 bytes and each [`HolderFlows`] group 24
/// more, so a full record with 500 groups has about 70 KB, far below the store's limit of
/// 1 MB per value.
pub const MAXIMUM_FLOWS: usize = 4096;
/// Most bytes of a record that is read.
pub const MAXIMUM_BYTES: usize = 256 * 1024;
/// Version of the encoding.
const ENCODING_VERSION: u8 = 2;
/// Low bits of the caller's acknowledgement number that [`FlowRecord::fingerprint`]
/// ignores: for the same flows, the fingerprint changes only if the acknowledgement
/// number of some flow has crossed a multiple of 16 KiB. This step is far smaller than
/// the 76,800 bytes by which the sequence number of a reset, which is derived from the
/// recorded acknowledgement number, may differ from the one that the caller expects.
const INSIGNIFICANT_BITS: u32 = 14;

/// One flow that a target held.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordedFlow {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Last acknowledgement number of the caller; a reset's sequence number is derived
    /// from it.
    pub acknowledged: u32,
    /// Sequence number after the caller's last new byte.
    pub caller_next: u32,
}

/// The flows of one route that one target held.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct HolderFlows {
    /// Agent of the target.
    pub agent: NodeAddress,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Address and port of the route.
    pub route: SocketAddrV4,
    pub flows: Vec<RecordedFlow>,
}

/// The flows that were open at targets according to one balancer's flow table.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct FlowRecord {
    /// Address of the balancer.
    pub balancer: NodeAddress,
    /// When the record was written, in milliseconds since 1970 by the clock of the
    /// balancer's machine. The age of a record is only approximate, because the clocks of
    /// machines may differ.
    pub written_at_ms: u64,
    /// The flows, grouped by holder and route.
    pub holders: Vec<HolderFlows>,
    /// Agents that had announced a planned stop and had not returned yet.
    pub stopped_agents: Vec<StoppedAgent>,
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The record is larger than [`MAXIMUM_BYTES`].
    TooLong,
    /// The encoding version is unknown.
    UnknownLayout,
    /// The bytes are not a valid record.
    Malformed,
    /// The record belongs to a balancer at another address.
    OtherBalancer,
    /// The record is too old for any of its flows to be still in use.
    TooOld,
}

impl RecordError {
    /// Name of the error in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::UnknownLayout => "unknown_layout",
            Self::Malformed => "malformed",
            Self::OtherBalancer => "other_balancer",
            Self::TooOld => "too_old",
        }
    }
}

impl FlowRecord {
    /// A record of these flows, limited to the first [`MAXIMUM_FLOWS`].
    #[must_use]
    pub fn of(
        balancer: NodeAddress,
        written_at_ms: u64,
        flows: impl Iterator<Item = (FlowKey, NodeAddress, Incarnation, u32, u32)>,
    ) -> Self {
        let mut groups: BTreeMap<(NodeAddress, u64, SocketAddrV4), Vec<RecordedFlow>> =
            BTreeMap::new();
        for (key, agent, incarnation, acknowledged, caller_next) in flows.take(MAXIMUM_FLOWS) {
            let group = groups
                .entry((agent, incarnation.0, key.service))
                .or_default();
            group.push(RecordedFlow {
                caller: key.caller,
                acknowledged,
                caller_next,
            });
        }
        let holders = groups
            .into_iter()
            .map(|((agent, incarnation, route), mut flows)| {
                flows.sort_unstable();
                HolderFlows {
                    agent,
                    incarnation: Incarnation(incarnation),
                    route,
                    flows,
                }
            });
        Self {
            balancer,
            written_at_ms,
            holders: holders.collect(),
            stopped_agents: Vec::new(),
        }
    }

    /// The record with these agents, which had announced a planned stop.
    #[must_use]
    pub fn with_stopped_agents(self, stopped_agents: Vec<StoppedAgent>) -> Self {
        Self {
            stopped_agents,
            ..self
        }
    }

    /// Number of flows in the record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.iter().map(|group| group.flows.len()).sum()
    }

    /// Whether the record contains neither a flow nor a stopped agent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.stopped_agents.is_empty()
    }

    /// A hash that changes if the record is worth writing again: if flows, holders or
    /// stopped agents differ, or if a caller's acknowledgement number has crossed a multiple of 16 KiB.
    /// Differences in `caller_next` alone do not change the hash.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut bytes = Vec::new();
        for group in &self.holders {
            bytes.extend_from_slice(&group.incarnation.0.to_be_bytes());
            bytes.extend_from_slice(&group.agent.ip().octets());
            bytes.extend_from_slice(&group.agent.port().to_be_bytes());
            bytes.extend_from_slice(&group.route.ip().octets());
            bytes.extend_from_slice(&group.route.port().to_be_bytes());
            for flow in &group.flows {
                let advanced = flow.acknowledged >> INSIGNIFICANT_BITS;
                bytes.extend_from_slice(&flow.caller.ip().octets());
                bytes.extend_from_slice(&flow.caller.port().to_be_bytes());
                bytes.extend_from_slice(&advanced.to_be_bytes());
            }
        }
        for stopped in &self.stopped_agents {
            bytes.extend_from_slice(&stopped.address.ip().octets());
            bytes.extend_from_slice(&stopped.address.port().to_be_bytes());
        }
        xxh3_64(&bytes)
    }

    /// Encodes the record.
    ///
    /// # Panics
    /// Never: writing to a vector cannot fail.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![ENCODING_VERSION];
        self.serialize(&mut bytes)
            .expect("a vector takes all bytes");
        bytes
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// [`RecordError`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAXIMUM_BYTES {
            return Err(RecordError::TooLong);
        }
        match bytes.split_first() {
            Some((&ENCODING_VERSION, content)) => {
                borsh::from_slice(content).map_err(|_| RecordError::Malformed)
            }
            _ => Err(RecordError::UnknownLayout),
        }
    }
}
