//! Decisions at one target: admission, requests, drain, load and slow start.

pub mod admission;
pub mod drain;
pub mod load;
pub mod request;
pub mod slow_start;
