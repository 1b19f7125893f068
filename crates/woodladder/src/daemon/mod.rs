//! The daemons: a balancer or an agent as one process that runs until a planned
//! stop has ended.

mod agent;
mod balancer;
mod drain_report;
mod status;

pub use agent::run as run_agent;
pub use balancer::run as run_balancer;
