//! The daemons: what runs as one process until a planned stop has ended.

mod agent;
mod balancer;
mod status;

pub use agent::run as run_agent;
pub use balancer::run as run_balancer;
