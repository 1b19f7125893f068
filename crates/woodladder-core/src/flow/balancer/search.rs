//! The search for the target that holds a flow.
//!
//! The packet goes at once to the first targets of the flow's route, at most
//! [`FIRST_ASKED`] of them, and each further packet to the first of those that
//! have not denied. While the search is undecided, every target that
//! may hold the flow is asked again by batched queries, which need no further
//! packet of the caller. The flow is reset only when each of them has denied
//! and the balancer has listened long enough to know all of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey};
use super::super::message::{ForwardHeader, ForwardPurpose, MAXIMUM_KEYS, PeerMessage};
use super::super::note::Note;
use super::super::packet::{FlowPacket, PacketKind, ResetReason};
use super::super::selection::first_candidates;
use super::forwarding::{DropReason, Routing};
use super::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::clock::Instant;

/// Targets that a packet of an unknown flow goes to.
pub const FIRST_ASKED: usize = 24;
/// Targets that are asked by queries; where more may hold the flow, it is
/// reset only by its target's end.
pub const MOST_ASKED: usize = 512;
/// Age after which a search counts as over, and a packet begins it anew.
const SEARCH_LASTS: Duration = Duration::from_millis(1600);
/// Time between two queries for one flow.
const QUERY_INTERVAL: Duration = Duration::from_millis(120);
/// Flows asked for in one round of queries.
const QUERIED_FLOWS: usize = 4096;
/// Searches that begin between two ticks. More are left to the callers' next
/// copies, so that packets of flows that never existed are not multiplied
/// without a bound.
pub const SEARCHES_A_TICK: u32 = 1000;
/// Least time after its start in which a balancer resets no flow that is held
/// nowhere, when another node has told it which agents there are.
const LEAST_LISTENING: Duration = Duration::from_millis(200);
/// The same when no other node has.
const LEAST_LISTENING_ALONE: Duration = Duration::from_millis(600);
/// Time without a new agent after which the balancer knows all of them; or
/// longer, when agents report more slowly.
const SETTLED_AFTER: Duration = Duration::from_millis(150);

/// A search for one flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    denied: Vec<NodeAddress>,
    started_at: Instant,
    queried_at: Option<Instant>,
}

impl Search {
    fn new(now: Instant) -> Self {
        Self {
            denied: Vec::new(),
            started_at: now,
            queried_at: None,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        now.since(self.started_at) >= SEARCH_LASTS
    }
}

impl Balancer {
    pub(super) fn search_unknown(&mut self, packet: &FlowPacket, now: Instant) -> Routing {
        if self.routes.current().is_none() {
            return Routing::Drop(DropReason::NoConfiguration);
        }
        let Some(service) = self.likely_services(packet.key).first().copied() else {
            return Routing::Drop(DropReason::HolderUnknown);
        };
        if self.searches_begun >= SEARCHES_A_TICK {
            return Routing::Drop(DropReason::TooManySearches);
        }
        self.searches_begun += 1;
        if packet.kind == PacketKind::Reset {
            // Its target may hold the flow; the caller awaits no answer.
            return self.ask_first(packet.key, &[]);
        }
        let entry = FlowEntry {
            service,
            acknowledged: packet.acknowledgement,
            finished: packet.kind == PacketKind::Finish,
            stage: Stage::Searching(Search::new(now)),
        };
        self.flows.insert(packet.key, entry, now);
        self.begin_search(packet.key, &[])
    }

    /// The flow was opened through another balancer, while this one waited or
    /// asked a target that the caller did not choose.
    pub(super) fn search_opened_elsewhere(&mut self, key: FlowKey, now: Instant) -> Routing {
        self.become_searching(&key, Search::new(now));
        self.begin_search(key, &[])
    }

    fn become_searching(&mut self, key: &FlowKey, search: Search) {
        if let Some(entry) = self.flows.use_flow(key) {
            entry.stage = Stage::Searching(search);
        }
    }

    /// Begins a search when the agent that is believed to hold a flow denies
    /// it; says whether it did.
    fn search_when_holder_denies(
        &mut self,
        from: NodeAddress,
        key: &FlowKey,
        now: Instant,
    ) -> bool {
        let is_holder = self.flows.peek(key).is_some_and(
            |entry| matches!(&entry.stage, Stage::Held { agent, .. } if *agent == from),
        );
        if is_holder {
            let mut search = Search::new(now);
            search.denied.push(from);
            self.become_searching(key, search);
        }
        is_holder
    }

    /// A further packet of a flow that is searched for.
    pub(super) fn search_on(&mut self, key: FlowKey, now: Instant) -> Routing {
        let Some(search) = self.search_of(&key) else {
            return Routing::Drop(DropReason::HolderUnknown);
        };
        if search.is_over(now) {
            *search = Search::new(now);
            return self.begin_search(key, &[]);
        }
        let denied = search.denied.clone();
        self.counters.searched += 1;
        self.ask_first(key, &denied)
    }

    fn begin_search(&mut self, key: FlowKey, denied: &[NodeAddress]) -> Routing {
        self.searching.push(key);
        self.counters.searched += 1;
        let routing = self.ask_first(key, denied);
        let asked = match &routing {
            Routing::Several(receivers) => receivers.len(),
            _ => 0,
        };
        self.notes.add(Note::SearchStarted { key, asked });
        routing
    }

    fn search_of(&mut self, key: &FlowKey) -> Option<&mut Search> {
        match &mut self.flows.use_flow(key)?.stage {
            Stage::Searching(search) => Some(search),
            _ => None,
        }
    }

    /// The packet goes to the first targets that have not denied.
    fn ask_first(&self, key: FlowKey, denied: &[NodeAddress]) -> Routing {
        let purpose = ForwardPurpose::Search;
        let mut receivers: Vec<(NodeAddress, ForwardHeader)> = Vec::new();
        for service in self.likely_services(key) {
            let header = self.header(service, purpose);
            let agents = first_candidates(&self.directory, service, &key, denied, FIRST_ASKED);
            receivers.extend(agents.into_iter().map(|agent| (agent, header)));
        }
        if receivers.is_empty() {
            return Routing::Drop(DropReason::HolderUnknown);
        }
        Routing::Several(receivers)
    }

    /// Services that the flow may have been opened with: those of its route
    /// and those that the route had before.
    fn likely_services(&self, key: FlowKey) -> Vec<ServiceKey> {
        let route = self.routes.route(key.service);
        let parts = route.map_or(&[][..], |route| route.parts.as_slice());
        let mut services: Vec<ServiceKey> = parts.iter().map(|part| part.service).collect();
        for service in self.routes.former_services(key.service) {
            if !services.contains(service) {
                services.push(*service);
            }
        }
        services
    }

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
            let routing = self.begin_search(packet.key, &[from]);
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

    /// An agent cannot tell whether its target holds flows. Where a flow is
    /// not likely to be, that counts as a denial: its packets must not reach
    /// another service, so nothing more can be learned.
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
    ) {
        let Some(record) = self.directory.agent(agent) else {
            return;
        };
        let service = record.service;
        if let Some(entry) = self.flows.use_flow(&key)
            && matches!(entry.stage, Stage::Searching(_))
        {
            entry.service = service;
            entry.stage = Stage::Held { agent, incarnation };
            self.notes.add(Note::FlowLocated { key, agent });
        }
    }
}
