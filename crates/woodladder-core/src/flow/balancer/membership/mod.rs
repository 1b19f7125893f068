//! Discovery of agents and balancers, and the spread of configurations and excluded
//! zones between nodes.

pub(crate) mod agent_changes;
pub(crate) mod agent_discovery;
pub(crate) mod dissemination;
pub(crate) mod exclusion;
pub(crate) mod hello_periods;
pub(crate) mod hellos;
pub(crate) mod readiness;
pub(crate) mod snapshots;
