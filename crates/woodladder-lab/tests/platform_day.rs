//! Days on the stand-in of the users' platform, with real processes.

use std::path::PathBuf;
use std::time::Duration;

use woodladder_lab::platform::{self, DayOptions, DayReport};

fn run(with_faults: bool, with_exclusion: bool) -> DayReport {
    let directory = tempfile::tempdir().expect("a directory");
    let options = DayOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab")),
        directory: directory.path().to_owned(),
        step: Duration::from_millis(800),
        with_faults,
        with_exclusion,
    };
    platform::run(&options).expect("the day is run")
}

fn assert_kept(report: &DayReport) {
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.ended_by_themselves.is_empty(), "{report}");
    assert_eq!(report.failed, 0, "{report}");
    assert!(report.answered > 100, "{report}");
}

/// A route is added, a target replaced, a balancer stopped and started, and
/// SIGHUP sent: nothing of it costs a request.
#[test]
fn a_calm_day_with_planned_work_loses_no_request() {
    assert_kept(&run(false, false));
}

/// Besides, the store refuses every call while one balancer is killed and
/// started again, then forgets its history, and an agent is killed.
#[test]
fn a_day_with_kills_and_a_failing_store_loses_no_request() {
    assert_kept(&run(true, false));
}

/// A zone is excluded for longer than the bound and returns with cold targets,
/// which take some flows and no more than they bear.
#[test]
fn a_zone_is_excluded_and_returns_cold_without_a_lost_request() {
    let report = run(false, true);
    assert_kept(&report);
    assert!(report.cold_openings > 0, "{report}");
}
