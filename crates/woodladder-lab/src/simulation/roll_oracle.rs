//! The oracle's rules on rolls: only accepted ones are in force, soon and for
//! good, and operators are told the truth.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::configuration::roll_record::RollNonce;
use woodladder_core::digest::Digest;
use woodladder_core::identifier::Sequence;

use super::log::{Entry, ProcessRun, Record, RollVerdict};
use super::promise::{Promise, Violation};

/// Longest time from acceptance until a roll is in force at a sound node.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

/// A state that is good or not, and when it changed.
type Changes = Vec<(Instant, bool)>;

/// What the log says about one node.
#[derive(Debug, Default)]
struct NodeStory {
    sound: Changes,
    in_force: Vec<(Instant, Sequence)>,
}

/// What the log says about rolls.
#[derive(Debug)]
struct RollStories {
    nodes: BTreeMap<ProcessRun, NodeStory>,
    reachable: Changes,
    accepted: BTreeMap<Sequence, (Instant, Digest)>,
    end: Instant,
}

/// Judges rolls.
pub fn judge(records: &[Record], violations: &mut Vec<Violation>) {
    judge_in_force(records, violations);
    judge_verdicts(records, violations);
    let Some(end) = records.last().map(|record| record.at) else {
        return;
    };
    RollStories::read(records, end).judge_delays(violations);
}

/// A roll in force is never earlier than the one before it at the same node,
/// and is one that the key-value service accepted.
fn judge_in_force(records: &[Record], violations: &mut Vec<Violation>) {
    let mut accepted: BTreeMap<Sequence, Digest> = BTreeMap::new();
    let mut in_force: BTreeMap<ProcessRun, Sequence> = BTreeMap::new();
    for record in records {
        let (node, sequence, snapshot) = match record.entry {
            Entry::RollAccepted {
                sequence, snapshot, ..
            } => {
                accepted.insert(sequence, snapshot);
                continue;
            }
            Entry::InForce {
                node,
                sequence,
                snapshot,
            } => (node, sequence, snapshot),
            _ => continue,
        };
        let before = in_force.insert(node, sequence).unwrap_or_default();
        let machine = node.machine;
        let detail = if sequence < before {
            format!("{machine:?} went from roll {before} to {sequence}")
        } else if accepted.get(&sequence) != Some(&snapshot) {
            format!("{machine:?} put a roll {sequence} in force that was not accepted")
        } else {
            continue;
        };
        violations.push(Violation {
            promise: Promise::NeverReverts,
            at: record.at,
            detail,
        });
    }
}

/// An operator who is told that a roll was accepted, or was not, is told so
/// rightly.
fn judge_verdicts(records: &[Record], violations: &mut Vec<Violation>) {
    let mut accepted: Vec<RollNonce> = Vec::new();
    for record in records {
        let (nonce, verdict) = match record.entry {
            Entry::RollAccepted { nonce, .. } => {
                accepted.push(nonce);
                continue;
            }
            Entry::RollJudged { nonce, verdict } => (nonce, verdict),
            _ => continue,
        };
        let told = match verdict {
            RollVerdict::Accepted => true,
            RollVerdict::NotAccepted => false,
            RollVerdict::MayBeAccepted => continue,
        };
        if told != accepted.contains(&nonce) {
            violations.push(Violation {
                promise: Promise::TrueRollVerdict,
                at: record.at,
                detail: format!("an operator was told {verdict:?}, which is not so"),
            });
        }
    }
}

impl RollStories {
    fn read(records: &[Record], end: Instant) -> Self {
        let mut stories = Self {
            nodes: BTreeMap::new(),
            reachable: vec![(Instant::ORIGIN, true)],
            accepted: BTreeMap::new(),
            end,
        };
        for record in records {
            stories.add(record);
        }
        stories
    }

    fn add(&mut self, record: &Record) {
        match record.entry {
            Entry::NodeHealth { node, sound } => {
                let story = self.nodes.entry(node).or_default();
                story.sound.push((record.at, sound));
            }
            Entry::InForce { node, sequence, .. } => {
                let story = self.nodes.entry(node).or_default();
                story.in_force.push((record.at, sequence));
            }
            Entry::StoreHealth { reachable } => self.reachable.push((record.at, reachable)),
            Entry::RollAccepted {
                sequence, snapshot, ..
            } => {
                self.accepted.insert(sequence, (record.at, snapshot));
            }
            _ => {}
        }
    }

    fn judge_delays(&self, violations: &mut Vec<Violation>) {
        for (sequence, (accepted, _)) in &self.accepted {
            for (node, story) in &self.nodes {
                let Some(due) = self.due(*node, story, *sequence, *accepted) else {
                    continue;
                };
                if !story.has_by(*sequence, due) {
                    violations.push(Violation {
                        promise: Promise::SoonInForce,
                        at: due,
                        detail: format!("roll {sequence} is not in force at {:?}", node.machine),
                    });
                }
            }
        }
    }

    /// When the roll is to be in force at the node: at the end of the first
    /// stretch after its acceptance in which the node, and the key-value
    /// service or a node that has the roll, were sound for the limit.
    fn due(
        &self,
        node: ProcessRun,
        story: &NodeStory,
        sequence: Sequence,
        accepted: Instant,
    ) -> Option<Instant> {
        let nodes = self.nodes.iter();
        let peers = nodes.filter(|(peer, _)| **peer != node);
        let peers: Vec<&NodeStory> = peers.map(|(_, story)| story).collect();
        let had = peers.iter().filter_map(|peer| peer.had_at(sequence));
        let mut starts = good_from(&story.sound);
        starts.extend(good_from(&self.reachable));
        starts.extend(had);
        let mut starts: Vec<Instant> = starts.iter().map(|at| (*at).max(accepted)).collect();
        starts.sort_unstable();
        let source = |start: Instant| {
            holds(&self.reachable, start)
                || peers.iter().any(|peer| peer.can_teach(sequence, start))
        };
        let usable = |start: &Instant| holds(&story.sound, *start) && source(*start);
        let due = starts.into_iter().find(usable)? + IN_FORCE_LIMIT;
        (due <= self.end).then_some(due)
    }
}

impl NodeStory {
    fn had_at(&self, sequence: Sequence) -> Option<Instant> {
        let mut had = self.in_force.iter().filter(|(_, known)| *known >= sequence);
        had.next().map(|(at, _)| *at)
    }

    fn has_by(&self, sequence: Sequence, due: Instant) -> bool {
        self.had_at(sequence).is_some_and(|at| at <= due)
    }

    fn can_teach(&self, sequence: Sequence, start: Instant) -> bool {
        self.has_by(sequence, start) && holds(&self.sound, start)
    }
}

fn good_from(changes: &Changes) -> Vec<Instant> {
    let good = changes.iter().filter(|(_, good)| *good);
    good.map(|(at, _)| *at).collect()
}

/// Whether a state was good from an instant until the limit after it.
fn holds(changes: &Changes, from: Instant) -> bool {
    let until = from + IN_FORCE_LIMIT;
    let at_start = changes.iter().rfind(|(at, _)| *at <= from);
    let good_at_start = at_start.is_some_and(|(_, good)| *good);
    let mut later = changes.iter().filter(|(at, _)| *at > from && *at <= until);
    good_at_start && later.all(|(_, good)| *good)
}
