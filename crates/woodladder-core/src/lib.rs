//! Sans-I/O decisions of the woodladder load balancer.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or
//! keeps a global. State machines take an event and an [`clock::Instant`] and
//! return actions; the daemons and the simulator carry them out.
//!
//! | folder | what it decides |
//! | --- | --- |
//! | [`configuration`] | what is in force: bundles, snapshots, roll records |
//! | [`control`] | how nodes and operators agree on it: membership, replicas, rolls |
//! | [`packets`] | where a datagram with a token goes |
//! | [`target`] | the work of one target: admission, requests, drain |
//! | [`flow`] | the second carrier, whose packets name no target |
//!
//! Identity and time stand beside them: [`identifier`], [`clock`], [`digest`],
//! [`signature`] and [`finding`].

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
