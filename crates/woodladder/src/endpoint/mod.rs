//! Status, health and metrics over HTTP.
//!
//! | path | answer |
//! | --- | --- |
//! | `/health` | 200 while every part of the process runs, otherwise 503 |
//! | `/ready` | 200 when the node takes traffic, otherwise 503 with the reason |
//! | `/status` | JSON: role, sequence, bundle, peers, counters |
//! | `/metrics` | the same figures as Prometheus text |

mod figures;
mod metrics;
mod server;
mod status;

pub use figures::Figures;
pub use metrics::render;
pub use server::{StatusProvider, StatusServer};
pub use status::{ListenAddresses, NodeStatus, NotReadyReason, PeerCounts, Role};
