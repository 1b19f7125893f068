//! The outcome of searches: denials, claims, and the reset of flows that are
//! held nowhere.
//!
//! While a search is undecided, every target that may hold the flow is asked
//! again by batched queries, which need no further packet of the caller. The
//! flow is reset only when each of them has denied and the balancer has
//! listened long enough to know all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::identity::{FlowKey, Incarnation, NodeAddress};
use super::super::message::{MAXIMUM_KEYS, PeerMessage};
use super::super::note::Note;
use super::super::packet::{FlowPacket, ResetReason};
use super::{Balancer, BalancerAction, Stage};
use crate::clock::Instant;

/// Targets that are asked by queries; where more may hold the flow, it is
/// reset only by its target's end.
pub const MOST_ASKED: usize = 512;
/// Time between two queries for one flow.
const QUERY_INTERVAL: Duration = Duration::from_millis(120);
/// Flows asked for in one round of queries.
const QUERIED_FLOWS: usize = 4096;
/// Least time after its start in which a balancer resets no flow that is held
/// nowhere, when another node has told it which agents there are.
const LEAST_LISTENING: Duration = Duration::from_millis(200);
/// The same when no other node has.
const LEAST_LISTENING_ALONE: Duration = Duration::from_millis(600);
/// Time without a new agent after which the balancer knows all of them; or
/// longer, when agents report more slowly.
const SETTLED_AFTER: Duration = Duration::from_millis(150);

impl Balancer {
    /// Every agent whose target may hold a flow: of all services, because the
    /// route may have led elsewhere before this balancer started. `None` when
    /// there are too many to ask.
    fn possible_holders(&self) -> Option<Vec<NodeAddress>> {
        if self.directory.len() > MOST_ASKED {
            return None;
        }
        let open = self
            .directory
            .agents()
            .filter(|record| !record.is_given_up());
        Some(open.map(|record| record.address).collect())
    }

    /// An agent says that its target does not hold a flow that it was sent a
    /// packet of; the packet goes to the others.
    pub(super) fn held_elsewhere(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.search_when_holder_denies(from, &packet.key, now) {
            let routing = self.begin_search(packet.key);
            self.carry_out(routing, bytes, actions);
        }
        self.denied(from, &[packet.key], now, actions);
    }

    /// An agent says that its target does not hold flows searched for.
    pub(super) fn denied(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        for key in keys {
            if self.search_when_holder_denies(from, key, now) {
                self.searching.push(*key);
                self.notes.add(Note::SearchStarted {
                    key: *key,
                    asked: 0,
                });
            }
            let Some(search) = self.search_of(key) else {
                continue;
            };
            if !search.denied.contains(&from) {
                search.denied.push(from);
            }
            self.conclude(*key, now, actions);
        }
    }

    /// An agent cannot tell whether its target holds flows: the target decides
    /// by the caller's next packet. Where a flow is not likely to be, that
    /// counts as a denial: its packets must not reach another service, so
    /// nothing more can be learned.
    pub(super) fn undecided(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(service) = self.directory.agent(from).map(|record| record.service) else {
            return;
        };
        let unlikely: Vec<FlowKey> = keys
            .iter()
            .copied()
            .filter(|key| !self.likely_services(*key).contains(&service))
            .collect();
        self.denied(from, &unlikely, now, actions);
    }

    /// Resets a flow that every possible holder has denied.
    fn conclude(&mut self, key: FlowKey, now: Instant, actions: &mut Vec<BalancerAction>) {
        if !self.knows_all_agents(now) {
            return;
        }
        let Some(holders) = self.possible_holders() else {
            return;
        };
        let Some(search) = self.search_of(&key) else {
            return;
        };
        if search.is_over(now) || !holders.iter().all(|agent| search.denied.contains(agent)) {
            return;
        }
        let count = search.denied.len();
        if let Some(entry) = self.flows.remove(&key) {
            let sequence = entry.acknowledged;
            let reset = self.reset(key, sequence, ResetReason::HeldNowhere, count);
            actions.push(BalancerAction::Reset(reset));
        }
    }

    /// Whether the balancer has listened long enough to know every agent, and
    /// hears each one that another node has named.
    fn knows_all_agents(&self, now: Instant) -> bool {
        let report = self.report_interval();
        let least = if self.has_snapshot {
            LEAST_LISTENING.max(report)
        } else {
            LEAST_LISTENING_ALONE.max(report * 2)
        };
        let has_listened = now.since(self.started_at) >= least;
        let is_settled = now.since(self.agent_found_at) >= SETTLED_AFTER.max(report);
        has_listened && is_settled && self.named_agents.is_empty() && !self.directory.is_empty()
    }

    /// Asks again for the flows that are searched for.
    pub(super) fn pursue_searches(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.searches_begun = 0;
        let Some(holders) = self.possible_holders() else {
            self.searching.clear();
            return;
        };
        let mut queries: BTreeMap<NodeAddress, Vec<FlowKey>> = BTreeMap::new();
        let mut undecided = Vec::new();
        let mut searching = std::mem::take(&mut self.searching);
        searching.truncate(QUERIED_FLOWS);
        for key in searching {
            let Some(search) = self.search_of(&key) else {
                continue;
            };
            if search.is_over(now) {
                continue;
            }
            undecided.push(key);
            let is_due = search
                .queried_at
                .is_none_or(|at| now.since(at) >= QUERY_INTERVAL);
            if is_due {
                search.queried_at = Some(now);
                for agent in holders
                    .iter()
                    .filter(|agent| !search.denied.contains(agent))
                {
                    queries.entry(*agent).or_default().push(key);
                }
            }
        }
        self.searching = undecided;
        for (to, keys) in queries {
            for batch in keys.chunks(MAXIMUM_KEYS) {
                let message = PeerMessage::Locate {
                    keys: batch.to_vec(),
                };
                actions.push(BalancerAction::Send { to, message });
            }
        }
        for key in self.searching.clone() {
            self.conclude(key, now, actions);
        }
    }

    /// A target holds a flow that was searched for.
    pub(super) fn located(
        &mut self,
        agent: NodeAddress,
        key: FlowKey,
        incarnation: Option<Incarnation>,
        now: Instant,
    ) {
        let Some(record) = self.directory.agent(agent) else {
            return;
        };
        let service = record.service;
        if let Some(entry) = self.flows.use_flow(&key)
            && matches!(entry.stage, Stage::Searching(_))
        {
            entry.service = service;
            entry.stage = Stage::Held {
                agent,
                incarnation,
                since: now,
            };
            self.notes.add(Note::FlowLocated { key, agent });
        }
    }
}
