//! Daemons and command line of the load balancer: the I/O around the decision
//! logic of `woodladder-core`.

pub mod agent;
pub mod balancer;
pub mod command;
pub mod control;
pub mod daemon;
pub mod endpoint;
pub mod explain;
pub mod fleet_report;
pub mod log;
pub mod process;
pub mod settings;
pub mod store;
