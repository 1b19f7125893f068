//! What the target says to the agent process: heartbeats and deregistrations.

use std::rc::Rc;

use tokio::task::spawn_local;
use woodladder_core::flow::agent::{
    DeregistrationOutcome, Heartbeat, HeartbeatError, HeartbeatOutcome,
};
use woodladder_core::flow::identity::Incarnation;

use super::AgentNode;
use crate::packet_codec::PacketCodec;

impl<C: PacketCodec + 'static> AgentNode<C> {
    /// Applies a heartbeat of the target and reports a change of its state to the
    /// balancers before returning. A heartbeat that announces that the target leaves is
    /// accepted only once the leaving is recorded in the store.
    ///
    /// # Errors
    /// Returns [`HeartbeatError`] when the heartbeat is rejected; it then changes nothing,
    /// except that a target whose leaving is [`HeartbeatError::Unrecorded`] takes no new
    /// flow.
    pub async fn handle_heartbeat(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        self.probe_before(heartbeat).await;
        let now = self.clock.now();
        let outcome = self.core.borrow_mut().handle_heartbeat(heartbeat, now)?;
        self.report_target();
        if heartbeat.leaving && !self.is_leaving_recorded_in_time().await {
            return Err(HeartbeatError::Unrecorded);
        }
        Ok(outcome)
    }

    /// Sets the target's state to leaving, reports the change to the balancers and returns
    /// once the leaving is recorded in the store. A deregistration that may belong to an
    /// earlier start of the target changes nothing.
    pub async fn handle_deregistration(
        self: &Rc<Self>,
        incarnation: Incarnation,
    ) -> DeregistrationOutcome {
        let now = self.clock.now();
        let outcome = self
            .core
            .borrow_mut()
            .handle_deregistration(incarnation, now);
        self.report_target();
        if self.core.borrow().is_end_near() {
            spawn_local(Rc::clone(self).watch_end());
        }
        let is_applied = outcome == DeregistrationOutcome::Applied;
        if is_applied && !self.is_leaving_recorded_in_time().await {
            return DeregistrationOutcome::Unrecorded;
        }
        outcome
    }

    /// Reports what the target has said, and wakes the tasks that depend on it.
    fn report_target(self: &Rc<Self>) {
        self.target_spoke.notify_one();
        self.leaving_record_due.notify_one();
        self.run_core(|core, now, actions| core.tick(now, actions));
    }
}
