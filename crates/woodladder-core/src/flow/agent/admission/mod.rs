//! What reaches the target and when: the queue of openings and of requests on open
//! flows, and the limit on what a cold target is handed.

pub(crate) mod choosing;
pub(crate) mod held_requests;
pub(crate) mod holding;
pub(crate) mod openings;
pub(crate) mod order;
pub(crate) mod queue;
pub(crate) mod service_times;
pub(crate) mod warm_up;
