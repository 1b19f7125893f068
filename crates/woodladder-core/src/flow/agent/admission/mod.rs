//! Which work reaches the target and when: the queues of openings and of requests on open
//! flows, and the limit on requests for a cold target.

pub(crate) mod opening_admission;
pub(crate) mod opening_queue;
pub(crate) mod request_admission;
pub(crate) mod request_queue;
pub(crate) mod service_times;
pub(crate) mod serving_order;
pub(crate) mod warm_up;
pub(crate) mod work_selection;
