//! The lifecycle of requests at one target: queued, dispatched, answered or
//! failed.
//!
//! Invariants:
//!
//! - A request is sent to the back end at most once.
//! - A request is reported as *not run* only while no byte of it can have
//!   reached the back end, or when the back end states that it refused it.
//! - Each request gets exactly one final action. A refusal is returned by the
//!   call that decides it.
//! - The numbers of running requests, queued requests and back-end connections
//!   never exceed the slots, the queue limit and the connection limit.

mod event;
mod options;
mod outcome;
mod request_id;
mod request_store;
mod service_time_estimate;
mod stage;
mod table;

pub use event::{RequestAction, RequestEvent};
pub use options::RequestOptions;
pub use outcome::{Refusal, RefusalReason, UnknownReason};
pub use request_id::RequestId;
pub use stage::SendPermit;
pub use table::{RequestCounts, RequestTable};
