//! The other balancers that a node knows from hellos, from snapshots and from the
//! lists of balancers in the store and the settings.

use std::collections::BTreeMap;
use std::time::Duration;

use super::identity::NodeAddress;
use super::message_timing::{liveness_timeout, take_cyclic};
use super::zone_members::{MAXIMUM_BALANCERS, ZoneMember};
use crate::clock::Instant;

/// Shortest silence after which a balancer that has sent a hello is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// The same silence, in hello intervals of the balancer; the longer of both limits
/// applies.
const FORGET_AFTER_PERIODS: f64 = 4.0;
/// Shortest silence after which a balancer no longer counts as live, for instance where
/// balancers take turns at the store.
const LIVE_FOR: Duration = Duration::from_secs(12);
/// The same silence, in hello intervals of the balancer; the longer of both limits
/// applies.
const LIVE_FOR_PERIODS: f64 = 2.0;
/// Time after which a balancer whose address is known only from other nodes, the store or
/// the settings is forgotten if it has sent no hello.
const FIRST_HELLO_WITHIN: Duration = Duration::from_secs(4);
/// Silence after which a balancer of any zone no longer counts as serving. This limit
/// does not grow with the hello interval: the number of hellos that arrive within it is
/// the same at any fleet size, and a few serving balancers are enough.
const SERVING_FOR: Duration = Duration::from_secs(3);

/// One node's view of another balancer.
#[derive(Clone, Copy, Debug)]
pub struct PeerRecord {
    /// When the balancer's last hello arrived; `None` if it has sent none.
    pub heard_at: Option<Instant>,
    /// Version of the configuration that the last hello stated.
    pub version: u64,
    /// Capacity and readiness that the balancer announced last.
    pub member: Option<ZoneMember>,
    /// Longest time until the balancer's next hello, as stated in its last hello.
    next_hello_within: Duration,
    /// When the balancer's address became known, or when the silence timers were last
    /// restarted.
    address_learned_at: Instant,
}

impl PeerRecord {
    fn forget_after(&self) -> Duration {
        liveness_timeout(self.next_hello_within, FORGET_AFTER_PERIODS, FORGET_AFTER)
    }

    fn is_live(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.next_hello_within, LIVE_FOR_PERIODS, LIVE_FOR);
        self.heard_at.is_some_and(|at| now.since(at) < limit)
    }
}

/// Known balancers by address.
#[derive(Clone, Debug, Default)]
pub struct BalancerPeers {
    records: BTreeMap<NodeAddress, PeerRecord>,
}

impl BalancerPeers {
    /// Adds a balancer that was named by others or by the settings; returns whether it
    /// was new.
    pub fn learn_address(&mut self, address: NodeAddress, now: Instant) -> bool {
        if self.records.contains_key(&address) || self.records.len() >= MAXIMUM_BALANCERS {
            return false;
        }
        let record = PeerRecord {
            heard_at: None,
            version: 0,
            member: None,
            next_hello_within: Duration::ZERO,
            address_learned_at: now,
        };
        self.records.insert(address, record);
        true
    }

    /// Records a hello, whose sender sends the next one within `next_hello_within`;
    /// returns whether it was the first hello of this balancer.
    pub fn record_hello(
        &mut self,
        address: NodeAddress,
        version: u64,
        next_hello_within: Duration,
        now: Instant,
    ) -> bool {
        self.learn_address(address, now);
        let Some(record) = self.records.get_mut(&address) else {
            return false;
        };
        let is_new = record.heard_at.is_none();
        record.heard_at = Some(now);
        record.version = version;
        record.next_hello_within = next_hello_within;
        is_new
    }

    /// Records the capacity and readiness that a balancer has announced with its hello.
    pub fn set_member(&mut self, address: NodeAddress, member: ZoneMember) {
        if let Some(record) = self.records.get_mut(&address) {
            record.member = Some(member);
        }
    }

    /// Balancers that were heard recently, are able to serve, and have at least the
    /// usable capacity `minimum`, in thousandths of a core.
    #[must_use]
    pub fn serving_with_at_least(&self, minimum: u32, now: Instant) -> Vec<NodeAddress> {
        let is_able = |record: &PeerRecord| {
            let is_heard = record
                .heard_at
                .is_some_and(|at| now.since(at) < SERVING_FOR);
            let is_large = record
                .member
                .is_some_and(|member| member.can_serve && member.usable_capacity() >= minimum);
            is_heard && is_large
        };
        self.records
            .iter()
            .filter(|(_, record)| is_able(record))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Processors of the live balancers, in thousandths of a core.
    pub fn processors_millicores(&self, now: Instant) -> impl Iterator<Item = u32> + '_ {
        self.records
            .values()
            .filter(move |record| record.is_live(now))
            .filter_map(|record| record.member.map(|member| member.cpu_millicores))
    }

    /// Removes a balancer; returns whether it was known.
    pub fn remove(&mut self, address: NodeAddress) -> bool {
        self.records.remove(&address).is_some()
    }

    /// Removes silent balancers and returns those of them that had sent a hello.
    pub fn tick(&mut self, now: Instant) -> Vec<NodeAddress> {
        let mut lost = Vec::new();
        self.records.retain(|address, record| {
            let keep = match record.heard_at {
                Some(heard_at) => now.since(heard_at) < record.forget_after(),
                None => now.since(record.address_learned_at) < FIRST_HELLO_WITHIN,
            };
            if !keep && record.heard_at.is_some() {
                lost.push(*address);
            }
            keep
        });
        lost
    }

    /// All addresses, in ascending order.
    pub fn addresses(&self) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records.keys().copied()
    }

    /// At most `count` addresses, starting at index `start` and wrapping around, so that
    /// calls with increasing starts cover all of them.
    #[must_use]
    pub fn take_cyclic(&self, start: usize, count: usize) -> Vec<NodeAddress> {
        take_cyclic(self.addresses(), start, count)
    }

    /// Balancers whose last known configuration is older than `version`.
    pub fn with_older_configuration(&self, version: u64) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.version < version)
            .map(|(address, _)| *address)
    }

    /// Live balancers: those whose last hello arrived within `LIVE_FOR`, or within
    /// `LIVE_FOR_PERIODS` of their hello intervals if that is longer.
    pub fn heard_recently(&self, now: Instant) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_live(now))
            .map(|(address, _)| *address)
    }

    /// Whether any balancer was heard recently, measured by the shortest hello interval
    /// among them.
    #[must_use]
    pub fn hears_any(&self, now: Instant) -> bool {
        let heard = || {
            self.records
                .values()
                .filter(|record| record.heard_at.is_some())
        };
        let Some(period) = heard().map(|record| record.next_hello_within).min() else {
            return false;
        };
        let limit = liveness_timeout(period, LIVE_FOR_PERIODS, LIVE_FOR);
        let latest = heard().filter_map(|record| record.heard_at).max();
        latest.is_some_and(|at| now.since(at) < limit)
    }

    /// Balancers that have sent a hello.
    pub fn confirmed_by_hello(&self) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(|(_, record)| record.heard_at.is_some())
            .map(|(address, _)| *address)
    }

    /// Restarts the silence timers of all balancers.
    pub fn restart_silence_timers(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.address_learned_at = now;
            record.heard_at = record.heard_at.map(|_| now);
        }
    }

    /// Version of the configuration that a balancer stated last; zero if it has stated none.
    #[must_use]
    pub fn version(&self, address: NodeAddress) -> u64 {
        self.records.get(&address).map_or(0, |it| it.version)
    }

    /// Whether a balancer is known.
    #[must_use]
    pub fn knows(&self, address: NodeAddress) -> bool {
        self.records.contains_key(&address)
    }

    /// Number of known balancers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no balancer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
