//! Deregistrations of the target, and the probes that show whether it runs.

use crate::clock::Instant;
use crate::flow::agent::{Agent, ListenState, StateCause, SuccessionEvidence};
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
                if target.announced_leaving && !target.has_ended {
                    target.has_ended = true;
                    target.end_evidence = SuccessionEvidence::Deregistered;
                }
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
    /// while the target leaves, until it has ended.
    #[must_use]
    pub fn needs_listen_probe(&self) -> bool {
        if self.target.may_run_while_leaving() {
            return true;
        }
        let was_heard =
            self.target.state != TargetState::Unknown || self.target.last_packet_at.is_some();
        !was_heard && self.target.listen_state != ListenState::Listening
    }

    /// Records whether the target listens. A target that does not listen yet will start
    /// while the agent runs, so the agent sees each of its flows. A leaving target that no
    /// longer listens has ended.
    pub fn record_listen_state(&mut self, listen_state: ListenState) {
        if self.target.may_run_while_leaving() {
            self.target.has_ended = listen_state == ListenState::NotListening;
            self.target.end_evidence = SuccessionEvidence::NothingListened;
            return;
        }
        self.target.listen_state = listen_state;
        if listen_state == ListenState::NotListening && !self.target.started_after_agent {
            self.target.started_after_agent = true;
            // Balancers may hold flows of a target that ended while no agent ran.
            self.is_report_to_all_due = true;
        }
    }
}
