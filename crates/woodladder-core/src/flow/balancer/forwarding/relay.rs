//! Relaying by a small balancer to much larger ones.
//!
//! Routers give every ready balancer of a zone the same share, so a machine
//! with a fraction of the others' processor or link gets as many packets as they do. It
//! cannot afford to follow targets, tables and searches: it hands each packet
//! to a larger balancer, which decides as if the packet had come to it. The
//! larger one is chosen by rendezvous hashing of the flow, so all small
//! balancers hand one flow to the same place. A relaying balancer holds no
//! flows, and so never resets one.

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction, Routing};
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::packet::FlowPacket;

/// How many times larger than the own usable processor another balancer's must be.
pub(crate) const LARGER_BY: u32 = 4;

impl Balancer {
    /// Finds the balancers that packets are handed to: the much larger ones of
    /// the own zone, or those of all zones when there is none. Empty when the
    /// own balancer decides itself.
    pub(crate) fn choose_relay_receivers(&mut self, now: Instant) {
        let least = self
            .options
            .usable_cpu_millicores()
            .saturating_mul(LARGER_BY);
        let near = self.zone_members.serving_with_at_least(least, now);
        self.relay_receivers = if near.is_empty() {
            self.peers.serving_with_at_least(least, now)
        } else {
            near
        };
    }

    /// Whether balancers of this usable processor, in thousandths of a core, hand their
    /// packets to one of the own size.
    pub(crate) fn is_much_larger_than(&self, capacity: u32) -> bool {
        capacity <= self.options.usable_cpu_millicores() / LARGER_BY
    }

    /// Finds the balancers of the zone that hand packets to this one and must
    /// notice its end soon.
    pub(crate) fn find_relaying_members(&mut self) {
        self.relaying_members = self
            .zone_members
            .with_capacity_at_most(self.options.usable_cpu_millicores() / LARGER_BY);
    }

    /// The larger balancer that takes this flow; `None` when the own balancer
    /// decides itself.
    pub(crate) fn relay_receiver(&self, key: FlowKey) -> Option<NodeAddress> {
        self.relay_receivers
            .iter()
            .copied()
            .max_by_key(|peer| key.rank(*peer))
    }

    /// Hands a packet on and forgets all flows: the larger balancers hold them.
    pub(crate) fn relay(&mut self, to: NodeAddress) -> Routing {
        self.counters.relayed_packets += 1;
        if !self.flows.is_empty() {
            self.flows.retain(|_, _| false);
            self.searching.clear();
            self.waiting.clear();
        }
        Routing::Relay(to)
    }

    /// Takes a packet that a smaller balancer has handed on. It is not handed
    /// on again.
    pub(crate) fn relayed(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let routing = self.route(packet, bytes, now);
        self.carry_out(routing, bytes, actions);
    }
}
