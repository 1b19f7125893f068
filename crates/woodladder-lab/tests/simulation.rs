//! The simulation keeps every promise on a fixed set of seeds, is the same on
//! each run, and notices each fault that is put into its models.

use woodladder_lab::simulation::mutation::{MUTATIONS, Mutation};
use woodladder_lab::simulation::promise::Promise;
use woodladder_lab::simulation::report::{RunReport, Summary};
use woodladder_lab::simulation::runner::{Selection, run_all};
use woodladder_lab::simulation::scenario::{SCENARIOS, Scenario};
use woodladder_lab::simulation::world::{self, RunOptions};

const CLEAN_SEEDS: std::ops::Range<u64> = 0..3;
const MUTATED_SEEDS: std::ops::Range<u64> = 0..4;

fn scenario(name: &str) -> &'static Scenario {
    Scenario::find(name).expect("the scenario exists")
}

fn mutated(mutation: Mutation) -> Vec<RunReport> {
    let selection = Selection {
        seeds: MUTATED_SEEDS,
        scenarios: vec![scenario(mutation.scenario())],
        options: RunOptions {
            mutation: Some(mutation),
            trace: false,
        },
    };
    let mut reports = Vec::new();
    run_all(&selection, |report| reports.push(report));
    reports
}

#[test]
fn every_scenario_keeps_every_promise() {
    let selection = Selection {
        seeds: CLEAN_SEEDS,
        scenarios: SCENARIOS.iter().collect(),
        options: RunOptions::default(),
    };
    let mut summary = Summary::default();
    run_all(&selection, |report| summary.add(&report));
    assert!(summary.is_clean(), "{}", summary.to_text());
}

#[test]
fn one_seed_gives_one_run() {
    let options = RunOptions {
        mutation: None,
        trace: true,
    };
    let mixed = scenario("mixed");
    let run = || world::run(mixed.name, 7, mixed.plan(7), options);
    let first = run();
    assert!(first.trace.as_ref().is_some_and(|trace| !trace.is_empty()));
    assert_eq!(first, run());
}

#[test]
fn the_oracle_notices_each_mutation() {
    for mutation in MUTATIONS {
        let reports = mutated(mutation);
        let violations = reports.iter().flat_map(|report| &report.violations);
        let broken: Vec<Promise> = violations.map(|violation| violation.promise).collect();
        assert!(broken.contains(&mutation.breaks()), "{mutation:?}");
        let expected = |promise: &Promise| {
            *promise == mutation.breaks() || mutation.also_breaks().contains(promise)
        };
        assert!(broken.iter().all(expected), "{mutation:?}: {broken:?}");
    }
}
