//! Decisions on flows, remembered while their first packets may be repeated.
//!
//! Flow hashes come from callers, so the table is bounded, and ordered rather
//! than hashed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;
use crate::packets::hop_list::Hop;

use super::verdict::RefuseReason;

/// The decision on a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Remembered {
    Accepted,
    Declined,
    Refused(RefuseReason),
    HandedOn { to: Hop, last: bool },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    decision: Remembered,
    expires_at: Instant,
}

/// A bounded table of decisions.
#[derive(Clone, Debug)]
pub(super) struct FlowMemory {
    time: Duration,
    limit: usize,
    entries: BTreeMap<u64, Entry>,
    /// Expiries in their order; one that its entry does not have is void.
    expiries: VecDeque<(Instant, u64)>,
}

impl FlowMemory {
    pub(super) fn new(time: Duration, limit: usize) -> Self {
        Self {
            time,
            limit: limit.max(1),
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    pub(super) fn recall(&self, flow: u64, now: Instant) -> Option<Remembered> {
        let entry = self.entries.get(&flow)?;
        (now < entry.expires_at).then_some(entry.decision)
    }

    pub(super) fn remember(&mut self, flow: u64, decision: Remembered, now: Instant) {
        self.expire(now);
        while self.expiries.len() >= self.limit {
            self.forget_oldest();
        }
        let expires_at = now + self.time;
        let entry = Entry {
            decision,
            expires_at,
        };
        self.entries.insert(flow, entry);
        self.expiries.push_back((expires_at, flow));
    }

    fn expire(&mut self, now: Instant) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, flow)) = self.expiries.pop_front() else {
            return;
        };
        if self.entries.get(&flow).is_some_and(|e| e.expires_at == at) {
            self.entries.remove(&flow);
        }
    }
}
