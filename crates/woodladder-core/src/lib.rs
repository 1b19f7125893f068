//! Sans-I/O decisions of the woodladder load balancer.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or
//! keeps a global. State machines take an event and an [`clock::Instant`] and
//! return actions; the daemons and the simulator carry them out.
//!
//! | part | modules |
//! | --- | --- |
//! | identity and time | [`identifier`], [`clock`], [`finding`], [`digest`], [`signature`] |
//! | configuration | [`bundle`], [`bundle_source`], [`snapshot`], [`snapshot_delta`], [`roll_record`] |
//! | control plane | [`control_message`], [`chunk_set`], [`membership`], [`replica`], [`store_operation`], [`availability`], [`roll_command`] |
//! | packets | [`carrier`], [`token`], [`envelope`], [`hop_list`], [`directory`], [`router`] |
//! | flows without a token | [`flow`] |
//! | work of a target | [`admission`], [`request`], [`drain`], [`load`], [`slow_start`] |

pub mod admission;
pub mod availability;
pub mod bundle;
pub mod bundle_source;
pub mod carrier;
pub mod chunk_set;
pub mod clock;
pub mod control_message;
pub mod digest;
pub mod directory;
pub mod drain;
pub mod envelope;
pub mod finding;
pub mod flow;
pub mod hop_list;
pub mod identifier;
pub mod keyed_tag;
pub mod load;
pub mod membership;
pub mod replica;
pub mod request;
pub mod roll_command;
pub mod roll_record;
pub mod router;
pub mod signature;
pub mod slow_start;
pub mod snapshot;
pub mod snapshot_delta;
pub mod store_operation;
pub mod token;
