//! The world of one run: machines, callers and the checks.

mod actions;
mod callers;
mod checks;
mod delivery;
mod nodes;
mod planned_stops;
mod strikes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, ForwardDecision, Heartbeat, ListenState, ReplyBody,
    TargetPacketDecision,
};
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, NotReadyReason, Routing,
};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use woodladder_core::flow::message::{ForwardHeader, ForwardPurpose, PeerMessage, SnapshotRequest};
use woodladder_core::flow::packet::{CallerReset, FlowPacket, PacketKind};

use super::caller::{Caller, Step};
use super::faults::{Fault, Mutation, plan, planned_stops};
use super::network::{EventQueue, Links};
use super::packet_bytes;
use super::target::{Reaction, Target};
use super::{Breach, RunReport};

const BALANCERS: usize = 3;
const AGENTS: usize = 6;
const CALLERS: u8 = 14;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(25);
const HEARTBEAT: Duration = Duration::from_millis(1000);
const WORK: Duration = Duration::from_millis(40);
const CUT_LASTS: Duration = Duration::from_millis(2500);
const STORE_DOWN_LASTS: Duration = Duration::from_millis(4000);
const DOWN_LASTS: Duration = Duration::from_millis(700);
/// Time until an address is used again; sooner than platforms promise.
const REUSED_AFTER: Duration = Duration::from_millis(300);
/// Faults strike from here.
const QUIET_UNTIL: Duration = Duration::from_secs(4);
/// No fault strikes after this.
const FAULTS_UNTIL: Duration = Duration::from_secs(18);
/// The run's length.
const LENGTH: Duration = Duration::from_secs(30);
/// Time during which a disturbed machine breaks no promise towards its flows,
/// as the users' rules have it.
const CONTACT: Duration = Duration::from_secs(4);

enum Event {
    Tick,
    Heartbeat(usize),
    CallerPacket(FlowPacket),
    Message {
        from: NodeAddress,
        to: NodeAddress,
        message: PeerMessage,
        packet: Option<FlowPacket>,
    },
    ToCaller(FlowPacket),
    Work {
        agent: usize,
        incarnation: u64,
        key: FlowKey,
    },
    Strike(Fault),
    RestoreBalancer(usize),
    EndBalancer(usize, Duration),
    EndAgent(usize, Duration),
    RestoreAgent(usize),
    RestorePower(usize),
    Heal(NodeAddress),
    StoreUp,
}

pub struct World {
    mutation: Mutation,
    random: ChaCha8Rng,
    now: Instant,
    events: EventQueue<Event>,
    links: Links,
    balancers: Vec<Option<Balancer>>,
    /// Processors of the balancers' machines, in thousandths of a core.
    capacities: [u32; BALANCERS],
    agents: Vec<Option<Agent>>,
    targets: Vec<Target>,
    /// Services of the machines.
    assigned: Vec<ServiceKey>,
    callers: Vec<Caller>,
    configuration: Arc<Configuration>,
    store_is_up: bool,
    shift: u64,
    incarnations: u64,
    versions: BTreeMap<NodeAddress, u64>,
    disturbed: BTreeMap<NodeAddress, Instant>,
    services: BTreeMap<SocketAddrV4, BTreeSet<ServiceKey>>,
    runs: BTreeMap<(Ipv4Addr, u64), u32>,
    report: RunReport,
}

fn balancer_address(index: usize) -> NodeAddress {
    let number = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

fn agent_address(index: usize) -> NodeAddress {
    let number = u8::try_from(index + 101).unwrap_or(u8::MAX);
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

fn route(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

/// At first, two thirds of the agents serve one service, the rest another.
fn first_service(agent: usize) -> ServiceKey {
    let name = if agent < AGENTS * 2 / 3 {
        "kitchen"
    } else {
        "print"
    };
    ServiceKey::named(name)
}

/// In every other run, all balancers but one are far smaller than that one.
fn capacities(seed: u64) -> [u32; BALANCERS] {
    const LARGE: u32 = 500;
    const SMALL: u32 = 12;
    let mut capacities = [LARGE; BALANCERS];
    if seed % 2 == 1 {
        capacities[1..].fill(SMALL);
    }
    capacities
}

impl World {
    pub fn new(seed: u64, mutation: Mutation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut events = EventQueue::new();
        events.push(Instant::ORIGIN, Event::Tick);
        for agent in 0..AGENTS {
            let at = Duration::from_millis(random.random_range(10..900));
            events.push(Instant::ORIGIN + at, Event::Heartbeat(agent));
        }
        for (at, fault) in plan(BALANCERS, AGENTS, QUIET_UNTIL, FAULTS_UNTIL, &mut random) {
            events.push(at, Event::Strike(fault));
        }
        let mut stop_random = ChaCha8Rng::seed_from_u64(!seed);
        for (at, stop) in planned_stops(
            BALANCERS,
            AGENTS,
            QUIET_UNTIL,
            FAULTS_UNTIL,
            &mut stop_random,
        ) {
            events.push(at, Event::Strike(stop));
        }
        let callers = (0..CALLERS).map(|number| {
            let address = if number % 4 == 0 { route(2) } else { route(1) };
            Caller::new(number, address, number % 3 != 0, number % 2 == 0)
        });
        let mut world = Self {
            mutation,
            random,
            now: Instant::ORIGIN,
            events,
            links: Links::default(),
            balancers: Vec::new(),
            capacities: capacities(seed),
            agents: Vec::new(),
            targets: Vec::new(),
            assigned: (0..AGENTS).map(first_service).collect(),
            callers: callers.collect(),
            configuration: Arc::default(),
            store_is_up: true,
            shift: 0,
            incarnations: 0,
            versions: BTreeMap::new(),
            disturbed: BTreeMap::new(),
            services: BTreeMap::new(),
            runs: BTreeMap::new(),
            report: RunReport {
                seed,
                ..RunReport::default()
            },
        };
        world.configure();
        for index in 0..BALANCERS {
            let balancer = world.new_balancer(index);
            world.balancers.push(Some(balancer));
        }
        for index in 0..AGENTS {
            let target = world.new_target(index);
            world.targets.push(target);
            let mut agent = world.new_agent(index);
            agent.record_listen_state(ListenState::NotListening);
            world.agents.push(Some(agent));
        }
        world
    }

    pub fn run(mut self) -> RunReport {
        let end = Instant::from_origin(LENGTH);
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.check_convergence();
        for balancer in self.balancers.iter().flatten() {
            let counters = balancer.counters();
            self.report.searches += counters.searched_packets;
            self.report.relayed += counters.relayed_packets;
            self.report.resets += counters.reset_target_ended + counters.reset_held_nowhere;
        }
        self.report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Heartbeat(agent) => self.heartbeat(agent),
            Event::CallerPacket(packet) => self.caller_packet(&packet),
            Event::Message {
                from,
                to,
                message,
                packet,
            } => self.message(from, to, message, packet),
            Event::ToCaller(packet) => self.reach_caller(&packet),
            Event::Work {
                agent,
                incarnation,
                key,
            } => self.work_done(agent, incarnation, &key),
            Event::Strike(fault) => self.strike(fault),
            Event::RestoreBalancer(index) => {
                let balancer = self.new_balancer(index);
                self.balancers[index] = Some(balancer);
            }
            Event::EndBalancer(index, away) => self.end_balancer(index, away),
            Event::EndAgent(index, away) => self.end_agent(index, away),
            Event::RestoreAgent(index) => self.restore_agent(index),
            Event::RestorePower(index) => self.restore_power(index),
            Event::Heal(machine) => {
                self.links.heal(machine);
                self.disturb(machine);
            }
            Event::StoreUp => self.store_is_up = true,
        }
    }
}
