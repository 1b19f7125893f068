//! The balancer: receives datagrams from the fabric, chooses an agent for each,
//! and sends them on in envelopes. It keeps no state per flow.

mod counters;
mod packet_path;
mod proxy_header;
mod receive;
mod socket;
mod worker;

pub use counters::{PacketCounts, PacketDropReason};
pub use packet_path::{PacketPath, PacketPathConfig};
pub use proxy_header::{ProxyHeaderError, parse_proxy_header};
