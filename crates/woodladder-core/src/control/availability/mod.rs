//! Availability: which targets' agents take new flows at this moment, as far
//! as a node knows.
//!
//! Each agent announces itself with a run and a version. Other nodes may call
//! it unreachable under the version that they know; only the agent raises the
//! version, and so refutes them. What a node holds of this is a hint: it turns
//! new flows away from a target, and neither established flows nor the order
//! of rolls depend on it.
//!
//! Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
//! infection-style process group membership protocol", 2002.

mod own;
mod report;
mod rumors;
mod schedule;
mod table;
mod watches;

pub use own::{Hearing, OwnAvailability, ServedTarget};
pub use report::{Availability, AvailabilityReport, ReportVersion, RunNumber};
pub use rumors::{MAXIMUM_RUMORS, Rumors};
pub use schedule::Schedule;
pub use table::{AvailabilityTable, Learned, MAXIMUM_KNOWN_TARGETS};
pub use watches::{MAXIMUM_WATCHES, WatchStep, Watches};
