//! The oracle's rule on rolls: accepted ones are soon in force.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::Sequence;

use super::log::{Entry, ProcessRun, Record};
use super::promise::{Promise, Violation};

/// Longest time from acceptance until a roll is in force at a sound node.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

/// What the log says about one node.
#[derive(Debug, Default)]
struct NodeStory {
    /// Times at which it became sound, and ceased to be.
    sound: Vec<(Instant, bool)>,
    in_force: Vec<(Instant, Sequence)>,
}

/// Judges how soon rolls came into force.
pub fn judge(records: &[Record], violations: &mut Vec<Violation>) {
    let Some(end) = records.last().map(|record| record.at) else {
        return;
    };
    let nodes = read_nodes(records);
    let reachable = read_store(records);
    for record in records {
        let Entry::RollAccepted { sequence } = record.entry else {
            continue;
        };
        for (node, story) in &nodes {
            let late = story.is_late(record.at, sequence, &reachable, end);
            if let Some(at) = late {
                violations.push(Violation {
                    promise: Promise::SoonInForce,
                    at,
                    detail: format!("roll {sequence} is not in force at {:?}", node.machine),
                });
            }
        }
    }
}

fn read_nodes(records: &[Record]) -> BTreeMap<ProcessRun, NodeStory> {
    let mut nodes: BTreeMap<ProcessRun, NodeStory> = BTreeMap::new();
    for record in records {
        match record.entry {
            Entry::NodeHealth { node, sound } => {
                let story = nodes.entry(node).or_default();
                story.sound.push((record.at, sound));
            }
            Entry::InForce { node, sequence } => {
                let story = nodes.entry(node).or_default();
                story.in_force.push((record.at, sequence));
            }
            _ => {}
        }
    }
    nodes
}

fn read_store(records: &[Record]) -> Vec<(Instant, bool)> {
    let mut changes = vec![(Instant::ORIGIN, true)];
    for record in records {
        if let Entry::StoreHealth { reachable } = record.entry {
            changes.push((record.at, reachable));
        }
    }
    changes
}

impl NodeStory {
    /// When the roll should have been in force, if it was not: the end of the
    /// first stretch after its acceptance in which node and service were sound
    /// for the limit.
    fn is_late(
        &self,
        accepted: Instant,
        sequence: Sequence,
        reachable: &[(Instant, bool)],
        end: Instant,
    ) -> Option<Instant> {
        let starts = self.sound.iter().chain(reachable);
        let mut starts: Vec<Instant> = starts
            .filter(|(_, good)| *good)
            .map(|(at, _)| (*at).max(accepted))
            .collect();
        starts.sort();
        let due = starts
            .into_iter()
            .filter(|start| holds(&self.sound, *start) && holds(reachable, *start))
            .map(|start| start + IN_FORCE_LIMIT)
            .find(|due| *due <= end)?;
        let kept = self.in_force.iter();
        let mut kept = kept.filter(|(at, known)| *at <= due && *known >= sequence);
        kept.next().is_none().then_some(due)
    }
}

/// Whether a state was good from an instant until the limit after it.
fn holds(changes: &[(Instant, bool)], from: Instant) -> bool {
    let until = from + IN_FORCE_LIMIT;
    let at_start = changes.iter().rfind(|(at, _)| *at <= from);
    let good_at_start = at_start.is_some_and(|(_, good)| *good);
    let mut later = changes.iter().filter(|(at, _)| *at > from && *at <= until);
    good_at_start && later.all(|(_, good)| *good)
}
