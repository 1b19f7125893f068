//! After the swap, the roll command offers the roll to the nodes and counts
//! those that have it in force.

mod control_simulation;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use control_simulation::fixture::{bundle, operator, trusted};
use control_simulation::network::{address, settings};
use control_simulation::store::Store;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::SignedBundle;
use woodladder_core::control::control_message::ControlMessage;
use woodladder_core::control::replica::{Replica, ReplicaAction, ReplicaEvent, ReplicaTuning};
use woodladder_core::control::roll_command::{
    RollAction, RollCommand, RollEvent, RollOutcome, RollProgress, RollRequest,
};

const OPERATOR: usize = 99;
const STEP: Duration = Duration::from_millis(10);

/// Nodes that cannot reach the key-value service, and an operator who can.
struct Deployment {
    now: Instant,
    nodes: Vec<Replica>,
    store: Store,
    messages: VecDeque<(SocketAddr, SocketAddr, ControlMessage)>,
    progress: Vec<RollProgress>,
}

impl Deployment {
    fn new(nodes: usize) -> Self {
        let node = |index| {
            let random = ChaCha8Rng::seed_from_u64(index as u64);
            let settings = settings(index, ReplicaTuning::default());
            Replica::new(settings, random, Instant::ORIGIN)
        };
        Self {
            now: Instant::ORIGIN,
            nodes: (0..nodes).map(node).collect(),
            store: Store::default(),
            messages: VecDeque::new(),
            progress: Vec::new(),
        }
    }

    fn roll(&mut self, version: u64, targets: u32, known: usize) -> RollOutcome {
        let bundle = bundle(version, 0..targets, version as u16);
        let signed = SignedBundle::sign(bundle, &operator());
        let mut request = RollRequest::new(signed, "lin".to_owned(), operator(), trusted(), 2_000);
        request.nodes = (0..known).map(address).collect();
        let random = ChaCha8Rng::seed_from_u64(version);
        let mut command = RollCommand::new(request, random, self.now);
        self.progress.clear();
        let mut events = VecDeque::from([RollEvent::Tick]);
        loop {
            while let Some(event) = events.pop_front() {
                for action in command.handle(event, self.now) {
                    match action {
                        RollAction::Finished(result) => return result.unwrap(),
                        RollAction::Send { to, message } => {
                            self.messages.push_back((address(OPERATOR), to, message));
                        }
                        RollAction::Store { request, operation } => {
                            let answer = self.store.answer(&operation);
                            events.push_back(RollEvent::StoreAnswer { request, answer });
                        }
                        RollAction::Progress(progress) => self.progress.push(progress),
                        RollAction::Accepted(_) => {}
                    }
                }
            }
            self.run_nodes(&mut events);
            self.now = self.now + STEP;
            events.push_back(RollEvent::Tick);
        }
    }

    fn run_nodes(&mut self, events: &mut VecDeque<RollEvent>) {
        for index in 0..self.nodes.len() {
            self.handle(index, ReplicaEvent::Tick);
        }
        while let Some((from, to, message)) = self.messages.pop_front() {
            if to == address(OPERATOR) {
                events.push_back(RollEvent::Message { from, message });
            } else if let Some(index) = (0..self.nodes.len()).find(|index| address(*index) == to) {
                self.handle(index, ReplicaEvent::Message { from, message });
            }
        }
    }

    fn handle(&mut self, index: usize, event: ReplicaEvent) {
        for action in self.nodes[index].handle(event, self.now) {
            if let ReplicaAction::Send { to, message } = action {
                self.messages.push_back((address(index), to, message));
            }
        }
    }
}

#[test]
fn operator_alone_rolls_out_to_nodes_without_peers() {
    let mut deployment = Deployment::new(60);
    for version in 1..4 {
        let outcome = deployment.roll(version, 300, 60);
        assert_eq!(outcome.progress.in_force, 60);
        let in_force = |node: &Replica| node.sequence() == outcome.roll.sequence;
        assert!(deployment.nodes.iter().all(in_force));
        let counts = deployment.progress.iter().map(|progress| progress.in_force);
        assert!(counts.is_sorted());
    }
}

#[test]
fn dead_nodes_are_reported_and_the_wait_for_them_ends() {
    let mut deployment = Deployment::new(6);
    let outcome = deployment.roll(1, 10, 8);
    let expected = RollProgress {
        in_force: 6,
        later: 0,
        answered: 6,
        known: 8,
    };
    assert_eq!(outcome.progress, expected);
}

#[test]
fn roll_without_known_nodes_ends_once_it_is_accepted() {
    let mut deployment = Deployment::new(0);
    let outcome = deployment.roll(1, 10, 0);
    assert_eq!(outcome.progress, RollProgress::default());
}
