//! The balancers of one zone, and which of them should receive packets.
//!
//! Routers spread a zone's packets evenly over those of its balancers that report ready,
//! whatever their capacity. If fewer than half of a zone's balancers are ready, routers
//! use all of them. An even spread overloads the small machines, so the smallest ones
//! stand by: of all allowed sizes of the ready set, the one is chosen whose balancers can
//! handle most in total when each gets the same share. The capacity of a balancer is
//! limited by its processor or by its link, whichever saturates first. Each balancer
//! decides for itself, from the hellos of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::activation::usable_capacity;
use super::identity::NodeAddress;
use super::message_timing::{liveness_timeout, take_cyclic};
use crate::clock::Instant;

/// Most balancers that are remembered. Only bounds memory: six times the deployment size
/// that the system is designed for.
pub const MAXIMUM_BALANCERS: usize = 4096;
/// Shortest silence after which a larger balancer no longer receives relayed packets.
/// Packets relayed to a dead balancer are lost until then. Packets bypass a live balancer
/// only after two of its hellos in a row were lost; its flows must then be searched for,
/// but no request fails.
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(450);
/// The same silence, in hello intervals of the balancer; the longer of both limits
/// applies.
const RELAY_SILENT_AFTER_PERIODS: f64 = 3.0;
/// Shortest silence after which a member no longer counts as serving.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// The same silence, in hello intervals of the member; the longer of both limits applies.
const SILENT_AFTER_PERIODS: f64 = 1.8;
/// Shortest silence after which a member no longer belongs to the zone.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// The same silence, in hello intervals of the member; the longer of both limits applies.
const FORGET_AFTER_PERIODS: f64 = 4.0;

/// Capacity and readiness that a balancer announces to the others of its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneMember {
    /// Processor that the balancer may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Rate of its machine's link, in kilobits per second; `None` if unknown.
    pub link_rate_kbps: Option<u32>,
    /// Whether the balancer could serve callers, as defined for
    /// [`BalancerHello::can_serve`](super::message::BalancerHello::can_serve).
    pub can_serve: bool,
}

impl ZoneMember {
    /// Processor that the balancer can use for forwarding, in thousandths of a core.
    #[must_use]
    pub fn usable_capacity(&self) -> u32 {
        usable_capacity(self.cpu_millicores, self.link_rate_kbps)
    }
}

#[derive(Clone, Copy, Debug)]
struct MemberRecord {
    member: ZoneMember,
    /// Longest time until the balancer's next hello, as stated in its last hello.
    next_hello_within: Duration,
    heard_at: Instant,
}

impl MemberRecord {
    /// Whether the balancer was heard within `minimum` or within `periods` of its hello
    /// intervals, whichever is longer.
    fn is_heard(&self, minimum: Duration, periods: f64, now: Instant) -> bool {
        now.since(self.heard_at) < liveness_timeout(self.next_hello_within, periods, minimum)
    }
}

/// The other balancers of the node's own zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneMembers {
    records: BTreeMap<NodeAddress, MemberRecord>,
}

impl ZoneMembers {
    /// Records a hello of a balancer of the zone, which sends the next one within
    /// `next_hello_within`.
    pub fn record_hello(
        &mut self,
        address: NodeAddress,
        member: ZoneMember,
        next_hello_within: Duration,
        now: Instant,
    ) {
        if self.records.len() >= MAXIMUM_BALANCERS && !self.records.contains_key(&address) {
            return;
        }
        let record = MemberRecord {
            member,
            next_hello_within,
            heard_at: now,
        };
        self.records.insert(address, record);
    }

    /// Removes members that have been silent for long.
    pub fn tick(&mut self, now: Instant) {
        self.records
            .retain(|_, record| record.is_heard(FORGET_AFTER, FORGET_AFTER_PERIODS, now));
    }

    /// Restarts the silence timers of all members.
    pub fn restart_silence_timers(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.heard_at = now;
        }
    }

    /// Members that serve and have at least the usable capacity `minimum`, in thousandths
    /// of a core.
    #[must_use]
    pub fn serving_with_at_least(&self, minimum: u32, now: Instant) -> Vec<NodeAddress> {
        self.records
            .iter()
            .filter(|(_, record)| {
                record.member.can_serve && record.member.usable_capacity() >= minimum
            })
            .filter(|(_, record)| {
                record.is_heard(RELAY_SILENT_AFTER, RELAY_SILENT_AFTER_PERIODS, now)
            })
            .map(|(address, _)| *address)
            .collect()
    }

    fn serving(&self, now: Instant) -> impl Iterator<Item = (u32, NodeAddress)> + '_ {
        self.records
            .iter()
            .filter(|(_, record)| record.member.can_serve)
            .filter(move |(_, record)| record.is_heard(SILENT_AFTER, SILENT_AFTER_PERIODS, now))
            .map(|(address, record)| (record.member.usable_capacity(), *address))
    }

    /// Members that were heard recently, whether they serve or not.
    pub fn heard_recently(&self, now: Instant) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_heard(SILENT_AFTER, SILENT_AFTER_PERIODS, now))
            .map(|(address, _)| *address)
    }

    /// Members whose usable capacity is at most `maximum`, in thousandths of a core.
    #[must_use]
    pub fn with_capacity_at_most(&self, maximum: u32) -> Vec<NodeAddress> {
        self.records
            .iter()
            .filter(|(_, record)| record.member.usable_capacity() <= maximum)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Usable capacity of a balancer of the zone, in thousandths of a core; `None` if it
    /// is not known.
    #[must_use]
    pub fn capacity_of(&self, address: NodeAddress) -> Option<u32> {
        self.records
            .get(&address)
            .map(|record| record.member.usable_capacity())
    }

    /// Number of known members, not counting this balancer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// At most `count` addresses, starting at index `start` and wrapping around, so that
    /// calls with increasing starts cover all of them.
    #[must_use]
    pub fn take_cyclic(&self, start: usize, count: usize) -> Vec<NodeAddress> {
        take_cyclic(self.records.keys().copied(), start, count)
    }

    /// Whether the balancer with this address and usable capacity should stand by,
    /// because the zone can handle more without this balancer.
    #[must_use]
    pub fn should_stand_by(&self, address: NodeAddress, capacity: u32, now: Instant) -> bool {
        let mut able: Vec<(u32, NodeAddress)> = self.serving(now).collect();
        able.push((capacity, address));
        able.sort_by_key(|(capacity, address)| (std::cmp::Reverse(*capacity), *address));
        let capacities: Vec<u32> = able.iter().map(|(capacity, _)| *capacity).collect();
        let size = ready_set_size(&capacities, self.records.len() + 1);
        let rank = able.iter().position(|(_, other)| *other == address);
        rank.is_some_and(|rank| rank >= size)
    }
}

/// How many balancers should be ready in a zone of `members`, given the balancers'
/// capacities in descending order: at least half of the members, and as many as can
/// handle most in total when each gets the same share. Among equally good sizes the
/// largest is chosen.
#[must_use]
pub fn ready_set_size(capacities: &[u32], members: usize) -> usize {
    let minimum = members.div_ceil(2).max(1);
    (minimum..=capacities.len())
        .max_by_key(|size| total_capacity(capacities, *size))
        .unwrap_or(capacities.len())
}

/// What the first `size` balancers can handle in total when each gets the same share; the
/// smallest of them sets the limit.
fn total_capacity(capacities: &[u32], size: usize) -> u64 {
    let smallest = capacities[size - 1];
    u64::from(smallest) * u64::try_from(size).unwrap_or(u64::MAX)
}
