//! The search for the target that holds a flow.
//!
//! The packet goes at once to the first targets of the flow's route, at most
//! [`SEARCH_FANOUT`] of them, and each further packet to the first of those that
//! have not denied. All others are asked by queries, and get the packet when they
//! cannot tell without one. Where agents tell which flows they hold, a search begins
//! with those: [`named_holders`]. How a search ends is in [`crate::flow::balancer::search::outcome`].

pub mod flow_index;
pub(crate) mod named_holders;
pub(crate) mod outcome;
pub(crate) mod rounds;
pub mod work_budget;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::balancer::search::named_holders::NAMED_ANSWER_WITHIN;
use crate::flow::balancer::{Balancer, FlowEntry, Stage};
use crate::flow::identity::{FlowKey, NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{ForwardHeader, ForwardPurpose};
use crate::flow::packet::{FlowPacket, PacketKind};
use crate::flow::selection::first_candidates;

/// Targets that a packet of an unknown flow goes to.
pub const SEARCH_FANOUT: usize = 24;
/// Age after which a search counts as over, and a packet begins it anew: longer
/// than the pauses between a caller's repetitions, so that what was denied still
/// counts when the next one comes.
const SEARCH_LASTS: Duration = Duration::from_millis(5000);
/// Time after which an agent that could not tell gets the packet again.
const HANDED_AGAIN_AFTER: Duration = Duration::from_millis(400);
/// Time that the first targets have to show whether one of them holds the flow,
/// before all others are asked: the pause before a caller's first repetition. Those
/// that do not hold it give the packet back at once; the one that does shows it with
/// its answer.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(200);
/// Searches that begin between two ticks. More are left to the callers' next
/// copies, so that packets of flows that never existed are not multiplied
/// without a bound.
pub const SEARCHES_A_TICK: u32 = 1000;

/// A search for one flow.
#[derive(Clone, Debug)]
pub(crate) struct Search {
    pub(crate) denied: BTreeSet<NodeAddress>,
    started_at: Instant,
    pub(crate) queried_at: Option<Instant>,
    /// The caller's latest packet; empty when none is at hand.
    packet: Vec<u8>,
    /// Packets that wait until it is known who holds the flow, the oldest first.
    kept: Vec<Vec<u8>>,
    /// When agents that could not tell without a packet were last handed it.
    handed: BTreeMap<NodeAddress, Instant>,
    /// The first targets that the packet went to.
    first_asked: Vec<NodeAddress>,
    /// Time that these have to answer.
    first_answer_within: Duration,
    /// Whether it was noted that the search goes on for long.
    is_noted: bool,
}

impl Search {
    fn new(packet: &[u8], now: Instant) -> Self {
        Self {
            denied: BTreeSet::new(),
            started_at: now,
            queried_at: None,
            packet: packet.to_vec(),
            kept: Vec::new(),
            handed: BTreeMap::new(),
            first_asked: Vec::new(),
            first_answer_within: FIRST_ANSWER_WITHIN,
            is_noted: false,
        }
    }

    /// Whether one of the first targets may hold the flow and has had no time yet to
    /// show it. `may_answer` says whether an agent is believed to live.
    pub(crate) fn awaits_first(
        &self,
        may_answer: impl Fn(NodeAddress) -> bool,
        now: Instant,
    ) -> bool {
        let is_open = |agent: &NodeAddress| !self.denied.contains(agent) && may_answer(*agent);
        now.since(self.started_at) < self.first_answer_within
            && self.first_asked.iter().any(is_open)
    }

    /// The packet, when it is to be handed to an agent that could not tell
    /// without one; counts as handing it over.
    pub(crate) fn packet_for(&mut self, agent: NodeAddress, now: Instant) -> Option<Vec<u8>> {
        let handed_at = self.handed.get(&agent);
        let is_due = handed_at.is_none_or(|at| now.since(*at) >= HANDED_AGAIN_AFTER);
        if self.packet.is_empty() || !is_due {
            return None;
        }
        self.handed.insert(agent, now);
        Some(self.packet.clone())
    }

    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now.since(self.started_at) >= SEARCH_LASTS
    }
}

impl Balancer {
    pub(crate) fn search_unknown(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
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
            let nobody = BTreeSet::new();
            let named = self.to_named(packet.key, &nobody);
            if !named.is_empty() {
                return Routing::Several(named);
            }
            return self.ask_first(packet.key, &nobody);
        }
        if self.place_recorded(packet, now).is_some() {
            return self.route_established(packet, bytes, now);
        }
        let entry = FlowEntry {
            service,
            acknowledged: packet.acknowledgement,
            caller_next: packet.sequence.wrapping_add(packet.payload_length.into()),
            finished: packet.kind == PacketKind::Finish,
            stage: Stage::Searching(Search::new(bytes, now)),
        };
        self.flows.insert(packet.key, entry, now);
        self.begin_search(packet.key)
    }

    /// The flow was opened through another balancer, while this one waited or
    /// asked a target that the caller did not choose.
    pub(crate) fn search_opened_elsewhere(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        self.become_searching(&packet.key, Search::new(bytes, now));
        self.begin_search(packet.key)
    }

    fn become_searching(&mut self, key: &FlowKey, search: Search) {
        if let Some(entry) = self.flows.touch(key) {
            entry.stage = Stage::Searching(search);
        }
    }

    /// Begins a search when the agent that is believed to hold a flow denies
    /// it; says whether it did. `bytes` are the packet that was denied, if it
    /// came back.
    pub(crate) fn search_when_holder_denies(
        &mut self,
        from: NodeAddress,
        key: &FlowKey,
        bytes: &[u8],
        now: Instant,
    ) -> bool {
        let is_holder = self.flows.peek(key).is_some_and(
            |entry| matches!(&entry.stage, Stage::Held { agent, .. } if *agent == from),
        );
        if is_holder {
            let mut search = Search::new(bytes, now);
            search.denied.insert(from);
            self.become_searching(key, search);
        }
        is_holder
    }

    /// A further packet of a flow that is searched for.
    pub(crate) fn search_on(&mut self, packet: &FlowPacket, bytes: &[u8], now: Instant) -> Routing {
        let key = packet.key;
        let Some(search) = self.search_of(&key) else {
            return Routing::Drop(DropReason::HolderUnknown);
        };
        if search.is_over(now) {
            *search = Search::new(bytes, now);
            return self.begin_search(key);
        }
        search.packet = bytes.to_vec();
        self.counters.searched_packets += 1;
        self.ask_open(key)
    }

    pub(crate) fn begin_search(&mut self, key: FlowKey) -> Routing {
        self.searching.push(key);
        self.counters.searched_packets += 1;
        let routing = self.ask_open(key);
        let first_asked: Vec<NodeAddress> = match &routing {
            Routing::Several(receivers) => receivers.iter().map(|(agent, _)| *agent).collect(),
            _ => Vec::new(),
        };
        let asked = first_asked.len();
        let is_by_list = self.locates_flows();
        self.counters.searches_by_list += u64::from(is_by_list && asked > 0);
        if let Some(search) = self.search_of(&key) {
            search.first_asked = first_asked;
            if is_by_list {
                search.first_answer_within = NAMED_ANSWER_WITHIN;
            }
        }
        self.notes.add(LogEvent::SearchStarted { key, asked });
        routing
    }

    pub(crate) fn search_of(&mut self, key: &FlowKey) -> Option<&mut Search> {
        match &mut self.flows.touch(key)?.stage {
            Stage::Searching(search) => Some(search),
            _ => None,
        }
    }

    /// The packet goes to the first targets that have not denied.
    fn ask_open(&mut self, key: FlowKey) -> Routing {
        if self.locates_flows() {
            return self.ask_named(key);
        }
        let denied = self
            .search_of(&key)
            .map_or_else(BTreeSet::new, |search| search.denied.clone());
        self.ask_first(key, &denied)
    }

    fn ask_first(&self, key: FlowKey, denied: &BTreeSet<NodeAddress>) -> Routing {
        let purpose = ForwardPurpose::Search;
        let mut receivers: Vec<(NodeAddress, ForwardHeader)> = Vec::new();
        for service in self.likely_services(key) {
            let header = self.header(service, purpose);
            let is_left_out = |agent: NodeAddress| denied.contains(&agent);
            let agents =
                first_candidates(&self.directory, service, &key, is_left_out, SEARCH_FANOUT);
            receivers.extend(agents.into_iter().map(|agent| (agent, header)));
        }
        if receivers.is_empty() {
            return Routing::Drop(DropReason::HolderUnknown);
        }
        Routing::Several(receivers)
    }

    /// Services that the flow may have been opened with: those of its route
    /// and those that the route had before.
    pub(crate) fn likely_services(&self, key: FlowKey) -> Vec<ServiceKey> {
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
}
