//! Accepted flows whose first request has not arrived yet. The target's usage
//! counts such a flow's connection once it is open, but no request of the flow.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Accepted flows whose first request has not arrived yet.
#[derive(Clone, Debug)]
pub(super) struct PendingFlows {
    /// Longest time after its admission for which a flow is counted.
    window: Duration,
    /// Flows by flow hash.
    flows: BTreeMap<u64, PendingFlow>,
    /// Times of admission with flow hashes, in order of time.
    admissions: VecDeque<(Instant, u64)>,
    /// Number of `flows` whose connection has not been opened.
    unopened_connections: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingFlow {
    admitted_at: Instant,
    connection_opened: bool,
}

impl PendingFlows {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            flows: BTreeMap::new(),
            admissions: VecDeque::new(),
            unopened_connections: 0,
        }
    }

    pub(super) fn add(&mut self, flow_hash: u64, now: Instant) {
        self.remove(flow_hash);
        let pending = PendingFlow {
            admitted_at: now,
            connection_opened: false,
        };
        self.flows.insert(flow_hash, pending);
        self.admissions.push_back((now, flow_hash));
        self.unopened_connections += 1;
    }

    pub(super) fn mark_connection_opened(&mut self, flow_hash: u64) {
        if let Some(pending) = self.flows.get_mut(&flow_hash)
            && !pending.connection_opened
        {
            pending.connection_opened = true;
            self.unopened_connections -= 1;
        }
    }

    pub(super) fn remove(&mut self, flow_hash: u64) {
        if let Some(pending) = self.flows.remove(&flow_hash)
            && !pending.connection_opened
        {
            self.unopened_connections -= 1;
        }
    }

    /// Flows admitted within the window whose first request has not arrived yet.
    pub(super) fn count(&mut self, now: Instant) -> u32 {
        while let Some((at, flow_hash)) = self.admissions.front().copied()
            && now.since(at) >= self.window
        {
            self.admissions.pop_front();
            self.remove_admitted_at(flow_hash, at);
        }
        u32::try_from(self.flows.len()).unwrap_or(u32::MAX)
    }

    /// Flows whose connection has not been opened, so that the usage does not count
    /// it yet. Flows admitted before the window are left out as of the last call of
    /// [`Self::count`], which removes them.
    pub(super) fn unopened_connections(&self) -> u32 {
        self.unopened_connections
    }

    fn remove_admitted_at(&mut self, flow_hash: u64, at: Instant) {
        let known = self.flows.get(&flow_hash);
        if known.is_some_and(|pending| pending.admitted_at == at) {
            self.remove(flow_hash);
        }
    }
}

/// Limits how many flows are accepted only so that their requests can be answered
/// with a refusal, within a sliding window.
#[derive(Clone, Debug)]
pub(super) struct DeclineLimiter {
    window: Duration,
    declined_at: VecDeque<Instant>,
}

impl DeclineLimiter {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            declined_at: VecDeque::new(),
        }
    }

    /// Counts one more declined flow if fewer than `allowance` flows were counted
    /// within the window. Returns whether the flow was counted.
    pub(super) fn try_take(&mut self, allowance: u32, now: Instant) -> bool {
        let window = self.window;
        while self
            .declined_at
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.declined_at.pop_front();
        }
        let is_allowed = self.declined_at.len() < usize::try_from(allowance).unwrap_or(usize::MAX);
        if is_allowed {
            self.declined_at.push_back(now);
        }
        is_allowed
    }
}
