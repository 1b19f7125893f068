//! The content of a record and its bytes.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};

/// Most flows in one record: 14 bytes each and 28 for each group, some 70 KB, far
/// below the 1 MB of a store's value.
pub const MAXIMUM_FLOWS: usize = 4096;
/// Most bytes of a record that is read.
pub const MAXIMUM_BYTES: usize = 256 * 1024;
/// Layout of the bytes.
const LAYOUT: u8 = 1;
/// Low bits of numbers that a change is not worth a write for: a reset's number may
/// lie 76,800 from the caller's.
const INSIGNIFICANT_BITS: u32 = 14;

/// One flow that a target held.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordedFlow {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Last acknowledgement of the caller, from which a reset is numbered.
    pub acknowledged: u32,
    /// Number after the caller's last new byte.
    pub caller_next: u32,
}

/// The flows of one route that one target held.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct HolderFlows {
    /// Agent of the target.
    pub agent: NodeAddress,
    /// The target's incarnation.
    pub incarnation: Incarnation,
    /// Address and port of the route.
    pub route: SocketAddrV4,
    /// The flows.
    pub flows: Vec<RecordedFlow>,
}

/// What one balancer knew.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct FlowRecord {
    /// The balancer.
    pub balancer: NodeAddress,
    /// Time of day when it was written, in milliseconds since 1970. Clocks of
    /// machines may differ.
    pub written_at_ms: u64,
    /// The flows, by holder and route.
    pub holders: Vec<HolderFlows>,
}

/// Why bytes are not a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// They are too many.
    TooLong,
    /// They have another layout.
    UnknownLayout,
    /// They do not decode.
    Malformed,
    /// They are the record of a balancer at another address.
    OtherBalancer,
    /// They were written too long ago for a flow of then to be in use.
    TooOld,
}

impl RecordError {
    /// The error's name in logs.
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
    /// A record of these flows, of which at most [`MAXIMUM_FLOWS`] are kept, the
    /// first ones.
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
        }
    }

    /// Flows in the record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.iter().map(|group| group.flows.len()).sum()
    }

    /// Whether it names no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// A number that changes when the record is worth writing again: with the flows,
    /// their holders, and numbers that have moved far.
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
                let moved = flow.acknowledged >> INSIGNIFICANT_BITS;
                bytes.extend_from_slice(&flow.caller.ip().octets());
                bytes.extend_from_slice(&flow.caller.port().to_be_bytes());
                bytes.extend_from_slice(&moved.to_be_bytes());
            }
        }
        xxh3_64(&bytes)
    }

    /// The record's bytes.
    ///
    /// # Panics
    /// Never: writing to a vector has no error.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![LAYOUT];
        self.serialize(&mut bytes)
            .expect("a vector takes all bytes");
        bytes
    }

    /// Reads a record.
    ///
    /// # Errors
    /// [`RecordError`] when the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAXIMUM_BYTES {
            return Err(RecordError::TooLong);
        }
        match bytes.split_first() {
            Some((&LAYOUT, content)) => {
                borsh::from_slice(content).map_err(|_| RecordError::Malformed)
            }
            _ => Err(RecordError::UnknownLayout),
        }
    }
}
