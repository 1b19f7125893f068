//! The soak's plan, and the soak itself without faults: its links, store
//! paths and checks on the real processes.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

use woodladder_lab::platform::{
    self, SoakCourse, SoakOptions, SoakReport, Strike, StrikeKind, TargetHabits, leavings, plan,
    planned_stops,
};

const LENGTH: Duration = Duration::from_secs(14);

fn run(seed: u64, length: Duration) -> SoakReport {
    let directory = tempfile::tempdir().expect("a directory");
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab")),
        directory: directory.path().to_owned(),
        seed,
        length,
        target_habits: TargetHabits::default(),
        course: SoakCourse::Mixed,
        loses_leaving_records: false,
        applies_changes_late: false,
    };
    platform::soak(&options).expect("the soak is run")
}

#[test]
fn a_seed_gives_the_same_plan_each_time() {
    for seed in 0..50 {
        assert_eq!(plan(seed, LENGTH), plan(seed, LENGTH));
    }
    assert_ne!(plan(1, LENGTH), plan(2, LENGTH));
}

#[test]
fn every_kind_of_fault_comes_in_some_plan() {
    let kinds: BTreeSet<String> = (0..100)
        .flat_map(|seed| plan(seed, LENGTH))
        .map(|strike| format!("{:?}", strike.kind))
        .collect();
    assert_eq!(kinds.len(), 28, "{kinds:?}");
}

#[test]
fn a_machine_is_struck_by_one_fault_at_a_time_but_for_long_leavings_and_planned_stops() {
    for seed in 0..100 {
        let mut drawn_apart = leavings(seed, LENGTH);
        drawn_apart.extend(planned_stops(seed, LENGTH));
        let mut strikes = plan(seed, LENGTH);
        strikes.retain(|strike| !drawn_apart.contains(strike));
        for (index, strike) in strikes.iter().enumerate() {
            for later in &strikes[index + 1..] {
                let is_apart = later.at >= strike.at + strike.lasts;
                assert!(later.machine != strike.machine || is_apart, "{seed}");
            }
        }
    }
}

/// Nodes behind the soak's link proxies serve, balancers of equal size.
#[test]
fn without_faults_no_request_fails_behind_the_proxies() {
    let report = run(2, Duration::ZERO);
    assert!(report.is_kept(), "{report}");
    assert_eq!(report.failed, 0, "{report}");
    assert!(report.answered > 100, "{report}");
}

/// The same with one balancer far smaller than the others.
#[test]
fn without_faults_no_request_fails_beside_a_small_balancer() {
    let report = run(1, Duration::ZERO);
    assert!(report.is_kept(), "{report}");
    assert_eq!(report.failed, 0, "{report}");
}

/// Faults strike the machine of a leaving target, and more than one at a time in some plan.
#[test]
fn faults_overlap_while_targets_leave() {
    const LONG: Duration = Duration::from_secs(40);
    let mut struck_while_leaving = 0;
    let mut struck_twice = 0;
    for seed in 0..100 {
        let strikes = leavings(seed, LONG);
        let is_leaving = |it: &&Strike| {
            matches!(
                it.kind,
                StrikeKind::DrainTarget | StrikeKind::DeregisterTarget
            )
        };
        for leaving in strikes.iter().filter(is_leaving) {
            let end = leaving.at + leaving.lasts;
            let within: Vec<_> = strikes
                .iter()
                .filter(|it| it.machine == leaving.machine && it.kind != leaving.kind)
                .filter(|it| it.at >= leaving.at && it.at < end)
                .collect();
            struck_while_leaving += usize::from(!within.is_empty());
            let overlap = |a: &Strike, b: &Strike| a != b && a.at <= b.at && b.at < a.at + a.lasts;
            let overlaps = |a: &&&Strike| within.iter().any(|b| overlap(a, b));
            struck_twice += usize::from(within.iter().any(|it| overlaps(&it)));
        }
    }
    assert!(struck_while_leaving > 100, "{struck_while_leaving}");
    assert!(struck_twice > 10, "{struck_twice}");
}
