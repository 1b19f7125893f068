//! What the agent tells balancers, and what theirs teach it.

pub(crate) mod announcements;
pub(crate) mod exclusion;
pub mod flow_statements;
pub(crate) mod report_schedule;
