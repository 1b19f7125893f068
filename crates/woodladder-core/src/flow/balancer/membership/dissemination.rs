//! How a new configuration reaches every node while its bytes cross between zones
//! few times.
//!
//! The first few balancers of a zone fetch it from wherever they hear of it, and
//! tell their zone at once; the others, and the agents, wait a moment for a node of
//! their own zone. At 986 nodes a configuration of 256 routes is some 20 MB in all,
//! four fifths of which crossed between zones when each node fetched it from the first
//! that it heard of.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::{NodeAddress, ZoneKey, address_hash, pair_hash};

/// Balancers of a zone that fetch from other zones at once: one may be cut off, and
/// another may just have ended.
const FIRST_OF_ZONE: usize = 3;
/// Time that a node which hears of a new configuration in another zone leaves to
/// those of its own. A change has seconds to come into force.
pub const OTHER_ZONE_FETCH_DELAY: Duration = Duration::from_millis(400);

impl Balancer {
    /// Another node of a zone knows a version; a greater one is fetched.
    pub(crate) fn learn_version(
        &mut self,
        from: NodeAddress,
        zone: ZoneKey,
        version: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if version <= self.routes.version() {
            return;
        }
        let heard_at = *self.newer_heard_at.get_or_insert(now);
        let has_waited = now.since(heard_at) >= OTHER_ZONE_FETCH_DELAY;
        let knows_nothing = self.routes.version() == 0;
        let is_near = zone == self.options.zone;
        if is_near || knows_nothing || has_waited || self.is_first_of_zone(now) {
            self.fetch_from(from, knows_nothing, now, actions);
        }
    }

    /// Whether this balancer is one of the first of its zone, by a hash of the
    /// address, among those that were heard lately.
    fn is_first_of_zone(&self, now: Instant) -> bool {
        let own = address_hash(self.options.address);
        let before = |member: &NodeAddress| address_hash(*member) > own;
        self.zone_members.heard_recently(now).filter(before).count() < FIRST_OF_ZONE
    }

    /// Tells the nodes of the zone that a configuration was adopted: the first
    /// balancers tell the others, and each tells the agents that are its own to tell.
    pub(crate) fn tell_zone(&self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let version = self.routes.version();
        if self.is_first_of_zone(now) {
            for peer in self.peers.with_older_configuration(version) {
                if self.zone_members.capacity_of(peer).is_some() {
                    self.greet(peer, now, actions);
                }
            }
        }
        let members: Vec<NodeAddress> = self.zone_members.heard_recently(now).collect();
        for record in self.directory.agents() {
            let is_near = record.zone == self.options.zone;
            if is_near && record.version < version && self.tells(record.address, &members) {
                self.greet(record.address, now, actions);
            }
        }
    }

    /// Whether this balancer is the one of its zone that tells an agent first.
    fn tells(&self, agent: NodeAddress, members: &[NodeAddress]) -> bool {
        let own = pair_hash(agent, self.options.address);
        members
            .iter()
            .all(|member| pair_hash(agent, *member) <= own)
    }
}
