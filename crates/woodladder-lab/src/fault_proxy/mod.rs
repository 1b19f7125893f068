//! Proxy which loses, delays, repeats, cuts and holds what it relays, over UDP and TCP.
//!
//! The decisions are in `plan`, without I/O and drawn from a seeded generator.

mod admin;
mod config;
mod plan;
mod rule;
mod server;
mod switch;
mod tcp;
mod udp;

pub use config::{FaultProxyConfig, Route};
pub use plan::{Fate, FaultPlan};
pub use rule::{Cut, Direction, FaultRule};
pub use server::FaultProxy;
