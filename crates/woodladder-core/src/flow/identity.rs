//! Identifiers of nodes, services, zones, targets and flows.

use std::net::SocketAddrV4;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Address at which a node receives messages from other nodes; identifies the node.
pub type NodeAddress = SocketAddrV4;

/// A service, identified by a hash of its name.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The key of the service with this name.
    #[must_use]
    pub fn named(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One run of a target from its start to its end, identified by a hash of the target's
/// identifier and, if stated, of its start time.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation of a target with this identifier that states no start time.
    #[must_use]
    pub fn named(identifier: &str) -> Self {
        Self(xxh3_64(identifier.as_bytes()))
    }

    /// The incarnation of a target with this identifier that started at `born_ms`, in
    /// milliseconds of Unix time by the target's clock. Several runs may share one
    /// identifier.
    #[must_use]
    pub fn started_at(identifier: &str, born_ms: u64) -> Self {
        Self(xxh3_64_with_seed(
            &born_ms.to_be_bytes(),
            Self::named(identifier).0,
        ))
    }
}

/// A zone, identified by a hash of its name.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct ZoneKey(pub u64);

impl ZoneKey {
    /// The key of the zone with this name.
    #[must_use]
    pub fn named(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A hash of a node's address; the same at every node.
#[must_use]
pub fn address_hash(address: NodeAddress) -> u64 {
    xxh3_64(&address_bytes(address))
}

/// A hash of a pair of nodes; the same at every node. For rendezvous hashing: of several
/// candidates for `second`, the one with the highest hash is assigned to `first`.
#[must_use]
pub fn pair_hash(first: NodeAddress, second: NodeAddress) -> u64 {
    xxh3_64_with_seed(&address_bytes(second), address_hash(first))
}

fn address_bytes(address: NodeAddress) -> [u8; 6] {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}

/// The addresses and ports of a flow's two ends, as its packets state them.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller connects to, which select the route.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// A hash of the flow; the same at every node.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64(&self.bytes())
    }

    /// The rank of a node for this flow in rendezvous hashing; the highest comes first.
    #[must_use]
    pub fn rank(&self, node: NodeAddress) -> u64 {
        xxh3_64_with_seed(&address_bytes(node), self.hash())
    }

    fn bytes(&self) -> [u8; 12] {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        bytes
    }
}

impl std::fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.service)
    }
}
