//! The simulation keeps every promise on a fixed set of seeds, is the same on
//! each run, and notices each fault that is put into its models.

use std::ops::Range;

use woodladder_lab::simulation::mutation::{MUTATIONS, Mutation};
use woodladder_lab::simulation::promise::Promise;
use woodladder_lab::simulation::report::{RunReport, Summary};
use woodladder_lab::simulation::runner::{Selection, run_all};
use woodladder_lab::simulation::scenario::{SCENARIOS, Scenario};
use woodladder_lab::simulation::seen::{SITUATIONS, Seen};
use woodladder_lab::simulation::world::{self, RunOptions};

const CLEAN_SEEDS: Range<u64> = 0..2;
/// Scenarios and seeds with situations that few seeds come into.
const RARE_SITUATIONS: [(&str, Range<u64>); 6] = [
    ("address-moves", 180..220),
    ("balancer-freeze", 2..8),
    ("mixed", 2..10),
    ("three-bundles", 2..6),
    ("operators-race", 2..8),
    ("older-bundle", 2..10),
];
const MUTATED_SEEDS: Range<u64> = 0..4;

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

fn run(name: Option<&str>, seeds: Range<u64>, summary: &mut Summary) {
    let scenarios = match name {
        Some(name) => vec![scenario(name)],
        None => SCENARIOS.iter().collect(),
    };
    let selection = Selection {
        seeds,
        scenarios,
        options: RunOptions::default(),
    };
    run_all(&selection, |report| summary.add(&report));
}

#[test]
fn every_scenario_keeps_every_promise_and_meets_its_faults() {
    let mut summary = Summary::default();
    run(None, CLEAN_SEEDS, &mut summary);
    for (name, seeds) in RARE_SITUATIONS {
        run(Some(name), seeds, &mut summary);
    }
    assert!(summary.is_clean(), "{}", summary.to_text());
    let unseen = SITUATIONS.iter().copied();
    let unseen = unseen.filter(|seen| summary.times_seen(*seen) == 0);
    let unseen: Vec<Seen> = unseen.collect();
    assert!(unseen.is_empty(), "never brought about: {unseen:?}");
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
