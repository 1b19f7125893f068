//! Leases and leavings on the users' platform while the open connections to the store carry
//! nothing any more and are not closed, with the real processes.

use std::path::PathBuf;
use std::time::Duration;

use woodladder_lab::platform::{self, SilenceCourseOptions};

/// Half of the time for which a lease outlives its last renewal.
const RENEWAL_LIMIT: Duration = Duration::from_secs(10);
/// A target takes an acknowledgement that comes within a second.
const ACKNOWLEDGEMENT_LIMIT: Duration = Duration::from_secs(1);

/// Guards against calls that wait on connections which have rested and gone silent: leases that
/// lapse, and leavings that are refused because their record is not written in time.
#[test]
fn leases_last_and_leavings_are_acknowledged_over_silent_store_connections() {
    let directory = tempfile::tempdir().expect("a directory");
    let options = SilenceCourseOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab")),
        directory: directory.path().to_owned(),
    };
    let report = platform::run_silence_course(&options).expect("the course is run");
    println!("{report:?}");
    assert_eq!(report.lapsed_leases, 0);
    assert!(report.longest_renewal_gap < RENEWAL_LIMIT, "{report:?}");
    assert!(report.longest_renewal_gap > Duration::ZERO, "no renewal");
    for acknowledged_after in &report.leavings_acknowledged_after {
        let in_time = acknowledged_after.is_some_and(|time| time < ACKNOWLEDGEMENT_LIMIT);
        assert!(in_time, "{report:?}");
    }
}
