//! Changes of the configuration while the store's connections or answers fail, with the real
//! processes: no opening is handled as only an older version allows, once the change is due.

use std::path::PathBuf;

use woodladder_lab::platform::{
    self, ConfigurationCourse, ConfigurationCourseOptions, ConfigurationCourseReport,
};

fn play(course: ConfigurationCourse, balancers: u8) -> ConfigurationCourseReport {
    let directory = tempfile::tempdir().expect("a directory");
    let options = ConfigurationCourseOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab")),
        directory: directory.path().to_owned(),
        balancers,
        course,
    };
    let report = platform::run_configuration_course(&options).expect("the course is run");
    println!("{course:?} with {balancers} balancers: {report:?}");
    report
}

fn assert_change_in_force(course: ConfigurationCourse, balancers: u8) {
    let report = play(course, balancers);
    let count = report.violations.len();
    assert_eq!(report.violations.first(), None, "the first of {count}");
    assert!(report.judged > 300, "{report:?}");
}

/// Without any trouble.
#[test]
fn a_change_is_in_force_in_time_when_nothing_else_happens() {
    assert_change_in_force(ConfigurationCourse::Calm, 3);
}

/// All watches waited on silent connections, and no balancer asked the store anew.
#[test]
fn a_change_is_in_force_in_time_after_all_store_connections_have_gone_silent() {
    assert_change_in_force(ConfigurationCourse::SilentBefore, 4);
}

/// The same in the moment of the change.
#[test]
fn a_change_is_in_force_in_time_when_all_store_connections_go_silent_with_it() {
    assert_change_in_force(ConfigurationCourse::SilentAtChange, 3);
}

/// After several changes in quick succession all watches have begun together.
#[test]
fn a_change_is_in_force_in_time_when_connections_go_silent_after_a_storm_of_changes() {
    assert_change_in_force(ConfigurationCourse::SilentAfterStorm, 4);
}

/// The same where some balancers do not watch.
#[test]
fn a_change_is_in_force_in_time_after_a_storm_beside_balancers_that_do_not_watch() {
    assert_change_in_force(ConfigurationCourse::SilentAfterStorm, 10);
}

/// The answers that carried the change were lost, and no watcher asked the store anew.
#[test]
fn a_change_is_in_force_in_time_when_the_answers_that_carry_it_are_lost() {
    assert_change_in_force(ConfigurationCourse::AnswersLost, 4);
}

/// A single balancer has nobody who could tell it of the change.
#[test]
fn a_change_is_in_force_in_time_at_a_single_balancer_with_a_silent_connection() {
    assert_change_in_force(ConfigurationCourse::SilentBefore, 1);
}

/// Others tell the balancer whose connections are silent.
#[test]
fn a_change_is_in_force_in_time_where_one_balancer_has_silent_connections() {
    assert_change_in_force(ConfigurationCourse::OneSilent, 3);
}

/// A process that starts after the change serves no older version.
#[test]
fn a_change_stays_in_force_when_processes_are_killed_after_it() {
    assert_change_in_force(ConfigurationCourse::EverythingKilled, 3);
    assert_change_in_force(ConfigurationCourse::AgentsKilled, 3);
    assert_change_in_force(ConfigurationCourse::BalancerRestarted, 3);
}

/// A balancer that missed the change serves no older version once it is in touch.
#[test]
fn a_change_is_in_force_in_time_over_a_pause_or_an_absence_of_the_store() {
    assert_change_in_force(ConfigurationCourse::BalancerStandsStill, 3);
    assert_change_in_force(ConfigurationCourse::StoreAway, 3);
}

/// Copies of openings that were sent after a change had taken effect went to the service that
/// the first copies had gone to.
#[test]
fn copies_of_unanswered_openings_follow_a_change_that_has_taken_effect() {
    assert_change_in_force(ConfigurationCourse::OpeningsUnanswered, 10);
}
