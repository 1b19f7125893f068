//! The world of one run: machines, callers and the checks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, AnswerBody, Delivery, Departure, Heartbeat, Presence,
};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, BalancerOptions, Routing};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart};
use woodladder_core::flow::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use woodladder_core::flow::message::{ForwardHeader, ForwardPurpose, PeerMessage, SnapshotRequest};
use woodladder_core::flow::packet::{CallerReset, FlowPacket, PacketKind};

use super::caller::{Caller, Step};
use super::faults::{Fault, Mutation, plan};
use super::network::{EventQueue, Links};
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
            agent.presence(Presence::Absent);
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
            self.report.searches += counters.searched;
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
            Event::RestorePower(index) => self.restore_power(index),
            Event::Heal(machine) => {
                self.links.heal(machine);
                self.disturb(machine);
            }
            Event::StoreUp => self.store_is_up = true,
        }
    }

    fn new_balancer(&mut self, index: usize) -> Balancer {
        let options = BalancerOptions {
            address: balancer_address(index),
            zone: ZoneKey::default(),
            flow_capacity: 10_000,
            flow_retention: Duration::from_secs(30),
        };
        let mut balancer = Balancer::new(options, self.now);
        let mut actions = Vec::new();
        if self.store_is_up {
            balancer.configuration(Arc::clone(&self.configuration));
            let all: Vec<NodeAddress> = (0..BALANCERS).map(balancer_address).collect();
            balancer.listed(&all, self.now, &mut actions);
        }
        balancer.listed(&[balancer_address(0)], self.now, &mut actions);
        self.versions.remove(&options.address);
        self.carry_out(options.address, actions);
        balancer
    }

    fn new_agent(&mut self, index: usize) -> Agent {
        let options = AgentOptions {
            address: agent_address(index),
            zone: ZoneKey::default(),
            service: self.assigned[index],
            epoch: self.random.random(),
            flow_capacity: 10_000,
            flow_retention: Duration::from_secs(30),
            flow_lifetime: Duration::from_secs(60),
        };
        let mut agent = Agent::new(options, self.now);
        let known = if self.store_is_up { BALANCERS } else { 1 };
        let balancers: Vec<NodeAddress> = (0..known).map(balancer_address).collect();
        agent.listed(&balancers, self.now);
        self.versions.remove(&options.address);
        agent
    }

    fn new_target(&mut self, index: usize) -> Target {
        self.incarnations += 1;
        Target::new(self.assigned[index], self.incarnations)
    }

    /// Writes the next configuration: the second route leads to either service.
    fn configure(&mut self) {
        let version = self.configuration.version + 1;
        let other = if version % 2 == 1 { "print" } else { "kitchen" };
        let mut routes = Vec::new();
        for (number, name) in [(1, "kitchen"), (2, other)] {
            let service = ServiceKey::named(name);
            let services = self.services.entry(route(number)).or_default();
            services.insert(service);
            routes.push(Route {
                address: route(number),
                parts: vec![RoutePart { service, weight: 1 }],
            });
        }
        self.configuration = Arc::new(Configuration {
            version,
            routes,
            idle_timeout_ms: 15_000,
        });
    }

    fn tick(&mut self) {
        self.events.push(self.now + TICK, Event::Tick);
        for index in 0..BALANCERS {
            let address = balancer_address(index);
            let Some(balancer) = self.balancers[index].as_mut() else {
                continue;
            };
            if self.store_is_up {
                balancer.configuration(Arc::clone(&self.configuration));
            }
            let mut actions = Vec::new();
            balancer.tick(self.now, &mut actions);
            balancer.take_notes();
            let version = balancer.routes().version();
            self.carry_out(address, actions);
            self.check_version(address, version);
        }
        for index in 0..AGENTS {
            let address = agent_address(index);
            let Some(agent) = self.agents[index].as_mut() else {
                continue;
            };
            let mut actions = Vec::new();
            agent.tick(self.now, &mut actions);
            agent.take_notes();
            let version = agent.version();
            self.carry_out_agent(address, actions);
            self.check_version(address, version);
        }
        for index in 0..self.callers.len() {
            let step = self.callers[index].tick(self.now);
            self.caller_step(&step);
        }
    }

    fn caller_step(&mut self, step: &Step) {
        self.report.answered += u64::from(step.answered);
        self.report.failed += u64::from(step.failed);
        if let Some(packet) = step.packet {
            let delay = Duration::from_millis(1);
            self.events
                .push(self.now + delay, Event::CallerPacket(packet));
        }
    }

    /// Routers choose among the balancers that are ready.
    fn caller_packet(&mut self, packet: &FlowPacket) {
        let ready: Vec<usize> = (0..BALANCERS)
            .filter(|index| {
                self.balancers[*index]
                    .as_ref()
                    .is_some_and(|balancer| balancer.ready(self.now).is_ok())
            })
            .collect();
        if ready.is_empty() {
            return;
        }
        let hash = packet.key.hash().wrapping_add(self.shift);
        let count = u64::try_from(ready.len()).unwrap_or(1);
        let index = ready[usize::try_from(hash % count).unwrap_or(0)];
        let address = balancer_address(index);
        let Some(balancer) = self.balancers[index].as_mut() else {
            return;
        };
        match balancer.caller_packet(packet, &[], self.now) {
            Routing::One { to, header } => self.forward(address, to, header, packet),
            Routing::Several(receivers) => {
                for (to, header) in receivers {
                    self.forward(address, to, header, packet);
                }
            }
            Routing::Reset(reset) => self.reset(address, &reset),
            Routing::Drop(_) => {}
        }
    }

    fn forward(
        &mut self,
        from: NodeAddress,
        to: NodeAddress,
        header: ForwardHeader,
        packet: &FlowPacket,
    ) {
        self.send(from, to, PeerMessage::Forward(header), Some(*packet));
    }

    fn send(
        &mut self,
        from: NodeAddress,
        to: NodeAddress,
        message: PeerMessage,
        packet: Option<FlowPacket>,
    ) {
        let arrival = self.links.arrival(from, to, self.now, &mut self.random);
        if let Some(at) = arrival {
            self.events.push(
                at,
                Event::Message {
                    from,
                    to,
                    message,
                    packet,
                },
            );
        }
    }

    /// A reset is a breach while the flow's target holds it, unless the target's
    /// machine or the sender was disturbed lately.
    fn reset(&mut self, from: NodeAddress, reset: &CallerReset) {
        let holder = self.targets.iter().position(|it| it.holds(&reset.key));
        if let Some(holder) = holder {
            let excused = self.is_disturbed(agent_address(holder)) || self.is_disturbed(from);
            if !excused {
                self.breach(Breach::LivingFlowReset);
            }
        }
        let packet = FlowPacket {
            key: reset.key,
            kind: PacketKind::Reset,
            sequence: reset.sequence,
            acknowledgement: 0,
            payload: 0,
        };
        self.events
            .push(self.now + Duration::from_millis(1), Event::ToCaller(packet));
    }

    fn reach_caller(&mut self, packet: &FlowPacket) {
        for index in 0..self.callers.len() {
            let step = self.callers[index].receive(packet, self.now);
            self.caller_step(&step);
        }
    }

    fn message(
        &mut self,
        from: NodeAddress,
        to: NodeAddress,
        message: PeerMessage,
        packet: Option<FlowPacket>,
    ) {
        if let Some(index) = (0..BALANCERS).find(|index| balancer_address(*index) == to) {
            let Some(balancer) = self.balancers[index].as_mut() else {
                return;
            };
            let mut actions = Vec::new();
            let packet = packet.as_ref().map(|packet| (packet, &b""[..]));
            balancer.message(from, message, packet, self.now, &mut actions);
            let returned = packet.map(|(packet, _)| *packet);
            return self.carry_out_returned(to, actions, returned);
        }
        let Some(index) = (0..AGENTS).find(|index| agent_address(*index) == to) else {
            return;
        };
        match (message, packet) {
            (PeerMessage::Forward(header), Some(packet)) => {
                self.forwarded(index, from, header, &packet);
            }
            (message, _) => {
                let Some(agent) = self.agents[index].as_mut() else {
                    return;
                };
                let mut actions = Vec::new();
                agent.message(from, &message, self.now, &mut actions);
                self.carry_out_agent(to, actions);
            }
        }
    }

    fn forwarded(
        &mut self,
        index: usize,
        from: NodeAddress,
        header: ForwardHeader,
        packet: &FlowPacket,
    ) {
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        let mut delivery = agent.forwarded(from, &header, packet, self.now);
        let is_search = header.purpose == ForwardPurpose::Search;
        if self.mutation == Mutation::AgentsDenyAll && is_search {
            let keys = vec![packet.key];
            delivery = Delivery::Answer(PeerMessage::NotHeld { keys }, AnswerBody::Nothing);
        }
        let is_open = packet.kind == PacketKind::Open;
        let ignores_drain = self.mutation == Mutation::AgentsIgnoreDrain && is_open;
        if ignores_drain || self.mutation == Mutation::AgentsDeliverAll {
            delivery = Delivery::Deliver {
                tell: None,
                begins_request: false,
            };
        }
        let address = agent_address(index);
        match delivery {
            Delivery::Deliver { tell, .. } => {
                if let Some(message) = tell {
                    self.send(address, from, message, None);
                }
                self.deliver(index, from, packet);
            }
            Delivery::Answer(message, AnswerBody::Packet) => {
                self.send(address, from, message, Some(*packet));
            }
            Delivery::Answer(message, AnswerBody::Nothing) => {
                self.send(address, from, message, None);
            }
            Delivery::Drop => {}
        }
    }

    fn deliver(&mut self, index: usize, from: NodeAddress, packet: &FlowPacket) {
        let target = &mut self.targets[index];
        if !target.runs {
            return;
        }
        let allowed = self.services.get(&packet.key.service);
        let is_allowed = allowed.is_some_and(|services| services.contains(&target.service));
        let was_leaving = target.leaving_acknowledged;
        let is_new = packet.kind == PacketKind::Open && !target.holds(&packet.key);
        let (opens, reaction) = target.receive(packet);
        if !is_allowed {
            self.breach(Breach::WrongService);
        }
        if is_new && was_leaving && !opens {
            self.breach(Breach::OpenedAfterDrain);
        }
        match reaction {
            Reaction::GiveBack => self.depart(index, packet, Some(from)),
            Reaction::Send(answer) => self.depart(index, &answer, None),
            Reaction::Begin => self.begin_work(index, &packet.key),
            Reaction::Nothing => {}
        }
    }

    fn begin_work(&mut self, agent: usize, key: &FlowKey) {
        let caller = self.callers.iter().find(|caller| caller.key == *key);
        if let Some(caller) = caller {
            let may_repeat = caller.may_repeat;
            let name = (*key.caller.ip(), caller.request);
            let runs = self.runs.entry(name).or_default();
            *runs += 1;
            if *runs > 1 && !may_repeat {
                self.breach(Breach::RanTwice);
            }
        }
        let incarnation = self.targets[agent].incarnation.0;
        self.events.push(
            self.now + WORK,
            Event::Work {
                agent,
                incarnation,
                key: *key,
            },
        );
    }

    fn work_done(&mut self, agent: usize, incarnation: u64, key: &FlowKey) {
        let target = &mut self.targets[agent];
        if target.incarnation.0 != incarnation {
            return;
        }
        if let Some(answer) = target.answer(key) {
            self.depart(agent, &answer, None);
        }
    }

    fn depart(&mut self, index: usize, packet: &FlowPacket, returned_to: Option<NodeAddress>) {
        let address = agent_address(index);
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        match agent.departing(packet, returned_to, self.now) {
            Departure::ToCaller(tell) => {
                if let Some((to, message)) = tell {
                    self.send(address, to, message, None);
                }
                self.events.push(
                    self.now + Duration::from_millis(1),
                    Event::ToCaller(*packet),
                );
            }
            Departure::Returned { to, message, body } => {
                let packet = (body == AnswerBody::Packet).then_some(*packet);
                self.send(address, to, message, packet);
            }
        }
    }

    fn heartbeat(&mut self, index: usize) {
        self.events
            .push(self.now + HEARTBEAT, Event::Heartbeat(index));
        let target = &mut self.targets[index];
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        if !target.runs {
            return;
        }
        target.beats += 1;
        let beat = Heartbeat {
            incarnation: target.incarnation,
            service: target.service,
            leaving: target.leaving,
            capacity: 7,
            warm_up: Duration::ZERO,
            sequence: target.beats,
        };
        if agent.heartbeat(&beat, self.now).is_ok() && target.leaving {
            target.leaving_acknowledged = true;
        }
    }

    fn carry_out(&mut self, from: NodeAddress, actions: Vec<BalancerAction>) {
        self.carry_out_returned(from, actions, None);
    }

    /// A forwarded packet in the actions is the one that was returned, or an
    /// opening that waited; the simulation's packets carry no bytes, so the
    /// latter are sent again by their callers' copies.
    fn carry_out_returned(
        &mut self,
        from: NodeAddress,
        actions: Vec<BalancerAction>,
        returned: Option<FlowPacket>,
    ) {
        for action in actions {
            match action {
                BalancerAction::Send { to, message } => self.send(from, to, message, None),
                BalancerAction::Forward { to, header, .. } => {
                    if let Some(packet) = returned {
                        self.forward(from, to, header, &packet);
                    }
                }
                BalancerAction::Reset(reset) => self.reset(from, &reset),
                BalancerAction::FetchSnapshot {
                    from: node,
                    request,
                } => {
                    self.fetch(from, node, request);
                }
            }
        }
    }

    fn carry_out_agent(&mut self, from: NodeAddress, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::Send { to, message } => self.send(from, to, message, None),
                AgentAction::FetchSnapshot {
                    from: node,
                    request,
                } => {
                    self.fetch(from, node, request);
                }
            }
        }
    }

    /// Fetches a snapshot at once, or fails when the link is cut.
    fn fetch(&mut self, to: NodeAddress, from: NodeAddress, request: SnapshotRequest) {
        let passes = self
            .links
            .arrival(from, to, self.now, &mut self.random)
            .is_some();
        let balancer = (0..BALANCERS).find(|index| balancer_address(*index) == from);
        let agent = (0..AGENTS).find(|index| agent_address(*index) == from);
        let snapshot = match (balancer, agent) {
            _ if !passes => None,
            (Some(index), _) => self.balancers[index]
                .as_ref()
                .map(|node| node.answer_snapshot(&request)),
            (_, Some(index)) => self.agents[index]
                .as_ref()
                .map(|node| node.answer_snapshot(&request)),
            _ => None,
        };
        let mut actions = Vec::new();
        if let Some(index) = (0..BALANCERS).find(|index| balancer_address(*index) == to)
            && let Some(node) = self.balancers[index].as_mut()
        {
            match snapshot {
                Some(snapshot) => node.snapshot(from, snapshot, self.now, &mut actions),
                None => node.snapshot_failed(from),
            }
            return self.carry_out(to, actions);
        }
        if let Some(index) = (0..AGENTS).find(|index| agent_address(*index) == to)
            && let Some(node) = self.agents[index].as_mut()
        {
            match snapshot {
                Some(snapshot) => node.snapshot(from, snapshot, self.now),
                None => node.snapshot_failed(from),
            }
        }
    }

    fn strike(&mut self, fault: Fault) {
        self.report.faults += 1;
        match fault {
            Fault::KillBalancer(index) => {
                self.disturb(balancer_address(index));
                self.balancers[index] = None;
                self.events
                    .push(self.now + DOWN_LASTS, Event::RestoreBalancer(index));
            }
            Fault::KillAgent(index) => {
                self.disturb(agent_address(index));
                let mut agent = self.new_agent(index);
                let presence = if self.targets[index].runs {
                    Presence::Listening
                } else {
                    Presence::Absent
                };
                agent.presence(presence);
                self.agents[index] = Some(agent);
            }
            Fault::PowerLoss(index) => {
                self.disturb(agent_address(index));
                self.agents[index] = None;
                self.targets[index].runs = false;
                self.events
                    .push(self.now + DOWN_LASTS, Event::RestorePower(index));
            }
            Fault::Reassign(index) => self.reassign(index),
            Fault::CutAgent(index) => self.cut(agent_address(index)),
            Fault::CutBalancer(index) => self.cut(balancer_address(index)),
            Fault::Replace(index) => self.replace(index),
            Fault::Configure => self.configure(),
            Fault::StoreDown => {
                self.store_is_up = false;
                self.events
                    .push(self.now + STORE_DOWN_LASTS, Event::StoreUp);
            }
            Fault::Shift => self.shift += 1,
        }
    }

    /// A machine loses power, and its address is used by the other service.
    fn reassign(&mut self, index: usize) {
        let service = self.assigned[index];
        let same = self.assigned.iter().filter(|it| **it == service).count();
        let other = self.assigned.iter().find(|it| **it != service).copied();
        let (Some(other), true) = (other, same > 1 && self.agents[index].is_some()) else {
            return;
        };
        self.disturb(agent_address(index));
        self.agents[index] = None;
        self.targets[index].runs = false;
        self.assigned[index] = other;
        self.events
            .push(self.now + REUSED_AFTER, Event::RestorePower(index));
    }

    fn cut(&mut self, machine: NodeAddress) {
        self.disturb(machine);
        self.links.cut(machine);
        self.events.push(self.now + CUT_LASTS, Event::Heal(machine));
    }

    /// A target says that it leaves; after a while another one runs there.
    fn replace(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.runs || target.leaving {
            return;
        }
        target.leaving = true;
        let after = Duration::from_millis(self.random.random_range(3000..6000));
        self.events
            .push(self.now + after, Event::RestorePower(index));
    }

    fn restore_power(&mut self, index: usize) {
        let target = self.new_target(index);
        self.targets[index] = target;
        if self.agents[index].is_none() {
            let mut agent = self.new_agent(index);
            agent.presence(Presence::Absent);
            self.agents[index] = Some(agent);
        }
    }

    fn disturb(&mut self, machine: NodeAddress) {
        self.disturbed.insert(machine, self.now);
    }

    fn is_disturbed(&self, machine: NodeAddress) -> bool {
        self.disturbed
            .get(&machine)
            .is_some_and(|at| self.now.since(*at) < CUT_LASTS + CONTACT)
    }

    fn breach(&mut self, breach: Breach) {
        let at = u64::try_from(self.now.since_origin().as_millis()).unwrap_or(u64::MAX);
        self.report.breaches.push((at, breach));
    }

    fn check_version(&mut self, node: NodeAddress, version: u64) {
        let version = match self.mutation {
            Mutation::NodesForgetVersions if version > 1 => version % 2,
            _ => version,
        };
        let former = self.versions.insert(node, version).unwrap_or(0);
        if version < former {
            self.breach(Breach::VersionWentBack);
        }
    }

    fn check_convergence(&mut self) {
        let latest = self.configuration.version;
        let behind = self
            .balancers
            .iter()
            .flatten()
            .any(|balancer| balancer.routes().version() < latest);
        let agents_behind = self
            .agents
            .iter()
            .flatten()
            .any(|agent| agent.version() < latest);
        if behind || agents_behind {
            self.breach(Breach::NotConverged);
        }
    }
}
