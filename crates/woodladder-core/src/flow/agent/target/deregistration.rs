//! Deregistrations of the target, and the probes that show whether it runs.

use crate::clock::Instant;
use crate::flow::agent::{Agent, Heartbeat, ListenState, StateCause, TargetEnd};
use crate::flow::identity::Incarnation;
use crate::flow::message::TargetState;

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
    /// No heartbeat has shown which start is present. The target takes no new flow until one
    /// does, and the deregistration is not acknowledged.
    Unattributed,
    /// The target takes no new flow, but its leaving is not recorded in the store yet.
    Unrecorded,
}

impl DeregistrationOutcome {
    /// The outcome's name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::OtherTarget => "other_target",
            Self::FormerStart => "former_start",
            Self::Unattributed => "unattributed",
            Self::Unrecorded => "unrecorded",
        }
    }
}

impl Agent {
    /// Handles a deregistration: the target takes no new flow, but may still serve its
    /// open flows. A target that had announced that it leaves ends with its deregistration;
    /// one that had not serves on for a while. `incarnation` identifies one start of the
    /// target, or the target by its name alone. Once a heartbeat has shown which start is
    /// present, a deregistration that concerns neither this start nor its name is ignored.
    /// A deregistration by name is also ignored if an earlier start under this name was
    /// replaced here and the present start has not announced that it leaves: the message may
    /// be a late one of the earlier start.
    pub fn handle_deregistration(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
    ) -> DeregistrationOutcome {
        let outcome = self.apply_deregistration(incarnation, now);
        let names = [self.target.incarnation, Some(incarnation)];
        if outcome == DeregistrationOutcome::Applied
            && self.leaving_watch.record_deregistration(names, now)
        {
            self.log_acknowledged_leaving(self.target.incarnation.unwrap_or(incarnation), now);
        }
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
            // It is unknown which start the deregistration concerns. It may be a late one of
            // a former start, so it cannot bind whichever start is heard next.
            None => {
                target.instance = Some(incarnation);
                self.set_state(TargetState::Leaving, StateCause::Deregistration, now);
                DeregistrationOutcome::Unattributed
            }
            Some(_)
                if names_start
                    || (names_instance && (leaves || !target.has_replaced_same_instance())) =>
            {
                target.has_taken_leave |= target.announced_leaving;
                target.is_leaving_stated = true;
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

    /// Whether the target's address should be probed. It is probed until the target has
    /// sent a heartbeat, a deregistration or a packet, or listens at the address, and again
    /// while the target leaves, until another start is present.
    #[must_use]
    pub fn needs_listen_probe(&self) -> bool {
        if self.target.state == TargetState::Leaving {
            return true;
        }
        let was_heard = self.target.incarnation.is_some()
            || self.target.state != TargetState::Unknown
            || self.target.last_packet_at.is_some();
        !was_heard && self.target.listen_state != ListenState::Listening
    }

    /// Whether the address should be probed before a heartbeat is handled: its sender may
    /// be the next start after a leaving one, or its message may be late.
    #[must_use]
    pub fn needs_listen_probe_before(&self, heartbeat: &Heartbeat) -> bool {
        self.target.state == TargetState::Leaving
            && self.target.incarnation != Some(heartbeat.incarnation)
    }

    /// Whether the target has said that it is about to end.
    #[must_use]
    pub fn is_end_near(&self) -> bool {
        self.target.has_taken_leave && self.target.end == TargetEnd::NotSeen
    }

    /// Records whether the target listens. A target that does not listen yet will start
    /// while the agent runs, so the agent sees each of its flows, and no former process can
    /// have acknowledged its leaving. A leaving target that no longer listens has ended.
    pub fn record_listen_state(&mut self, listen_state: ListenState) {
        if listen_state == ListenState::NotListening {
            self.record_address_free();
        }
        if self.target.state == TargetState::Leaving {
            self.target.end = match (self.target.end, listen_state) {
                (_, ListenState::NotListening) => TargetEnd::NothingListens,
                (TargetEnd::NothingListens, ListenState::Listening) => TargetEnd::ListensAgain,
                (end, _) => end,
            };
            return;
        }
        self.target.listen_state = listen_state;
        if listen_state == ListenState::NotListening && !self.target.started_after_agent {
            self.target.started_after_agent = true;
            // Balancers may hold flows of a target that ended while no agent ran.
            self.is_report_to_all_due = true;
        }
    }

    /// Every start that has used the address until now has ended.
    fn record_address_free(&mut self) {
        self.leaving_watch.record_end();
        self.leaving_record.set_irrelevant();
    }

    /// Records that a connection to a target that had said that it is about to end was
    /// closed: the target has ended, however soon another one listens.
    pub fn record_closed_connection(&mut self) {
        if self.is_end_near() {
            self.target.end = TargetEnd::NothingListens;
            self.record_address_free();
        }
    }
}
