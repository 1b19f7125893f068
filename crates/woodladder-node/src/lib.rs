//! Processes of the carrier without tokens.
//!
//! The decisions are in `woodladder_core::flow`; this crate gives them
//! sockets, time, a store and a log. What differs between platforms comes in
//! through two traits: [`carrier::Carrier`] reads and writes packets, and
//! [`store::Store`] makes the calls to the platform's store.
//!
//! Everything runs on one thread; state is shared by [`std::rc::Rc`].

pub mod agent;
pub mod balancer;
pub mod carrier;
pub mod decision_log;
pub mod http;
pub mod log;
pub mod metrics;
pub mod node_clock;
pub mod peer_link;
mod peer_socket;
pub mod snapshot_exchange;
pub mod store;
pub mod tick_timer;
