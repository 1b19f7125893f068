//! Hollow nodes, their network and the key-value service on a virtual clock.
//!
//! Every message is encoded by its sender and decoded by its receiver. The
//! processor time of a node is the thread's processor time from before a
//! message is decoded until all answers to it are encoded.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::control::control_message::ControlMessage;
use woodladder_core::control::membership::{ListedMachine, ListedStanding};
use woodladder_core::control::replica::{Action, Event, Installed};
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation, StoreRequestId};
use woodladder_core::identifier::Sequence;
use woodladder_core::packets::keyed_tag::TagKey;

use super::meter::processor_time;
use super::network::Network;
use super::node::{HollowNode, NodeTemplate};
use super::queue::EventQueue;
use super::roller::Roller;
use super::size::{DeploymentSize, NodeIndex};
use super::store::{ControlStore, exchange_length};
use super::trace::{AcceptedRoll, Durations};

const CONTROL_KEY: [u8; 16] = [1; 16];
/// Time between a request to a platform service and its answer.
const SERVICE_DELAY: Duration = Duration::from_millis(5);
/// Nearly the bytes of one machine in the machine list, and the mean bytes a
/// second that a daemon lets the list take.
const LISTED_MACHINE_LENGTH: u64 = 72;
const LIST_BYTES_PER_SECOND: u64 = 1024;
/// Least pause between two readings of the list.
const LIST_PAUSE: Duration = Duration::from_secs(2);
/// Nodes of a deployment start over this time.
const START_TIME: Duration = Duration::from_secs(10);

/// What happens to a node.
pub(super) enum Delivery {
    Wake,
    Frame(NodeIndex, Vec<u8>),
    StoreAnswer(StoreRequestId, StoreAnswer),
    ReadList,
}

/// An event at one run of a node's process.
pub(super) struct Addressed {
    node: NodeIndex,
    run: u32,
    delivery: Delivery,
}

/// The whole deployment.
pub(super) struct World {
    pub(super) now: Instant,
    pub(super) nodes: Vec<HollowNode>,
    pub(super) network: Network,
    pub(super) store: ControlStore,
    pub(super) in_force: Durations,
    /// Times from the end of a cut until a roll made before its end is in force.
    pub(super) caught_up: Durations,
    pub(super) ready: Durations,
    template: NodeTemplate,
    roller: Roller,
    accepted: Vec<AcceptedRoll>,
    reconnected_at: Instant,
    shared: Option<Arc<Installed>>,
    queue: EventQueue<Addressed>,
    key: TagKey,
    random: ChaCha8Rng,
}

impl World {
    /// A deployment whose nodes start over some seconds, with one roll in the
    /// key-value service.
    pub(super) fn start(size: DeploymentSize, seed: u64) -> Self {
        let roller = Roller::new(&size);
        let template = NodeTemplate {
            size,
            trusted: roller.trusted(),
        };
        let mut world = Self {
            now: Instant::ORIGIN,
            nodes: Vec::new(),
            network: Network::default(),
            store: ControlStore::new(),
            in_force: Durations::new(),
            caught_up: Durations::new(),
            ready: Durations::new(),
            template,
            roller,
            accepted: Vec::new(),
            reconnected_at: Instant::ORIGIN,
            shared: None,
            queue: EventQueue::new(),
            key: TagKey::new(CONTROL_KEY),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        world.roll();
        for _ in 0..size.nodes() {
            let wait = START_TIME.mul_f64(world.random.random());
            world.add_node(wait);
        }
        world
    }

    /// Adds a node that starts after some time; returns its position.
    pub(super) fn add_node(&mut self, wait: Duration) -> NodeIndex {
        let index = NodeIndex(self.nodes.len());
        let node = self.new_run(index, 0, self.now + wait);
        self.nodes.push(node);
        self.start_run(index, wait);
        index
    }

    /// Ends a node's process and starts another one at once, which knows
    /// nothing.
    pub(super) fn restart(&mut self, index: NodeIndex) {
        let run = self.nodes[index.0].run + 1;
        let mut node = self.new_run(index, run, self.now);
        node.meter = self.nodes[index.0].meter;
        node.bytes_at_start = node.meter.bytes;
        self.nodes[index.0] = node;
        self.start_run(index, Duration::ZERO);
    }

    /// Cuts a region off from the others and from the platform's services.
    pub(super) fn cut(&mut self, region: &'static str) {
        self.network.cut_region = Some(region);
    }

    /// Ends the cut.
    pub(super) fn reconnect(&mut self) {
        self.network.cut_region = None;
        self.reconnected_at = self.now;
    }

    /// Ends a node's process for good.
    pub(super) fn fail(&mut self, index: NodeIndex) {
        self.nodes[index.0].down = true;
    }

    /// Rolls the next bundle; false when the key-value service refuses.
    pub(super) fn roll(&mut self) -> bool {
        if self.store.down {
            return false;
        }
        let Some(roll) = self.roller.next() else {
            return false;
        };
        self.accepted.push(AcceptedRoll {
            sequence: roll.stored.record.sequence(),
            at: self.now,
        });
        self.store.write(&roll, self.now)
    }

    /// Sequence of the last roll.
    pub(super) fn last_sequence(&self) -> Sequence {
        let last = self.accepted.last();
        last.map_or(Sequence::default(), |roll| roll.sequence)
    }

    /// Length of the first roll's snapshot in bytes.
    pub(super) fn snapshot_length(&self) -> u32 {
        let installed = self.nodes.iter().find_map(|node| node.replica.installed());
        installed.map_or(0, |known| known.record.statement.snapshot_length)
    }

    /// A node that is up, at random.
    pub(super) fn random_up(&mut self) -> NodeIndex {
        loop {
            let index = self.random.random_range(0..self.nodes.len());
            if !self.nodes[index].down {
                return NodeIndex(index);
            }
        }
    }

    /// Nodes that are up.
    pub(super) fn up(&self) -> impl Iterator<Item = &HollowNode> {
        self.nodes.iter().filter(|node| !node.down)
    }

    /// Whether every node that is up has the last roll and is ready.
    pub(super) fn is_settled(&self) -> bool {
        let last = self.last_sequence();
        self.up()
            .all(|node| node.replica.sequence() == last && node.replica.is_ready())
    }

    /// Lets virtual time pass.
    pub(super) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(queued) = self.queue.pop_until(end) {
            self.now = queued.at;
            self.deliver(queued.event);
        }
        self.now = end;
    }

    /// Lets virtual time pass until all is settled, `limit` at most; returns
    /// how long it took, or `None` when the limit was reached.
    pub(super) fn run_until_settled(&mut self, limit: Duration) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(100);
        let begin = self.now;
        while !self.is_settled() {
            if self.now.since(begin) >= limit {
                return None;
            }
            self.run_for(STEP);
        }
        Some(self.now.since(begin))
    }

    fn new_run(&mut self, index: NodeIndex, run: u32, starts_at: Instant) -> HollowNode {
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        HollowNode::start(&self.template, index, run, random, starts_at)
    }

    fn start_run(&mut self, index: NodeIndex, wait: Duration) {
        let at = self.now + wait;
        self.push(at, index, Delivery::Wake);
        self.push(at + SERVICE_DELAY, index, Delivery::ReadList);
    }

    fn push(&mut self, at: Instant, node: NodeIndex, delivery: Delivery) {
        let run = self.nodes[node.0].run;
        let event = Addressed {
            node,
            run,
            delivery,
        };
        self.queue.push(at, event);
    }

    fn deliver(&mut self, addressed: Addressed) {
        let index = addressed.node;
        let node = &mut self.nodes[index.0];
        if node.down || node.run != addressed.run || node.started_at > self.now {
            return;
        }
        match addressed.delivery {
            Delivery::Wake if node.wake_at > self.now => {}
            Delivery::Wake => self.handle(index, |_, _| Event::Tick),
            Delivery::Frame(from, frame) => {
                node.meter.datagram(frame.len());
                let from = from.control();
                self.handle(index, |key, _| match ControlMessage::decode(key, &frame) {
                    Ok(message) => Event::Message { from, message },
                    Err(error) => Event::BadFrame(error),
                });
            }
            Delivery::StoreAnswer(request, answer) => {
                node.meter.bytes += exchange_length(&answer);
                self.handle(index, |_, _| Event::StoreAnswer { request, answer });
            }
            Delivery::ReadList => self.read_list(index),
        }
    }

    /// Gives a node the machine list, which names failed machines too, and
    /// queues the next reading at the interval that daemons use.
    fn read_list(&mut self, index: NodeIndex) {
        let length = self.nodes.len() as u64 * LISTED_MACHINE_LENGTH;
        let reachable = self.network.reaches_store(index);
        let paced = Duration::from_secs(length / LIST_BYTES_PER_SECOND);
        let pause = if reachable {
            paced.max(LIST_PAUSE)
        } else {
            LIST_PAUSE
        };
        let first = self.now.since(self.nodes[index.0].started_at) <= SERVICE_DELAY;
        // Nodes that started together would read the list together once more;
        // measured is a deployment that has run for long.
        let least = if first { 0.0 } else { 0.75 };
        let wait = pause.mul_f64(self.random.random_range(least..1.25));
        self.push(self.now + wait, index, Delivery::ReadList);
        if !reachable {
            return;
        }
        let meter = &mut self.nodes[index.0].meter;
        meter.bytes += length;
        meter.list_bytes += length;
        let count = self.nodes.len();
        let machines = (0..count).map(|named| ListedMachine {
            control: NodeIndex(named).control(),
            standing: ListedStanding::Live,
        });
        let machines = machines.collect();
        self.handle(index, |_, _| Event::Machines(machines));
    }

    fn handle(&mut self, index: NodeIndex, event: impl FnOnce(&TagKey, Instant) -> Event) {
        let node = &mut self.nodes[index.0];
        let shares = self.template.size.shared;
        let before = node.replica.sequence();
        let begin = processor_time();
        let event = event(&self.key, self.now);
        let actions = node.replica.handle(event, self.now);
        let mut frames = Vec::with_capacity(actions.len());
        let mut requests = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    frames.extend(message.encode(&self.key).map(|frame| (to, frame)));
                }
                Action::Store { request, operation } => requests.push((request, operation)),
                Action::Install(installed) if shares => {
                    share_installed(&mut self.shared, node, installed);
                }
                Action::Install(_) | Action::Refresh(_) => {}
            }
        }
        node.meter.processor += processor_time().saturating_sub(begin);
        for (to, frame) in frames {
            self.nodes[index.0].meter.datagram(frame.len());
            if let Some(to) = NodeIndex::from_control(to) {
                self.send(index, to, frame);
            }
        }
        for (request, operation) in requests {
            self.ask_store(index, request, &operation);
        }
        self.note_progress(index, before);
        self.queue_wakeup(index);
    }

    fn send(&mut self, from: NodeIndex, to: NodeIndex, frame: Vec<u8>) {
        if to.0 >= self.nodes.len() {
            return;
        }
        if let Some(delay) = self.network.delay(from, to, &mut self.random) {
            self.push(self.now + delay, to, Delivery::Frame(from, frame));
        }
    }

    fn ask_store(&mut self, index: NodeIndex, request: StoreRequestId, operation: &StoreOperation) {
        let answer = if self.network.reaches_store(index) {
            self.store.answer(operation, self.now)
        } else {
            StoreAnswer::Unreachable
        };
        let at = self.now + SERVICE_DELAY;
        self.push(at, index, Delivery::StoreAnswer(request, answer));
    }

    /// Takes note of rolls put in force and of a node that turned ready.
    fn note_progress(&mut self, index: NodeIndex, before: Sequence) {
        let node = &mut self.nodes[index.0];
        let sequence = node.replica.sequence();
        if node.ready_at.is_none() && node.replica.is_ready() {
            node.ready_at = Some(self.now);
            node.bytes_until_ready = node.meter.bytes - node.bytes_at_start;
            self.ready.record(self.now.since(node.started_at));
        }
        if sequence == before || before == Sequence::default() {
            return;
        }
        let newer = self.accepted.iter().rev();
        for roll in newer.take_while(|roll| roll.sequence > before) {
            if roll.sequence > sequence {
                continue;
            }
            if roll.at < self.reconnected_at {
                self.caught_up.record(self.now.since(self.reconnected_at));
            } else {
                self.in_force.record(self.now.since(roll.at));
            }
        }
    }

    fn queue_wakeup(&mut self, index: NodeIndex) {
        let now = self.now;
        let node = &mut self.nodes[index.0];
        let wake_at = node.replica.next_wakeup().max(now);
        if wake_at != node.wake_at || wake_at == now {
            node.wake_at = wake_at;
            self.push(wake_at, index, Delivery::Wake);
        }
    }
}

/// Lets a node hold the newest copy in place of its own.
fn share_installed(
    shared: &mut Option<Arc<Installed>>,
    node: &mut HollowNode,
    installed: Arc<Installed>,
) {
    let newest = shared.get_or_insert_with(|| Arc::clone(&installed));
    if installed.sequence() > newest.sequence() {
        *newest = installed;
    }
    node.replica.share_installed(newest);
}
