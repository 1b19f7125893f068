//! What is measured besides promises: broken flows and imbalance.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::identifier::ServiceId;

use super::World;
use super::event::Event;
use crate::simulation::log::{Entry, Outcome};
use crate::simulation::promise::Violation;
use crate::simulation::report::{Counts, RunReport};

/// Time between two samples of load.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Sums over the samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measures {
    greatest: f64,
    mean: f64,
}

impl World {
    /// Samples the shares of busy slots at each service's targets.
    pub(super) fn sample(&mut self) {
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

    pub(super) fn report(
        self,
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
        RunReport {
            scenario,
            seed,
            violations,
            counts,
            imbalance: self.measures.imbalance(),
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
