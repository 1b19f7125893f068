//! Spreads a new configuration to every node while transferring it between zones only a
//! few times.
//!
//! The first few balancers of a zone fetch a new configuration from whichever node they
//! hear of it, and send its version to their zone immediately. The other balancers, and
//! the agents, wait a short time for a node of their own zone to have it. With 986
//! nodes, a configuration of 256 routes amounts to some 20 MB in total. Four fifths of
//! that would cross between zones if each node fetched the configuration from the first
//! node known to have it.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::{NodeAddress, ZoneKey, address_hash, pair_hash};

/// Number of balancers of a zone that fetch from other zones immediately. One may be
/// cut off, and another may just have ended.
const FIRST_FETCHERS_PER_ZONE: usize = 3;
/// Time that a node which hears of a new configuration from another zone waits for a
/// node of its own zone to have the configuration. A change has seconds to take effect.
pub const OTHER_ZONE_FETCH_DELAY: Duration = Duration::from_millis(400);

impl Balancer {
    /// Handles a message that a node of `zone` has the given configuration version. A
    /// version newer than the one in force here is fetched.
    pub(crate) fn handle_version(
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
        let heard_at = *self.newer_version_heard_at.get_or_insert(now);
        let has_waited = now.since(heard_at) >= OTHER_ZONE_FETCH_DELAY;
        let knows_nothing = self.routes.version() == 0;
        let is_near = zone == self.options.zone;
        if is_near || knows_nothing || has_waited || self.is_first_of_zone(now) {
            self.request_snapshot(from, knows_nothing, now, actions);
        }
    }

    /// Whether this balancer is one of the first of its zone, in the order of a hash of
    /// the address, among the balancers heard recently.
    fn is_first_of_zone(&self, now: Instant) -> bool {
        let own = address_hash(self.options.address);
        let before = |member: &NodeAddress| address_hash(*member) > own;
        self.zone_members.heard_recently(now).filter(before).count() < FIRST_FETCHERS_PER_ZONE
    }

    /// Sends a hello with the version of an adopted configuration to the nodes of the
    /// own zone. The first balancers of the zone send the hello to the other balancers;
    /// each agent gets it from the one balancer that its address is assigned to.
    pub(crate) fn inform_zone(&self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let version = self.routes.version();
        if self.is_first_of_zone(now) {
            for peer in self.peers.with_older_configuration(version) {
                if self.zone_members.capacity_of(peer).is_some() {
                    self.send_hello(peer, now, actions);
                }
            }
        }
        let members: Vec<NodeAddress> = self.zone_members.heard_recently(now).collect();
        for record in self.directory.agents() {
            let is_near = record.zone == self.options.zone;
            if is_near
                && record.version < version
                && self.is_first_to_inform(record.address, &members)
            {
                self.send_hello(record.address, now, actions);
            }
        }
    }

    /// Whether this balancer is the one of its zone that informs an agent of a new
    /// configuration.
    fn is_first_to_inform(&self, agent: NodeAddress, members: &[NodeAddress]) -> bool {
        let own = pair_hash(agent, self.options.address);
        members
            .iter()
            .all(|member| pair_hash(agent, *member) <= own)
    }
}
