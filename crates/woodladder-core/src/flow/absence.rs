//! Evidence that no target holds a flow any more.
//!
//! A caller cannot use a flow again after a reset, so a balancer resets an open flow only
//! with such evidence, and logs and counts it.

use std::time::Duration;

use super::identity::{Incarnation, NodeAddress};
use super::packet::ResetReason;

/// Why an open flow counts as held by no target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbsenceEvidence {
    /// The agent of the flow's target has stated that the target has ended.
    TargetEnded {
        /// The agent.
        agent: NodeAddress,
    },
    /// The agent of the flow's target has reported another incarnation of the target.
    Replaced {
        /// The agent.
        agent: NodeAddress,
        /// The incarnation that held the flow.
        ended: Incarnation,
        /// Time since that incarnation is known to have run.
        last_heard_ago: Duration,
    },
    /// The agent of the flow's target has started again and has stated that the target
    /// holds no flow.
    HoldsNoFlow {
        /// The agent.
        agent: NodeAddress,
    },
    /// The agent of the flow's target is silent and had not announced a stop.
    AgentSilent {
        /// The agent.
        agent: NodeAddress,
        /// Time since the agent was last heard.
        silence: Duration,
        /// Time since the first unanswered probe; zero if no probe is unanswered.
        unanswered_for: Duration,
    },
    /// The agent of the flow's target has announced a planned stop and has been away for
    /// longer than an idle flow is kept. No packet of the flow has passed since.
    AgentAway {
        /// The agent.
        agent: NodeAddress,
        /// Time since the agent was last heard.
        silence: Duration,
    },
    /// The agent that the flow record names as the holder's has denied the flow.
    RecordedHolderDenied {
        /// The agent.
        agent: NodeAddress,
    },
    /// Every agent whose target may have held the flow has denied it.
    DeniedByAll {
        /// Number of agents that have denied the flow.
        agents: usize,
        /// Time since the search for the flow began.
        waited: Duration,
    },
}

impl AbsenceEvidence {
    /// Names of the kinds of evidence in logs and metrics, by [`Self::kind_index`].
    pub const KINDS: [&'static str; 7] = [
        "target_ended",
        "replaced",
        "holds_no_flow",
        "agent_silent",
        "agent_away",
        "recorded_holder_denied",
        "denied_by_all",
    ];

    /// Index of the kind in [`Self::KINDS`].
    #[must_use]
    pub fn kind_index(&self) -> usize {
        match self {
            Self::TargetEnded { .. } => 0,
            Self::Replaced { .. } => 1,
            Self::HoldsNoFlow { .. } => 2,
            Self::AgentSilent { .. } => 3,
            Self::AgentAway { .. } => 4,
            Self::RecordedHolderDenied { .. } => 5,
            Self::DeniedByAll { .. } => 6,
        }
    }

    /// Name of the kind in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        Self::KINDS[self.kind_index()]
    }

    /// The agent that the evidence is about; `None` if it is about all agents.
    #[must_use]
    pub fn agent(&self) -> Option<NodeAddress> {
        match self {
            Self::TargetEnded { agent }
            | Self::Replaced { agent, .. }
            | Self::HoldsNoFlow { agent }
            | Self::AgentSilent { agent, .. }
            | Self::AgentAway { agent, .. }
            | Self::RecordedHolderDenied { agent } => Some(*agent),
            Self::DeniedByAll { .. } => None,
        }
    }

    /// Time since the agent or the incarnation was last heard, or since the search for the
    /// flow began; zero for a statement that has just arrived.
    #[must_use]
    pub fn age(&self) -> Duration {
        match self {
            Self::TargetEnded { .. }
            | Self::HoldsNoFlow { .. }
            | Self::RecordedHolderDenied { .. } => Duration::ZERO,
            Self::Replaced { last_heard_ago, .. } => *last_heard_ago,
            Self::AgentSilent { silence, .. } | Self::AgentAway { silence, .. } => *silence,
            Self::DeniedByAll { waited, .. } => *waited,
        }
    }

    /// Number of agents that have denied the flow.
    #[must_use]
    pub fn denials(&self) -> usize {
        match self {
            Self::RecordedHolderDenied { .. } => 1,
            Self::DeniedByAll { agents, .. } => *agents,
            _ => 0,
        }
    }

    /// The reason for the reset that follows from the evidence.
    #[must_use]
    pub fn reset_reason(&self) -> ResetReason {
        match self {
            Self::RecordedHolderDenied { .. } => ResetReason::HolderDenied,
            Self::DeniedByAll { .. } => ResetReason::HeldNowhere,
            _ => ResetReason::TargetEnded,
        }
    }
}
