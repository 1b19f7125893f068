//! Which agents and balancers there are, and what nodes tell each other of
//! configuration and excluded zones.

pub(crate) mod agent_census;
pub(crate) mod dissemination;
pub(crate) mod exclusion;
pub(crate) mod greeting_periods;
pub(crate) mod greetings;
pub(crate) mod readiness;
pub(crate) mod snapshots;
