//! Zones that take no new flows: what the balancer knows, and whom it tells.

use crate::clock::Instant;
use crate::flow::balancer::Balancer;
use crate::flow::excluded_zones::ExcludedZones;
use crate::flow::identity::{NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;

impl Balancer {
    /// Takes the excluded zones that the store gave.
    pub fn adopt_store_exclusions(&mut self, zones: &ExcludedZones) {
        self.adopt_zones(zones, None);
    }

    /// The excluded zones that the balancer knows.
    #[must_use]
    pub fn excluded_zones(&self) -> &ExcludedZones {
        &self.excluded_zones
    }

    pub(crate) fn adopt_zones(&mut self, zones: &ExcludedZones, from: Option<NodeAddress>) {
        let formerly = self.excluded_zones.zones.len();
        if !self.excluded_zones.adopt(zones) {
            return;
        }
        // The next tick tells the others; a change from the store is told to
        // every node at once, because only a few balancers watch.
        self.greeted_peers_at = Instant::ORIGIN;
        self.tells_zones |= from.is_none();
        self.notes.add(LogEvent::ZonesExcluded {
            excluded: self.excluded_zones.zones.len(),
            formerly,
            own_is_excluded: self.excluded_zones.excludes(self.options.zone),
            revision: self.excluded_zones.revision,
            from,
        });
    }

    /// Whether every target of a service stands in an excluded zone, so that an
    /// opening has nothing to wait for.
    pub(crate) fn is_wholly_excluded(&self, service: ServiceKey) -> bool {
        let agents = self.directory.agents_of(service);
        let mut records = agents
            .iter()
            .filter_map(|agent| self.directory.agent(*agent));
        !agents.is_empty() && records.all(|record| self.excluded_zones.excludes(record.zone))
    }
}
