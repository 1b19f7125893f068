//! Zones that take no new flows: their adoption, and their effect on openings.

use crate::clock::Instant;
use crate::flow::balancer::Balancer;
use crate::flow::excluded_zones::ExcludedZones;
use crate::flow::identity::{NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;

impl Balancer {
    /// Adopts the excluded zones that were read from the store.
    pub fn adopt_store_exclusions(&mut self, zones: &ExcludedZones) {
        self.adopt_excluded_zones(zones, None);
    }

    /// The excluded zones in force at this balancer.
    #[must_use]
    pub fn excluded_zones(&self) -> &ExcludedZones {
        &self.excluded_zones
    }

    pub(crate) fn adopt_excluded_zones(
        &mut self,
        zones: &ExcludedZones,
        from: Option<NodeAddress>,
    ) {
        let formerly = self.excluded_zones.zones.len();
        if !self.excluded_zones.adopt(zones) {
            return;
        }
        // This makes a round of hellos to some of the other balancers due at the next
        // tick. If the change came from the store, that tick also sends a hello to
        // every node, because only a few balancers watch the store.
        self.peer_hellos_sent_at = Instant::ORIGIN;
        self.must_send_excluded_zones |= from.is_none();
        self.log_events.add(LogEvent::ZonesExcluded {
            excluded: self.excluded_zones.zones.len(),
            formerly,
            own_is_excluded: self.excluded_zones.excludes(self.options.zone),
            revision: self.excluded_zones.revision,
            from,
        });
    }

    /// Whether all targets of a service are in excluded zones, so that waiting cannot
    /// help an opening.
    pub(crate) fn is_service_excluded(&self, service: ServiceKey) -> bool {
        let agents = self.directory.agents_of(service);
        let mut records = agents
            .iter()
            .filter_map(|agent| self.directory.agent(*agent));
        !agents.is_empty() && records.all(|record| self.excluded_zones.excludes(record.zone))
    }
}
