//! What a node tells about itself.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::figures::Figures;

/// What a node does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Forwards datagrams to agents.
    Balancer,
    /// Stands beside a back end.
    Agent,
}

/// Why a node does not take traffic.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotReadyReason {
    /// No bundle has reached it yet.
    NoBundle,
    /// A planned stop has begun.
    Stopping,
    /// Its target takes no new work.
    Leaving,
    /// A part of it has failed.
    Failed,
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListenAddresses {
    /// For datagrams of callers.
    pub data: SocketAddr,
    /// For control messages.
    pub control: SocketAddr,
}

/// Counts over the nodes that a node knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerCounts {
    /// All of them.
    pub known: usize,
    /// Heard from lately.
    pub heard: usize,
    /// Not answering.
    pub silent: usize,
    /// About to go.
    pub leaving: usize,
    /// Named by the machine list.
    pub listed: usize,
}

/// Status of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeStatus {
    /// What the node does.
    pub role: Role,
    /// Identifier of this run of the process.
    pub node: u64,
    /// Zone that it is in.
    pub zone: String,
    /// Addresses that it listens on.
    pub listening: ListenAddresses,
    /// Why it takes no traffic, when it takes none.
    pub not_ready: Option<NotReadyReason>,
    /// Whether the process was paused and its state is not confirmed since.
    pub suspect: bool,
    /// Sequence in force; zero before the first.
    pub sequence: u64,
    /// Version of the bundle in force.
    pub bundle_version: Option<u64>,
    /// Digest of the snapshot in force.
    pub snapshot: Option<String>,
    /// Counts over the nodes that it knows.
    pub peers: PeerCounts,
    /// Seconds since the process started.
    pub uptime_seconds: u64,
    /// Counters and gauges of its parts.
    #[serde(rename = "counters")]
    pub figures: Figures,
}

impl fmt::Display for NotReadyReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoBundle => "no bundle is in force yet",
            Self::Stopping => "a planned stop has begun",
            Self::Failed => "a part of the node has failed",
            Self::Leaving => "the target takes no new work",
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
