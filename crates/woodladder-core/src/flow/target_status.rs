//! The state in which an agent holds its target, and the evidence that it rests on.

use std::time::Duration;

use super::identity::Incarnation;
use super::message::TargetState;

/// What set the target's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateCause {
    /// Nothing was heard of a target yet.
    NothingHeard,
    /// A heartbeat of the present incarnation.
    Heartbeat,
    /// A heartbeat of the present incarnation that a later one had overtaken; it announced
    /// that the target leaves.
    OvertakenHeartbeat,
    /// A deregistration.
    Deregistration,
    /// The target has answered no opening for too long.
    Silence,
    /// The target has sent a packet after a silence.
    Packet,
    /// The agent's planned stop.
    AgentStop,
    /// A leaving that the agent's former process had acknowledged, as a balancer knows.
    FormerProcess,
}

impl StateCause {
    /// The cause's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NothingHeard => "nothing_heard",
            Self::Heartbeat => "heartbeat",
            Self::OvertakenHeartbeat => "overtaken_heartbeat",
            Self::Deregistration => "deregistration",
            Self::Silence => "silence",
            Self::Packet => "packet",
            Self::AgentStop => "agent_stop",
            Self::FormerProcess => "former_process",
        }
    }
}

/// The target's state with the evidence that it rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetStatus {
    /// Whether the target takes flows.
    pub state: TargetState,
    /// What set the state.
    pub cause: StateCause,
    /// Time since the state was set.
    pub state_age: Duration,
    /// Incarnation of the target, once a heartbeat has stated it.
    pub incarnation: Option<Incarnation>,
    /// Sequence number of the incarnation's newest heartbeat; zero before the first.
    pub heartbeat_sequence: u64,
    /// Time since the incarnation's newest heartbeat arrived; `None` before the first.
    pub heartbeat_age: Option<Duration>,
}

/// Why an opening was delivered to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpeningPath {
    /// It was admitted on arrival.
    Arrival,
    /// It was admitted from the queue, after this time in it.
    Queue(Duration),
}
