//! The outcome of searches: denials, claims, and the reset of flows that are
//! held nowhere.
//!
//! Once the first targets have denied, or have had time to answer, every agent whose
//! target may hold the flow is asked by batched queries, which need no further packet
//! of the caller. An agent
//! that has restarted beside a running target cannot tell: it is handed the
//! packet, which the target gives back when it does not hold the flow. The flow is
//! reset only when each of them has denied and the balancer knows all of them
//! ([`crate::flow::balancer::membership::agent_census`]).

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction, Stage};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;
use crate::flow::message::ForwardPurpose;
use crate::flow::packet::{FlowPacket, ResetReason};

/// Packets handed to agents that cannot tell without one, between two ticks. The
/// others follow when the agent has been asked again.
const PACKETS_A_TICK: u32 = 256;

impl Balancer {
    /// Every agent whose target may hold a flow: of all services, because the
    /// route may have led elsewhere before this balancer started.
    pub(crate) fn possible_holders(&self, now: Instant) -> Vec<NodeAddress> {
        let locates = self.locates_flows();
        self.directory
            .agents()
            .filter(|record| !record.is_marked_lost())
            .filter(|record| !(locates && record.is_gone_without_target(now)))
            .map(|record| record.address)
            .collect()
    }

    /// An agent says that its target does not hold a flow that it was sent a
    /// packet of; the packet goes to the others.
    pub(crate) fn held_elsewhere(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.search_when_holder_denies(from, &packet.key, bytes, now) {
            let routing = self.begin_search(packet.key);
            self.carry_out(routing, bytes, actions);
        }
        self.denied(from, &[packet.key], now, actions);
    }

    /// An agent says that its target does not hold flows searched for.
    pub(crate) fn denied(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        for key in keys {
            if self.reset_recorded(from, *key, actions) {
                continue;
            }
            if self.search_when_holder_denies(from, key, &[], now) {
                self.searching.push(*key);
                self.notes.add(LogEvent::SearchStarted {
                    key: *key,
                    asked: 0,
                });
            }
            let Some(search) = self.search_of(key) else {
                continue;
            };
            search.denied.insert(from);
            let is_unasked = search.queried_at.is_none();
            if is_unasked && self.locates_flows() {
                self.unasked.push(*key);
            }
        }
        self.conclude(keys, now, actions);
    }

    /// An agent cannot tell whether its target holds flows: the target decides
    /// by the caller's packet. Where a flow is not likely to be, that counts as a
    /// denial: its packets must not reach another service, so nothing more can be
    /// learned.
    pub(crate) fn undecided(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.recorded_undecided(from, keys, now);
        let Some(service) = self.directory.agent(from).map(|record| record.service) else {
            return;
        };
        let (likely, unlikely): (Vec<FlowKey>, Vec<FlowKey>) = keys
            .iter()
            .partition(|key| self.likely_services(**key).contains(&service));
        self.denied(from, &unlikely, now, actions);
        for key in likely {
            self.hand_packet(from, service, key, now, actions);
        }
    }

    /// Hands the packet of a search to an agent that cannot tell without one, if another
    /// may be handed over now.
    fn hand_packet(
        &mut self,
        agent: NodeAddress,
        service: ServiceKey,
        key: FlowKey,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let is_possible = if self.locates_flows() {
            self.may_ask_about_another(now)
        } else {
            self.packets_handed < PACKETS_A_TICK
        };
        if is_possible {
            self.give_packet(agent, service, key, now, actions);
        }
    }

    pub(crate) fn give_packet(
        &mut self,
        agent: NodeAddress,
        service: ServiceKey,
        key: FlowKey,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let packet = self
            .search_of(&key)
            .and_then(|search| search.packet_for(agent, now));
        let Some(packet) = packet else {
            return;
        };
        self.packets_handed += 1;
        let bytes = u32::try_from(packet.len()).unwrap_or(u32::MAX);
        self.packet_bytes.spend(bytes);
        self.questions.spend(1);
        self.counters.search_packets += 1;
        actions.push(BalancerAction::Forward {
            to: agent,
            header: self.header(service, ForwardPurpose::Search),
            packet,
        });
    }

    /// Resets those of the flows that every possible holder has denied.
    pub(crate) fn conclude(
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
            // Counting first spares the comparison, which is made for each answer.
            let may_be_all = search.denied.len() >= holders.len();
            if !may_be_all
                || search.is_over(now)
                || !holders.iter().all(|agent| search.denied.contains(agent))
            {
                continue;
            }
            let count = search.denied.len();
            let waited = now.since(search.started_at);
            self.notes
                .add(LogEvent::AbsenceProved { key: *key, waited });
            if let Some(entry) = self.flows.remove(key) {
                let sequence = entry.acknowledged;
                let reset = self.reset(*key, sequence, ResetReason::HeldNowhere, count);
                actions.push(BalancerAction::Reset(reset));
            }
        }
    }

    /// A target holds a flow that was searched for.
    pub(crate) fn located(
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
        self.recorded_located(agent, key, now);
        let Some(search) = self.search_of(&key) else {
            return;
        };
        let waited = now.since(search.started_at);
        let was_named = search.was_named(agent);
        if self.locates_flows() {
            let (terms, _) = self.routes.terms(key.service, service);
            let is_awaited = waited < Duration::from_millis(terms.timeout_ms.into());
            if is_awaited {
                self.hand_kept(agent, service, &key, actions);
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
                since: now,
            };
            self.notes.add(LogEvent::FlowLocated {
                key,
                agent,
                waited,
                was_named,
            });
        }
    }
}
