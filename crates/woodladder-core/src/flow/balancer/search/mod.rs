//! Searches for the target that holds an unknown flow.
//!
//! The first packet of the flow is copied to the first targets of its route, at most
//! [`SEARCH_FANOUT`] of each service, and each further packet to the first targets that
//! have not denied the flow. The agents of all other targets are queried without a
//! packet; an agent that needs a packet to decide is sent one. Where agents announce
//! which flows they hold, a search begins with the announced holders: see
//! [`announced_holders`]. How a search ends is described in
//! [`crate::flow::balancer::search::outcome`].

pub(crate) mod announced_holders;
pub mod flow_index;
pub(crate) mod outcome;
pub(crate) mod rounds;
pub(crate) mod strays;
pub mod work_budget;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::balancer::search::announced_holders::ANNOUNCED_HOLDERS_TIMEOUT;
use crate::flow::balancer::{Balancer, FlowEntry, Stage};
use crate::flow::identity::{FlowKey, NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{ForwardHeader, ForwardPurpose};
use crate::flow::packet::{FlowPacket, PacketKind};
use crate::flow::selection::first_candidates;

/// Maximum number of targets of one service that a packet of an unknown flow is copied
/// to.
pub const SEARCH_FANOUT: usize = 24;
/// Age from which on a search counts as over, and the next packet begins a new one. It
/// is longer than the pauses between a caller's retransmissions, so that denials still
/// count when the next retransmission arrives.
const SEARCH_LIFETIME: Duration = Duration::from_millis(5000);
/// Time after which an agent that needs a packet to decide is sent the packet again.
const PACKET_RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Time that the first targets have to show whether one of them holds the flow before
/// all others are queried: the pause before a caller's first retransmission. Targets
/// that do not hold the flow return the packet at once; a target that holds the flow is
/// recognised only by its answer to the caller.
const FIRST_TARGETS_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of searches begun between two full rounds of queries. Further packets
/// are dropped, and the callers' retransmissions can begin the search later. This
/// bounds how much traffic packets of flows that never existed can cause.
pub const MAXIMUM_SEARCHES_PER_ROUND: u32 = 1000;

/// A search for the target that holds one flow.
#[derive(Clone, Debug)]
pub(crate) struct Search {
    pub(crate) denied_by: BTreeSet<NodeAddress>,
    started_at: Instant,
    pub(crate) queried_at: Option<Instant>,
    /// The caller's latest packet; empty if the balancer has none.
    latest_packet: Vec<u8>,
    /// Packets that wait until the holder of the flow is known, oldest first.
    kept_packets: Vec<Vec<u8>>,
    /// When each agent that needs a packet to decide was last sent one.
    packet_sent_at: BTreeMap<NodeAddress, Instant>,
    /// When a packet was last sent to such an agent while the holder may have been away.
    stray_sent_at: Option<Instant>,
    /// Agents of the first targets, which the packet was copied to.
    first_targets: Vec<NodeAddress>,
    /// Time that the first targets have to answer before all agents are queried.
    first_targets_timeout: Duration,
    /// Whether it was already logged that this search takes long.
    is_logged: bool,
}

impl Search {
    fn new(packet: &[u8], now: Instant) -> Self {
        Self {
            denied_by: BTreeSet::new(),
            started_at: now,
            queried_at: None,
            latest_packet: packet.to_vec(),
            kept_packets: Vec::new(),
            packet_sent_at: BTreeMap::new(),
            stray_sent_at: None,
            first_targets: Vec::new(),
            first_targets_timeout: FIRST_TARGETS_TIMEOUT,
            is_logged: false,
        }
    }

    /// Whether one of the first targets may still hold the flow and has not yet had
    /// time to answer. `may_answer` returns whether an agent may be alive.
    pub(crate) fn awaits_first_targets(
        &self,
        may_answer: impl Fn(NodeAddress) -> bool,
        now: Instant,
    ) -> bool {
        let is_open = |agent: &NodeAddress| !self.denied_by.contains(agent) && may_answer(*agent);
        now.since(self.started_at) < self.first_targets_timeout
            && self.first_targets.iter().any(is_open)
    }

    /// Returns the caller's latest packet if it is due to be sent to an agent that needs
    /// a packet to decide, and records it as sent to the agent now.
    pub(crate) fn take_packet_for(&mut self, agent: NodeAddress, now: Instant) -> Option<Vec<u8>> {
        let sent_at = self.packet_sent_at.get(&agent);
        let is_due = sent_at.is_none_or(|at| now.since(*at) >= PACKET_RESEND_INTERVAL);
        if self.latest_packet.is_empty() || !is_due {
            return None;
        }
        self.packet_sent_at.insert(agent, now);
        Some(self.latest_packet.clone())
    }

    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now.since(self.started_at) >= SEARCH_LIFETIME
    }
}

impl Balancer {
    pub(crate) fn route_unknown_flow(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        if self.routes.current().is_none() {
            return Routing::Drop(DropReason::NoConfiguration);
        }
        let Some(service) = self.possible_services(packet.key).first().copied() else {
            return Routing::Drop(DropReason::HolderUnknown);
        };
        if self.searches_begun_this_round >= MAXIMUM_SEARCHES_PER_ROUND {
            return Routing::Drop(DropReason::TooManySearches);
        }
        self.searches_begun_this_round += 1;
        if packet.kind == PacketKind::Reset {
            // The target that holds the flow, if any, must receive the caller's reset.
            // The caller waits for no answer, so no search is begun.
            let nobody = BTreeSet::new();
            let announced = self.announced_holder_headers(packet.key, &nobody);
            if !announced.is_empty() {
                return Routing::Several(announced);
            }
            return self.route_to_first_targets(packet.key, &nobody);
        }
        if self.insert_if_recorded(packet, now).is_some() {
            return self.route_established(packet, bytes, now);
        }
        let entry = FlowEntry {
            service,
            acknowledged: packet.acknowledgement,
            caller_next: packet.sequence.wrapping_add(packet.payload_length.into()),
            is_finished: packet.kind == PacketKind::Finish,
            stage: Stage::Searching(Search::new(bytes, now)),
        };
        self.flows.insert(packet.key, entry, now);
        self.begin_search(packet.key, now)
    }

    /// Begins a search for a flow that was opened through another balancer. At this
    /// balancer the flow's opening still waits, or was sent to a target that the caller
    /// did not choose.
    pub(crate) fn search_flow_opened_elsewhere(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        self.set_searching(&packet.key, Search::new(bytes, now));
        self.begin_search(packet.key, now)
    }

    fn set_searching(&mut self, key: &FlowKey, search: Search) {
        if let Some(entry) = self.flows.touch(key) {
            entry.stage = Stage::Searching(search);
        }
    }

    /// Begins a search if the agent that denies a flow is the one that the table lists
    /// as the holder. Returns whether the table lists that agent. `bytes` is the packet
    /// that the agent returned, or empty.
    pub(crate) fn search_if_denied_by_holder(
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
            search.denied_by.insert(from);
            self.set_searching(key, search);
        }
        is_holder
    }

    /// Routes a further packet of a flow that is searched for.
    pub(crate) fn continue_search(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        let key = packet.key;
        let Some(search) = self.search_of(&key) else {
            return Routing::Drop(DropReason::HolderUnknown);
        };
        if search.is_over(now) {
            *search = Search {
                stray_sent_at: search.stray_sent_at,
                ..Search::new(bytes, now)
            };
            return self.begin_search(key, now);
        }
        search.latest_packet = bytes.to_vec();
        self.counters.searched_packets += 1;
        self.route_search_packet(key, now)
    }

    pub(crate) fn begin_search(&mut self, key: FlowKey, now: Instant) -> Routing {
        self.searched_flows.push(key);
        self.counters.searched_packets += 1;
        let routing = self.route_search_packet(key, now);
        let first_targets: Vec<NodeAddress> = match &routing {
            Routing::Several(receivers) => receivers.iter().map(|(agent, _)| *agent).collect(),
            _ => Vec::new(),
        };
        let asked = first_targets.len();
        let is_by_list = self.locates_flows();
        self.counters.searches_by_list += u64::from(is_by_list && asked > 0);
        if let Some(search) = self.search_of(&key) {
            search.first_targets = first_targets;
            if is_by_list {
                search.first_targets_timeout = ANNOUNCED_HOLDERS_TIMEOUT;
            }
        }
        self.log_events.add(LogEvent::SearchStarted { key, asked });
        routing
    }

    pub(crate) fn search_of(&mut self, key: &FlowKey) -> Option<&mut Search> {
        match &mut self.flows.touch(key)?.stage {
            Stage::Searching(search) => Some(search),
            _ => None,
        }
    }

    /// Routes a packet to the first targets that have not denied the flow.
    fn route_search_packet(&mut self, key: FlowKey, now: Instant) -> Routing {
        if self.locates_flows() {
            return self.route_to_announced_holders(key);
        }
        let denied = self
            .search_of(&key)
            .map_or_else(BTreeSet::new, |search| search.denied_by.clone());
        let routing = self.route_to_first_targets(key, &denied);
        self.hold_back_strays(&key, routing, now)
    }

    fn route_to_first_targets(&self, key: FlowKey, denied: &BTreeSet<NodeAddress>) -> Routing {
        let purpose = ForwardPurpose::Search;
        let mut receivers: Vec<(NodeAddress, ForwardHeader)> = Vec::new();
        for service in self.possible_services(key) {
            let header = self.forward_header(service, purpose);
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

    /// Services that the flow may have been opened with, as far as this balancer knows: the
    /// current services of its route and the services that the route had before.
    pub(crate) fn possible_services(&self, key: FlowKey) -> Vec<ServiceKey> {
        let route = self.routes.route(key.service);
        let parts = route.map_or(&[][..], |route| route.parts.as_slice());
        let mut services: Vec<ServiceKey> = parts.iter().map(|part| part.service).collect();
        for service in self.routes.history().former_services(key.service) {
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services
    }
}
