//! The life of requests at one target: queued, dispatched, answered or failed.
//!
//! What the module promises:
//!
//! - a request is given to the back end once at most;
//! - *not run* is said only while no byte of the request can have reached the
//!   back end, or when the back end itself says that it refused the request;
//! - each request gets one final action, and a refusal comes in the same call
//!   in which the decision falls;
//! - no more requests run than there are slots, no more wait than the queue
//!   holds, and no more back-end connections are open than allowed.

mod estimate;
mod event;
mod options;
mod outcome;
mod request_id;
mod stage;
mod store;
mod table;

pub use event::{RequestAction, RequestEvent};
pub use options::RequestOptions;
pub use outcome::{Refusal, RefusalReason, UnknownReason};
pub use request_id::RequestId;
pub use stage::SendPermit;
pub use table::{RequestCounts, RequestTable};
