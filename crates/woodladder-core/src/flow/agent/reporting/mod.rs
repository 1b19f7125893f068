//! Messages from the agent to balancers, and the handling of messages from balancers.

pub(crate) mod balancer_messages;
pub mod flow_announcer;
pub(crate) mod report_schedule;
pub(crate) mod zone_exclusion;
