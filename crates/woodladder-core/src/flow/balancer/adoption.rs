//! Adoption of a configuration from the store or from another node.

use std::sync::Arc;

use super::Balancer;
use crate::clock::Instant;
use crate::flow::activation::ActiveMechanisms;
use crate::flow::configuration::Configuration;
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;

impl Balancer {
    /// Adopts a configuration that was read from the store.
    pub fn adopt_store_configuration(&mut self, configuration: Arc<Configuration>) {
        self.adopt_configuration(configuration, None);
    }

    pub(super) fn adopt_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        from: Option<NodeAddress>,
    ) {
        let former = self.routes.version();
        let last_tick_at = self.last_tick_at.unwrap_or(self.started_at);
        let confirmed_ago = self.confirmation_age(last_tick_at);
        if !self.routes.adopt(configuration) {
            return;
        }
        self.update_flow_retention();
        let routes = &self.routes;
        self.part_shares
            .retain(|address| routes.route(address).is_some());
        self.route_traffic
            .retain(|address| routes.route(address).is_some());
        if let Some(link) = &mut self.link {
            link.retain_routes(|address| routes.route(address).is_some());
        }
        // This makes a round of hellos due at the next tick. The round covers some of
        // the other balancers and, if the configuration came from the store, every
        // balancer that has an older one.
        self.peer_hellos_sent_at = Instant::ORIGIN;
        self.must_inform_outdated_peers |= from.is_none();
        self.must_inform_zone = true;
        self.newer_version_heard_at = None;
        self.apply_confirmation_of_adopted();
        self.log_events.add(LogEvent::ConfigurationAdopted {
            version: self.routes.version(),
            former,
            routes: self.routes.current().map_or(0, |it| it.routes.len()),
            from,
            confirmed_ago,
        });
        self.update_mechanisms();
    }

    fn update_mechanisms(&mut self) {
        let Some(configuration) = self.routes.current() else {
            return;
        };
        let options = &self.options;
        let next = ActiveMechanisms::at_balancer(
            configuration,
            options.cpu_millicores,
            options.link_rate_kbps,
        );
        if std::mem::replace(&mut self.mechanisms, next) != next {
            self.log_events
                .add(LogEvent::MechanismsChanged { active: next });
        }
    }
}
