//! The leaving record of an agent process: its calls to the store, and the wait of an
//! acknowledgement for its record.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::AgentNode;
use crate::packet_codec::PacketCodec;
use crate::store::{self, Store};

/// Longest wait for the record of a leaving that is to be acknowledged: a target takes an
/// acknowledgement within a second.
const RECORD_WAIT: Duration = Duration::from_millis(800);

impl<C: PacketCodec + 'static> AgentNode<C> {
    /// Reads the leaving record, and writes and removes it as the target leaves and ends.
    pub(super) async fn maintain_leaving_record(self: Rc<Self>, store: impl Store) {
        let (calling, replying) = (Rc::clone(&self), Rc::clone(&self));
        store::maintain_record(
            store,
            self.clock,
            Rc::clone(&self.store_stats),
            Rc::clone(&self.leaving_record_due),
            move || {
                let now = calling.clock.now();
                calling.core.borrow_mut().next_leaving_record_call(now)
            },
            move |reply| {
                replying.run_core(|core, now, actions| {
                    core.handle_leaving_record_reply(reply, now);
                    core.tick(now, actions);
                });
                replying.leaving_record_replied.notify_waiters();
            },
        )
        .await;
    }

    /// Waits until the target's leaving is recorded; returns whether it was in time.
    pub(super) async fn is_leaving_recorded_in_time(&self) -> bool {
        let wait = async {
            while !self.core.borrow().is_leaving_recorded() {
                self.leaving_record_replied.notified().await;
            }
        };
        timeout(RECORD_WAIT, wait).await.is_ok()
    }
}
