//! What the agent knows of its target: heartbeats, load, and how requests end.

pub(crate) mod failure_record;
pub(crate) mod heartbeat;
pub(crate) mod load;
pub(crate) mod request_outcome;
pub(crate) mod resting_work;
