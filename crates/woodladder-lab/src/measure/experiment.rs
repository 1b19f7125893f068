//! Runs of the model over workloads, changes, ways and seeds.

use std::collections::BTreeMap;
use std::fmt;
use std::num::NonZeroUsize;
use std::ops::Range;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;

use super::change::ChangeKind;
use super::options::Policy;
use super::outcome::Outcome;
use super::way::Way;
use super::workload::Workload;
use super::world::{Run, measure};

/// Seeds from the first up to, and without, the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The seed after the last.
    pub end: u64,
}

/// Why text is not a seed range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeedRangeError {
    /// It is not of the form `A..B` with two numbers.
    Form,
    /// It holds no seed.
    Empty,
}

/// What is compared.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Seeds of the runs.
    pub seeds: SeedRange,
    /// Workloads.
    pub workloads: Vec<Workload>,
    /// Changes.
    pub changes: Vec<ChangeKind>,
    /// Ways.
    pub ways: Vec<Way>,
    /// Parameters of the chosen way.
    pub policy: Policy,
    /// Threads that share the runs.
    pub threads: NonZeroUsize,
}

/// What distinguishes the runs that are added up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Case {
    /// Callers' doing.
    pub workload: Workload,
    /// What changed.
    pub change: ChangeKind,
    /// How flows were placed.
    pub way: Way,
}

/// Outcomes by case, over all seeds.
pub type Outcomes = BTreeMap<Case, Outcome>;

impl Experiment {
    /// Everything, over these seeds.
    #[must_use]
    pub fn complete(seeds: SeedRange, threads: NonZeroUsize) -> Self {
        Self {
            seeds,
            workloads: Workload::ALL.to_vec(),
            changes: ChangeKind::ALL.to_vec(),
            ways: Way::ALL.to_vec(),
            policy: Policy::default(),
            threads,
        }
    }

    /// Makes all runs.
    #[must_use]
    pub fn run(&self) -> Outcomes {
        let jobs: Vec<(Workload, u64)> = self
            .seeds
            .range()
            .flat_map(|seed| self.workloads.iter().map(move |workload| (*workload, seed)))
            .collect();
        let next = AtomicUsize::new(0);
        let outcomes = Mutex::new(Outcomes::new());
        std::thread::scope(|scope| {
            for _ in 0..self.threads.get() {
                scope.spawn(|| {
                    while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                        self.run_job(job.0, job.1, &outcomes);
                    }
                });
            }
        });
        outcomes.into_inner().unwrap_or_default()
    }

    /// All changes and ways over the same flows.
    fn run_job(&self, workload: Workload, seed: u64, outcomes: &Mutex<Outcomes>) {
        let flows = workload.flows(seed);
        for change in &self.changes {
            for way in &self.ways {
                let outcome = measure(Run {
                    workload,
                    change: *change,
                    way: *way,
                    policy: self.policy,
                    seed,
                    flows: &flows,
                });
                let case = Case {
                    workload,
                    change: *change,
                    way: *way,
                };
                add(outcomes, case, outcome);
            }
        }
    }
}

fn add(outcomes: &Mutex<Outcomes>, case: Case, outcome: Outcome) {
    let Ok(mut outcomes) = outcomes.lock() else {
        return;
    };
    match outcomes.get_mut(&case) {
        Some(known) => known.add(&outcome),
        None => {
            outcomes.insert(case, outcome);
        }
    }
}

impl SeedRange {
    /// The seeds.
    #[must_use]
    pub fn range(self) -> Range<u64> {
        self.first..self.end
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, end) = text.split_once("..").ok_or(SeedRangeError::Form)?;
        let first = first.parse().map_err(|_| SeedRangeError::Form)?;
        let end = end.parse().map_err(|_| SeedRangeError::Form)?;
        if first >= end {
            return Err(SeedRangeError::Empty);
        }
        Ok(Self { first, end })
    }
}

impl fmt::Display for SeedRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}..{}", self.first, self.end)
    }
}

impl fmt::Display for SeedRangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Form => "a seed range is two numbers with two dots between, such as 0..8",
            Self::Empty => "a seed range ends above its first seed",
        })
    }
}

impl std::error::Error for SeedRangeError {}
