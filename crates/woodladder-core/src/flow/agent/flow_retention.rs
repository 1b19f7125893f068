//! How long an idle flow stays in the table: as long as the configuration in force lets it
//! rest.

use std::time::Duration;

use super::{Agent, AgentOptions};

impl AgentOptions {
    /// The time for which an idle flow stays in the table before the first configuration.
    pub(super) fn longest_retention(&self) -> Duration {
        self.flow_retention.max(self.flow_lifetime)
    }
}

impl Agent {
    /// Changes the longest life of a flow, also of the flows that are open.
    pub fn set_flow_lifetime(&mut self, flow_lifetime: Duration) {
        self.options.flow_lifetime = flow_lifetime;
        self.update_flow_retention();
    }

    /// Applies the idle timeout of the configuration in force and the lifetime of flows to
    /// the flow table.
    pub(super) fn update_flow_retention(&mut self) {
        let idle_limit = self.routes.idle_limit(self.options.flow_lifetime);
        self.flows
            .set_period(self.options.flow_retention.max(idle_limit));
    }
}
