//! What reaches the target and when: the queue of openings, and the limit on what
//! a cold target is handed.

pub(crate) mod openings;
pub(crate) mod queue;
pub(crate) mod warm_up;
