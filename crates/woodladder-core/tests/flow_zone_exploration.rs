//! Explores all event orders of a small world in which zones are excluded and
//! readmitted. It has two nodes and one store; answers and messages may be late, lost
//! or reordered, the store may drop its history, and a node may restart.

mod flow_support;

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use flow_support::at;
use woodladder_core::flow::excluded_zones::{ExcludedZones, ZoneChange};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::store_session::{
    ConfigurationWatch, NextCall, StoreCall, StoreReply, ZoneUpdate,
};

/// Successive commands of the operators: exclude the zone, readmit it, exclude it
/// again.
const COMMANDS: [bool; 3] = [true, false, true];
/// Time between two steps, in milliseconds: longer than any pause of a watch.
const STEP_MS: u64 = 3000;
const NODES: usize = 2;

#[derive(Clone, Debug)]
struct Node {
    watch: ConfigurationWatch,
    /// The store's answer to the node's call, if it is under way.
    answer: Option<StoreReply>,
    known: ExcludedZones,
}

/// The nodes, the store, and the messages under way. The store's revision counts the
/// commands.
#[derive(Clone, Debug)]
struct World {
    nodes: [Node; NODES],
    revision: u64,
    /// Last revision whose history the store has dropped.
    history_dropped_to: u64,
    /// Hellos under way, with the index of the receiver.
    hellos: Vec<(usize, ExcludedZones)>,
    now: u64,
    calls_left: u32,
    hellos_left: u32,
    losses_left: u32,
    restarts_left: u32,
    may_drop_history: bool,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Command,
    DropHistory,
    Call(usize),
    Answer(usize),
    LoseAnswer(usize),
    SendHello(usize),
    ReceiveHello(usize),
    Restart(usize),
}

fn zone() -> ZoneKey {
    ZoneKey::named("a")
}

/// The excluded zones in the store at a revision.
fn zones_at_revision(revision: u64) -> ExcludedZones {
    let index = usize::try_from(revision).expect("small");
    let is_excluded = index > 0 && COMMANDS[index - 1];
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
            history_dropped_to: 0,
            hellos: Vec::new(),
            now: 0,
            calls_left: 3,
            hellos_left: 2,
            losses_left: 1,
            restarts_left: 1,
            may_drop_history: true,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if usize::try_from(self.revision).expect("small") < COMMANDS.len() {
            steps.push(Step::Command);
        }
        if self.may_drop_history {
            steps.push(Step::DropHistory);
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
            if self.hellos_left > 0 {
                steps.push(Step::SendHello(index));
            }
            if self.restarts_left > 0 {
                steps.push(Step::Restart(index));
            }
        }
        steps.extend((0..self.hellos.len()).map(Step::ReceiveHello));
        steps
    }

    fn take(&mut self, step: Step) {
        self.now += STEP_MS;
        match step {
            Step::Command => self.revision += 1,
            Step::DropHistory => {
                self.may_drop_history = false;
                self.history_dropped_to = self.revision;
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
            Step::SendHello(index) => {
                self.hellos_left -= 1;
                let known = self.nodes[index].known.clone();
                self.hellos.push((1 - index, known));
            }
            Step::ReceiveHello(place) => {
                let (receiver, zones) = self.hellos.remove(place);
                self.nodes[receiver].known.adopt(&zones);
            }
            Step::Restart(index) => {
                self.restarts_left -= 1;
                self.nodes[index] = Node::new(self.now);
            }
        }
    }

    /// The store's answer, at the present state, to a node's next call.
    fn answer_to(&mut self, index: usize) -> StoreReply {
        let wait = Some(Duration::from_secs(1));
        let NextCall::Now(call) = self.nodes[index].watch.next(wait, at(self.now)) else {
            panic!("a call is due after {STEP_MS} ms");
        };
        let zones = match call {
            StoreCall::ReadConfiguration => ZoneUpdate::All(zones_at_revision(self.revision).zones),
            StoreCall::AwaitConfiguration { after, .. } if after < self.history_dropped_to => {
                return StoreReply::HistoryGone;
            }
            StoreCall::AwaitConfiguration { after, .. } => {
                let changes = (after + 1..=self.revision).map(|revision| ZoneChange {
                    zone: zone(),
                    is_excluded: !zones_at_revision(revision).zones.is_empty(),
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

    /// Checks that a node knows the store's state once it has read the store again.
    fn assert_converges(mut self) {
        for index in 0..NODES {
            if let Some(answer) = self.nodes[index].answer.take() {
                self.answered(index, answer);
            }
            // If the history was dropped, the node learns so from one call and reads
            // with the next.
            for _ in 0..2 {
                self.now += STEP_MS;
                let answer = self.answer_to(index);
                self.answered(index, answer);
            }
            assert_eq!(self.nodes[index].known, zones_at_revision(self.revision));
        }
    }
}

#[test]
fn no_event_order_gives_a_node_a_wrong_or_older_set_of_zones() {
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
                    assert_eq!(
                        after.known,
                        zones_at_revision(after.known.revision),
                        "{step:?}"
                    );
                }
            }
            // Worlds that differ only in time count as the same state.
            let mut without_time = next.clone();
            without_time.now = 0;
            let shown = format!("{:?}{:?}", without_time.hellos, summary(&without_time));
            if seen.insert(shown) {
                open.push(next);
            }
        }
    }
    println!("{} states, {} ends", seen.len(), ends.len());
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

/// Text that identifies the state of a world without its times.
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
        world.history_dropped_to,
        world.calls_left,
        world.hellos_left,
        world.losses_left,
        world.restarts_left,
        world.may_drop_history
    )
}
