//! The other balancers that a node knows, by greetings, lists and snapshots.

use std::collections::BTreeMap;
use std::time::Duration;

use super::identity::NodeAddress;
use super::message_timing::{liveness_timeout, take_cyclic};
use super::zone_members::{MAXIMUM_BALANCERS, ZoneMember};
use crate::clock::Instant;

/// Least silence after which a balancer that has greeted is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// The same in times between its greetings.
const FORGET_AFTER_PERIODS: f64 = 4.0;
/// Least silence after which a balancer is no longer counted among those that
/// live, for instance where balancers take turns at the store.
const COUNTED_FOR: Duration = Duration::from_secs(12);
/// The same in times between its greetings.
const COUNTED_FOR_PERIODS: f64 = 2.0;
/// Time that a balancer which was only named by others has for a greeting.
const UNCONFIRMED_FOR: Duration = Duration::from_secs(4);
/// Silence after which a balancer of any zone no longer counts as serving. It does
/// not grow with the time between greetings: as many of them come in it at any
/// size, and a few serving balancers are enough.
const SERVING_FOR: Duration = Duration::from_secs(3);

/// A balancer as another node knows it.
#[derive(Clone, Copy, Debug)]
pub struct PeerRecord {
    /// When it last greeted, if it did.
    pub heard_at: Option<Instant>,
    /// Configuration that it knew then.
    pub version: u64,
    /// What it said of its own part in its zone.
    pub member: Option<ZoneMember>,
    /// Time within which it greets again, as it last said.
    greets_within: Duration,
    named_at: Instant,
}

impl PeerRecord {
    fn forgotten_after(&self) -> Duration {
        liveness_timeout(self.greets_within, FORGET_AFTER_PERIODS, FORGET_AFTER)
    }

    fn is_counted(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.greets_within, COUNTED_FOR_PERIODS, COUNTED_FOR);
        self.heard_at.is_some_and(|at| now.since(at) < limit)
    }
}

/// Balancers by address.
#[derive(Clone, Debug, Default)]
pub struct BalancerPeers {
    records: BTreeMap<NodeAddress, PeerRecord>,
}

impl BalancerPeers {
    /// Remembers a balancer that something else than itself has named; says
    /// whether it was new.
    pub fn learn_address(&mut self, address: NodeAddress, now: Instant) -> bool {
        if self.records.contains_key(&address) || self.records.len() >= MAXIMUM_BALANCERS {
            return false;
        }
        let record = PeerRecord {
            heard_at: None,
            version: 0,
            member: None,
            greets_within: Duration::ZERO,
            named_at: now,
        };
        self.records.insert(address, record);
        true
    }

    /// Takes a greeting in, whose sender greets again within a time; says whether
    /// the balancer had not greeted before.
    pub fn record_hello(
        &mut self,
        address: NodeAddress,
        version: u64,
        greets_within: Duration,
        now: Instant,
    ) -> bool {
        self.learn_address(address, now);
        let Some(record) = self.records.get_mut(&address) else {
            return false;
        };
        let is_new = record.heard_at.is_none();
        record.heard_at = Some(now);
        record.version = version;
        record.greets_within = greets_within;
        is_new
    }

    /// Takes in what a balancer that has greeted says of its part.
    pub fn set_member(&mut self, address: NodeAddress, member: ZoneMember) {
        if let Some(record) = self.records.get_mut(&address) {
            record.member = Some(member);
        }
    }

    /// Balancers that were heard lately, could serve, and can use at least this
    /// capacity.
    #[must_use]
    pub fn serving_with_at_least(&self, least: u32, now: Instant) -> Vec<NodeAddress> {
        let is_able = |record: &PeerRecord| {
            let is_heard = record
                .heard_at
                .is_some_and(|at| now.since(at) < SERVING_FOR);
            let is_large = record
                .member
                .is_some_and(|member| member.can_serve && member.usable_capacity() >= least);
            is_heard && is_large
        };
        self.records
            .iter()
            .filter(|(_, record)| is_able(record))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Processors, in thousandths of a core, of the balancers that live.
    pub fn capacities(&self, now: Instant) -> impl Iterator<Item = u32> + '_ {
        self.records
            .values()
            .filter(move |record| record.is_counted(now))
            .filter_map(|record| record.member.map(|member| member.cpu_millicores))
    }

    /// Forgets a balancer.
    pub fn remove(&mut self, address: NodeAddress) -> bool {
        self.records.remove(&address).is_some()
    }

    /// Forgets the silent ones and returns those that had greeted.
    pub fn tick(&mut self, now: Instant) -> Vec<NodeAddress> {
        let mut lost = Vec::new();
        self.records.retain(|address, record| {
            let keep = match record.heard_at {
                Some(heard_at) => now.since(heard_at) < record.forgotten_after(),
                None => now.since(record.named_at) < UNCONFIRMED_FOR,
            };
            if !keep && record.heard_at.is_some() {
                lost.push(*address);
            }
            keep
        });
        lost
    }

    /// All addresses, in order.
    pub fn addresses(&self) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records.keys().copied()
    }

    /// At most `count` addresses, beginning at the one numbered `start`, so
    /// that calls with growing starts go round all of them.
    #[must_use]
    pub fn take_cyclic(&self, start: usize, count: usize) -> Vec<NodeAddress> {
        take_cyclic(self.addresses(), start, count)
    }

    /// Balancers that knew a lesser configuration when they last greeted.
    pub fn with_older_configuration(&self, version: u64) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.version < version)
            .map(|(address, _)| *address)
    }

    /// Balancers that have greeted and have not missed more than a greeting since.
    pub fn heard_recently(&self, now: Instant) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_counted(now))
            .map(|(address, _)| *address)
    }

    /// Whether any balancer was heard lately: within some greetings of the one that
    /// greets most often.
    #[must_use]
    pub fn hears_any(&self, now: Instant) -> bool {
        let heard = || self.records.values().filter(|it| it.heard_at.is_some());
        let Some(period) = heard().map(|record| record.greets_within).min() else {
            return false;
        };
        let limit = liveness_timeout(period, COUNTED_FOR_PERIODS, COUNTED_FOR);
        let latest = heard().filter_map(|record| record.heard_at).max();
        latest.is_some_and(|at| now.since(at) < limit)
    }

    /// Balancers that have greeted.
    pub fn confirmed_by_hello(&self) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(|(_, record)| record.heard_at.is_some())
            .map(|(address, _)| *address)
    }

    /// Counts the silence of all from now on.
    pub fn restart_silence_timers(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.named_at = now;
            record.heard_at = record.heard_at.map(|_| now);
        }
    }

    /// Whether a balancer is known.
    #[must_use]
    pub fn knows(&self, address: NodeAddress) -> bool {
        self.records.contains_key(&address)
    }

    /// Balancers known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
