//! Snapshots: what this balancer asks of other nodes, takes from them and tells them.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::NodeAddress;
use crate::flow::message::{Snapshot, SnapshotRequest};

/// Time after which a request for a snapshot counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

impl Balancer {
    /// Takes what another node knows.
    pub fn handle_snapshot(
        &mut self,
        from: NodeAddress,
        snapshot: Snapshot,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.fetch.is_some_and(|(asked, _)| asked == from) {
            self.fetch = None;
        }
        if let Some(configuration) = snapshot.configuration {
            self.adopt(Arc::new(configuration), Some(from));
        }
        self.adopt_zones(&snapshot.excluded_zones, Some(from));
        for balancer in snapshot.balancers {
            self.name_peer(balancer, now, actions);
        }
        self.has_complete_snapshot |= snapshot.knows_all_agents;
        for agent in snapshot.agents {
            if self.directory.agent(agent).is_none() {
                self.name_agent(agent);
            }
        }
        self.greet_next_named_agents(now, actions);
    }

    /// A request for a snapshot failed.
    pub fn handle_snapshot_failure(&mut self, from: NodeAddress) {
        if self.fetch.is_some_and(|(asked, _)| asked == from) {
            self.fetch = None;
        }
    }

    /// What this node tells others that ask for a snapshot.
    #[must_use]
    pub fn answer_snapshot_request(&self, request: &SnapshotRequest) -> Snapshot {
        let mut balancers: Vec<NodeAddress> = self.peers.addresses().collect();
        balancers.push(self.options.address);
        let agents = self
            .directory
            .agents()
            .filter(|record| !record.is_marked_lost())
            .map(|record| record.address);
        Snapshot::for_request(
            request,
            self.routes.current(),
            &self.excluded_zones,
            balancers,
            agents.collect(),
            self.was_complete,
        )
    }

    /// Asks a node for a snapshot unless another is awaited; says whether it
    /// does.
    pub(crate) fn fetch_from(
        &mut self,
        from: NodeAddress,
        wants_nodes: bool,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) -> bool {
        let pending = self
            .fetch
            .is_some_and(|(_, since)| now.since(since) < FETCH_TIMEOUT);
        if pending {
            return false;
        }
        self.fetch = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
            wants_nodes,
        };
        actions.push(BalancerAction::FetchSnapshot { from, request });
        true
    }
}
