//! The watch of the configuration in the store, as the balancer decides it.

use std::rc::Rc;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::flow::store_session::OperatorState;

use super::BalancerNode;
use crate::packet_codec::PacketCodec;
use crate::store::WatchingNode;

impl<C: PacketCodec + 'static> WatchingNode for Rc<BalancerNode<C>> {
    fn watch_wait(&self) -> Option<Duration> {
        let core = self.core.borrow();
        core.store_watch_wait(self.clock.unix_time_ms(), self.clock.now())
    }

    fn watch_deadline(&self) -> Option<Instant> {
        self.core.borrow().store_watch_deadline(self.clock.now())
    }

    fn adopt_state(&self, state: OperatorState) {
        self.run_core(|core, _, _| {
            if let Some(configuration) = state.configuration {
                core.adopt_store_configuration(configuration.into());
            }
            core.adopt_store_exclusions(&state.excluded_zones);
            core.record_store_confirmation(state.confirmed_at);
        });
    }

    fn watch_abandoned(&self, waited: Duration) {
        self.run_core(|core, now, _| core.record_abandoned_watch(waited, now));
    }
}
