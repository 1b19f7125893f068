//! What request handling of an agent works on.

use super::agent_flows::AgentFlows;
use super::back_end::BackEnd;
use super::node::Surroundings;

/// What request handling works on.
pub struct Means<'a, 'b> {
    /// Clock, logs and the way out.
    pub around: &'a mut Surroundings<'b>,
    /// The agent's flows.
    pub flows: &'a mut AgentFlows,
    /// The back end.
    pub back_end: &'a mut BackEnd,
}
