//! The soak in which the configuration changes while open connections to the store go silent
//! and answers are lost: its plan, a short run, and a product broken on purpose.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

use woodladder_lab::platform::{
    self, SoakCourse, SoakOptions, SoakReport, Strike, StrikeKind, TargetHabits, silences,
};

/// How long faults come.
const LENGTH: Duration = Duration::from_secs(10);

fn soak(seed: u64, applies_changes_late: bool) -> SoakReport {
    let directory = tempfile::tempdir().expect("a directory");
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab")),
        directory: directory.path().to_owned(),
        seed,
        length: LENGTH,
        target_habits: TargetHabits::of_seed(seed),
        course: SoakCourse::SilentConnections,
        loses_leaving_records: false,
        applies_changes_late,
    };
    platform::soak(&options).expect("the soak is run")
}

fn has_older_configuration(report: &SoakReport) -> bool {
    let is_older = |it: &String| it.starts_with("older configuration");
    report.violations.iter().any(is_older)
}

fn is_silence(strike: &&Strike) -> bool {
    matches!(
        strike.kind,
        StrikeKind::SilenceAll | StrikeKind::SilenceOne | StrikeKind::StoreChangesUnanswered
    )
}

#[test]
fn a_seed_gives_the_same_plan_each_time() {
    for seed in 0..50 {
        assert_eq!(silences(seed, LENGTH), silences(seed, LENGTH));
    }
    assert_ne!(silences(1, LENGTH), silences(2, LENGTH));
}

#[test]
fn every_kind_of_fault_comes_in_some_plan() {
    let kinds: BTreeSet<String> = (0..100)
        .flat_map(|seed| silences(seed, LENGTH))
        .map(|strike| format!("{:?}", strike.kind))
        .collect();
    assert_eq!(kinds.len(), 17, "{kinds:?}");
}

/// Changes come before, at and after silences, storms of them among them, and faults of
/// processes overlap with the silences' series and with each other.
#[test]
fn changes_surround_the_silences_and_faults_overlap() {
    let (mut before, mut at, mut after) = (0, 0, 0);
    let (mut storms, mut overlaps) = (0, 0);
    for seed in 0..100 {
        let strikes = silences(seed, LENGTH);
        let is_change = |it: &&Strike| {
            matches!(
                it.kind,
                StrikeKind::Configure | StrikeKind::ConfigureUnrelated
            )
        };
        let changes: Vec<_> = strikes.iter().filter(is_change).map(|it| it.at).collect();
        const NEAR: Duration = Duration::from_millis(1500);
        for silence in strikes.iter().filter(is_silence) {
            let is_before = |it: &&Duration| **it < silence.at && **it + NEAR > silence.at;
            let is_after = |it: &&Duration| **it > silence.at && **it < silence.at + NEAR;
            before += usize::from(changes.iter().any(|it| is_before(&it)));
            at += usize::from(changes.contains(&silence.at));
            after += usize::from(changes.iter().any(|it| is_after(&it)));
        }
        for begin in &changes {
            let within = |it: &&Duration| **it >= *begin && **it < *begin + Duration::from_secs(1);
            storms += usize::from(changes.iter().filter(within).count() >= 4);
        }
        let lasting: Vec<_> = strikes.iter().filter(|it| !it.lasts.is_zero()).collect();
        for (index, strike) in lasting.iter().enumerate() {
            let meets = |other: &&&Strike| {
                other.at < strike.at + strike.lasts && strike.at < other.at + other.lasts
            };
            overlaps += lasting[index + 1..].iter().filter(meets).count();
        }
    }
    println!("{before} before, {at} at, {after} after, {storms} storms, {overlaps} overlaps");
    assert!(before > 100 && at > 50 && after > 100);
    assert!(storms > 50 && overlaps >= 100);
}

/// Changes came into force late after connections had gone silent or answers were lost.
#[test]
fn changes_are_in_force_in_time_while_connections_go_silent_and_answers_are_lost() {
    for seed in [94_000, 94_001] {
        let report = soak(seed, false);
        assert!(report.is_kept(), "{report}");
        assert!(report.answered > 300, "{report}");
        assert!(report.openings_judged > 300, "{report}");
    }
}

/// The soak itself: a product whose changes come into force late is reported.
#[test]
fn a_product_that_applies_changes_late_is_reported() {
    let report = soak(94_000, true);
    assert!(has_older_configuration(&report), "{report}");
}
