//! The balancer for flows that carry no routing token.
//!
//! # Lifecycle
//! A balancer starts without any state and becomes ready once it has a configuration
//! and hears at least one agent. It gets the configuration and the addresses of other
//! balancers from the store or from any other node, and learns of agents from their
//! reports. Its flow table is only a cache: for a flow that is not in the table, the
//! balancer searches among the targets of the flow's route.

mod adoption;
mod decision;
mod flow_records;
mod flow_retention;
mod forwarding;
mod membership;
mod messages;
mod resets;
mod search;
mod store_duty;

use std::collections::BTreeMap;
use std::time::Duration;

use super::activation::ActiveMechanisms;
use super::configuration::RouteTable;
use super::directory::AgentDirectory;
use super::excluded_zones::ExcludedZones;
use super::flow_table::FlowTable;
use super::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey};
use super::link::LinkLoadControl;
use super::log_event::{LogEvent, LogEventBuffer};
use super::packet::{FlowPacket, PacketKind};
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
pub use search::{MAXIMUM_SEARCHES_PER_ROUND, SEARCH_FANOUT};
pub use store_duty::{REGISTERED_BALANCERS, STORE_WATCHERS, confirmation_limit};

/// Largest number of agents at which queries to all agents replace copying the packet of
/// an unknown flow to the first targets. With more agents, the queries and their answers
/// take longer than copying the packet.
const MAXIMUM_QUERIED_AGENTS: usize = 160;
/// Time between two ticks from which on the process counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

#[derive(Clone, Debug)]
struct Acceptance {
    agent: NodeAddress,
    /// Service of the agent, which may be a former service of the flow's route.
    service: ServiceKey,
    sequence: u32,
    incarnation: Option<Incarnation>,
    /// Number of the target's last heartbeat.
    heartbeat: u64,
}

#[derive(Clone, Debug)]
enum Stage {
    /// One or more openings were sent; the caller has not acknowledged an acceptance
    /// yet.
    Opening {
        /// When the caller sent the first copy of the opening.
        first_sent_at: Instant,
        /// Agents that returned the opening or did not answer it.
        tried: Vec<NodeAddress>,
        /// Agent that was sent the opening and has not answered yet.
        awaited: Option<NodeAddress>,
        /// Whether the awaited agent has reported that the opening is in its queue.
        is_queued: bool,
        accepted: Vec<Acceptance>,
    },
    /// One target is known to hold the flow.
    Held {
        agent: NodeAddress,
        incarnation: Option<Incarnation>,
        /// Number of the target's last heartbeat at the time when the flow was opened
        /// or located.
        heartbeat: u64,
        /// When this balancer learned that the target holds the flow: at its opening,
        /// or when a search located it.
        known_since: Instant,
    },
    /// The balancer searches for the target that holds the flow.
    Searching(search::Search),
}

#[derive(Clone, Debug)]
struct FlowEntry {
    service: ServiceKey,
    /// The caller's last acknowledgement number, which is the sequence number of a
    /// reset.
    acknowledged: u32,
    /// Sequence number after the caller's last new byte.
    caller_next: u32,
    /// Whether the caller has closed its direction of the flow.
    is_finished: bool,
    stage: Stage,
}

/// State of a balancer, without I/O: methods take events and return or push what the
/// shell has to do.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalancerOptions,
    routes: RouteTable,
    mechanisms: ActiveMechanisms,
    part_shares: WeightedRoundRobin,
    route_traffic: RouteTraffic,
    directory: AgentDirectory,
    peers: BalancerPeers,
    zone_members: ZoneMembers,
    /// Load and limits of the machine's link; `None` when its rate is not known.
    link: Option<LinkLoadControl>,
    /// Larger balancers that this one relays callers' packets to.
    relay_receivers: forwarding::relay::RelayReceivers,
    /// Smaller balancers of the zone that relay their packets to this one.
    relaying_members: Vec<NodeAddress>,
    flows: FlowTable<FlowEntry>,
    log_events: LogEventBuffer,
    counters: BalancerCounters,
    promises: PromiseWatch,
    is_leaving: bool,
    last_tick_at: Option<Instant>,
    started_at: Instant,
    /// Number of rounds of hellos to other balancers so far.
    peer_hello_round: u64,
    /// Balancers that the hellos of this round name. Each round names the next few, so
    /// that every node learns of every balancer.
    balancers_in_hellos: Vec<NodeAddress>,
    /// When the store last confirmed the configuration, to this balancer or to another
    /// one whose confirmation was stated in a hello.
    configuration_confirmed_at: Option<Instant>,
    /// When the last pause of the process ended.
    stalled_until: Option<Instant>,
    /// A configuration version newer than the one in force here, and when the store
    /// confirmed that version, as stated in another balancer's hello.
    newer_version_confirmation: Option<(u64, Instant)>,
    /// Whether this balancer watched the store as of its last tick.
    was_watching_store: bool,
    /// Whether the settings name any seed balancers.
    has_seeds: bool,
    /// Whether this balancer is a seed or in the store's list, so that other balancers
    /// contact it first.
    is_contacted_first: bool,
    /// Whether the next round sends a hello to every balancer with an older
    /// configuration, because the store has just delivered a new one to this balancer.
    must_inform_outdated_peers: bool,
    /// Whether to send a hello to the nodes of the zone at the next tick because a
    /// configuration was just adopted.
    must_inform_zone: bool,
    /// When a configuration version newer than the one in force here was first heard
    /// of.
    newer_version_heard_at: Option<Instant>,
    excluded_zones: ExcludedZones,
    /// Whether to send a hello to every node at the next tick because the excluded
    /// zones have changed.
    must_send_excluded_zones: bool,
    peer_hellos_sent_at: Instant,
    /// When the balancers that relay to this one were last sent a hello.
    relaying_member_hellos_sent_at: Instant,
    /// The node that was asked for a snapshot and has not answered yet, and when it was
    /// asked.
    pending_snapshot: Option<(NodeAddress, Instant)>,
    last_agent_heard_at: Option<Instant>,
    /// When a hello last stated that its sender, another balancer, hears no agent.
    peer_without_agents_at: Option<Instant>,
    /// When an agent was last heard for the first time, or again after it was lost.
    last_agent_found_at: Instant,
    /// Since when the balancer has received messages without interruption: its start,
    /// or the end of the last stall or loss of contact.
    listening_since: Instant,
    /// Whether a balancer that had a record of every agent has sent a snapshot of them
    /// since `listening_since`.
    has_complete_snapshot: bool,
    /// Number of snapshots requested so far in order to find all agents.
    snapshots_requested: usize,
    /// Number of agents that were asked which services routes have led to.
    agents_asked_for_history: usize,
    /// Whether this balancer had a record of every agent as of its last tick.
    knew_all_agents: bool,
    /// Agents that other nodes have named but that have not reported here yet.
    named_agents: BTreeMap<NodeAddress, membership::agent_discovery::NamedAgent>,
    /// Number of hellos sent to agents in `named_agents` since the last tick.
    named_agent_hellos_this_tick: u32,
    /// Flows with a search under way.
    searched_flows: Vec<FlowKey>,
    /// Which flows the agents announce that they hold.
    flow_index: search::flow_index::FlowIndex,
    query_budget: search::work_budget::WorkBudget,
    list_byte_budget: search::work_budget::WorkBudget,
    packet_byte_budget: search::work_budget::WorkBudget,
    /// Flows about which all agents are to be queried at the next tick.
    unqueried_flows: Vec<FlowKey>,
    /// Number of searches begun since the last full round of queries.
    searches_begun_this_round: u32,
    /// When the last full round of queries began: one that covers all searches.
    last_full_round_at: Instant,
    /// Number of packets sent since the last full round to agents that need a packet to
    /// answer a query.
    search_packets_this_round: u32,
    /// This balancer's records of held flows in the store.
    flow_records: flow_records::FlowRecords,
    /// Openings that wait for a target, oldest first.
    waiting_openings: Vec<forwarding::waiting::WaitingOpening>,
}

impl Balancer {
    /// Creates a balancer without configuration, agents or flows.
    #[must_use]
    pub fn new(options: BalancerOptions, now: Instant) -> Self {
        Self {
            options,
            routes: RouteTable::default(),
            mechanisms: ActiveMechanisms::default(),
            part_shares: WeightedRoundRobin::default(),
            route_traffic: RouteTraffic::default(),
            directory: AgentDirectory::default(),
            peers: BalancerPeers::default(),
            zone_members: ZoneMembers::default(),
            link: options.link_rate_kbps.map(LinkLoadControl::new),
            relay_receivers: forwarding::relay::RelayReceivers::default(),
            relaying_members: Vec::new(),
            flows: FlowTable::new(options.flow_capacity, options.longest_retention()),
            log_events: LogEventBuffer::default(),
            counters: BalancerCounters::default(),
            promises: PromiseWatch::default(),
            is_leaving: false,
            last_tick_at: None,
            started_at: now,
            peer_hello_round: 0,
            balancers_in_hellos: Vec::new(),
            configuration_confirmed_at: None,
            stalled_until: None,
            newer_version_confirmation: None,
            was_watching_store: false,
            has_seeds: false,
            is_contacted_first: false,
            must_inform_outdated_peers: false,
            must_inform_zone: false,
            newer_version_heard_at: None,
            excluded_zones: ExcludedZones::default(),
            must_send_excluded_zones: false,
            peer_hellos_sent_at: Instant::ORIGIN,
            relaying_member_hellos_sent_at: Instant::ORIGIN,
            pending_snapshot: None,
            last_agent_heard_at: None,
            peer_without_agents_at: None,
            last_agent_found_at: now,
            listening_since: now,
            has_complete_snapshot: false,
            snapshots_requested: 0,
            agents_asked_for_history: 0,
            knew_all_agents: false,
            named_agents: BTreeMap::new(),
            named_agent_hellos_this_tick: 0,
            searched_flows: Vec::new(),
            flow_index: search::flow_index::FlowIndex::default(),
            query_budget: search::work_budget::WorkBudget::for_queries(options.cpu_millicores, now),
            packet_byte_budget: search::work_budget::WorkBudget::for_packet_bytes(
                options.link_rate_kbps,
                now,
            ),
            list_byte_budget: search::work_budget::WorkBudget::for_list_bytes(
                options.link_rate_kbps,
                now,
            ),
            unqueried_flows: Vec::new(),
            searches_begun_this_round: 0,
            last_full_round_at: Instant::ORIGIN,
            search_packets_this_round: 0,
            flow_records: flow_records::FlowRecords::new(options.address, now),
            waiting_openings: Vec::new(),
        }
    }

    /// The configuration in force, as a table of routes.
    #[must_use]
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// The optional mechanisms that are active on this balancer.
    #[must_use]
    pub fn mechanisms(&self) -> ActiveMechanisms {
        self.mechanisms
    }

    /// Whether unknown flows are located through the flows that agents announce and by
    /// queries to all agents. This applies while the mechanism is active and there are
    /// few enough agents to query.
    #[must_use]
    pub fn locates_flows(&self) -> bool {
        self.mechanisms.locates_flows && self.directory.len() <= MAXIMUM_QUERIED_AGENTS
    }

    /// The known agents and their targets.
    #[must_use]
    pub fn directory(&self) -> &AgentDirectory {
        &self.directory
    }

    /// The other balancers that are known.
    #[must_use]
    pub fn peers(&self) -> &BalancerPeers {
        &self.peers
    }

    /// Number of flows in the table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> &BalancerCounters {
        &self.counters
    }

    /// Removes and returns the events for the log, and the number of events that were
    /// dropped.
    pub fn take_log_events(&mut self) -> (Vec<LogEvent>, u64) {
        self.log_events.take()
    }

    /// Adds the seed balancers that the settings name, and sends them a hello.
    pub fn add_seed_balancers(
        &mut self,
        seeds: &[NodeAddress],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.has_seeds = !seeds.is_empty();
        self.add_listed_balancers(seeds, now, actions);
    }

    /// Adds the balancers of the store's list, and sends them a hello.
    pub fn add_listed_balancers(
        &mut self,
        balancers: &[NodeAddress],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.is_contacted_first |= balancers.contains(&self.options.address);
        for balancer in balancers {
            self.add_named_peer(*balancer, now, actions);
        }
    }

    /// Begins a planned stop: the balancer is not ready any more but continues to
    /// forward packets.
    pub fn leave(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.is_leaving = true;
        self.flow_records.leave(now);
        let known: Vec<NodeAddress> = self.peers.addresses().collect();
        for address in known {
            self.send_hello(address, now, actions);
        }
    }

    /// How often this balancer has broken each promise.
    #[must_use]
    pub fn broken_promises(&self) -> &BrokenPromises {
        self.promises.broken()
    }

    /// Decides where a caller's packet goes. `bytes` is the packet as it was received.
    pub fn route_caller_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        self.counters.caller_packets += 1;
        match self.admit_to_link(packet, bytes, now) {
            Some(routing) => routing,
            None => self.relay_or_route_packet(packet, bytes, now),
        }
    }

    fn relay_or_route_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        match self.relay_receiver(packet) {
            Some(receiver) => self.relay(receiver),
            None => self.route_packet(packet, bytes, now),
        }
    }

    fn route_packet(&mut self, packet: &FlowPacket, bytes: &[u8], now: Instant) -> Routing {
        let own_address = self.options.address.ip();
        self.route_traffic
            .count_bytes(packet.key.service, bytes.len());
        let routing = match packet.kind {
            _ if packet.key.caller.ip() == own_address => Routing::Drop(DropReason::Forged),
            PacketKind::Open => {
                self.drop_recorded_flow(&packet.key);
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
