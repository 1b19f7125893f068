//! Searches that begin with the agents that tell a flow.
//!
//! A packet of an unknown flow goes to the agents that the index names, three at most.
//! When it names none, or these deny, the packet is kept, all agents are asked by a
//! small question, and the one that holds the flow is handed the packet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::Routing;
use crate::flow::balancer::search::Search;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::held_flows::FlowFingerprint;
use crate::flow::identity::{FlowKey, NodeAddress, ServiceKey};
use crate::flow::message::{ForwardHeader, ForwardPurpose, PeerMessage, TargetState};

/// Packets of one flow that are kept while it is searched for: what a caller sends
/// before it awaits an answer, in small requests.
const KEPT_PACKETS: usize = 4;
/// Time that named agents have to answer before all others are asked: some round
/// trips, and less than a caller's first repetition.
pub(crate) const NAMED_ANSWER_WITHIN: Duration = Duration::from_millis(60);
/// Lists that are asked for between two ticks.
const LISTS_A_TICK: usize = 4;
/// Bytes of a list beside its fingerprints.
const LIST_HEADER: u32 = 64;
/// Bytes of a fingerprint.
const FINGERPRINT_BYTES: u32 = 4;

impl Search {
    /// Keeps the latest packet until it is known who holds the flow.
    pub(crate) fn keep_packet(&mut self) {
        let is_new = !self.packet.is_empty() && !self.kept.contains(&self.packet);
        if is_new && self.kept.len() < KEPT_PACKETS {
            self.kept.push(self.packet.clone());
        }
    }

    /// The packets that an agent has not been sent yet, which is found to hold the flow.
    pub(crate) fn take_kept_for(&mut self, agent: NodeAddress) -> Vec<Vec<u8>> {
        let has_them = self.was_named(agent) || self.handed.contains_key(&agent);
        let kept = std::mem::take(&mut self.kept);
        if has_them { Vec::new() } else { kept }
    }

    /// Whether a packet is at hand.
    pub(crate) fn has_packet(&self) -> bool {
        !self.packet.is_empty()
    }

    /// Whether an agent was among the first asked.
    pub(crate) fn was_named(&self, agent: NodeAddress) -> bool {
        self.first_asked.contains(&agent)
    }
}

impl Balancer {
    /// Agents that tell the flow and may hold it as far as its route goes.
    pub(crate) fn named_holders(
        &self,
        key: FlowKey,
        denied: &BTreeSet<NodeAddress>,
    ) -> Vec<(NodeAddress, ServiceKey)> {
        let services = self.likely_services(key);
        self.flow_index
            .holders(FlowFingerprint::of(&key))
            .iter()
            .filter(|agent| !denied.contains(agent))
            .filter_map(|agent| self.directory.agent(*agent))
            .filter(|record| !record.is_marked_lost() && services.contains(&record.service))
            .map(|record| (record.address, record.service))
            .collect()
    }

    /// Where a packet of a flow goes that is searched for: to the agents that tell the
    /// flow, or nowhere until an agent has answered.
    pub(crate) fn ask_named(&mut self, key: FlowKey) -> Routing {
        let Some(search) = self.search_of(&key) else {
            return Routing::Several(Vec::new());
        };
        search.keep_packet();
        let is_asked = search.queried_at.is_some();
        let denied = search.denied.clone();
        let receivers = self.to_named(key, &denied);
        if receivers.is_empty() && !is_asked {
            self.unasked.push(key);
        }
        Routing::Several(receivers)
    }

    /// The agents that tell a flow, with headers for its packet.
    pub(crate) fn to_named(
        &self,
        key: FlowKey,
        denied: &BTreeSet<NodeAddress>,
    ) -> Vec<(NodeAddress, ForwardHeader)> {
        self.named_holders(key, denied)
            .into_iter()
            .map(|(agent, service)| (agent, self.header(service, ForwardPurpose::Search)))
            .collect()
    }

    /// Hands what was kept of a flow to the agent that holds it.
    pub(crate) fn hand_kept(
        &mut self,
        agent: NodeAddress,
        service: ServiceKey,
        key: &FlowKey,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(search) = self.search_of(key) else {
            return;
        };
        let kept = search.take_kept_for(agent);
        let header = self.header(service, ForwardPurpose::Established);
        self.counters.search_packets += u64::try_from(kept.len()).unwrap_or(0);
        actions.extend(kept.into_iter().map(|packet| BalancerAction::Forward {
            to: agent,
            header,
            packet,
        }));
    }

    /// Agents that cannot tell without a packet whether their targets hold a flow, with
    /// their services.
    pub(crate) fn undecided_agents(&self) -> BTreeMap<NodeAddress, ServiceKey> {
        self.directory
            .agents()
            .filter(|record| !record.knows_all_flows && record.state != TargetState::Unknown)
            .map(|record| (record.address, record.service))
            .collect()
    }

    /// Whether another flow may be asked about.
    pub(crate) fn may_ask_about_another(&mut self, now: Instant) -> bool {
        self.questions.has_remaining(now) && self.packet_bytes.has_remaining(now)
    }

    /// Hands the packet of a search to those agents that cannot tell without one, and
    /// returns the others. All get it at once: a search ends only when each of them has
    /// answered, so one flow after the other is sooner done than all of them together.
    pub(crate) fn hand_to_undecided(
        &mut self,
        key: FlowKey,
        agents: Vec<NodeAddress>,
        undecided: &BTreeMap<NodeAddress, ServiceKey>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) -> Vec<NodeAddress> {
        let services = self.likely_services(key);
        let has_packet = self
            .search_of(&key)
            .is_some_and(|search| search.has_packet());
        let mut others = Vec::new();
        for agent in agents {
            let service = undecided.get(&agent).copied();
            match service.filter(|service| has_packet && services.contains(service)) {
                Some(service) => {
                    self.directory.start_probing(agent, now);
                    self.give_packet(agent, service, key, now, actions);
                }
                None => others.push(agent),
            }
        }
        others
    }

    /// Asks agents for the lists of their flows of which something is missing here.
    pub(crate) fn ask_for_lists(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if !self.locates_flows() || !self.list_bytes.has_remaining(now) {
            return;
        }
        let agents = self
            .directory
            .agents()
            .filter(|record| !record.is_marked_lost())
            .map(|record| record.address);
        for to in self
            .flow_index
            .take_agents_to_list(agents, LISTS_A_TICK, now)
        {
            let flows = self
                .directory
                .agent(to)
                .map_or(0, |record| record.load.flows);
            let bytes = flows.saturating_mul(FINGERPRINT_BYTES) + LIST_HEADER;
            self.list_bytes.spend(bytes);
            self.counters.flow_lists_requested += 1;
            let message = PeerMessage::ListFlows;
            actions.push(BalancerAction::Send { to, message });
        }
    }
}
