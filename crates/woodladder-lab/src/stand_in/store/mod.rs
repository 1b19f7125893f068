//! Key-value service with the HTTP shape of Consul's KV store: compare-and-swap, sessions and
//! blocking reads. Supports the subset which woodladder needs.
//!
//! `state` holds the contents without I/O, so that a simulation can use them on its own clock.

mod admin;
mod fault;
mod kv;
mod query;
mod server;
mod session;
mod shared;
mod state;

pub use fault::{DownMode, StoreFault, WatchFault};
pub use server::{Store, StoreConfig};
pub use state::{
    DeleteCondition, PutCondition, SessionId, StoreEntry, StoreOperation, StoreOutcome, StoreState,
};
