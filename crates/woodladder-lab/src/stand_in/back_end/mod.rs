//! Back end: an HTTP/1.1 service with slots, cold start, load shedding, drain and feeds.

mod admin;
mod capacity;
mod config;
mod deadline;
mod fault;
mod feed;
mod load;
mod operation;
mod server;
mod shared;
mod status;

pub use config::BackEndConfig;
pub use fault::{BackEndFault, HealthFault, LoadFault};
pub use load::LoadReport;
pub use server::BackEnd;
pub use status::{HealthReport, HealthState};
