//! Relaying of packets by a small balancer to much larger ones.
//!
//! Routers give every ready balancer of a zone the same share of packets, so a machine
//! with a fraction of the others' CPU or link capacity gets as many packets as they do.
//! Such a machine lacks the capacity to track targets and flows and to run searches.
//! Instead its balancer relays each packet to a larger balancer, which decides as if
//! the packet had arrived there. The receiver is chosen by rendezvous hashing of the
//! flow key, so all small balancers relay one flow to the same balancer. A relaying
//! balancer holds no flows, and so never resets one.
//!
//! While the larger balancers use different versions of the configuration, openings are
//! relayed only to those with the newest one: the callers of a relaying balancer must not
//! see a newer version and then an older one again.

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction, Routing};
use crate::flow::identity::NodeAddress;
use crate::flow::packet::{FlowPacket, PacketKind};

/// Minimum ratio of another balancer's usable CPU to this balancer's usable CPU for
/// packets to be relayed to the other balancer.
pub(crate) const RELAY_SIZE_RATIO: u32 = 4;

/// Balancers that packets are relayed to.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayReceivers {
    all: Vec<NodeAddress>,
    /// Those that stated the newest version of the configuration.
    up_to_date: Vec<NodeAddress>,
}

impl RelayReceivers {
    /// Whether no packet is relayed.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl Balancer {
    /// Updates the balancers that packets are relayed to: the much larger ones of the
    /// own zone or, if there are none, those of all zones. The list is empty if this
    /// balancer decides itself.
    pub(crate) fn update_relay_receivers(&mut self, now: Instant) {
        let minimum = self
            .options
            .usable_cpu_millicores()
            .saturating_mul(RELAY_SIZE_RATIO);
        let near = self.zone_members.serving_with_at_least(minimum, now);
        let all = if near.is_empty() {
            self.peers.serving_with_at_least(minimum, now)
        } else {
            near
        };
        let up_to_date = self.with_newest_version(&all);
        self.relay_receivers = RelayReceivers { all, up_to_date };
    }

    fn with_newest_version(&self, balancers: &[NodeAddress]) -> Vec<NodeAddress> {
        let versions = balancers.iter().map(|address| self.peers.version(*address));
        let newest = versions.max().unwrap_or(0);
        let is_newest = |address: &NodeAddress| self.peers.version(*address) == newest;
        balancers.iter().copied().filter(is_newest).collect()
    }

    /// Whether this balancer has at least [`RELAY_SIZE_RATIO`] times the given usable
    /// CPU, in thousandths of a core. A balancer with the given CPU then relays its
    /// packets.
    pub(crate) fn is_much_larger_than(&self, usable_cpu_millicores: u32) -> bool {
        usable_cpu_millicores <= self.options.usable_cpu_millicores() / RELAY_SIZE_RATIO
    }

    /// Updates the list of the balancers of the zone that relay their packets to this
    /// one. They must notice quickly when this balancer ends.
    pub(crate) fn update_relaying_members(&mut self) {
        self.relaying_members = self
            .zone_members
            .with_capacity_at_most(self.options.usable_cpu_millicores() / RELAY_SIZE_RATIO);
    }

    /// The larger balancer that a packet is relayed to; `None` if this balancer decides
    /// itself.
    pub(crate) fn relay_receiver(&self, packet: &FlowPacket) -> Option<NodeAddress> {
        let receivers = match packet.kind {
            PacketKind::Open => &self.relay_receivers.up_to_date,
            _ => &self.relay_receivers.all,
        };
        let candidates = receivers.iter().copied();
        candidates.max_by_key(|peer| packet.key.rank(*peer))
    }

    /// Relays a packet. All flows are dropped from the table, because the larger
    /// balancers hold them.
    pub(crate) fn relay(&mut self, to: NodeAddress) -> Routing {
        self.counters.relayed_packets += 1;
        if !self.flows.is_empty() {
            self.flows.retain(|_, _| false);
            self.searched_flows.clear();
            self.waiting_openings.clear();
        }
        Routing::Relay(to)
    }

    /// Routes a packet that a smaller balancer has relayed. It is not relayed again.
    pub(crate) fn route_relayed_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let routing = self.route_packet(packet, bytes, now);
        self.push_actions(routing, bytes, actions);
    }
}
