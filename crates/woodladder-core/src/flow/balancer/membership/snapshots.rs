//! Snapshots of a node's configuration and known nodes: requested from other nodes,
//! applied here, and sent to others.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::NodeAddress;
use crate::flow::message::{Snapshot, SnapshotRequest, StoppedAgent};
use crate::flow::message_timing::milliseconds;

/// Time after which a request for a snapshot counts as lost.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);

impl Balancer {
    /// Applies a snapshot that another node has sent.
    pub fn handle_snapshot(
        &mut self,
        from: NodeAddress,
        snapshot: Snapshot,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self
            .pending_snapshot
            .is_some_and(|(asked, _)| asked == from)
        {
            self.pending_snapshot = None;
        }
        if let Some(configuration) = snapshot.configuration {
            self.adopt_configuration(Arc::new(configuration), Some(from));
        }
        self.routes
            .history_mut()
            .merge(&snapshot.route_history, now);
        self.adopt_excluded_zones(&snapshot.excluded_zones, Some(from));
        for balancer in snapshot.balancers {
            self.add_named_peer(balancer, now, actions);
        }
        self.has_complete_snapshot |= snapshot.knows_all_agents;
        for agent in snapshot.agents {
            if self.directory.agent(agent).is_none() {
                self.add_named_agent(agent);
            }
        }
        self.add_stopped_agents(&snapshot.stopped_agents, Duration::ZERO, now);
        self.send_next_named_agent_hellos(now, actions);
    }

    /// Handles the failure of a request for a snapshot.
    pub fn handle_snapshot_failure(&mut self, from: NodeAddress) {
        if self
            .pending_snapshot
            .is_some_and(|(asked, _)| asked == from)
        {
            self.pending_snapshot = None;
        }
    }

    /// Answers another node's request for a snapshot.
    #[must_use]
    pub fn answer_snapshot_request(&self, request: &SnapshotRequest, now: Instant) -> Snapshot {
        let mut balancers: Vec<NodeAddress> = self.peers.addresses().collect();
        balancers.push(self.options.address);
        let agents = self
            .directory
            .agents()
            .filter(|record| !record.is_marked_lost())
            .map(|record| record.address);
        let known = Snapshot {
            configuration: None,
            excluded_zones: self.excluded_zones.clone(),
            balancers,
            agents: agents.collect(),
            knows_all_agents: self.knew_all_agents,
            stopped_agents: self.stopped_agents(now),
            route_history: self.routes.history().summary(now),
        };
        known.for_request(request, self.routes.current())
    }

    /// The agents that have announced a planned stop and have not returned yet, to this
    /// balancer or to another one that has told this one.
    pub(crate) fn stopped_agents(&self, now: Instant) -> Vec<StoppedAgent> {
        let recorded = self
            .directory
            .stopped_agents()
            .map(|record| (record.address, record.silence(now)));
        let named = self
            .named_agents
            .iter()
            .filter_map(|(agent, named)| Some((*agent, now.since(named.stop_heard_at?))));
        recorded
            .chain(named)
            .map(|(address, silence)| StoppedAgent {
                address,
                silent_for_ms: milliseconds(silence),
            })
            .collect()
    }

    /// Requests a snapshot from a node unless another request is pending. Returns
    /// whether the request was made.
    pub(crate) fn request_snapshot(
        &mut self,
        from: NodeAddress,
        wants_nodes: bool,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) -> bool {
        let pending = self
            .pending_snapshot
            .is_some_and(|(_, since)| now.since(since) < SNAPSHOT_TIMEOUT);
        if pending {
            return false;
        }
        self.pending_snapshot = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
            wants_nodes,
        };
        actions.push(BalancerAction::FetchSnapshot { from, request });
        true
    }
}
