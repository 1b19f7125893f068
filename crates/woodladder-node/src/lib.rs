//! Balancer and agent processes for platforms whose packets carry no routing token, that is,
//! no field that names the target of a flow.
//!
//! `woodladder_core::flow` makes the decisions; this crate supplies the sockets, the
//! clock, the store sessions, the logs and the metrics. Two traits cover what differs
//! between platforms: [`packet_codec::PacketCodec`] decodes and encodes packets, and
//! [`store::Store`] makes the calls to the platform's store.
//!
//! A node runs on one thread, so its tasks share state through [`std::rc::Rc`].

pub mod agent;
pub mod balancer;
mod datagram_socket;
pub mod decision_log;
pub mod http;
pub mod log;
mod log_rate_limiter;
pub mod metrics;
pub mod node_clock;
pub mod packet_codec;
pub mod peer_transport;
pub mod snapshot_exchange;
pub mod store;
pub mod tick_timer;
