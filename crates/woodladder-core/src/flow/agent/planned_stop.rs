//! The planned stop of an agent, while its target may run on.
//!
//! A process that has ended looks like a machine that is gone. So an agent that stops states
//! whether its target has ended; the balancers keep the flows of a target that may run on
//! until the agent has started again.

use crate::clock::Instant;
use crate::flow::agent::{Agent, AgentAction, StateCause};
use crate::flow::message::{PeerMessage, TargetState};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum PlannedStop {
    /// No stop is planned.
    #[default]
    None,
    /// The agent admits no new flow.
    Begun,
    /// In addition, the agent has announced that its target may run on.
    Announced,
}

impl PlannedStop {
    /// Whether the process is about to end.
    pub(crate) fn is_stopping(self) -> bool {
        self != Self::None
    }
}

impl Agent {
    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.is_stopping()
    }

    /// Begins a planned stop: the agent admits no new flow and continues to forward
    /// packets of open flows.
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.planned_stop = PlannedStop::Begun;
        self.set_state(TargetState::Leaving, StateCause::AgentStop, now);
    }

    /// Sends the balancers, as part of a planned stop, the message that the target may run
    /// on. To be repeated, because a datagram may be lost; reports repeat it too, for
    /// balancers that are found meanwhile.
    pub fn announce_stop(&mut self, actions: &mut Vec<AgentAction>) {
        self.planned_stop = PlannedStop::Announced;
        let message = PeerMessage::AgentStops {
            epoch: self.options.epoch,
        };
        self.send_to_balancers(&message, actions);
    }

    /// Sends the balancers, as part of a planned stop, the message that the target has
    /// ended. To be called only after the target has ended, because the balancers reset
    /// the target's flows on this message. To be repeated, because a datagram may be lost.
    pub fn announce_target_end(&self, actions: &mut Vec<AgentAction>) {
        let message = PeerMessage::TargetEnded {
            epoch: self.options.epoch,
        };
        self.send_to_balancers(&message, actions);
    }

    fn send_to_balancers(&self, message: &PeerMessage, actions: &mut Vec<AgentAction>) {
        for to in self.balancers.addresses() {
            let message = message.clone();
            actions.push(AgentAction::Send { to, message });
        }
    }
}
