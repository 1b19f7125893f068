//! Status of a node as the HTTP server reports it.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::drain_status::DrainStatus;
use super::figures::Figures;

/// Kind of node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Forwards datagrams to agents.
    Balancer,
    /// Serves the flows of one back end.
    Agent,
}

/// Why a node accepts no traffic.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotReadyReason {
    /// No roll is in force yet, or the node still waits for the answers of peers
    /// and the key-value service on whether a later roll exists.
    NoBundle,
    /// A planned stop has begun.
    Stopping,
    /// The agent is draining, or has drained: its target accepts no new flows.
    Leaving,
    /// The packet path has failed. Only balancers report this reason.
    Failed,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListenAddresses {
    /// Address for datagrams that carry callers' traffic.
    pub data: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
}

/// Numbers of nodes in a node's table of members, by state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerCounts {
    /// All nodes in the table.
    pub known: usize,
    /// Nodes from which a message has arrived recently.
    pub heard: usize,
    /// Nodes that do not answer.
    pub silent: usize,
    /// Nodes that are leaving, according to themselves or the machine list.
    pub leaving: usize,
    /// Nodes in the machine list.
    pub listed: usize,
}

/// Status of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeStatus {
    /// What the node does.
    pub role: Role,
    /// Random identifier of the process, chosen anew at each start.
    pub node: u64,
    /// Zone that the node is in.
    pub zone: String,
    /// Addresses that the node listens on.
    pub listening: ListenAddresses,
    /// Why the node accepts no traffic; `None` when it accepts traffic.
    pub not_ready: Option<NotReadyReason>,
    /// Whether the process has been suspended by the system, and no peer and no
    /// key-value service has confirmed since that its roll is still the one in
    /// force. The flag is cleared in any case after some time.
    pub suspect: bool,
    /// Sequence of the roll in force; zero before the first.
    pub sequence: u64,
    /// Version of the bundle in force.
    pub bundle_version: Option<u64>,
    /// Digest of the snapshot in force.
    pub snapshot: Option<String>,
    /// Numbers of nodes in the table of members, by state.
    pub peers: PeerCounts,
    /// Seconds since the process started.
    pub uptime_seconds: u64,
    /// What an agent's drain waits for; `None` for a balancer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<DrainStatus>,
    /// Counters and gauges of the node's components.
    #[serde(rename = "counters")]
    pub figures: Figures,
}

impl fmt::Display for NotReadyReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoBundle => "no bundle is in force yet, or its roll is not confirmed",
            Self::Stopping => "a planned stop has begun",
            Self::Failed => "the packet path has failed",
            Self::Leaving => "the target accepts no new flows",
        })
    }
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Balancer => "balancer",
            Self::Agent => "agent",
        })
    }
}
