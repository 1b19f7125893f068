//! The balancer on the carrier without tokens.
//!
//! # Lifecycle
//! It starts without knowledge and is ready once it holds a configuration and
//! hears an agent. Configuration and balancers come from the store or from any
//! node; agents come from their reports. Its table of flows is a cache: a flow
//! that is not in it is searched for among the targets of its route.

mod decision;
mod flow_records;
mod forwarding;
mod membership;
mod messages;
mod search;
mod store_duty;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::activation::ActiveMechanisms;
use super::configuration::{Configuration, RouteTable};
use super::directory::AgentDirectory;
use super::excluded_zones::ExcludedZones;
use super::flow_table::FlowTable;
use super::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey};
use super::link::LinkBudget;
use super::log_event::{LogEvent, LogEventBuffer};
use super::packet::{CallerReset, FlowPacket, PacketKind, ResetReason};
use super::peers::BalancerPeers;
use super::promises::{BrokenPromises, PromiseWatch};
use super::route_traffic::RouteTraffic;
use super::weighted_round_robin::WeightedRoundRobin;
use super::zone_members::ZoneMembers;
use crate::clock::Instant;

pub use decision::{BalancerAction, BalancerCounters, BalancerOptions};
pub use flow_records::FlowRecordCounters;
pub use forwarding::routing::{DropReason, Routing};
pub use membership::dissemination::OTHER_ZONE_FETCH_DELAY;
pub use membership::readiness::NotReadyReason;
pub use search::flow_index::FlowIndex;
pub use search::work_budget::WorkBudget;
pub use search::{SEARCH_FANOUT, SEARCHES_A_TICK};
pub use store_duty::{REGISTERED, WATCHERS};

/// Most agents that are all asked about one flow: questions and answers of more take
/// longer than the packets to the first targets that they replace.
const MOST_ASKED_AGENTS: usize = 160;
/// A pause between two ticks after which the process counts as stalled.
const STALL: Duration = Duration::from_millis(400);

#[derive(Clone, Debug)]
struct Acceptance {
    agent: NodeAddress,
    sequence: u32,
    incarnation: Option<Incarnation>,
    /// Number of the target's last heartbeat.
    heartbeat: u64,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Openings were sent, and the caller has not answered an acceptance yet.
    Opening {
        /// When the caller first sent it.
        since: Instant,
        /// Agents that gave the opening back or did not answer it.
        tried: Vec<NodeAddress>,
        /// Agent that has the opening and has not answered yet.
        awaited: Option<NodeAddress>,
        /// Whether that agent has said that the opening waits in its queue.
        is_queued: bool,
        accepted: Vec<Acceptance>,
    },
    /// One target holds the flow.
    Held {
        agent: NodeAddress,
        incarnation: Option<Incarnation>,
        /// Number of the target's last heartbeat when the flow was opened, or found by a
        /// search.
        heartbeat: u64,
        /// When it was opened, or found by a search, as far as is known here.
        since: Instant,
    },
    /// The targets are asked who holds the flow.
    Searching(search::Search),
}

#[derive(Clone, Debug)]
struct FlowEntry {
    service: ServiceKey,
    /// Last acknowledgement of the caller, from which a reset is numbered.
    acknowledged: u32,
    /// Number after the caller's last new byte.
    caller_next: u32,
    /// Whether the caller has closed its side.
    finished: bool,
    stage: Stage,
}

/// The balancer's state.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalancerOptions,
    routes: RouteTable,
    mechanisms: ActiveMechanisms,
    shares: WeightedRoundRobin,
    traffic: RouteTraffic,
    directory: AgentDirectory,
    peers: BalancerPeers,
    zone_members: ZoneMembers,
    /// What the machine's link bears, when its rate is known.
    link: Option<LinkBudget>,
    /// Larger balancers that callers' packets are handed to.
    relay_receivers: Vec<NodeAddress>,
    /// Smaller balancers of the zone that hand their packets to this one.
    relaying_members: Vec<NodeAddress>,
    flows: FlowTable<FlowEntry>,
    notes: LogEventBuffer,
    counters: BalancerCounters,
    promises: PromiseWatch,
    leaving: bool,
    ticked_at: Option<Instant>,
    started_at: Instant,
    /// Greetings of other balancers so far.
    peer_round: u64,
    /// Balancers that greetings of this round name, so that each is spread to all.
    named_in_greetings: Vec<NodeAddress>,
    /// When the store last confirmed the configuration, here or to a balancer
    /// that has told so.
    confirmed_at: Option<Instant>,
    /// A version later than the own one, and when the store confirmed it to a balancer
    /// that has told so.
    later_confirmation: Option<(u64, Instant)>,
    /// Whether the balancer had to watch the store at its last tick.
    watched: bool,
    /// Whether the settings name other balancers.
    has_seeds: bool,
    /// Whether the settings or the store's list name this balancer to others.
    others_begin_here: bool,
    /// Whether the store has just given a configuration that others lack.
    tells_all: bool,
    /// Whether the nodes of the zone are to be told of a configuration just adopted.
    tells_zone: bool,
    /// When a greater version than the own was first heard of.
    newer_heard_at: Option<Instant>,
    excluded_zones: ExcludedZones,
    /// Whether every node is to be told of the excluded zones at once.
    tells_zones: bool,
    greeted_peers_at: Instant,
    /// When the balancers that hand their packets to this one were last greeted.
    greeted_relaying_at: Instant,
    fetch: Option<(NodeAddress, Instant)>,
    last_agent_heard: Option<Instant>,
    /// When another balancer last said that it hears no agent.
    peer_without_agents: Option<Instant>,
    agent_found_at: Instant,
    /// Since when the balancer listens without a break.
    listening_since: Instant,
    /// Whether a balancer that knew all agents has told them since then.
    has_complete_snapshot: bool,
    /// Balancers asked so far which agents they know.
    sought: usize,
    /// Whether this balancer knew all agents at its last tick.
    was_complete: bool,
    /// Agents that other nodes have named and that were not heard yet.
    named_agents: BTreeMap<NodeAddress, membership::agent_census::NamedAgent>,
    /// How many of them were greeted since the last tick.
    named_agents_greeted: u32,
    /// Flows that are searched for.
    searching: Vec<FlowKey>,
    /// What agents tell of their flows.
    flow_index: search::flow_index::FlowIndex,
    questions: search::work_budget::WorkBudget,
    list_bytes: search::work_budget::WorkBudget,
    packet_bytes: search::work_budget::WorkBudget,
    /// Flows about which all agents are to be asked with the next tick.
    unasked: Vec<FlowKey>,
    /// Searches begun since they were last counted anew.
    searches_begun: u32,
    /// When searches were last counted anew and all gone through.
    searches_counted_at: Instant,
    /// Packets of searches handed over since the last tick.
    packets_handed: u32,
    /// The record of held flows at the store.
    records: flow_records::FlowRecords,
    /// Openings that wait for a target, the newest last.
    waiting: Vec<forwarding::waiting::WaitingOpening>,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    #[must_use]
    pub fn new(options: BalancerOptions, now: Instant) -> Self {
        Self {
            options,
            routes: RouteTable::default(),
            mechanisms: ActiveMechanisms::default(),
            shares: WeightedRoundRobin::default(),
            traffic: RouteTraffic::default(),
            directory: AgentDirectory::default(),
            peers: BalancerPeers::default(),
            zone_members: ZoneMembers::default(),
            link: options.link_rate_kbps.map(LinkBudget::new),
            relay_receivers: Vec::new(),
            relaying_members: Vec::new(),
            flows: FlowTable::new(options.flow_capacity, options.flow_retention),
            notes: LogEventBuffer::default(),
            counters: BalancerCounters::default(),
            promises: PromiseWatch::default(),
            leaving: false,
            ticked_at: None,
            started_at: now,
            peer_round: 0,
            named_in_greetings: Vec::new(),
            confirmed_at: None,
            later_confirmation: None,
            watched: false,
            has_seeds: false,
            others_begin_here: false,
            tells_all: false,
            tells_zone: false,
            newer_heard_at: None,
            excluded_zones: ExcludedZones::default(),
            tells_zones: false,
            greeted_peers_at: Instant::ORIGIN,
            greeted_relaying_at: Instant::ORIGIN,
            fetch: None,
            last_agent_heard: None,
            peer_without_agents: None,
            agent_found_at: now,
            listening_since: now,
            has_complete_snapshot: false,
            sought: 0,
            was_complete: false,
            named_agents: BTreeMap::new(),
            named_agents_greeted: 0,
            searching: Vec::new(),
            flow_index: search::flow_index::FlowIndex::default(),
            questions: search::work_budget::WorkBudget::for_queries(options.cpu_millicores, now),
            packet_bytes: search::work_budget::WorkBudget::of_packet_bytes(
                options.link_rate_kbps,
                now,
            ),
            list_bytes: search::work_budget::WorkBudget::of_list_bytes(options.link_rate_kbps, now),
            unasked: Vec::new(),
            searches_begun: 0,
            searches_counted_at: Instant::ORIGIN,
            packets_handed: 0,
            records: flow_records::FlowRecords::new(options.address, now),
            waiting: Vec::new(),
        }
    }

    /// The routes in force.
    #[must_use]
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// The optional mechanisms that act here.
    #[must_use]
    pub fn mechanisms(&self) -> ActiveMechanisms {
        self.mechanisms
    }

    /// Whether flows are located by what agents tell and by questions to all of them:
    /// where that is called for, and while there are few enough agents to ask.
    #[must_use]
    pub fn locates_flows(&self) -> bool {
        self.mechanisms.locates_flows && self.directory.len() <= MOST_ASKED_AGENTS
    }

    /// Known targets.
    #[must_use]
    pub fn directory(&self) -> &AgentDirectory {
        &self.directory
    }

    /// Other balancers.
    #[must_use]
    pub fn peers(&self) -> &BalancerPeers {
        &self.peers
    }

    /// Flows in the table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Running totals.
    #[must_use]
    pub fn counters(&self) -> &BalancerCounters {
        &self.counters
    }

    /// Notes for the log and how many were left out.
    pub fn take_notes(&mut self) -> (Vec<LogEvent>, u64) {
        self.notes.take()
    }

    /// Takes a configuration that the store gave.
    pub fn adopt_store_configuration(&mut self, configuration: Arc<Configuration>) {
        self.adopt(configuration, None);
    }

    /// Takes the balancers that the settings name.
    pub fn add_seed_balancers(
        &mut self,
        seeds: &[NodeAddress],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.has_seeds = !seeds.is_empty();
        self.add_listed_balancers(seeds, now, actions);
    }

    /// Takes the balancers that the store lists.
    pub fn add_listed_balancers(
        &mut self,
        balancers: &[NodeAddress],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.others_begin_here |= balancers.contains(&self.options.address);
        for balancer in balancers {
            self.name_peer(*balancer, now, actions);
        }
    }

    /// Begins a planned stop: not ready any more, forwards on.
    pub fn leave(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.leaving = true;
        self.records.leave(now);
        let known: Vec<NodeAddress> = self.peers.addresses().collect();
        for address in known {
            self.greet(address, now, actions);
        }
    }

    fn adopt(&mut self, configuration: Arc<Configuration>, from: Option<NodeAddress>) {
        let former = self.routes.version();
        if !self.routes.adopt(configuration) {
            return;
        }
        let routes = &self.routes;
        self.shares
            .retain(|address| routes.route(address).is_some());
        self.traffic
            .retain(|address| routes.route(address).is_some());
        if let Some(link) = &mut self.link {
            link.retain_routes(|address| routes.route(address).is_some());
        }
        // The others are told with the next tick, and all at once when the
        // store gave it.
        self.greeted_peers_at = Instant::ORIGIN;
        self.tells_all |= from.is_none();
        self.tells_zone = true;
        self.newer_heard_at = None;
        self.confirmation_adopted();
        self.notes.add(LogEvent::ConfigurationAdopted {
            version: self.routes.version(),
            former,
            routes: self.routes.current().map_or(0, |it| it.routes.len()),
            from,
        });
        self.choose_mechanisms();
    }

    fn choose_mechanisms(&mut self) {
        let Some(configuration) = self.routes.current() else {
            return;
        };
        let options = &self.options;
        let next = ActiveMechanisms::at_balancer(
            configuration,
            options.cpu_millicores,
            options.link_rate_kbps,
        );
        if std::mem::replace(&mut self.mechanisms, next) != next {
            self.notes.add(LogEvent::MechanismsChanged { active: next });
        }
    }

    fn reset(
        &mut self,
        key: FlowKey,
        sequence: u32,
        reason: ResetReason,
        denied: usize,
    ) -> CallerReset {
        let counter = match reason {
            ResetReason::NoRoute => &mut self.counters.reset_no_route,
            ResetReason::NoTarget => &mut self.counters.reset_no_target,
            ResetReason::TargetEnded => &mut self.counters.reset_target_ended,
            ResetReason::HeldNowhere => &mut self.counters.reset_held_nowhere,
            ResetReason::HolderDenied => &mut self.counters.reset_holder_denied,
        };
        *counter += 1;
        let counts_as_gone = matches!(
            reason,
            ResetReason::TargetEnded | ResetReason::HeldNowhere | ResetReason::HolderDenied
        );
        if counts_as_gone {
            let now = self.ticked_at.unwrap_or(self.started_at);
            self.promises.record_reset(key, now);
        }
        self.notes.add(LogEvent::FlowReset {
            key,
            reason,
            denied,
        });
        CallerReset { key, sequence }
    }

    /// How often each promise was broken here.
    #[must_use]
    pub fn broken_promises(&self) -> &BrokenPromises {
        self.promises.broken()
    }

    /// Decides about a packet of a caller; `bytes` are the packet as it came.
    pub fn route_caller_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        self.counters.caller_packets += 1;
        match self.hold_for_link(packet, bytes, now) {
            Some(routing) => routing,
            None => self.relay_or_route(packet, bytes, now),
        }
    }

    fn relay_or_route(&mut self, packet: &FlowPacket, bytes: &[u8], now: Instant) -> Routing {
        match self.relay_receiver(packet.key) {
            Some(receiver) => self.relay(receiver),
            None => self.route(packet, bytes, now),
        }
    }

    fn route(&mut self, packet: &FlowPacket, bytes: &[u8], now: Instant) -> Routing {
        let own_address = self.options.address.ip();
        self.traffic.count_bytes(packet.key.service, bytes.len());
        let routing = match packet.kind {
            _ if packet.key.caller.ip() == own_address => Routing::Drop(DropReason::Forged),
            PacketKind::Open => {
                self.recorded_superseded(&packet.key);
                self.route_opening(packet, bytes, now)
            }
            PacketKind::Accept => Routing::Drop(DropReason::Forged),
            _ => self.route_established(packet, bytes, now),
        };
        if matches!(routing, Routing::Drop(_)) {
            self.counters.dropped_packets += 1;
        }
        routing
    }
}
