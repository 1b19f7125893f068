//! Every course of a small world in which zones are excluded and taken back: two
//! nodes, one store, answers and messages that are late, lost and overtake each
//! other, a history that is forgotten, a restart.

mod flow_support;

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use flow_support::at;
use woodladder_core::flow::excluded_zones::{ExcludedZones, ZoneChange};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::store_session::{
    ConfigurationWatch, NextCall, StoreCall, StoreReply, ZoneUpdate,
};

/// What operators do, one after the other: excluded, taken back, excluded again.
const ORDERS: [bool; 3] = [true, false, true];
/// Time between two steps: longer than any pause of a watch.
const STEP_MS: u64 = 3000;
const NODES: usize = 2;

#[derive(Clone, Debug)]
struct Node {
    watch: ConfigurationWatch,
    /// The call that the store has answered, and its answer.
    answer: Option<StoreReply>,
    known: ExcludedZones,
}

/// The nodes, the store's revision, which counts the orders, and what is under way.
#[derive(Clone, Debug)]
struct World {
    nodes: [Node; NODES],
    revision: u64,
    /// Revisions up to which the store has forgotten its history.
    forgotten: u64,
    /// Greetings under way, with their receivers.
    greetings: Vec<(usize, ExcludedZones)>,
    now: u64,
    calls_left: u32,
    greetings_left: u32,
    losses_left: u32,
    restarts_left: u32,
    is_forgetful: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Order,
    Forget,
    Call(usize),
    Answer(usize),
    LoseAnswer(usize),
    Greet(usize),
    Hear(usize),
    Restart(usize),
}

fn zone() -> ZoneKey {
    ZoneKey::named("a")
}

/// What the store holds at a revision.
fn truth(revision: u64) -> ExcludedZones {
    let index = usize::try_from(revision).expect("small");
    let is_excluded = index > 0 && ORDERS[index - 1];
    ExcludedZones {
        revision,
        zones: is_excluded.then(zone).into_iter().collect(),
    }
}

impl Node {
    fn new(now: u64) -> Self {
        Self {
            watch: ConfigurationWatch::new(1, at(now)),
            answer: None,
            known: ExcludedZones::default(),
        }
    }
}

impl World {
    fn new() -> Self {
        Self {
            nodes: [Node::new(0), Node::new(0)],
            revision: 1,
            forgotten: 0,
            greetings: Vec::new(),
            now: 0,
            calls_left: 3,
            greetings_left: 2,
            losses_left: 1,
            restarts_left: 1,
            is_forgetful: true,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if usize::try_from(self.revision).expect("small") < ORDERS.len() {
            steps.push(Step::Order);
        }
        if self.is_forgetful {
            steps.push(Step::Forget);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            match node.answer {
                None if self.calls_left > 0 => steps.push(Step::Call(index)),
                Some(_) => {
                    steps.push(Step::Answer(index));
                    if self.losses_left > 0 {
                        steps.push(Step::LoseAnswer(index));
                    }
                }
                None => {}
            }
            if self.greetings_left > 0 {
                steps.push(Step::Greet(index));
            }
            if self.restarts_left > 0 {
                steps.push(Step::Restart(index));
            }
        }
        steps.extend((0..self.greetings.len()).map(Step::Hear));
        steps
    }

    fn take(&mut self, step: Step) {
        self.now += STEP_MS;
        match step {
            Step::Order => self.revision += 1,
            Step::Forget => {
                self.is_forgetful = false;
                self.forgotten = self.revision;
            }
            Step::Call(index) => {
                self.calls_left -= 1;
                let answer = self.answer_to(index);
                self.nodes[index].answer = Some(answer);
            }
            Step::Answer(index) => {
                let answer = self.nodes[index].answer.take().expect("an answer");
                self.answered(index, answer);
            }
            Step::LoseAnswer(index) => {
                self.losses_left -= 1;
                self.nodes[index].answer = None;
                self.answered(index, StoreReply::NoAnswer);
            }
            Step::Greet(index) => {
                self.greetings_left -= 1;
                let known = self.nodes[index].known.clone();
                self.greetings.push((1 - index, known));
            }
            Step::Hear(place) => {
                let (receiver, zones) = self.greetings.remove(place);
                self.nodes[receiver].known.adopt(&zones);
            }
            Step::Restart(index) => {
                self.restarts_left -= 1;
                self.nodes[index] = Node::new(self.now);
            }
        }
    }

    /// The store answers a node's next call as things stand now.
    fn answer_to(&mut self, index: usize) -> StoreReply {
        let wait = Some(Duration::from_secs(1));
        let NextCall::Now(call) = self.nodes[index].watch.next(wait, at(self.now)) else {
            panic!("a call is due after {STEP_MS} ms");
        };
        let zones = match call {
            StoreCall::ReadConfiguration => ZoneUpdate::All(truth(self.revision).zones),
            StoreCall::AwaitConfiguration { after, .. } if after < self.forgotten => {
                return StoreReply::HistoryGone;
            }
            StoreCall::AwaitConfiguration { after, .. } => {
                let changes = (after + 1..=self.revision).map(|revision| ZoneChange {
                    zone: zone(),
                    is_excluded: !truth(revision).zones.is_empty(),
                });
                ZoneUpdate::Changes(changes.collect())
            }
            other => panic!("{other:?}"),
        };
        StoreReply::OperatorState {
            configuration: None,
            zones,
            revision: self.revision,
        }
    }

    fn answered(&mut self, index: usize, answer: StoreReply) {
        let node = &mut self.nodes[index];
        if let Some(state) = node.watch.reply(answer, at(self.now)) {
            node.known.adopt(&state.excluded_zones);
        }
    }

    /// Once a node has read the store again, it knows what the store holds.
    fn assert_converges(mut self) {
        for index in 0..NODES {
            if let Some(answer) = self.nodes[index].answer.take() {
                self.answered(index, answer);
            }
            // The history may be gone: then the call after that reads.
            for _ in 0..2 {
                self.now += STEP_MS;
                let answer = self.answer_to(index);
                self.answered(index, answer);
            }
            assert_eq!(self.nodes[index].known, truth(self.revision));
        }
    }
}

#[test]
fn in_every_course_a_node_holds_what_was_true_and_never_goes_back() {
    let mut seen = HashSet::new();
    let mut open = vec![World::new()];
    let mut ends = BTreeSet::new();
    while let Some(world) = open.pop() {
        let steps = world.steps();
        if steps.is_empty() {
            ends.insert(format!(
                "{:?}",
                world.nodes.each_ref().map(|node| node.known.revision)
            ));
        }
        world.clone().assert_converges();
        for step in steps {
            let mut next = world.clone();
            next.take(step);
            for (before, after) in world.nodes.iter().zip(&next.nodes) {
                let restarted = matches!(step, Step::Restart(_)) && after.known.revision == 0;
                assert!(restarted || after.known.revision >= before.known.revision);
                if after.known.revision > 0 {
                    assert_eq!(after.known, truth(after.known.revision), "{step:?}");
                }
            }
            // Time alone makes no difference between two worlds.
            let mut timeless = next.clone();
            timeless.now = 0;
            let shown = format!("{:?}{:?}", timeless.greetings, summary(&timeless));
            if seen.insert(shown) {
                open.push(next);
            }
        }
    }
    println!("{} states, {} ends", seen.len(), ends.len());
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

/// What tells two worlds apart, without their times.
fn summary(world: &World) -> String {
    let nodes = world.nodes.each_ref().map(|node| {
        let mut watch = node.watch.clone();
        let call = watch.next(Some(Duration::from_secs(1)), at(u64::from(u32::MAX)));
        let call = match call {
            NextCall::Now(call) => format!("{call:?}"),
            NextCall::At(_) => "under way".to_owned(),
        };
        format!("{call} {:?} {:?}", node.answer, node.known)
    });
    format!(
        "{nodes:?} {} {} {} {} {} {} {}",
        world.revision,
        world.forgotten,
        world.calls_left,
        world.greetings_left,
        world.losses_left,
        world.restarts_left,
        world.is_forgetful
    )
}
