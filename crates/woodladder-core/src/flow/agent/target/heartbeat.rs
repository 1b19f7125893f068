//! Heartbeats of the target: its incarnation, state and capacity.
//!
//! Each start of a target is a new incarnation. A late heartbeat of an earlier
//! one, or of the same one out of order, changes nothing.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{Agent, ListenState, ReplacedStart, Target};
use crate::flow::identity::{Incarnation, ServiceKey};
use crate::flow::message::TargetState;
use crate::flow::target_restart::TargetStart;

/// Earlier incarnations that are told apart from a new one.
const REMEMBERED_INCARNATIONS: usize = 16;
/// Number of the first heartbeat of an incarnation.
const FIRST_SEQUENCE: u64 = 1;
/// Time between two heartbeats of one incarnation that shows that it was alive in
/// between: heartbeats that were held up come together.
const ALIVE_BETWEEN: Duration = Duration::from_millis(500);
/// Time without any packet of the target, while openings wait for an answer,
/// after which it counts as unresponsive.
const UNANSWERED_AT_MOST: Duration = Duration::from_millis(450);

/// One heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation that sends it.
    pub incarnation: Incarnation,
    /// The incarnation by its name alone; the same for all starts under one name.
    pub instance: Incarnation,
    /// When it began, in milliseconds of Unix time, where it says so.
    pub started_unix_ms: Option<u64>,
    /// Service of the target.
    pub service: ServiceKey,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Requests that it works on at the same time.
    pub slots: u16,
    /// How much longer it is slow from its start.
    pub warm_up_remaining: Duration,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
}

/// Why a heartbeat is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatError {
    /// It is of another service than the agent's.
    WrongService,
    /// Its incarnation was replaced by a later one.
    Replaced,
    /// It may be older than the incarnation that is known, and has not shown yet
    /// that it lives.
    Unproven,
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
    /// Takes a heartbeat in. When it says that the target leaves, no new flow
    /// reaches the target from the moment that this returns.
    ///
    /// # Errors
    /// [`HeartbeatError`] when it is not taken; nothing has changed.
    pub fn handle_heartbeat(
        &mut self,
        beat: &Heartbeat,
        now: Instant,
    ) -> Result<(), HeartbeatError> {
        let taken = self.take_heartbeat(beat, now);
        match taken {
            Ok(()) => self.promises.record_leaving_accepted(beat.incarnation, now),
            // One that was replaced has ended and waits for nothing.
            Err(HeartbeatError::Replaced) => {}
            Err(_) if beat.leaving => self.promises.record_leaving_rejected(beat.incarnation, now),
            Err(_) => {}
        }
        taken
    }

    fn take_heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> Result<(), HeartbeatError> {
        if beat.service != self.options.service {
            return Err(HeartbeatError::WrongService);
        }
        if self.target.has_replaced(beat.incarnation) {
            self.counters.heartbeats_replaced += 1;
            return Err(HeartbeatError::Replaced);
        }
        if self.target.incarnation != Some(beat.incarnation) {
            if !self.target.is_followed_by(beat, now) {
                self.counters.heartbeats_unproven += 1;
                return Err(HeartbeatError::Unproven);
            }
            self.replace_target(beat, now);
        } else if beat.sequence <= self.target.sequence {
            self.counters.heartbeats += 1;
            return Ok(());
        }
        self.counters.heartbeats += 1;
        self.target.succession.confirm_known();
        self.target.first_beat_at.get_or_insert(now);
        self.target.sequence = beat.sequence;
        self.load.last_heartbeat = beat.sequence;
        self.target.beat_at = Some(now);
        self.target.unanswered_since = None;
        self.target.capacity = beat.slots;
        self.target.warm_at = now + beat.warm_up_remaining;
        self.warm_up.told(now);
        let state = match (beat.leaving, self.target.state) {
            (true, _) | (_, TargetState::Leaving) => TargetState::Leaving,
            _ => TargetState::Ready,
        };
        self.set_state(state);
        Ok(())
    }

    /// The target says that it is gone; it may still serve its flows. `incarnation`
    /// may be its name alone. When a start of that name was replaced here and the
    /// present one has not said that it leaves, the former one's message may be late:
    /// nothing changes.
    pub fn handle_deregistration(&mut self, incarnation: Incarnation) {
        let target = &mut self.target;
        let says_start = target.incarnation == Some(incarnation);
        let says_name = target.name == Some(incarnation);
        let leaves = target.state == TargetState::Leaving;
        match target.incarnation {
            // Which start it means is not known, so none is taken for it.
            None => {
                target.name = Some(incarnation);
                self.set_state(TargetState::Leaving);
            }
            Some(_) if says_start || (says_name && (leaves || !target.has_namesake())) => {
                target.is_deregistered = true;
                self.set_state(TargetState::Leaving);
            }
            Some(_) => self.counters.deregistrations_ignored += 1,
        }
    }

    fn replace_target(&mut self, beat: &Heartbeat, now: Instant) {
        let former = self.target.clone();
        self.target = Target::unknown(now);
        self.target.incarnation = Some(beat.incarnation);
        self.target.name = Some(beat.instance);
        self.target.born_ms = beat.started_unix_ms;
        self.target.began_later =
            former.began_later || former.has_lived_here(beat) || beat.sequence <= FIRST_SEQUENCE;
        self.target.replaced = former.replaced;
        self.target.former_beat_at = former.beat_at;
        if former.incarnation.is_none() && former.name == Some(beat.incarnation) {
            // This very start was deregistered before it was heard.
            self.target.state = TargetState::Leaving;
        }
        if let Some(ended) = former.incarnation {
            let name = former.name.unwrap_or(ended);
            let ended = ReplacedStart {
                incarnation: ended,
                name,
            };
            self.target.replaced.push(ended);
            let surplus = self
                .target
                .replaced
                .len()
                .saturating_sub(REMEMBERED_INCARNATIONS);
            self.target.replaced.drain(..surplus);
            self.forget_flows_before(former.beat_at, now);
        }
        self.report_due = true;
    }

    /// Whether it should be asked if the target listens: before the first sign
    /// of it.
    #[must_use]
    pub fn needs_listen_probe(&self) -> bool {
        let was_heard = self.target.state != TargetState::Unknown || self.target.sent_at.is_some();
        !was_heard && self.target.presence != ListenState::Listening
    }

    /// Takes in whether the target listens. One that does not yet will begin
    /// while the agent runs, so the agent sees each of its flows.
    pub fn record_listen_state(&mut self, presence: ListenState) {
        self.target.presence = presence;
        self.target.began_later |= presence == ListenState::NotListening;
    }

    /// Notices a target that answers no opening.
    pub(crate) fn watch_target(&mut self, now: Instant) {
        let Some(since) = self.target.unanswered_since else {
            return;
        };
        let is_silent = now.since(since) >= UNANSWERED_AT_MOST;
        if is_silent && self.target.state == TargetState::Ready {
            self.set_state(TargetState::Unresponsive);
        }
    }
}

impl Target {
    fn has_replaced(&self, incarnation: Incarnation) -> bool {
        let mut replaced = self.replaced.iter();
        replaced.any(|start| start.incarnation == incarnation)
    }

    /// Whether a start under the present one's name was replaced here.
    fn has_namesake(&self) -> bool {
        let mut replaced = self.replaced.iter();
        replaced.any(|start| Some(start.name) == self.name)
    }

    /// Whether the sender of a heartbeat takes the place of this one.
    fn is_followed_by(&mut self, beat: &Heartbeat, now: Instant) -> bool {
        let Some(incarnation) = self.incarnation else {
            return true;
        };
        if self.is_deregistered {
            return true;
        }
        let known = TargetStart {
            incarnation,
            started_at_ms: self.born_ms,
        };
        let next = TargetStart {
            incarnation: beat.incarnation,
            started_at_ms: beat.started_unix_ms,
        };
        self.succession
            .supersedes(&known, &next, beat.sequence, now)
    }

    /// Whether it was alive while the agent ran, so that one that follows it began
    /// later than the agent. A single heartbeat may have been held up since before.
    fn has_lived_here(&self, next: &Heartbeat) -> bool {
        let span = self.first_beat_at.zip(self.beat_at);
        let was_heard_twice = span.is_some_and(|(first, last)| last.since(first) >= ALIVE_BETWEEN);
        self.incarnation.is_some() && (next.started_unix_ms.is_none() || was_heard_twice)
    }
}
