//! Status, health and metrics over HTTP.
//!
//! | path | answer |
//! | --- | --- |
//! | `/health` | 200 while every part of the process runs, otherwise 503 |
//! | `/ready` | 200 when the node accepts traffic, otherwise 503 with the reason |
//! | `/status` | JSON: role, sequence, bundle, peers, counters |
//! | `/metrics` | the same values in the Prometheus text format |

mod figures;
mod prometheus_text;
mod server;
mod status;

pub use figures::Figures;
pub use prometheus_text::render_prometheus;
pub use server::{StatusProvider, StatusServer};
pub use status::{ListenAddresses, NodeStatus, NotReadyReason, PeerCounts, Role};
