//! Seeds of the simulation of the carrier without tokens.

use woodladder_lab::flow_simulation::{Breach, Mutation, run, run_mutated};

/// Seeds of each test run.
const SEEDS: std::ops::Range<u64> = 0..200;
/// Seeds after which a mutation must have been seen.
const MUTATED_SEEDS: std::ops::Range<u64> = 0..400;

#[test]
fn every_seed_keeps_its_promises() {
    let reports: Vec<_> = SEEDS.map(run).collect();
    let broken: Vec<String> = reports
        .iter()
        .filter(|report| !report.breaches.is_empty())
        .map(ToString::to_string)
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let answered: u64 = reports.iter().map(|report| report.answered).sum();
    let failed: u64 = reports.iter().map(|report| report.failed).sum();
    assert!(
        failed * 50 < answered,
        "answered {answered}, failed {failed}"
    );
    for counted in [
        reports.iter().map(|report| report.faults).sum::<u64>(),
        reports.iter().map(|report| report.searches).sum(),
        reports.iter().map(|report| report.resets).sum(),
    ] {
        assert!(counted > 0, "the runs bring about what they check");
    }
}

#[test]
fn a_seed_repeats_exactly() {
    assert_eq!(run(7).to_string(), run(7).to_string());
}

fn is_seen(mutation: Mutation, breach: &Breach) -> bool {
    MUTATED_SEEDS
        .map(|seed| run_mutated(seed, mutation))
        .any(|report| report.breaches.iter().any(|(_, seen)| seen == breach))
}

#[test]
fn agents_that_deny_what_they_hold_are_seen() {
    assert!(is_seen(Mutation::AgentsDenyAll, &Breach::LivingFlowReset));
}

#[test]
fn agents_that_take_flows_while_their_target_leaves_are_seen() {
    assert!(is_seen(
        Mutation::AgentsIgnoreDrain,
        &Breach::OpenedAfterDrain
    ));
}

#[test]
fn agents_that_deliver_every_packet_are_seen() {
    assert!(is_seen(Mutation::AgentsDeliverAll, &Breach::WrongService));
}

/// Planned restarts of the nodes beside targets reset living flows.
#[test]
fn balancers_that_take_a_planned_stop_for_an_end_are_seen() {
    assert!(is_seen(
        Mutation::BalancersIgnoreStops,
        &Breach::LivingFlowReset
    ));
}

/// After a route had moved, planned restarts reset the flows that were at rest.
#[test]
fn balancers_that_take_an_undecided_answer_for_a_denial_are_seen() {
    assert!(is_seen(
        Mutation::UndecidedCountsAsDenial,
        &Breach::LivingFlowReset
    ));
}

#[test]
fn nodes_that_go_back_to_a_lesser_version_are_seen() {
    assert!(is_seen(
        Mutation::NodesForgetVersions,
        &Breach::VersionWentBack
    ));
}
