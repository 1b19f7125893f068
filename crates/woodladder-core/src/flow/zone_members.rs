//! The balancers of one zone, and which of them should be given packets.
//!
//! Routers spread a zone's packets evenly over those of its balancers that say
//! they are ready, whatever each can bear; a zone with fewer than half of its
//! balancers ready uses all of them. Among unequal machines an even spread
//! overloads the small ones, so the smallest stand by: of all allowed sizes of
//! the set of ready balancers, the one is taken whose balancers together bear
//! most when each gets the same share. What a balancer bears follows from its
//! processor and its link, whichever binds. Every balancer decides this for itself
//! from the greetings of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::activation::usable_capacity;
use super::identity::NodeAddress;
use super::message_timing::{liveness_timeout, take_cyclic};
use crate::clock::Instant;

/// Most balancers remembered, which bounds memory only: six times the size that
/// the deployment is designed for.
pub const MAXIMUM_BALANCERS: usize = 4096;
/// Least silence after which a larger balancer is handed no packets any more: two
/// greetings in a row must be lost for a living one to be passed over, which costs
/// searches for its flows and no request. What is handed to a dead one is lost until
/// then.
const RECEIVER_SILENT_AFTER: Duration = Duration::from_millis(450);
/// The same in times between its greetings.
const RECEIVER_SILENT_AFTER_PERIODS: f64 = 3.0;
/// Least silence after which a member no longer counts as serving.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// The same in times between its greetings.
const SILENT_AFTER_PERIODS: f64 = 1.8;
/// Least silence after which a member no longer counts as one of the zone's.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// The same in times between its greetings.
const FORGET_AFTER_PERIODS: f64 = 4.0;

/// What a balancer says of its own part in its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZoneMember {
    /// Processor that it may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Rate of its machine's link, in kilobits a second; `None` when it is not known.
    pub link_rate_kbps: Option<u32>,
    /// Whether it could serve: it knows routes and agents and does not leave.
    pub can_serve: bool,
}

impl ZoneMember {
    /// Processor that it can use for forwarding, in thousandths of a core.
    #[must_use]
    pub fn usable_capacity(&self) -> u32 {
        usable_capacity(self.cpu_millicores, self.link_rate_kbps)
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    member: ZoneMember,
    /// Time within which it greets again, as it last said.
    greets_within: Duration,
    heard_at: Instant,
}

impl Record {
    /// Whether it has been silent for less than a time, or for less than so many
    /// times between its greetings.
    fn is_heard(&self, least: Duration, periods: f64, now: Instant) -> bool {
        now.since(self.heard_at) < liveness_timeout(self.greets_within, periods, least)
    }
}

/// The other balancers of the own zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneMembers {
    records: BTreeMap<NodeAddress, Record>,
}

impl ZoneMembers {
    /// Takes in what a balancer of the zone says of itself; it greets again within
    /// a time.
    pub fn record_hello(
        &mut self,
        address: NodeAddress,
        member: ZoneMember,
        greets_within: Duration,
        now: Instant,
    ) {
        if self.records.len() >= MAXIMUM_BALANCERS && !self.records.contains_key(&address) {
            return;
        }
        let record = Record {
            member,
            greets_within,
            heard_at: now,
        };
        self.records.insert(address, record);
    }

    /// Forgets members that have been silent for long.
    pub fn tick(&mut self, now: Instant) {
        self.records
            .retain(|_, record| record.is_heard(FORGET_AFTER, FORGET_AFTER_PERIODS, now));
    }

    /// Counts the silence of all from now on.
    pub fn restart_silence_timers(&mut self, now: Instant) {
        for record in self.records.values_mut() {
            record.heard_at = now;
        }
    }

    /// Members that serve and can use at least this capacity.
    #[must_use]
    pub fn serving_with_at_least(&self, least: u32, now: Instant) -> Vec<NodeAddress> {
        self.records
            .iter()
            .filter(|(_, record)| {
                record.member.can_serve && record.member.usable_capacity() >= least
            })
            .filter(|(_, record)| {
                record.is_heard(RECEIVER_SILENT_AFTER, RECEIVER_SILENT_AFTER_PERIODS, now)
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

    /// Members that were heard lately, whether they serve or not.
    pub fn heard_recently(&self, now: Instant) -> impl Iterator<Item = NodeAddress> + '_ {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_heard(SILENT_AFTER, SILENT_AFTER_PERIODS, now))
            .map(|(address, _)| *address)
    }

    /// Members that can use at most this capacity.
    #[must_use]
    pub fn with_capacity_at_most(&self, most: u32) -> Vec<NodeAddress> {
        self.records
            .iter()
            .filter(|(_, record)| record.member.usable_capacity() <= most)
            .map(|(address, _)| *address)
            .collect()
    }

    /// Processor that a balancer of the zone can use, in thousandths of a core, when
    /// it is known.
    #[must_use]
    pub fn capacity_of(&self, address: NodeAddress) -> Option<u32> {
        self.records
            .get(&address)
            .map(|record| record.member.usable_capacity())
    }

    /// Members known besides the own balancer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// At most `count` addresses, beginning at the one numbered `start`, so
    /// that calls with growing starts go round all of them.
    #[must_use]
    pub fn take_cyclic(&self, start: usize, count: usize) -> Vec<NodeAddress> {
        take_cyclic(self.records.keys().copied(), start, count)
    }

    /// Whether the balancer with this address and usable capacity should stand by,
    /// because the zone bears more without it.
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

/// How many of the balancers, whose capacities are given in falling order,
/// should be ready in a zone of `members`: at least half of the members, and as
/// many as together bear most with equal shares. Of equals the larger set.
#[must_use]
pub fn ready_set_size(capacities: &[u32], members: usize) -> usize {
    let least = members.div_ceil(2).max(1);
    (least..=capacities.len())
        .max_by_key(|size| borne_by(capacities, *size))
        .unwrap_or(capacities.len())
}

/// What the first `size` balancers bear together when each gets an equal
/// share: the smallest of them sets the limit.
fn borne_by(capacities: &[u32], size: usize) -> u64 {
    let smallest = capacities[size - 1];
    u64::from(smallest) * u64::try_from(size).unwrap_or(u64::MAX)
}
