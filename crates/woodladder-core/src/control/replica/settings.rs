//! Settings of a replica.

use std::net::SocketAddr;
use std::time::Duration;

use crate::control::availability::ServedTarget;
use crate::control::membership::{DEFAULT_CAPACITY, Locality, Peer, Role};
use crate::identifier::NodeId;
use crate::signature::TrustedKeys;

/// A replica that handled no event for longer than this was paused. The replica
/// is then suspect until another node or the key-value service has confirmed
/// the roll in force, or until [`ReplicaTuning::suspect_timeout`] has passed.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(5);

/// Identity and configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Identifier of the process.
    pub node: NodeId,
    /// Role of the node.
    pub role: Role,
    /// Location of the node.
    pub locality: Locality,
    /// Address at which other nodes send control messages to this node.
    pub control_address: SocketAddr,
    /// Target that the node serves; `None` when the node is not an agent.
    pub served_target: Option<ServedTarget>,
    /// Control addresses of other nodes from the settings file.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the operators whose signatures are accepted.
    pub trusted: TrustedKeys,
    /// Intervals, counts and limits.
    pub tuning: ReplicaTuning,
}

/// Intervals, counts and limits of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaTuning {
    /// Mean time between two rounds of digest messages.
    pub digest_interval: Duration,
    /// Number of nodes that each round probes.
    pub digest_fanout: usize,
    /// Number of nodes to which a newly adopted roll, or one that is being
    /// fetched, is offered at once.
    pub offer_fanout: usize,
    /// Mean rate in bytes per second of the copies that the node fetches. The
    /// same rate also limits the copies that the node sends and, separately,
    /// its offers to nodes that are behind. The offers to `offer_fanout` nodes
    /// are not limited.
    pub copy_bytes_per_second: u32,
    /// Mean rate in bytes per second at which the node sends messages about the
    /// availability of targets and, together with these, probes outside the
    /// gossip rounds.
    pub report_bytes_per_second: u32,
    /// Reads of the key-value service per second by all nodes together.
    pub store_reads_per_second: u32,
    /// Largest number of known nodes at which a node watches the key-value
    /// service in addition to reading it at intervals.
    pub maximum_watching_nodes: usize,
    /// Longest time that a node waits for answers after its first roll before
    /// it becomes ready.
    pub join_timeout: Duration,
    /// Number of nodes (all known nodes, if these are fewer) that must answer
    /// before a node becomes ready. In addition, one read of the key-value
    /// service must have succeeded or failed.
    pub join_answers: usize,
    /// Longest time that a node stays suspect after a pause.
    pub suspect_timeout: Duration,
    /// Largest number of nodes in the member table.
    pub member_capacity: usize,
}

impl Default for ReplicaTuning {
    fn default() -> Self {
        Self {
            digest_interval: Duration::from_secs(1),
            digest_fanout: 2,
            offer_fanout: 4,
            copy_bytes_per_second: 64 * 1024,
            report_bytes_per_second: 16 * 1024,
            store_reads_per_second: 5,
            maximum_watching_nodes: 16,
            join_timeout: Duration::from_secs(3),
            join_answers: 3,
            suspect_timeout: Duration::from_secs(3),
            member_capacity: DEFAULT_CAPACITY,
        }
    }
}

impl ReplicaSettings {
    /// The node's identity as other nodes receive it.
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
