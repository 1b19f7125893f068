//! Heartbeats of the target: its incarnation, state and capacity.
//!
//! Each start of a target is a new incarnation. A late heartbeat of an earlier
//! incarnation changes nothing, and neither does one that later ones have overtaken, unless
//! it announces that the target leaves.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{Agent, StateCause};
use crate::flow::identity::{Incarnation, ServiceKey};
use crate::flow::message::TargetState;

/// Time without any packet of the target, while openings wait for its answer, after which
/// the target counts as unresponsive.
const MAXIMUM_UNANSWERED_TIME: Duration = Duration::from_millis(450);

/// A heartbeat of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
    /// Identifies the target by its name alone; the same for all starts under that name.
    pub instance: Incarnation,
    /// When the incarnation began, in milliseconds of Unix time; `None` if the target
    /// does not state it.
    pub started_at_ms: Option<u64>,
    /// Service of the target.
    pub service: ServiceKey,
    /// Whether the target announces that it leaves.
    pub leaving: bool,
    /// Number of requests that the target serves at the same time.
    pub slots: u16,
    /// Remaining warm-up time of the target.
    pub warm_up_remaining: Duration,
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
}

/// Why a heartbeat is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatError {
    /// The heartbeat is of another service than the agent's.
    WrongService,
    /// The incarnation was replaced, and nothing shows that it runs again or still.
    Replaced,
    /// The incarnation may be older than the known one, or the known one may still run;
    /// only further heartbeats can show that this one runs.
    Unproven,
    /// The leaving that the heartbeat announces is not recorded in the store yet.
    Unrecorded,
}

/// What a heartbeat that was not rejected has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The agent has taken over what the heartbeat states.
    Applied,
    /// The heartbeat is not newer than the last one of its incarnation; nothing has
    /// changed.
    Outdated,
}

impl HeartbeatError {
    /// The error's name in answers and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::WrongService => "wrong_service",
            Self::Replaced => "replaced",
            Self::Unproven => "unproven",
            Self::Unrecorded => "unrecorded",
        }
    }
}

impl Agent {
    /// Handles a heartbeat. If the heartbeat announces that the target leaves, no new
    /// flow is delivered to the target once this function has returned.
    ///
    /// # Errors
    /// [`HeartbeatError`] when the heartbeat is rejected; nothing has changed then.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let result = self.apply_heartbeat(heartbeat, now);
        if heartbeat.service == self.options.service {
            self.leaving_watch
                .record_heartbeat(heartbeat.incarnation, heartbeat.sequence, now);
        }
        match result {
            Ok(_) => {
                if heartbeat.leaving {
                    self.acknowledge_leaving(heartbeat.incarnation, now);
                }
                self.promises
                    .record_leaving_accepted(heartbeat.incarnation, now);
            }
            // A replaced incarnation has ended and does not wait for its leaving to be
            // acknowledged.
            Err(HeartbeatError::Replaced) => {}
            Err(_) if heartbeat.leaving => self
                .promises
                .record_leaving_rejected(heartbeat.incarnation, now),
            Err(_) => {}
        }
        result
    }

    fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        if heartbeat.service != self.options.service {
            return Err(HeartbeatError::WrongService);
        }
        if self.target.incarnation != Some(heartbeat.incarnation) {
            let evidence = self.check_other_start(heartbeat, now)?;
            self.replace_target(heartbeat, evidence, now);
        } else if heartbeat.sequence <= self.target.heartbeat_sequence {
            return Ok(self.apply_outdated_heartbeat(heartbeat, now));
        }
        self.counters.heartbeats += 1;
        self.note_announced_leaving(heartbeat);
        self.target.restart_detector.confirm_known();
        self.target.first_heartbeat_at.get_or_insert(now);
        self.target.heartbeat_sequence = heartbeat.sequence;
        self.load.last_heartbeat = heartbeat.sequence;
        self.target.last_heartbeat_at = Some(now);
        self.target
            .life_proof
            .record_heartbeat(heartbeat.sequence, now);
        self.target.unanswered_since = None;
        self.target.slots = heartbeat.slots;
        self.target.warm_from = now + heartbeat.warm_up_remaining;
        self.warm_up.end_uncertainty(now);
        let state = match (heartbeat.leaving, self.target.state) {
            (true, _) | (_, TargetState::Leaving) => TargetState::Leaving,
            _ if !self.knows_former_leavings(now) => TargetState::Unknown,
            _ => TargetState::Ready,
        };
        self.set_state(state, StateCause::Heartbeat, now);
        Ok(HeartbeatOutcome::Applied)
    }

    fn note_announced_leaving(&mut self, heartbeat: &Heartbeat) {
        self.target.announced_leaving |= heartbeat.leaving;
        self.target.is_leaving_stated |= heartbeat.leaving;
        if self.target.started_at_ms.is_none() {
            self.target.started_at_ms = heartbeat.started_at_ms;
        }
        self.target.instance.get_or_insert(heartbeat.instance);
    }

    /// Applies what holds of an overtaken heartbeat: an incarnation that has said that it
    /// leaves never becomes ready again.
    fn apply_outdated_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> HeartbeatOutcome {
        self.counters.heartbeats += 1;
        self.note_announced_leaving(heartbeat);
        if heartbeat.leaving && self.target.state != TargetState::Leaving {
            self.set_state(TargetState::Leaving, StateCause::OvertakenHeartbeat, now);
            return HeartbeatOutcome::Applied;
        }
        self.counters.heartbeats_outdated += 1;
        HeartbeatOutcome::Outdated
    }

    /// Marks a target that answers no opening as unresponsive.
    pub(crate) fn check_target_responds(&mut self, now: Instant) {
        let Some(since) = self.target.unanswered_since else {
            return;
        };
        let is_silent = now.since(since) >= MAXIMUM_UNANSWERED_TIME;
        if is_silent && self.target.state == TargetState::Ready {
            self.set_state(TargetState::Unresponsive, StateCause::Silence, now);
        }
    }
}
