//! Whether the target's zone may take new flows.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{Agent, ColdReason};
use crate::flow::excluded_zones::ExcludedZones;
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;

/// Time without news of the excluded zones after which the agent's zone may have been
/// excluded and taken back unnoticed. Even a single balancer sends a hello to each agent
/// more often than this.
const MAXIMUM_ZONE_NEWS_GAP: Duration = Duration::from_secs(3);

impl Agent {
    /// Whether the operators have excluded the target's zone.
    #[must_use]
    pub fn is_excluded(&self) -> bool {
        self.excluded_zones.excludes(self.options.zone)
    }

    pub(crate) fn adopt_excluded_zones(
        &mut self,
        zones: &ExcludedZones,
        from: NodeAddress,
        now: Instant,
    ) {
        let heard_at = self.zones_heard_at.replace(now);
        let was_out_of_touch = heard_at.is_none_or(|at| now.since(at) >= MAXIMUM_ZONE_NEWS_GAP);
        let was_excluded = self.is_excluded();
        let formerly = self.excluded_zones.zones.len();
        let differs = self.excluded_zones.adopt(zones);
        if was_excluded && !self.is_excluded() {
            self.assume_cold(ColdReason::ZoneTakenBack, now);
        } else if was_out_of_touch {
            self.assume_cold(ColdReason::OutOfTouch, now);
        }
        if !differs {
            return;
        }
        self.log_events.add(LogEvent::ZonesExcluded {
            excluded: self.excluded_zones.zones.len(),
            formerly,
            own_is_excluded: self.is_excluded(),
            revision: self.excluded_zones.revision,
            from: Some(from),
        });
    }
}
