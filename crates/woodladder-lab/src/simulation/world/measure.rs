//! What is measured besides promises: broken flows and imbalance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use woodladder_core::identifier::{Sequence, ServiceId};

use super::World;
use super::event::Event;
use crate::simulation::log::{Entry, Log, Outcome, ProcessRun};
use crate::simulation::promise::Violation;
use crate::simulation::report::{Counts, RunReport};
use crate::simulation::seen::Seen;

/// Time between two samples of load.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Sums over the samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measures {
    greatest: f64,
    mean: f64,
}

impl World {
    /// Samples rolls in force, and the shares of busy slots at each service's
    /// targets.
    pub(super) fn sample(&mut self) {
        self.sample_rolls();
        let mut shares: BTreeMap<ServiceId, Vec<f64>> = BTreeMap::new();
        for machine in self.agents.values() {
            if machine.host.process.is_none() || !machine.back_end.is_up() {
                continue;
            }
            let busy = u32::try_from(machine.back_end.busy()).unwrap_or(u32::MAX);
            let share = f64::from(busy) / f64::from(machine.back_end.slots());
            let service = machine.identity.service;
            shares.entry(service).or_default().push(share);
        }
        for shares in shares.values() {
            self.measures.add(shares);
        }
        self.queue.after(SAMPLE_INTERVAL, Event::Sample);
    }

    fn sample_rolls(&mut self) {
        let running = self.balancers.values();
        let running = running.filter_map(|host| host.process.as_ref());
        let rolls: BTreeSet<Sequence> =
            running.map(|balancer| balancer.node().sequence()).collect();
        let rolls = rolls
            .into_iter()
            .filter(|sequence| *sequence > Sequence::default());
        if rolls.count() >= 3 {
            self.log.see(Seen::ThreeRolls);
        }
    }

    pub(super) fn report(
        mut self,
        scenario: &'static str,
        seed: u64,
        violations: Vec<Violation>,
    ) -> RunReport {
        let mut counts = Counts {
            broken_flows: self
                .callers
                .values()
                .map(|caller| caller.broken_flows())
                .sum(),
            ..Counts::default()
        };
        for record in self.log.records() {
            count(&record.entry, &mut counts);
        }
        for _ in 0..older_first(&self.log) {
            self.log.see(Seen::OlderFirst);
        }
        RunReport {
            scenario,
            seed,
            violations,
            counts,
            imbalance: self.measures.imbalance(),
            seen: self.log.seen().clone(),
            trace: self.trace,
        }
    }
}

impl Measures {
    fn add(&mut self, shares: &[f64]) {
        let sum: f64 = shares.iter().sum();
        let count = u32::try_from(shares.len()).unwrap_or(u32::MAX);
        self.greatest += shares.iter().copied().fold(0.0, f64::max);
        self.mean += sum / f64::from(count);
    }

    /// The greatest load over the mean load, both summed over all samples, so
    /// that samples with little work count little.
    fn imbalance(&self) -> f64 {
        if self.mean > 0.0 {
            self.greatest / self.mean
        } else {
            0.0
        }
    }
}

/// Nodes whose first roll was not the latest one accepted by then.
fn older_first(log: &Log) -> usize {
    let mut latest = Sequence::default();
    let mut started: BTreeSet<ProcessRun> = BTreeSet::new();
    let mut older = 0;
    for record in log.records() {
        match record.entry {
            Entry::RollAccepted { sequence, .. } => latest = latest.max(sequence),
            Entry::InForce { node, sequence, .. } => {
                let first = started.insert(node);
                older += usize::from(first && sequence < latest);
            }
            _ => {}
        }
    }
    older
}

fn count(entry: &Entry, counts: &mut Counts) {
    match entry {
        Entry::Asked(_) => counts.attempts += 1,
        Entry::Executed { .. } => counts.executions += 1,
        Entry::RollAccepted { .. } => counts.rolls += 1,
        Entry::FlowAccepted { .. } => counts.flows += 1,
        Entry::Ended { outcome, .. } => match outcome {
            Outcome::Answered { .. } => counts.answered += 1,
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown | Outcome::Cut => counts.unknown += 1,
            Outcome::GivenUp => counts.given_up += 1,
        },
        _ => {}
    }
}
