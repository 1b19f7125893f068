//! Whether the target's zone takes new flows.

use super::super::excluded_zones::ExcludedZones;
use super::super::identity::NodeAddress;
use super::super::note::Note;
use super::Agent;

impl Agent {
    /// Whether the operators have excluded the target's zone.
    #[must_use]
    pub fn is_excluded(&self) -> bool {
        self.excluded_zones.excludes(self.options.zone)
    }

    pub(super) fn adopt_zones(&mut self, zones: &ExcludedZones, from: NodeAddress) {
        let formerly = self.excluded_zones.zones.len();
        if !self.excluded_zones.adopt(zones) {
            return;
        }
        self.notes.add(Note::ZonesExcluded {
            excluded: self.excluded_zones.zones.len(),
            formerly,
            own_is_excluded: self.is_excluded(),
            revision: self.excluded_zones.revision,
            from: Some(from),
        });
    }
}
