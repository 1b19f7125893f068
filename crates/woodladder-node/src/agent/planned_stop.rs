//! The planned stop of an agent process, whose target has ended before or runs on beside the
//! agent's next process.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;
use woodladder_core::flow::agent::ListenState;

use super::AgentNode;
use crate::packet_codec::PacketCodec;

/// Time for which an agent that shuts down still forwards packets.
const SHUTDOWN_DRAIN: Duration = Duration::from_millis(300);
/// Number of times that the agent's stop or the target's end is announced. Without the
/// announcement, a balancer judges by the agent's silence.
const STOP_ANNOUNCEMENTS: u32 = 3;
/// Time between the last announcements, which state what the last listen probe has shown.
const LAST_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(20);

impl<C: PacketCodec + 'static> AgentNode<C> {
    /// Forwards packets for [`SHUTDOWN_DRAIN`], and tells the balancers whether the target
    /// may run on or has ended.
    pub(super) async fn drain(self: &Rc<Self>) {
        let mut may_run = self.may_target_run().await;
        if !may_run {
            self.core.borrow_mut().forget_leaving_of_ended_target();
            self.leaving_record_due.notify_one();
        }
        for _ in 0..STOP_ANNOUNCEMENTS {
            if may_run {
                self.run_core(|core, _, actions| core.announce_stop(actions));
            }
            sleep(SHUTDOWN_DRAIN / STOP_ANNOUNCEMENTS).await;
        }
        may_run = self.may_target_run().await;
        for _ in 0..STOP_ANNOUNCEMENTS {
            self.run_core(|core, _, actions| {
                if may_run {
                    core.announce_stop(actions);
                } else {
                    core.announce_target_end(actions);
                }
            });
            sleep(LAST_ANNOUNCEMENT_INTERVAL).await;
        }
    }

    /// Whether the target may run, as far as a listen probe can tell.
    async fn may_target_run(&self) -> bool {
        self.probe_listen_state().await != ListenState::NotListening
    }
}
