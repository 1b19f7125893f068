//! The decisions of the woodladder load balancer, without I/O.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or
//! keeps global state. State machines handle an event at a [`clock::Instant`]
//! and return actions; the daemons and the simulator carry them out.
//!
//! | module | what it contains |
//! | --- | --- |
//! | [`configuration`] | bundles, snapshots, and the roll records that put them in force |
//! | [`control`] | how every node gets the same configuration: membership, replicas, rolls |
//! | [`packets`] | where a QUIC datagram goes, by the token in it or by a hash |
//! | [`target`] | the decisions at one target: admission, requests, drain |
//! | [`flow`] | balancing for a transport whose packets carry no token |
//!
//! Shared types are in [`identifier`], [`clock`], [`digest`], [`signature`] and
//! [`finding`].

pub mod clock;
pub mod configuration;
pub mod control;
pub mod digest;
pub mod finding;
pub mod flow;
pub mod identifier;
pub mod packets;
pub mod signature;
pub mod target;
