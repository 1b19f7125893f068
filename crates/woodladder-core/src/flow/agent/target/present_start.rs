//! What the agent knows of the start of the target that it holds for the present one.

use crate::clock::Instant;
use crate::flow::agent::StateCause;
use crate::flow::agent::target::life_proof::{FormerLife, LifeProof};
use crate::flow::agent::target::succession::ReplacedStart;
use crate::flow::identity::Incarnation;
use crate::flow::message::TargetState;
use crate::flow::target_restart::RestartDetector;

/// Whether anything listens at the target's address, as the last probe has shown; see
/// [`Agent::needs_listen_probe`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenState {
    /// Not probed yet, or the probe gave no result.
    Unknown,
    /// Something listens.
    Listening,
    /// Nothing listens.
    NotListening,
}

/// What listen probes have shown of a leaving target's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetEnd {
    /// The target may still run.
    NotSeen,
    /// Nothing listens at its address.
    NothingListens,
    /// Nothing listened at its address, and now something does: another start.
    ListensAgain,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) state: TargetState,
    /// What set `state`.
    pub(crate) state_cause: StateCause,
    /// When `state` was set.
    pub(crate) state_since: Instant,
    pub(crate) incarnation: Option<Incarnation>,
    /// Identifies the target by its name alone, whichever start it is.
    pub(crate) instance: Option<Incarnation>,
    /// When the incarnation began, in milliseconds of Unix time; `None` if the target
    /// does not state it.
    pub(crate) started_at_ms: Option<u64>,
    pub(crate) replaced_starts: Vec<ReplacedStart>,
    pub(crate) restart_detector: RestartDetector,
    /// Whether the target has announced that it leaves, in a heartbeat.
    pub(crate) announced_leaving: bool,
    /// Whether the target has announced that it leaves, in a heartbeat, by a
    /// deregistration, or to a former process of this agent.
    pub(crate) is_leaving_stated: bool,
    /// Whether the target has deregistered after it had announced that it leaves: it ends.
    pub(crate) has_taken_leave: bool,
    /// What listen probes have shown of a leaving target's end.
    pub(crate) end: TargetEnd,
    pub(crate) first_heartbeat_at: Option<Instant>,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) slots: u16,
    pub(crate) warm_from: Instant,
    pub(crate) last_heartbeat_at: Option<Instant>,
    pub(crate) life_proof: LifeProof,
    pub(crate) former_life: FormerLife,
    pub(crate) last_packet_at: Option<Instant>,
    pub(crate) unanswered_since: Option<Instant>,
    pub(crate) listen_state: ListenState,
    /// Whether the target started while the agent ran, so that the agent has seen each of
    /// its flows.
    pub(crate) started_after_agent: bool,
}

impl Target {
    /// No target has been heard.
    pub(crate) fn unknown(now: Instant) -> Self {
        Self {
            state: TargetState::Unknown,
            state_cause: StateCause::NothingHeard,
            state_since: now,
            incarnation: None,
            instance: None,
            started_at_ms: None,
            replaced_starts: Vec::new(),
            restart_detector: RestartDetector::default(),
            announced_leaving: false,
            is_leaving_stated: false,
            has_taken_leave: false,
            end: TargetEnd::NotSeen,
            first_heartbeat_at: None,
            heartbeat_sequence: 0,
            slots: 0,
            warm_from: now,
            last_heartbeat_at: None,
            life_proof: LifeProof::default(),
            former_life: FormerLife::default(),
            last_packet_at: None,
            unanswered_since: None,
            listen_state: ListenState::Unknown,
            started_after_agent: false,
        }
    }
}
