//! Heartbeats of the target: its incarnation, state and capacity.
//!
//! Each start of a target is a new incarnation. A late heartbeat of an earlier
//! incarnation changes nothing, and neither does one that later ones have overtaken, unless
//! it announces that the target leaves.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{Agent, ListenState, ReplacedStart, StateCause, Target};
use crate::flow::identity::{Incarnation, ServiceKey};
use crate::flow::log_event::LogEvent;
use crate::flow::message::TargetState;
use crate::flow::target_restart::TargetStart;

/// Number of earlier incarnations that are remembered to recognise their late heartbeats.
const MAXIMUM_REPLACED_STARTS: usize = 16;
/// Sequence number of the first heartbeat of an incarnation.
const FIRST_SEQUENCE: u64 = 1;
/// Two heartbeats of one incarnation that arrive at least this far apart show that the
/// incarnation was alive in between: delayed heartbeats arrive together.
const MINIMUM_ALIVE_SPAN: Duration = Duration::from_millis(500);
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
    /// The incarnation was replaced by a later one.
    Replaced,
    /// The incarnation may be older than the known one, and only further heartbeats can
    /// show that it still runs.
    Unproven,
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

/// What a deregistration has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeregistrationOutcome {
    /// The target takes no new flow.
    Applied,
    /// The deregistration concerns neither the present start nor its name; nothing has
    /// changed.
    OtherTarget,
    /// The deregistration may be a late one of a former start under the same name; nothing
    /// has changed.
    FormerStart,
}

impl DeregistrationOutcome {
    /// The outcome's name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::OtherTarget => "other_target",
            Self::FormerStart => "former_start",
        }
    }
}

impl HeartbeatError {
    /// The error's name in answers and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::WrongService => "wrong_service",
            Self::Replaced => "replaced",
            Self::Unproven => "unproven",
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
                    self.leaving_watch
                        .record_acknowledged(heartbeat.incarnation, now);
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
        if self.target.is_replaced_start(heartbeat.incarnation) {
            self.counters.heartbeats_replaced += 1;
            return Err(HeartbeatError::Replaced);
        }
        if self.target.incarnation != Some(heartbeat.incarnation) {
            if !self.target.is_replaced_by(heartbeat, now) {
                self.counters.heartbeats_unproven += 1;
                return Err(HeartbeatError::Unproven);
            }
            self.replace_target(heartbeat, now);
        } else if heartbeat.sequence <= self.target.heartbeat_sequence {
            return Ok(self.apply_outdated_heartbeat(heartbeat, now));
        }
        self.counters.heartbeats += 1;
        self.target.restart_detector.confirm_known();
        self.target.first_heartbeat_at.get_or_insert(now);
        self.target.heartbeat_sequence = heartbeat.sequence;
        self.load.last_heartbeat = heartbeat.sequence;
        self.target.last_heartbeat_at = Some(now);
        self.target.unanswered_since = None;
        self.target.slots = heartbeat.slots;
        self.target.warm_from = now + heartbeat.warm_up_remaining;
        self.warm_up.end_uncertainty(now);
        let state = match (heartbeat.leaving, self.target.state) {
            (true, _) | (_, TargetState::Leaving) => TargetState::Leaving,
            _ => TargetState::Ready,
        };
        self.set_state(state, StateCause::Heartbeat, now);
        Ok(HeartbeatOutcome::Applied)
    }

    /// Applies what holds of an overtaken heartbeat: an incarnation that has said that it
    /// leaves never becomes ready again.
    fn apply_outdated_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> HeartbeatOutcome {
        self.counters.heartbeats += 1;
        if heartbeat.leaving && self.target.state != TargetState::Leaving {
            self.set_state(TargetState::Leaving, StateCause::OvertakenHeartbeat, now);
            return HeartbeatOutcome::Applied;
        }
        self.counters.heartbeats_outdated += 1;
        HeartbeatOutcome::Outdated
    }

    /// Handles a deregistration: the target takes no new flow, but may still serve its
    /// open flows. `incarnation` identifies one start of the target, or the target by its
    /// name alone. Once a heartbeat has shown which start is present, a deregistration
    /// that concerns neither this start nor its name is ignored. A deregistration by name
    /// is also ignored if an earlier start under this name was replaced here and the
    /// present start has not announced that it leaves: the message may be a late one of
    /// the earlier start.
    pub fn handle_deregistration(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
    ) -> DeregistrationOutcome {
        let outcome = self.apply_deregistration(incarnation, now);
        let is_present = outcome == DeregistrationOutcome::Applied;
        let present_start = self.target.incarnation.filter(|_| is_present);
        self.leaving_watch
            .record_deregistration([present_start, Some(incarnation)], now);
        outcome
    }

    fn apply_deregistration(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
    ) -> DeregistrationOutcome {
        let target = &mut self.target;
        let names_start = target.incarnation == Some(incarnation);
        let names_instance = target.instance == Some(incarnation);
        let leaves = target.state == TargetState::Leaving;
        match target.incarnation {
            // It is unknown which start the deregistration concerns, so it is not
            // attributed to any start.
            None => {
                target.instance = Some(incarnation);
                self.set_state(TargetState::Leaving, StateCause::Deregistration, now);
                DeregistrationOutcome::Applied
            }
            Some(_)
                if names_start
                    || (names_instance && (leaves || !target.has_replaced_same_instance())) =>
            {
                target.is_deregistered = true;
                self.set_state(TargetState::Leaving, StateCause::Deregistration, now);
                DeregistrationOutcome::Applied
            }
            Some(_) => {
                self.counters.deregistrations_ignored += 1;
                if names_instance {
                    DeregistrationOutcome::FormerStart
                } else {
                    DeregistrationOutcome::OtherTarget
                }
            }
        }
    }

    fn replace_target(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let previous = self.target.clone();
        if previous.incarnation.is_some() {
            self.log_events.add(LogEvent::TargetStartReplaced {
                former: self.target_status(now),
                incarnation: heartbeat.incarnation,
                sequence: heartbeat.sequence,
            });
        }
        self.target = Target::unknown(now);
        self.target.incarnation = Some(heartbeat.incarnation);
        self.target.instance = Some(heartbeat.instance);
        self.target.started_at_ms = heartbeat.started_at_ms;
        self.target.started_after_agent = previous.started_after_agent
            || previous.is_assumed_alive_while_agent_ran(heartbeat)
            || heartbeat.sequence <= FIRST_SEQUENCE;
        self.target.replaced_starts = previous.replaced_starts;
        self.target.previous_last_heartbeat_at = previous.last_heartbeat_at;
        if previous.incarnation.is_none() && previous.instance == Some(heartbeat.incarnation) {
            // This start was deregistered before its first heartbeat.
            self.target.state = TargetState::Leaving;
            self.target.state_cause = StateCause::Deregistration;
        }
        if let Some(ended) = previous.incarnation {
            let instance = previous.instance.unwrap_or(ended);
            let ended = ReplacedStart {
                incarnation: ended,
                instance,
            };
            self.target.replaced_starts.push(ended);
            let surplus = self
                .target
                .replaced_starts
                .len()
                .saturating_sub(MAXIMUM_REPLACED_STARTS);
            self.target.replaced_starts.drain(..surplus);
            self.remove_flows_of_replaced_target(previous.last_heartbeat_at, now);
        }
        self.is_report_to_all_due = true;
    }

    /// Whether the target's address should be probed. It is probed until the target has
    /// sent a heartbeat, a deregistration or a packet, or listens at the address.
    #[must_use]
    pub fn needs_listen_probe(&self) -> bool {
        let was_heard =
            self.target.state != TargetState::Unknown || self.target.last_packet_at.is_some();
        !was_heard && self.target.listen_state != ListenState::Listening
    }

    /// Records whether the target listens. A target that does not listen yet will start
    /// while the agent runs, so the agent sees each of its flows.
    pub fn record_listen_state(&mut self, listen_state: ListenState) {
        self.target.listen_state = listen_state;
        self.target.started_after_agent |= listen_state == ListenState::NotListening;
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

impl Target {
    fn is_replaced_start(&self, incarnation: Incarnation) -> bool {
        let mut replaced = self.replaced_starts.iter();
        replaced.any(|start| start.incarnation == incarnation)
    }

    /// Whether a start under the present target's name was replaced here.
    fn has_replaced_same_instance(&self) -> bool {
        let mut replaced = self.replaced_starts.iter();
        replaced.any(|start| Some(start.instance) == self.instance)
    }

    /// Whether the sender of a heartbeat replaces this incarnation.
    fn is_replaced_by(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let Some(incarnation) = self.incarnation else {
            return true;
        };
        if self.is_deregistered {
            return true;
        }
        let known = TargetStart {
            incarnation,
            started_at_ms: self.started_at_ms,
        };
        let next = TargetStart {
            incarnation: heartbeat.incarnation,
            started_at_ms: heartbeat.started_at_ms,
        };
        self.restart_detector
            .supersedes(&known, &next, heartbeat.sequence, now)
    }

    /// Whether this incarnation is taken to have been alive while the agent ran, so that
    /// the incarnation that replaces it started later than the agent. Heartbeats at least
    /// [`MINIMUM_ALIVE_SPAN`] apart prove this. A single heartbeat does not, because it
    /// may have been delayed since before the agent's start. If `next` states no start
    /// time, the start times cannot be compared, and a single heartbeat suffices.
    fn is_assumed_alive_while_agent_ran(&self, next: &Heartbeat) -> bool {
        let span = self.first_heartbeat_at.zip(self.last_heartbeat_at);
        let was_heard_twice =
            span.is_some_and(|(first, last)| last.since(first) >= MINIMUM_ALIVE_SPAN);
        self.incarnation.is_some() && (next.started_at_ms.is_none() || was_heard_twice)
    }
}
