//! Changes of the target's state.

use crate::clock::Instant;
use crate::flow::agent::{Agent, StateCause, TargetStatus};
use crate::flow::log_event::LogEvent;
use crate::flow::message::TargetState;

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
            heard_for: self.target.heard_for(),
            started_at_ms: self.target.started_at_ms,
            agent_age: now.since(self.started_at),
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
