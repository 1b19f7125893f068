//! Cache of decisions on new flows, kept while callers may repeat the first
//! packets.
//!
//! Callers can choose the flow hashes. Therefore the number of entries is bounded,
//! and the entries are in an ordered map: chosen keys that collide would slow down
//! a hash map.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::packets::hop_list::Hop;

use super::verdict::FlowRefusalReason;

/// The decision on a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CachedDecision {
    Accepted,
    Declined,
    Refused(FlowRefusalReason),
    HandedOn { to: Hop, must_decide: bool },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    decision: CachedDecision,
    expires_at: Instant,
}

/// Decisions by flow hash, bounded in number and age.
#[derive(Clone, Debug)]
pub(super) struct DecisionCache {
    retention: Duration,
    maximum_entries: usize,
    entries: BTreeMap<u64, Entry>,
    /// Expiry times with flow hashes, in order. An expiry that differs from that
    /// of the entry belongs to a replaced entry and has no effect.
    expiries: VecDeque<(Instant, u64)>,
}

impl DecisionCache {
    pub(super) fn new(retention: Duration, maximum_entries: usize) -> Self {
        Self {
            retention,
            // With a limit of zero, `insert` would evict without end.
            maximum_entries: maximum_entries.max(1),
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    pub(super) fn get(&self, flow_hash: u64, now: Instant) -> Option<CachedDecision> {
        let entry = self.entries.get(&flow_hash)?;
        (now < entry.expires_at).then_some(entry.decision)
    }

    pub(super) fn insert(&mut self, flow_hash: u64, decision: CachedDecision, now: Instant) {
        self.expire(now);
        while self.expiries.len() >= self.maximum_entries {
            self.evict_oldest();
        }
        let expires_at = now + self.retention;
        let entry = Entry {
            decision,
            expires_at,
        };
        self.entries.insert(flow_hash, entry);
        self.expiries.push_back((expires_at, flow_hash));
    }

    fn expire(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((at, flow_hash)) = self.expiries.pop_front() else {
            return;
        };
        if self
            .entries
            .get(&flow_hash)
            .is_some_and(|e| e.expires_at == at)
        {
            self.entries.remove(&flow_hash);
        }
    }
}
