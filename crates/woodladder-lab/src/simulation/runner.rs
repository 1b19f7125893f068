//! Runs many seeds over some threads and gives their reports in order.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Sender};
use std::thread;

use super::report::RunReport;
use super::scenario::Scenario;
use super::world::{self, RunOptions};

/// Most threads that runs are spread over.
pub const MAXIMUM_THREADS: usize = 6;

/// Which runs to make.
#[derive(Clone, Debug)]
pub struct Selection {
    /// Seeds.
    pub seeds: Range<u64>,
    /// Scenarios, each run with every seed.
    pub scenarios: Vec<&'static Scenario>,
    /// Options of each run.
    pub options: RunOptions,
}

impl Selection {
    fn len(&self) -> usize {
        usize::try_from(self.seeds.end.saturating_sub(self.seeds.start))
            .unwrap_or(usize::MAX)
            .saturating_mul(self.scenarios.len())
    }

    /// Runs in the order of seeds, then of scenarios.
    fn run(&self, index: usize) -> RunReport {
        let scenario = self.scenarios[index % self.scenarios.len()];
        let seed = self.seeds.start + (index / self.scenarios.len()) as u64;
        world::run(scenario.name, seed, scenario.plan(seed), self.options)
    }
}

/// Makes all runs and hands their reports over in order.
pub fn run_all(selection: &Selection, mut handle: impl FnMut(RunReport)) {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..threads() {
            let sender = sender.clone();
            let next = &next;
            scope.spawn(move || work(selection, next, &sender));
        }
        drop(sender);
        let mut early = BTreeMap::new();
        let mut due = 0;
        for (index, report) in receiver {
            early.insert(index, report);
            while let Some(report) = early.remove(&due) {
                handle(report);
                due += 1;
            }
        }
    });
}

fn work(selection: &Selection, next: &AtomicUsize, sender: &Sender<(usize, RunReport)>) {
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        if index >= selection.len() {
            return;
        }
        if sender.send((index, selection.run(index))).is_err() {
            return;
        }
    }
}

fn threads() -> usize {
    let available = thread::available_parallelism().map_or(1, usize::from);
    available.min(MAXIMUM_THREADS)
}
