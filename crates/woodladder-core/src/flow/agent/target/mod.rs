//! State of the target as the agent observes it: heartbeats, load, and outcomes of
//! requests.

pub(crate) mod deregistration;
pub(crate) mod failure_record;
pub(crate) mod former_leavings;
pub(crate) mod heartbeat;
pub(crate) mod idle_flow_work;
pub(crate) mod leaving_watch;
pub(crate) mod life_proof;
pub(crate) mod load;
pub(crate) mod present_start;
pub(crate) mod request_outcome;
pub(crate) mod state;
pub(crate) mod succession;
