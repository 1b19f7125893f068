//! Availability of targets: which targets' agents accept new flows at the
//! moment, as far as a node knows.
//!
//! Each agent announces itself with the number of its run and a version. Other
//! nodes may report the agent as unreachable under the version that they know.
//! Only the agent itself raises the version, and so refutes such a report. The
//! information is a hint: it diverts new flows from a target, and neither
//! established flows nor the order of rolls depend on it.
//!
//! Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
//! infection-style process group membership protocol", 2002.

mod own;
mod pending_probes;
mod report;
mod report_queue;
mod schedule;
mod table;

pub use own::{OwnAvailability, OwnReportOutcome, ServedTarget};
pub use pending_probes::{MAXIMUM_PENDING_PROBES, PendingProbes, ProbeStep};
pub use report::{Availability, AvailabilityReport, ReportVersion, RunNumber};
pub use report_queue::{MAXIMUM_QUEUED_REPORTS, ReportQueue};
pub use schedule::TargetSchedule;
pub use table::{AvailabilityTable, MAXIMUM_KNOWN_TARGETS, MergeOutcome};
