//! Reports of runs, for people and as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

use super::promise::{PROMISES, Violation};
use super::seen::{SITUATIONS, Seen};

/// What happened in one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Flows accepted.
    pub flows: u64,
    /// Established flows that ended against their caller's will.
    pub broken_flows: u32,
    /// Attempts at operations.
    pub attempts: u64,
    /// Executions at back ends.
    pub executions: u64,
    /// Attempts answered.
    pub answered: u64,
    /// Attempts stated as not run.
    pub not_run: u64,
    /// Attempts whose result the caller does not know.
    pub unknown: u64,
    /// Attempts given up by the caller.
    pub given_up: u64,
    /// Rolls accepted.
    pub rolls: u64,
}

/// The report of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The scenario.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Promises that were not kept.
    pub violations: Vec<Violation>,
    /// What happened.
    pub counts: Counts,
    /// Greatest load of a service's targets over their mean load.
    pub imbalance: f64,
    /// Situations that the run came into.
    pub seen: BTreeMap<Seen, u64>,
    /// The events, when they were traced.
    pub trace: Option<Vec<String>>,
}

/// The report over many runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    runs: u64,
    failed_runs: u64,
    violations: BTreeMap<&'static str, u64>,
    scenarios: BTreeMap<&'static str, ScenarioSummary>,
    seen: BTreeMap<&'static str, u64>,
    failures: Vec<Failure>,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct ScenarioSummary {
    runs: u64,
    violations: u64,
    #[serde(flatten)]
    counts: Counts,
    #[serde(skip)]
    imbalance_sum: f64,
    imbalance: f64,
}

#[derive(Clone, Debug, Serialize)]
struct Failure {
    scenario: &'static str,
    seed: u64,
    promise: &'static str,
    at: f64,
    detail: String,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.flows += other.flows;
        self.broken_flows += other.broken_flows;
        self.attempts += other.attempts;
        self.executions += other.executions;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.given_up += other.given_up;
        self.rolls += other.rolls;
    }
}

impl Summary {
    /// Takes the report of one run in.
    pub fn add(&mut self, report: &RunReport) {
        self.runs += 1;
        self.failed_runs += u64::from(!report.violations.is_empty());
        for violation in &report.violations {
            *self.violations.entry(violation.promise.name()).or_default() += 1;
            self.failures.push(Failure {
                scenario: report.scenario,
                seed: report.seed,
                promise: violation.promise.name(),
                at: violation.at.since_origin().as_secs_f64(),
                detail: violation.detail.clone(),
            });
        }
        for (seen, count) in &report.seen {
            *self.seen.entry(seen.name()).or_default() += count;
        }
        let scenario = self.scenarios.entry(report.scenario).or_default();
        scenario.add(report);
    }

    /// Whether every promise was kept in every run.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.failed_runs == 0
    }

    /// Violations of a promise, by its name.
    #[must_use]
    pub fn violations_of(&self, promise: &str) -> u64 {
        self.violations.get(promise).copied().unwrap_or_default()
    }

    /// How often a situation was seen.
    #[must_use]
    pub fn times_seen(&self, seen: Seen) -> u64 {
        self.seen.get(seen.name()).copied().unwrap_or_default()
    }

    /// The report as JSON.
    ///
    /// # Errors
    /// The library's error, which finite numbers and strings do not cause.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// The report as text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut lines = vec![format!("runs: {}, failed: {}", self.runs, self.failed_runs)];
        lines.push("violations per promise:".to_owned());
        for promise in PROMISES {
            let count = self.violations_of(promise.name());
            lines.push(format!("  {:<28} {count:>6}", promise.name()));
        }
        lines.push(HEADINGS.to_owned());
        for (name, scenario) in &self.scenarios {
            lines.push(scenario.line(name));
        }
        lines.push("situations seen:".to_owned());
        for seen in SITUATIONS {
            let count = self.times_seen(*seen);
            lines.push(format!("  {:<40} {count:>8}", seen.name()));
        }
        for failure in &self.failures {
            lines.push(format!(
                "failure: --seeds {}..{} --scenario {}: {:.6} s: {}: {}",
                failure.seed,
                failure.seed + 1,
                failure.scenario,
                failure.at,
                failure.promise,
                failure.detail
            ));
        }
        lines.push(String::new());
        lines.join("\n")
    }
}

const HEADINGS: &str = "scenario                runs violations    flows broken attempts \
                        answered not-run unknown given-up rolls imbalance";

impl ScenarioSummary {
    fn add(&mut self, report: &RunReport) {
        self.runs += 1;
        self.violations += report.violations.len() as u64;
        self.counts.add(&report.counts);
        self.imbalance_sum += report.imbalance;
        self.imbalance = self.imbalance_sum / f64::from(u32::try_from(self.runs).unwrap_or(1));
    }

    fn line(&self, name: &str) -> String {
        let counts = &self.counts;
        format!(
            "{name:<23} {:>4} {:>10} {:>8} {:>6} {:>8} {:>8} {:>7} {:>7} {:>8} {:>5} {:>9.3}",
            self.runs,
            self.violations,
            counts.flows,
            counts.broken_flows,
            counts.attempts,
            counts.answered,
            counts.not_run,
            counts.unknown,
            counts.given_up,
            counts.rolls,
            self.imbalance
        )
    }
}
