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
    /// A leaving that the agent's former process had acknowledged, as the leaving record or
    /// a balancer states.
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
    /// Time from the incarnation's first heartbeat that this agent has received to its
    /// newest one.
    pub heard_for: Duration,
    /// When the incarnation began, in milliseconds of Unix time; `None` if the target does
    /// not state it.
    pub started_at_ms: Option<u64>,
    /// Time since this agent's process started.
    pub agent_age: Duration,
}

/// What made an agent take another start for the present one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuccessionEvidence {
    /// No start was known.
    NothingKnown,
    /// The other start states that it began later.
    LaterStart,
    /// While the former start left, nothing listened at its address, and now something
    /// does.
    NothingListened,
    /// The former start was heard only once or in one moment.
    HeardOnce,
    /// The former start was silent while the other one kept sending.
    Silence,
}

impl SuccessionEvidence {
    /// All kinds, in the order of [`Self::index`].
    pub const ALL: [Self; 5] = [
        Self::NothingKnown,
        Self::LaterStart,
        Self::NothingListened,
        Self::HeardOnce,
        Self::Silence,
    ];

    /// Whether it shows by itself that the former start has ended: an address is used by one
    /// start at a time.
    #[must_use]
    pub fn shows_end(self) -> bool {
        matches!(self, Self::LaterStart | Self::NothingListened)
    }

    /// The kind's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NothingKnown => "nothing_known",
            Self::LaterStart => "later_start",
            Self::NothingListened => "nothing_listened",
            Self::HeardOnce => "heard_once",
            Self::Silence => "silence",
        }
    }

    /// Position of the kind in [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Why an opening was delivered to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpeningPath {
    /// It was admitted on arrival.
    Arrival,
    /// It was admitted from the queue, after this time in it.
    Queue(Duration),
}
