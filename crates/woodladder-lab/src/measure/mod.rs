//! Measurements: broken flows and imbalance of the chosen way against
//! baselines, the cost of a balancer's decision, and its packet path.

pub mod change;
mod datagram;
pub mod decision;
pub mod deployment;
pub mod experiment;
pub mod figures;
pub mod markdown;
pub mod options;
pub mod outcome;
pub mod packets;
pub mod plot;
pub mod report;
pub mod report_error;
pub mod way;
pub mod workload;
pub mod world;
