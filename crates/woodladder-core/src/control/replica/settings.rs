//! What a replica is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::control::availability::ServedTarget;
use crate::control::membership::{DEFAULT_CAPACITY, Locality, Peer, Role};
use crate::identifier::NodeId;
use crate::signature::TrustedKeys;

/// A replica that was not called for longer than this was paused, and does not
/// trust what it has in force until it asked others again.
pub const LEASE_LENGTH: Duration = Duration::from_secs(5);

/// Identity and surroundings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Identifier of the process.
    pub node: NodeId,
    /// What the node does.
    pub role: Role,
    /// Where the node is.
    pub locality: Locality,
    /// Address that other nodes send control messages to.
    pub control_address: SocketAddr,
    /// Target that the node stands beside, when it is an agent.
    pub served_target: Option<ServedTarget>,
    /// Addresses of other nodes from the settings file, if any.
    pub seeds: Vec<SocketAddr>,
    /// Operators whose signatures are accepted.
    pub trusted: TrustedKeys,
    /// Intervals, counts and limits.
    pub tuning: ReplicaTuning,
}

/// Intervals, counts and limits of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaTuning {
    /// Mean time between two rounds of digest messages.
    pub digest_interval: Duration,
    /// Nodes that each round asks.
    pub digest_fanout: usize,
    /// Nodes that a newly adopted roll is offered to at once.
    pub rumor_fanout: usize,
    /// Bytes a second that the node fetches of copies, and that it sends.
    pub copy_bytes_per_second: u32,
    /// Bytes a second that the node sends about targets' availability.
    pub report_bytes_per_second: u32,
    /// Reads a second of the key-value service by all nodes together.
    pub store_reads_per_second: u32,
    /// Nodes up to which each node watches the key-value service instead of
    /// reading it at intervals.
    pub watch_limit: usize,
    /// Longest time that a node waits for answers before it serves.
    pub join_time: Duration,
    /// Nodes whose answers are enough to serve, with the service's answer.
    pub join_answers: usize,
    /// Longest time that a node stays suspect after a pause.
    pub suspect_time: Duration,
    /// Nodes that the table of members holds.
    pub member_capacity: usize,
}

impl Default for ReplicaTuning {
    fn default() -> Self {
        Self {
            digest_interval: Duration::from_secs(1),
            digest_fanout: 2,
            rumor_fanout: 4,
            copy_bytes_per_second: 64 * 1024,
            report_bytes_per_second: 16 * 1024,
            store_reads_per_second: 5,
            watch_limit: 16,
            join_time: Duration::from_secs(3),
            join_answers: 3,
            suspect_time: Duration::from_secs(3),
            member_capacity: DEFAULT_CAPACITY,
        }
    }
}

impl ReplicaSettings {
    /// The node as it names itself to others.
    #[must_use]
    pub fn peer(&self) -> Peer {
        Peer {
            node: self.node,
            role: self.role,
            locality: self.locality,
            control_address: self.control_address,
        }
    }
}
