//! Replicas that exchange messages over a simulated network with faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::control::availability::{RunNumber, ServedTarget};
use woodladder_core::control::control_message::ControlMessage;
use woodladder_core::control::membership::{ListedMachine, ListedState, Locality, Role};
use woodladder_core::control::replica::{
    Replica, ReplicaAction, ReplicaEvent, ReplicaSettings, ReplicaTuning,
};
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation, StoreRequestId};
use woodladder_core::identifier::{NodeId, Sequence, TargetId};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::routing_table::RoutingTable;

use super::fixture;
use super::store::Store;
use super::store_connections::{Call, SilenceCount, StoreConnections};

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub shortest_delay: Duration,
    pub longest_delay: Duration,
}

impl Faults {
    pub const NONE: Self = Self {
        loss: 0.0,
        duplication: 0.0,
        shortest_delay: Duration::from_micros(500),
        longest_delay: Duration::from_micros(1500),
    };
}

pub struct Node {
    pub replica: Replica,
    pub down: bool,
    pub installed: Vec<Sequence>,
    /// Routing table that the data path uses, if it is not the one of the
    /// installed roll.
    pub routing_table: Option<Arc<RoutingTable>>,
    pub paused_until: Instant,
    store_connections: StoreConnections,
    wake_at: Instant,
}

enum Delivery {
    Wake,
    Message(SocketAddr, Box<ControlMessage>),
    StoreAnswer(StoreRequestId, StoreAnswer),
    StoreRequest(StoreRequestId, StoreOperation, Call),
    NoStoreAnswer(StoreRequestId),
}

struct ScheduledDelivery {
    at: Instant,
    sequence_number: u64,
    node: usize,
    delivery: Delivery,
}

pub struct Simulation {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub faults: Faults,
    pub messages: u64,
    pub bytes: u64,
    /// Messages between the nodes before this position and the others are lost.
    pub partitioned_at: Option<usize>,
    /// Messages between these two nodes are lost.
    pub partitioned_pair: Option<(usize, usize)>,
    /// Whether agents announce their targets.
    pub agents_announce_targets: bool,
    store_silences: SilenceCount,
    started_runs: u64,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<ScheduledDelivery>>,
    sequence_number: u64,
}

pub fn address(index: usize) -> SocketAddr {
    let [_, high, middle, low] = u32::try_from(index).unwrap().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, high, middle, low), 7000))
}

/// The target that the agent at this position serves.
pub fn target_of(index: usize) -> TargetId {
    TargetId(u32::try_from(index).unwrap())
}

pub fn settings(index: usize, tuning: ReplicaTuning) -> ReplicaSettings {
    let region = if index.is_multiple_of(2) {
        "north"
    } else {
        "south"
    };
    ReplicaSettings {
        node: NodeId(index as u64 + 1),
        role: if index.is_multiple_of(10) {
            Role::Balancer
        } else {
            Role::Agent
        },
        locality: Locality::new(region, "a"),
        control_address: address(index),
        served_target: None,
        seeds: Vec::new(),
        trusted: fixture::trusted(),
        tuning,
    }
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::ORIGIN,
            nodes: Vec::new(),
            store: Store::default(),
            faults: Faults::NONE,
            messages: 0,
            bytes: 0,
            partitioned_at: None,
            partitioned_pair: None,
            agents_announce_targets: false,
            store_silences: SilenceCount::default(),
            started_runs: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sequence_number: 0,
        }
    }

    /// Nodes that all know each other from the machine list.
    pub fn listed(count: usize, seed: u64, tuning: ReplicaTuning) -> Self {
        Self::new(seed).with_listed(count, tuning)
    }

    /// Nodes that all know each other from the machine list, with agents that
    /// announce their targets.
    pub fn serving(count: usize, seed: u64) -> Self {
        let mut simulation = Self::new(seed);
        simulation.agents_announce_targets = true;
        simulation.with_listed(count, ReplicaTuning::default())
    }

    fn with_listed(mut self, count: usize, tuning: ReplicaTuning) -> Self {
        let simulation = &mut self;
        for _ in 0..count {
            simulation.add(tuning);
        }
        for index in 0..count {
            simulation.read_machine_list(index, 0..count);
        }
        self
    }

    pub fn add(&mut self, tuning: ReplicaTuning) -> usize {
        let index = self.nodes.len();
        let replica = self.replica(index, tuning);
        self.nodes.push(Node {
            replica,
            down: false,
            installed: Vec::new(),
            routing_table: None,
            paused_until: Instant::ORIGIN,
            store_connections: StoreConnections::default(),
            wake_at: Instant::ORIGIN,
        });
        self.event(index, ReplicaEvent::Tick);
        index
    }

    /// Replaces the process of a node by a new one without any state.
    pub fn restart(&mut self, index: usize, tuning: ReplicaTuning) {
        let replica = self.replica(index, tuning);
        self.nodes[index].replica = replica;
        self.nodes[index].installed.clear();
        self.nodes[index].store_connections = StoreConnections::default();
        self.nodes[index].down = false;
        self.event(index, ReplicaEvent::Tick);
    }

    pub fn read_machine_list(&mut self, index: usize, listed: impl IntoIterator<Item = usize>) {
        let machine = |listed| ListedMachine {
            control_address: address(listed),
            state: ListedState::Live,
        };
        let machines = listed.into_iter().map(machine).collect();
        self.event(index, ReplicaEvent::MachineList(machines));
    }

    pub fn event(&mut self, index: usize, event: ReplicaEvent) {
        let actions = self.nodes[index].replica.handle(event, self.now);
        for action in actions {
            self.execute(index, action);
        }
        let wake_at = self.nodes[index].replica.next_wakeup().max(self.now);
        if wake_at != self.nodes[index].wake_at {
            self.nodes[index].wake_at = wake_at;
            self.push(wake_at, index, Delivery::Wake);
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until the condition holds; returns false if the time passes first.
    pub fn run_until(&mut self, time: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + time;
        while !condition(self) {
            if !self.step(end) {
                self.now = end;
                return condition(self);
            }
        }
        true
    }

    /// Connections to the store that are open now carry nothing any more. New ones work.
    pub fn silence_store_connections(&mut self) {
        self.store_silences.0 += 1;
    }

    pub fn all_have_in_force(&self, sequence: Sequence) -> bool {
        let up = self.nodes.iter().filter(|node| !node.down);
        up.clone().all(|node| node.replica.sequence() == sequence)
    }

    /// Panics if the roll in force at any node ever reverted to an earlier one.
    pub fn assert_never_reverted(&self) {
        for node in &self.nodes {
            assert!(
                node.installed
                    .is_sorted_by(|earlier, later| earlier < later)
            );
        }
    }

    fn serves(&self, index: usize) -> bool {
        self.agents_announce_targets
            && settings(index, ReplicaTuning::default()).role == Role::Agent
    }

    fn replica(&mut self, index: usize, tuning: ReplicaTuning) -> Replica {
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let mut settings = settings(index, tuning);
        settings.served_target = self.serves(index).then(|| ServedTarget {
            target: target_of(index),
            run: RunNumber(self.started_runs),
        });
        self.started_runs += 1;
        Replica::new(settings, random, self.now)
    }

    fn step(&mut self, end: Instant) -> bool {
        let Some(Reverse(due)) = self.queue.peek() else {
            return false;
        };
        if due.at > end {
            return false;
        }
        let Some(Reverse(due)) = self.queue.pop() else {
            return false;
        };
        self.now = due.at;
        self.deliver(due);
        true
    }

    fn deliver(&mut self, due: ScheduledDelivery) {
        let node = &self.nodes[due.node];
        if node.down {
            return;
        }
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.push(at, due.node, due.delivery);
            return;
        }
        match due.delivery {
            Delivery::Wake if node.wake_at > self.now => {}
            Delivery::Wake => self.event(due.node, ReplicaEvent::Tick),
            Delivery::Message(from, message) => {
                let message = *message;
                self.event(due.node, ReplicaEvent::Message { from, message });
            }
            Delivery::StoreAnswer(request, answer) => {
                self.event(due.node, ReplicaEvent::StoreAnswer { request, answer });
            }
            Delivery::StoreRequest(request, operation, call) => {
                self.ask_store(due.node, request, operation, call);
            }
            Delivery::NoStoreAnswer(request) => {
                self.nodes[due.node].store_connections.record_no_answer();
                let answer = StoreAnswer::Unknown;
                self.event(due.node, ReplicaEvent::StoreAnswer { request, answer });
            }
        }
    }

    fn execute(&mut self, index: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => self.send(index, to, message),
            ReplicaAction::Store { request, operation } => {
                let connections = &mut self.nodes[index].store_connections;
                let call = connections.call(self.store_silences, self.now);
                self.ask_store(index, request, operation, call);
            }
            ReplicaAction::Install(installed) => {
                self.nodes[index].installed.push(installed.sequence());
                self.nodes[index].routing_table = None;
            }
            ReplicaAction::ReplaceDirectory(routing_table) => {
                self.nodes[index].routing_table = Some(routing_table)
            }
        }
    }

    fn ask_store(
        &mut self,
        index: usize,
        request: StoreRequestId,
        operation: StoreOperation,
        call: Call,
    ) {
        if call.is_silent(self.store_silences) {
            let expires_at = call.expires_at(&operation);
            self.push(expires_at, index, Delivery::NoStoreAnswer(request));
            return;
        }
        if self.store.blocks(&operation) && call.may_be_held(self.now) {
            let later = self.now + Duration::from_millis(200);
            let again = Delivery::StoreRequest(request, operation, call);
            self.push(later, index, again);
            return;
        }
        let answer = self.store.answer(&operation);
        if self.store.loses_answers {
            return;
        }
        let connections = &mut self.nodes[index].store_connections;
        connections.record_answer(call, self.now);
        let delay = self.delay() * 2;
        self.push(
            self.now + delay,
            index,
            Delivery::StoreAnswer(request, answer),
        );
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: ControlMessage) {
        let frame = message.encode(&TagKey::new([1; 16])).unwrap();
        self.messages += 1;
        self.bytes += frame.len() as u64;
        let Some(to) = (0..self.nodes.len()).position_of(to) else {
            return;
        };
        let is_cut = |cut: usize| (from < cut) != (to < cut);
        let pair = Some((from.min(to), from.max(to)));
        if self.partitioned_pair == pair
            || self.partitioned_at.is_some_and(is_cut)
            || self.random.random_bool(self.faults.loss)
        {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let at = self.now + self.delay();
            let delivery = Delivery::Message(address(from), Box::new(message.clone()));
            self.push(at, to, delivery);
        }
    }

    fn delay(&mut self) -> Duration {
        let range = self.faults.shortest_delay..=self.faults.longest_delay;
        self.random.random_range(range)
    }

    fn push(&mut self, at: Instant, node: usize, delivery: Delivery) {
        self.sequence_number += 1;
        self.queue.push(Reverse(ScheduledDelivery {
            at,
            sequence_number: self.sequence_number,
            node,
            delivery,
        }));
    }
}

trait PositionOf {
    fn position_of(self, wanted: SocketAddr) -> Option<usize>;
}

impl PositionOf for std::ops::Range<usize> {
    fn position_of(self, wanted: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(wanted) = wanted else {
            return None;
        };
        let [_, high, middle, low] = wanted.ip().octets();
        let index = u32::from_be_bytes([0, high, middle, low]) as usize;
        self.contains(&index).then_some(index)
    }
}

impl PartialEq for ScheduledDelivery {
    fn eq(&self, other: &Self) -> bool {
        self.sequence_number == other.sequence_number
    }
}

impl Eq for ScheduledDelivery {}

impl PartialOrd for ScheduledDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence_number).cmp(&(other.at, other.sequence_number))
    }
}
