//! Status, health and metrics over HTTP.
//!
//! | path | answer |
//! | --- | --- |
//! | `/health` | 503 once a balancer's packet path has failed, otherwise 200 |
//! | `/ready` | 200 when the node accepts traffic, otherwise 503 with the reason |
//! | `/status` | [`NodeStatus`] as JSON |
//! | `/metrics` | Prometheus text: readiness, sequence, bundle version, number of known nodes, uptime, and all counters and gauges |

mod drain_status;
mod figures;
mod prometheus_text;
mod server;
mod status;

pub use drain_status::{DrainStatus, OldestWorkStatus};
pub use figures::Figures;
pub use prometheus_text::render_prometheus;
pub use server::{StatusProvider, StatusServer};
pub use status::{ListenAddresses, NodeStatus, NotReadyReason, PeerCounts, Role};
