//! Leavings that were acknowledged before processes ended or messages came late, with the
//! real processes: no new flow reaches the target, and the next start at its address serves.

use std::path::PathBuf;
use std::time::Duration;

use woodladder_lab::platform::{
    self, LeavingCourse, LeavingCourseOptions, SoakCourse, SoakOptions, SoakReport, TargetHabits,
};

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab"))
}

fn assert_leaving_holds(course: LeavingCourse, states_start: bool) {
    let directory = tempfile::tempdir().expect("a directory");
    let options = LeavingCourseOptions {
        program: program(),
        directory: directory.path().to_owned(),
        states_start,
        course,
    };
    let report = platform::run_leaving_course(&options).expect("the course is run");
    let count = report.violations.len();
    assert_eq!(report.violations.first(), None, "the first of {count}");
    assert!(report.next_start_serves_after.is_some(), "{report:?}");
}

/// A target deregistered first and served on; all processes were killed, and a heartbeat
/// that it had sent before opened its agent's next process.
#[test]
fn a_leaving_holds_when_all_processes_are_killed_and_a_heartbeat_comes_late() {
    for states_start in [true, false] {
        assert_leaving_holds(LeavingCourse::EverythingKilled, states_start);
    }
}

/// A target said that it drains and its further heartbeats were held up; all processes were
/// killed, and a heartbeat from before opened its agent's next process.
#[test]
fn a_drain_holds_when_all_processes_are_killed_and_its_heartbeats_are_held_up() {
    for states_start in [true, false] {
        assert_leaving_holds(LeavingCourse::EverythingKilledAndSilent, states_start);
    }
}

/// Two late heartbeats of a former start counted as a living one at an agent that had
/// restarted, and what balancers remembered of the leaving was not applied.
#[test]
fn a_drain_holds_when_its_agent_is_killed_and_a_former_start_is_heard() {
    for states_start in [true, false] {
        assert_leaving_holds(LeavingCourse::AgentKilled, states_start);
    }
}

/// A deregistration counted as the end of the target, and a late heartbeat of a former
/// start brought new flows to it until it had ended.
#[test]
fn a_drain_holds_between_the_deregistration_and_the_end_of_the_target() {
    for states_start in [true, false] {
        assert_leaving_holds(LeavingCourse::SlowEnd, states_start);
    }
}

fn soak_kills_in_leavings(seed: u64, loses_leaving_records: bool) -> SoakReport {
    let directory = tempfile::tempdir().expect("a directory");
    let options = SoakOptions {
        program: program(),
        directory: directory.path().to_owned(),
        seed,
        length: Duration::from_secs(20),
        target_habits: TargetHabits::of_seed(seed),
        course: SoakCourse::KillsInLeavings,
        loses_leaving_records,
        applies_changes_late: false,
    };
    platform::soak(&options).expect("the soak is run")
}

fn has_flow_after_drain(report: &SoakReport) -> bool {
    let is_after_drain = |it: &String| it.starts_with("flow after drain");
    report.violations.iter().any(is_after_drain)
}

/// Acknowledged leavings were forgotten when all processes were killed at the same moment.
#[test]
fn leavings_hold_while_all_processes_are_killed_again_and_again() {
    for seed in [88_000, 88_001] {
        let report = soak_kills_in_leavings(seed, false);
        assert!(!has_flow_after_drain(&report), "{report}");
        assert!(report.answered > 300, "{report}");
    }
}

/// The oracle itself: a product that loses what its agents have acknowledged is reported.
#[test]
fn a_product_that_loses_its_leaving_records_is_reported() {
    let reports = [88_000, 88_001].map(|seed| soak_kills_in_leavings(seed, true));
    assert!(reports.iter().any(has_flow_after_drain));
}
