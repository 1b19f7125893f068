//! Targets that crash and are replaced while heartbeats are held up, with the real
//! processes: no living flow is reset, and the next start serves.

use std::path::PathBuf;

use woodladder_lab::platform::{
    self, ReplacementCourse, ReplacementCourseOptions, ReplacementCourseReport,
};

fn play(course: ReplacementCourse, states_start: bool) -> ReplacementCourseReport {
    let directory = tempfile::tempdir().expect("a directory");
    let options = ReplacementCourseOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab")),
        directory: directory.path().to_owned(),
        states_start,
        course,
    };
    let report = platform::run_replacement_course(&options).expect("the course is run");
    println!("{course:?}, start times stated: {states_start}: {report:?}");
    report
}

fn assert_no_living_flow_reset(course: ReplacementCourse) {
    for states_start in [true, false] {
        let report = play(course, states_start);
        let count = report.violations.len();
        assert_eq!(report.violations.first(), None, "the first of {count}");
        assert!(report.next_start_serves_after.is_some(), "{report:?}");
    }
}

/// Without any trouble but the crash.
#[test]
fn a_crash_with_all_heartbeats_in_time_resets_no_living_flow() {
    assert_no_living_flow_reset(ReplacementCourse::InTime);
}

/// A heartbeat of the crashed start came a second after the next start had begun, and flows
/// of the next start were reset when it was accepted.
#[test]
fn a_late_heartbeat_of_a_crashed_start_resets_no_flow_of_the_next_one() {
    assert_no_living_flow_reset(ReplacementCourse::LateHeartbeat);
}

/// The next start's own heartbeats were held up too, so that the late one of the crashed
/// start came before any of them.
#[test]
fn a_late_heartbeat_before_any_of_the_next_start_resets_none_of_its_flows() {
    assert_no_living_flow_reset(ReplacementCourse::LateBeforeNext);
}
