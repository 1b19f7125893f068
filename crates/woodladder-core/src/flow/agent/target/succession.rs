//! Which start of a target is present: succession of starts at the agent's address.
//!
//! Heartbeats may arrive seconds late, after their sender has ended and another start has
//! registered at the same address, and an agent that has restarted does not know which
//! starts were there before. So a heartbeat of another start than the present one replaces
//! it only on evidence:
//!
//! - The other start began later, by the times that both state.
//! - The present start has ended: while it left, nothing listened at its address, and now
//!   something does. Its deregistration is no such evidence, since it may take packets for
//!   a while after it, and neither is a message of another start.
//! - The present start was heard only once or in one moment, so that nothing shows that it
//!   was not itself a late heartbeat.
//! - The present start is silent, and the other one keeps sending. For a start that has
//!   announced that it leaves, this takes longest, unless it has deregistered after that:
//!   one that deregisters first serves on without heartbeats.
//!
//! Which flows ended with the former start is decided by [`super::life_proof`].
//!
//! A start that was replaced without a statement of its time may return on the same
//! evidence, since it may have been replaced by a late heartbeat.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{
    Agent, Heartbeat, HeartbeatError, StateCause, SuccessionEvidence, Target, TargetEnd,
};
use crate::flow::cold_reason::ColdReason;
use crate::flow::identity::Incarnation;
use crate::flow::log_event::LogEvent;
use crate::flow::message::TargetState;
use crate::flow::target_restart::{SILENCE_BEFORE_SUPERSEDED, StartOrder, TargetStart};

/// Number of earlier incarnations that are remembered to recognise their late heartbeats.
const MAXIMUM_REPLACED_STARTS: usize = 16;
/// Sequence number of the first heartbeat of an incarnation.
pub(crate) const FIRST_SEQUENCE: u64 = 1;
/// Two heartbeats of one incarnation that arrive at least this far apart show that the
/// incarnation was alive in between: delayed heartbeats arrive together.
pub(crate) const MINIMUM_ALIVE_SPAN: Duration = Duration::from_millis(500);
/// Time for which another start must keep sending before it replaces a silent start that
/// leaves and was not seen to end: longer than heartbeats are late.
const LEAVING_SUPERSEDED_AFTER: Duration = Duration::from_secs(8);

/// A start of the target (an incarnation) that another start has replaced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacedStart {
    incarnation: Incarnation,
    /// Identifies the target by its name alone, whichever start it is.
    instance: Incarnation,
    first_heartbeat_at: Option<Instant>,
    heartbeat_sequence: u64,
    has_ended: bool,
    is_leaving_stated: bool,
}

impl Agent {
    /// Returns the evidence on which the sender of a heartbeat replaces the present start.
    pub(crate) fn check_other_start(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<SuccessionEvidence, HeartbeatError> {
        self.target.life_proof.record_other_start(heartbeat, now);
        let was_replaced = self.target.replaced_start(heartbeat.incarnation).is_some();
        if was_replaced && !self.target.may_return(heartbeat) {
            self.counters.heartbeats_replaced += 1;
            return Err(HeartbeatError::Replaced);
        }
        let is_weak_evidence =
            self.target.incarnation.is_some() && self.target.may_be_late_message(heartbeat, now);
        if let Some(evidence) = self.target.evidence_for(heartbeat, now) {
            if is_weak_evidence {
                self.assume_cold(ColdReason::OtherStart, now);
            }
            return Ok(evidence);
        }
        if was_replaced {
            self.counters.heartbeats_replaced += 1;
            return Err(HeartbeatError::Replaced);
        }
        self.assume_cold(ColdReason::OtherStart, now);
        self.counters.heartbeats_unproven += 1;
        Err(HeartbeatError::Unproven)
    }

    /// Makes the sender of a heartbeat the present start.
    pub(crate) fn replace_target(
        &mut self,
        heartbeat: &Heartbeat,
        evidence: SuccessionEvidence,
        now: Instant,
    ) {
        let mut previous = self.target.clone();
        self.counters.successions[evidence.index()] += 1;
        if evidence.shows_end() {
            self.leaving_watch.record_end();
        }
        if previous.incarnation.is_some() {
            self.log_events.add(LogEvent::TargetStartReplaced {
                former: self.target_status(now),
                incarnation: heartbeat.incarnation,
                sequence: heartbeat.sequence,
                evidence,
            });
        }
        let claimed_since = previous
            .restart_detector
            .claimed_since(heartbeat.incarnation);
        self.target = Target::unknown(now);
        self.target.first_heartbeat_at = claimed_since;
        self.target.incarnation = Some(heartbeat.incarnation);
        self.target.instance = Some(heartbeat.instance);
        self.target.started_at_ms = heartbeat.started_at_ms;
        self.target.started_after_agent = previous.started_after_agent
            || previous.was_heard_alive()
            || heartbeat.sequence <= FIRST_SEQUENCE;
        self.target.replaced_starts = std::mem::take(&mut previous.replaced_starts);
        if let Some(returned) = self.target.take_replaced_start(heartbeat.incarnation) {
            // Flows of this start were removed from the table when it was replaced.
            self.target.started_after_agent = false;
            self.target.first_heartbeat_at = returned.first_heartbeat_at.or(claimed_since);
            self.flows.mark_incomplete(now);
            if returned.is_leaving_stated {
                self.target.is_leaving_stated = true;
                self.target.state = TargetState::Leaving;
                self.target.state_cause = StateCause::Heartbeat;
            }
        }
        if previous.incarnation.is_none() && previous.instance == Some(heartbeat.incarnation) {
            // This start was deregistered before its first heartbeat.
            self.target.is_leaving_stated = true;
            self.target.state = TargetState::Leaving;
            self.target.state_cause = StateCause::Deregistration;
        }
        if let Some(replaced) = previous.as_replaced_start(evidence) {
            self.target.remember_replaced_start(replaced);
            let former_life = previous.life_proof.before(heartbeat.incarnation, evidence);
            self.target.former_life = former_life;
            self.remove_flows_of_replaced_target(former_life, now);
        }
        self.is_report_to_all_due = true;
    }
}

impl Target {
    /// What is remembered of this start after it was replaced on this evidence; `None`
    /// before its first heartbeat.
    fn as_replaced_start(&self, evidence: SuccessionEvidence) -> Option<ReplacedStart> {
        let incarnation = self.incarnation?;
        Some(ReplacedStart {
            incarnation,
            instance: self.instance.unwrap_or(incarnation),
            first_heartbeat_at: self.first_heartbeat_at,
            heartbeat_sequence: self.heartbeat_sequence,
            has_ended: self.end != TargetEnd::NotSeen || evidence.shows_end(),
            is_leaving_stated: self.is_leaving_stated,
        })
    }

    fn remember_replaced_start(&mut self, replaced: ReplacedStart) {
        self.replaced_starts.push(replaced);
        let surplus = self
            .replaced_starts
            .len()
            .saturating_sub(MAXIMUM_REPLACED_STARTS);
        self.replaced_starts.drain(..surplus);
    }

    fn replaced_start(&self, incarnation: Incarnation) -> Option<&ReplacedStart> {
        let mut replaced = self.replaced_starts.iter();
        replaced.find(|start| start.incarnation == incarnation)
    }

    fn take_replaced_start(&mut self, incarnation: Incarnation) -> Option<ReplacedStart> {
        let mut replaced = self.replaced_starts.iter();
        let index = replaced.position(|start| start.incarnation == incarnation)?;
        Some(self.replaced_starts.remove(index))
    }

    /// Whether the sender of a heartbeat, which was replaced, may be the present start after
    /// all: it is not known to have ended, the times of the two starts are not known, and it
    /// has sent something new.
    fn may_return(&self, heartbeat: &Heartbeat) -> bool {
        let are_times_known = self.started_at_ms.is_some() && heartbeat.started_at_ms.is_some();
        self.replaced_start(heartbeat.incarnation)
            .is_some_and(|start| {
                !start.has_ended
                    && !are_times_known
                    && heartbeat.sequence > start.heartbeat_sequence
            })
    }

    /// Whether this process has seen that a start has ended, and another one followed it.
    pub(crate) fn has_seen_end_of(&self, incarnation: Incarnation) -> bool {
        self.replaced_start(incarnation)
            .is_some_and(|start| start.has_ended)
    }

    /// Whether a start under the present target's name was replaced here.
    pub(crate) fn has_replaced_same_instance(&self) -> bool {
        let mut replaced = self.replaced_starts.iter();
        replaced.any(|start| Some(start.instance) == self.instance)
    }

    /// The evidence on which the sender of a heartbeat replaces this start, if there is any.
    fn evidence_for(&mut self, heartbeat: &Heartbeat, now: Instant) -> Option<SuccessionEvidence> {
        if self.end == TargetEnd::ListensAgain {
            return Some(SuccessionEvidence::NothingListened);
        }
        let Some(incarnation) = self.incarnation else {
            return self.evidence_before_heartbeat(heartbeat, now);
        };
        let known = TargetStart {
            incarnation,
            started_at_ms: self.started_at_ms,
        };
        let next = TargetStart {
            incarnation: heartbeat.incarnation,
            started_at_ms: heartbeat.started_at_ms,
        };
        let order = next.order_after(&known);
        if order == StartOrder::Later {
            return Some(SuccessionEvidence::LaterStart);
        }
        if order == StartOrder::Unknown && self.may_be_late_message(heartbeat, now) {
            return Some(SuccessionEvidence::HeardOnce);
        }
        let span =
            self.restart_detector
                .record_claim(heartbeat.incarnation, heartbeat.sequence, now);
        let is_proven = self.is_proven_ended(order, span, now);
        is_proven.then_some(SuccessionEvidence::Silence)
    }

    /// The evidence on which the sender of the first heartbeat is present, although a
    /// deregistration may have come before any heartbeat.
    fn evidence_before_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<SuccessionEvidence> {
        let is_leaving_name = self.instance == Some(heartbeat.instance);
        if self.state != TargetState::Leaving || is_leaving_name {
            return Some(SuccessionEvidence::NothingKnown);
        }
        let span =
            self.restart_detector
                .record_claim(heartbeat.incarnation, heartbeat.sequence, now);
        (span >= LEAVING_SUPERSEDED_AFTER).then_some(SuccessionEvidence::Silence)
    }

    /// Whether this start counts as ended after another one has kept sending for `span`
    /// while this one was silent.
    fn is_proven_ended(&self, order: StartOrder, span: Duration, now: Instant) -> bool {
        if self.state == TargetState::Leaving {
            let limit = if self.has_taken_leave {
                SILENCE_BEFORE_SUPERSEDED
            } else {
                LEAVING_SUPERSEDED_AFTER
            };
            return span >= limit;
        }
        let silence = self
            .last_heartbeat_at
            .map_or(Duration::MAX, |at| now.since(at));
        match order {
            StartOrder::Unknown => {
                span >= MINIMUM_ALIVE_SPAN && silence >= SILENCE_BEFORE_SUPERSEDED
            }
            StartOrder::Later | StartOrder::Earlier => span >= SILENCE_BEFORE_SUPERSEDED,
        }
    }

    /// Whether this start may itself be known from late messages only, while the sender of a
    /// heartbeat has not been replaced before, or was heard at times that show it alive.
    fn may_be_late_message(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let is_alive_span = |first: Instant| now.since(first) >= MINIMUM_ALIVE_SPAN;
        let may_run = self
            .replaced_start(heartbeat.incarnation)
            .is_none_or(|start| start.first_heartbeat_at.is_some_and(is_alive_span));
        may_run && self.state != TargetState::Leaving && !self.was_heard_alive()
    }

    /// Whether heartbeats at least [`MINIMUM_ALIVE_SPAN`] apart have shown that this start
    /// was alive while the agent ran. A single one may have been delayed since before the
    /// agent's start.
    fn was_heard_alive(&self) -> bool {
        self.heard_for() >= MINIMUM_ALIVE_SPAN
    }

    /// Time from the first heartbeat of this start to its newest one.
    pub(crate) fn heard_for(&self) -> Duration {
        self.first_heartbeat_at
            .zip(self.last_heartbeat_at)
            .map_or(Duration::ZERO, |(first, last)| last.since(first))
    }
}
