//! Why the agent holds its target for ready, leaving or unresponsive.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::identity::Incarnation;
use crate::flow::log_event::LogEvent;
use crate::flow::message::TargetState;

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

impl Agent {
    /// The target's state with the evidence that it rests on.
    #[must_use]
    pub fn target_status(&self, now: Instant) -> TargetStatus {
        TargetStatus {
            state: self.target.state,
            cause: self.target.state_cause,
            state_age: now.since(self.target.state_since),
            incarnation: self.target.incarnation,
            heartbeat_sequence: self.target.heartbeat_sequence,
            heartbeat_age: self.target.last_heartbeat_at.map(|at| now.since(at)),
        }
    }

    /// Sets the target's state, and reports a change to all balancers.
    pub(crate) fn set_state(&mut self, state: TargetState, cause: StateCause, now: Instant) {
        let former = self.target.state;
        if former == state {
            return;
        }
        self.target.state = state;
        self.target.state_cause = cause;
        self.target.state_since = now;
        self.is_report_to_all_due = true;
        self.log_events.add(LogEvent::TargetState {
            former,
            status: self.target_status(now),
        });
    }
}
