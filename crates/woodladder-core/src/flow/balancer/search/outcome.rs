//! The outcome of searches: denials, located flows, and the reset of flows that no
//! target holds.
//!
//! Once the first targets have denied the flow, or have had time to answer, every agent
//! whose target may hold it is queried. Queries are batched and need no further packet
//! of the caller. An agent that has restarted while its target kept running has no
//! complete list of the target's flows. Such an agent is sent the packet, which the
//! target returns if it does not hold the flow. The flow is reset only when each of
//! these agents has denied the flow, or is ruled out by the history of the flow's route, and
//! the balancer has a record of every agent
//! ([`crate::flow::balancer::membership::agent_discovery`]).

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::absence::AbsenceEvidence;
use crate::flow::balancer::{Balancer, BalancerAction, Stage};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;
use crate::flow::message::ForwardPurpose;
use crate::flow::packet::FlowPacket;

/// Maximum number of packets sent, between two full rounds of queries, to agents that
/// need a packet to decide. Further packets follow when the agent has been queried
/// again.
const MAXIMUM_PACKETS_PER_ROUND: u32 = 256;

impl Balancer {
    /// Agents whose targets may hold a flow. Agents of all services count, because the
    /// route may have led to another service before this balancer started.
    pub(crate) fn possible_holders(&self, now: Instant) -> Vec<NodeAddress> {
        let locates = self.locates_flows();
        self.directory
            .agents()
            .filter(|record| !record.is_marked_lost())
            .filter(|record| !(locates && record.is_gone_without_target(now)))
            .map(|record| record.address)
            .collect()
    }

    /// Handles a packet that an agent returned because its target does not hold the
    /// flow. This counts as a denial. If the table lists that agent as the holder, a
    /// search begins with the packet; otherwise the packet is not sent on.
    pub(crate) fn handle_packet_not_held(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.search_if_denied_by_holder(from, &packet.key, bytes, now) {
            let routing = self.begin_search(packet.key, now);
            self.push_actions(routing, bytes, actions);
        }
        self.handle_denial(from, &[packet.key], now, actions);
    }

    /// Handles an agent's denial that its target holds flows that are searched for.
    pub(crate) fn handle_denial(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        for key in keys {
            if self.reset_if_recorded_here(from, *key, actions) {
                continue;
            }
            if self.search_if_denied_by_holder(from, key, &[], now) {
                self.searched_flows.push(*key);
                self.log_events.add(LogEvent::SearchStarted {
                    key: *key,
                    asked: 0,
                });
            }
            let Some(search) = self.search_of(key) else {
                continue;
            };
            search.denied_by.insert(from);
            let is_unqueried = search.queried_at.is_none();
            if is_unqueried && self.locates_flows() {
                self.unqueried_flows.push(*key);
            }
        }
        self.reset_denied_flows(keys, now, actions);
    }

    /// Handles the answer of an agent that needs packets to decide whether its target
    /// holds flows: the agent is sent a packet of each flow, and the target decides. A
    /// packet must not reach a service that its flow cannot have been opened with, so the
    /// other flows are either ruled out or stay undecided.
    pub(crate) fn handle_undecided(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.handle_recorded_flows_undecided(from, keys, now);
        let Some(service) = self.directory.agent(from).map(|record| record.service) else {
            return;
        };
        let (possible, others): (Vec<FlowKey>, Vec<FlowKey>) = keys
            .iter()
            .partition(|key| self.possible_services(**key).contains(&service));
        self.rule_out_holder(from, &others, now, actions);
        for key in possible {
            self.send_search_packet_within_limits(from, service, key, now, actions);
        }
    }

    /// Rules out an agent as the holder of flows that cannot have been opened with its
    /// service. This balancer knows that only if it knows every service that the flows'
    /// routes have led to within the lifetime of a flow, and if the flow record does not name
    /// the agent as the holder.
    fn rule_out_holder(
        &mut self,
        agent: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let lifetime = self.options.flow_lifetime;
        if !self.routes.history().covers(lifetime, now) {
            return;
        }
        for key in keys {
            let is_recorded = self.flow_records.names_holder(agent, key);
            if let Some(search) = self.search_of(key).filter(|_| !is_recorded) {
                search.denied_by.insert(agent);
            }
        }
        self.reset_denied_flows(keys, now, actions);
    }

    /// Sends the packet of a search to an agent that needs a packet to decide, if the
    /// limits allow another packet.
    fn send_search_packet_within_limits(
        &mut self,
        agent: NodeAddress,
        service: ServiceKey,
        key: FlowKey,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let is_possible = if self.locates_flows() {
            self.can_query_another_flow(now)
        } else {
            self.search_packets_this_round < MAXIMUM_PACKETS_PER_ROUND
        };
        if is_possible {
            self.send_search_packet(agent, service, key, now, actions);
        }
    }

    pub(crate) fn send_search_packet(
        &mut self,
        agent: NodeAddress,
        service: ServiceKey,
        key: FlowKey,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if !self.may_send_stray(&key, now) {
            return;
        }
        let packet = self
            .search_of(&key)
            .and_then(|search| search.take_packet_for(agent, now));
        let Some(packet) = packet else {
            return;
        };
        self.search_packets_this_round += 1;
        let bytes = u32::try_from(packet.len()).unwrap_or(u32::MAX);
        self.packet_byte_budget.spend(bytes);
        self.query_budget.spend(1);
        self.counters.search_packets += 1;
        actions.push(BalancerAction::Forward {
            to: agent,
            header: self.forward_header(service, ForwardPurpose::Search),
            packet,
        });
    }

    /// Resets those of the flows that every possible holder has denied.
    pub(crate) fn reset_denied_flows(
        &mut self,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if keys.is_empty() || !self.knows_all_agents(now) {
            return;
        }
        let holders = self.possible_holders(now);
        for key in keys {
            let Some(search) = self.search_of(key) else {
                continue;
            };
            // This runs for each answer, so the counts are compared before the sets.
            let may_be_all = search.denied_by.len() >= holders.len();
            if !may_be_all
                || search.is_over(now)
                || !holders.iter().all(|agent| search.denied_by.contains(agent))
            {
                continue;
            }
            let waited = now.since(search.started_at);
            let evidence = AbsenceEvidence::DeniedByAll {
                agents: search.denied_by.len(),
                waited,
            };
            self.log_events
                .add(LogEvent::AbsenceProved { key: *key, waited });
            if let Some(entry) = self.flows.remove(key) {
                self.reset_open_flow(*key, entry.acknowledged, &evidence, actions);
            }
        }
    }

    /// Handles an agent's answer that its target holds a flow that is searched for.
    pub(crate) fn handle_located(
        &mut self,
        agent: NodeAddress,
        key: FlowKey,
        incarnation: Option<Incarnation>,
        heartbeat: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.promises.record_held(&key, now);
        let Some(record) = self.directory.agent(agent) else {
            return;
        };
        let service = record.service;
        self.handle_recorded_flow_located(agent, key, now);
        let Some(search) = self.search_of(&key) else {
            return;
        };
        let waited = now.since(search.started_at);
        let was_named = search.is_first_target(agent);
        if self.locates_flows() {
            let (terms, _) = self.routes.terms(key.service, service);
            let is_awaited = waited < Duration::from_millis(terms.timeout_ms.into());
            if is_awaited {
                self.send_kept_packets(agent, service, &key, actions);
            }
            let counter = if was_named {
                &mut self.counters.flows_located_by_list
            } else {
                &mut self.counters.flows_located_by_query
            };
            *counter += 1;
        }
        if let Some(entry) = self.flows.touch(&key) {
            entry.service = service;
            entry.stage = Stage::Held {
                agent,
                incarnation,
                heartbeat,
                known_since: now,
            };
            self.log_events.add(LogEvent::FlowLocated {
                key,
                agent,
                waited,
                was_named,
            });
        }
    }
}
