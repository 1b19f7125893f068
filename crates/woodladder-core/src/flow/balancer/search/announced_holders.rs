//! Searches that begin with the agents that announce a flow.
//!
//! A packet of an unknown flow is sent to the agents that the index lists, three at
//! most. If the index lists none, or the listed agents deny the flow, the packet is
//! kept while all agents are queried without a packet. The kept packet is then sent to
//! the agent that holds the flow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::Routing;
use crate::flow::balancer::search::Search;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::held_flows::FlowFingerprint;
use crate::flow::identity::{FlowKey, NodeAddress, ServiceKey};
use crate::flow::message::{ForwardHeader, ForwardPurpose, PeerMessage, TargetState};

/// Maximum number of packets of one flow that are kept during its search: enough for
/// what a caller sends before it waits for an answer, if its requests are small.
const MAXIMUM_KEPT_PACKETS: usize = 4;
/// Time that the announced holders have to answer before all other agents are queried:
/// some round trips, and less than the pause before a caller's first retransmission.
pub(crate) const ANNOUNCED_HOLDERS_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of lists requested between two ticks.
const MAXIMUM_LISTS_PER_TICK: usize = 4;
/// Size of a list without its fingerprints, in bytes.
const LIST_HEADER_BYTES: u32 = 64;
/// Size of a fingerprint, in bytes.
const FINGERPRINT_BYTES: u32 = 4;

impl Search {
    /// Keeps the latest packet until the holder of the flow is known. A packet that is
    /// already kept is not added again, nor is any while [`MAXIMUM_KEPT_PACKETS`] are
    /// kept.
    pub(crate) fn keep_packet(&mut self) {
        let is_new =
            !self.latest_packet.is_empty() && !self.kept_packets.contains(&self.latest_packet);
        if is_new && self.kept_packets.len() < MAXIMUM_KEPT_PACKETS {
            self.kept_packets.push(self.latest_packet.clone());
        }
    }

    /// Removes the kept packets and returns those that have not been sent yet to the
    /// agent that was found to hold the flow.
    pub(crate) fn take_kept_packets_for(&mut self, agent: NodeAddress) -> Vec<Vec<u8>> {
        let already_has_them =
            self.is_first_target(agent) || self.packet_sent_at.contains_key(&agent);
        let kept = std::mem::take(&mut self.kept_packets);
        if already_has_them { Vec::new() } else { kept }
    }

    /// Whether the search has a packet to send.
    pub(crate) fn has_packet(&self) -> bool {
        !self.latest_packet.is_empty()
    }

    /// Whether the agent is one of the first targets, to which the packet was copied
    /// when the search began.
    pub(crate) fn is_first_target(&self, agent: NodeAddress) -> bool {
        self.first_targets.contains(&agent)
    }
}

impl Balancer {
    /// Agents that announce the flow and belong to a service with which the flow may
    /// have been opened, without the agents in `denied` and those marked as lost.
    pub(crate) fn announced_holders(
        &self,
        key: FlowKey,
        denied: &BTreeSet<NodeAddress>,
    ) -> Vec<(NodeAddress, ServiceKey)> {
        let services = self.possible_services(key);
        self.flow_index
            .holders(FlowFingerprint::of(&key))
            .iter()
            .filter(|agent| !denied.contains(agent))
            .filter_map(|agent| self.directory.agent(*agent))
            .filter(|record| !record.is_marked_lost() && services.contains(&record.service))
            .map(|record| (record.address, record.service))
            .collect()
    }

    /// Routes a packet of a flow that is searched for to the announced holders. Without
    /// any, the packet is sent nowhere until an agent has answered a query.
    pub(crate) fn route_to_announced_holders(&mut self, key: FlowKey) -> Routing {
        let Some(search) = self.search_of(&key) else {
            return Routing::Several(Vec::new());
        };
        search.keep_packet();
        let is_queried = search.queried_at.is_some();
        let denied = search.denied_by.clone();
        let receivers = self.announced_holder_headers(key, &denied);
        if receivers.is_empty() && !is_queried {
            self.unqueried_flows.push(key);
        }
        Routing::Several(receivers)
    }

    /// The announced holders of a flow, with headers for its packet.
    pub(crate) fn announced_holder_headers(
        &self,
        key: FlowKey,
        denied: &BTreeSet<NodeAddress>,
    ) -> Vec<(NodeAddress, ForwardHeader)> {
        self.announced_holders(key, denied)
            .into_iter()
            .map(|(agent, service)| (agent, self.forward_header(service, ForwardPurpose::Search)))
            .collect()
    }

    /// Sends the kept packets of a flow to the agent that holds it.
    pub(crate) fn send_kept_packets(
        &mut self,
        agent: NodeAddress,
        service: ServiceKey,
        key: &FlowKey,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(search) = self.search_of(key) else {
            return;
        };
        let kept = search.take_kept_packets_for(agent);
        let header = self.forward_header(service, ForwardPurpose::Established);
        self.counters.search_packets += u64::try_from(kept.len()).unwrap_or(0);
        actions.extend(kept.into_iter().map(|packet| BalancerAction::Forward {
            to: agent,
            header,
            packet,
        }));
    }

    /// Agents that need a packet to decide whether their targets hold a flow, with
    /// their services.
    pub(crate) fn undecided_agents(&self) -> BTreeMap<NodeAddress, ServiceKey> {
        self.directory
            .agents()
            .filter(|record| !record.knows_all_flows && record.state != TargetState::Unknown)
            .map(|record| (record.address, record.service))
            .collect()
    }

    /// Whether the budgets allow queries about another flow.
    pub(crate) fn can_query_another_flow(&mut self, now: Instant) -> bool {
        self.query_budget.has_remaining(now) && self.packet_byte_budget.has_remaining(now)
    }

    /// Sends the packet of a search to those of `agents` that need a packet to decide
    /// whether their targets hold the flow, and returns the other agents. All agents of
    /// one flow are sent the packet in the same round, because a search ends only when
    /// every agent has answered: completing the searches one after the other is faster
    /// than advancing all searches together.
    pub(crate) fn send_to_undecided(
        &mut self,
        key: FlowKey,
        agents: Vec<NodeAddress>,
        undecided: &BTreeMap<NodeAddress, ServiceKey>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) -> Vec<NodeAddress> {
        let services = self.possible_services(key);
        let has_packet = self
            .search_of(&key)
            .is_some_and(|search| search.has_packet());
        let mut others = Vec::new();
        for agent in agents {
            let service = undecided.get(&agent).copied();
            match service.filter(|service| has_packet && services.contains(service)) {
                Some(service) => {
                    self.directory.start_probing(agent, now);
                    self.send_search_packet(agent, service, key, now, actions);
                }
                None => others.push(agent),
            }
        }
        others
    }

    /// Requests the list of flows from agents whose announced flows are incomplete
    /// here.
    pub(crate) fn request_flow_lists(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if !self.locates_flows() || !self.list_byte_budget.has_remaining(now) {
            return;
        }
        let agents = self
            .directory
            .agents()
            .filter(|record| !record.is_marked_lost())
            .map(|record| record.address);
        for to in self
            .flow_index
            .take_agents_to_list(agents, MAXIMUM_LISTS_PER_TICK, now)
        {
            let flows = self
                .directory
                .agent(to)
                .map_or(0, |record| record.load.flows);
            let bytes = flows.saturating_mul(FINGERPRINT_BYTES) + LIST_HEADER_BYTES;
            self.list_byte_budget.spend(bytes);
            self.counters.flow_lists_requested += 1;
            let message = PeerMessage::ListFlows;
            actions.push(BalancerAction::Send { to, message });
        }
    }
}
