//! Events of the model.

use std::time::Duration;

use woodladder_core::packets::envelope::Envelope;

/// Position of a flow in the world's list.
pub(super) type FlowIndex = usize;
/// Position of a target in the world's list.
pub(super) type TargetIndex = usize;
/// Position of a balancer in the world's list.
pub(super) type BalancerIndex = usize;
/// Position of a roll in the schedule.
pub(super) type VersionIndex = usize;
/// Position of a request in the world's list.
pub(super) type RequestIndex = usize;

/// What happens at an instant.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller opens the planned flow.
    Open(usize),
    /// A caller opens a flow; for the first time or again.
    Start(FlowIndex),
    /// The first packet of a flow is at a balancer.
    FirstAtBalancer(FlowIndex, BalancerIndex),
    /// The first packet of a flow is at an agent.
    FirstAtAgent {
        flow: FlowIndex,
        target: TargetIndex,
        /// Present where agents decide.
        envelope: Option<Box<Envelope>>,
    },
    /// The agent's first answer is at the caller.
    Established(FlowIndex),
    /// A caller sends a later request on its connection.
    LaterRequest(FlowIndex, Duration),
    /// A request is at a balancer.
    RequestAtBalancer(RequestIndex),
    /// A request is at the agent of its flow.
    RequestAtAgent(RequestIndex),
    /// The back end has finished with a request.
    Served(RequestIndex),
    /// The answer is at the caller.
    Answered(RequestIndex),
    /// A refusal is at the caller, who may come back after a time.
    Refused {
        flow: FlowIndex,
        request: Option<RequestIndex>,
        retry_after: Duration,
    },
    /// A caller sends a packet on an open feed.
    KeepAlive(FlowIndex),
    /// A roll is made.
    Roll(VersionIndex),
    /// A roll is in force at a balancer.
    BalancerAdopts(BalancerIndex, VersionIndex),
    /// A roll is in force at an agent.
    AgentAdopts(TargetIndex, VersionIndex),
    /// A balancer comes or goes.
    BalancerChange(usize),
    /// The fabric stops sending to a dead balancer.
    FabricNotices(BalancerIndex),
    /// Load endpoints show new figures.
    PublishLoads,
    /// A balancer polls the load endpoints.
    Poll(BalancerIndex),
    /// Imbalance is sampled.
    Sample,
    /// Timers of the agents run.
    Housekeeping,
}
