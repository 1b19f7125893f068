//! The balancer: datagrams in from the fabric, one decision, datagrams out to
//! agents. It keeps no state per flow.

mod counters;
mod packet_path;
mod proxy_header;
mod receive;
mod socket;
mod worker;

pub use counters::{PacketCounts, PacketDropReason};
pub use packet_path::{PacketPath, PacketPathConfig};
pub use proxy_header::{ProxyHeaderError, parse};
