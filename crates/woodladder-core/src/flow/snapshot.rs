//! Snapshots of what one node knows, for another node that starts or is out of date. They
//! are sent over a stream, on request.

use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};

use super::configuration::Configuration;
use super::excluded_zones::ExcludedZones;
use super::identity::NodeAddress;
use super::route_history::RouteHistorySummary;

/// Requests a [`Snapshot`] from a node.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct SnapshotRequest {
    /// Version of the configuration that the requesting node uses. The response omits the
    /// configuration unless it is newer.
    pub known_version: u64,
    /// Whether the balancers and agents are requested too. Without them, a snapshot of 986
    /// nodes and 256 routes is a third shorter.
    pub wants_nodes: bool,
}

/// Configuration, excluded zones and addresses known to one node.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// The configuration, if it is newer than the requesting node's.
    pub configuration: Option<Configuration>,
    /// Excluded zones that the node knows.
    pub excluded_zones: ExcludedZones,
    /// Balancers that the node knows.
    pub balancers: Vec<NodeAddress>,
    /// Agents that the node knows.
    pub agents: Vec<NodeAddress>,
    /// Whether `agents` lists all existing agents, as far as the node can tell.
    pub knows_all_agents: bool,
    /// Agents that have announced a planned stop and have not returned yet.
    pub stopped_agents: Vec<StoppedAgent>,
    /// The services that routes led to before.
    pub route_history: RouteHistorySummary,
}

/// An agent that has announced a planned stop and has not returned yet.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoppedAgent {
    /// Address of the agent.
    pub address: NodeAddress,
    /// Time since the agent was last heard, in milliseconds.
    pub silent_for_ms: u32,
}

impl Snapshot {
    /// The part of a snapshot without a configuration that answers a request, with the
    /// configuration if it is newer than the requesting node's.
    #[must_use]
    pub fn for_request(
        self,
        request: &SnapshotRequest,
        configuration: Option<&Arc<Configuration>>,
    ) -> Self {
        let configuration = configuration
            .filter(|known| known.version > request.known_version)
            .map(|known| Configuration::clone(known));
        if request.wants_nodes {
            return Self {
                configuration,
                ..self
            };
        }
        Self {
            configuration,
            excluded_zones: self.excluded_zones,
            route_history: self.route_history,
            ..Self::default()
        }
    }
}
