//! A stand-in of the users' platform, and a day on it with real processes.
//!
//! Store, router, targets and callers run on one thread of this process; the
//! balancers and agents are real processes of `woodladder-platform`. All of
//! them use loopback addresses of their own, so that the same ports serve on
//! each machine, as on the platform.

mod address;
mod caller;
mod configuration_course;
mod configuration_judge;
mod day;
mod head;
mod leaving;
mod leaving_course;
mod links;
mod node_process;
mod oracle;
mod path_rules;
mod probe;
mod replacement_course;
mod router;
mod silence_course;
mod site;
mod site_targets;
mod soak;
mod soak_configurations;
mod soak_kills;
mod soak_paths;
mod soak_plan;
mod soak_report;
mod soak_silences;
mod store;
mod store_state;
mod target;
mod target_control;
mod zones;

pub use configuration_course::{
    ConfigurationCourse, ConfigurationCourseOptions, ConfigurationCourseReport,
    run_configuration_course,
};
pub use configuration_judge::{
    ConfigurationJudge, Handling, LastingFault, OlderHandling, OlderUse,
};
pub use day::{DayOptions, DayReport, run};
pub use leaving::{LeavingOptions, deregister_unknown_target, run_leaving};
pub use leaving_course::{
    LeavingCourse, LeavingCourseOptions, LeavingCourseReport, run_leaving_course,
};
pub use oracle::{Oracle, Violation};
pub use replacement_course::{
    ReplacementCourse, ReplacementCourseOptions, ReplacementCourseReport, run_replacement_course,
};
pub use silence_course::{SilenceCourseOptions, SilenceCourseReport, run_silence_course};
pub use site::SiteError;
pub use soak::{SoakCourse, SoakOptions, soak};
pub use soak_plan::{Strike, StrikeKind, leavings, leavings_under_kills, plan, planned_stops};
pub use soak_report::SoakReport;
pub use soak_silences::silences;
pub use store_state::StoreFault;
pub use target_control::TargetHabits;
