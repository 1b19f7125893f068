//! Flows just admitted that the target's usage does not show yet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Flows whose first request is still to come.
#[derive(Clone, Debug)]
pub(super) struct PendingFlows {
    window: Duration,
    flows: BTreeMap<u64, PendingFlow>,
    admissions: VecDeque<(Instant, u64)>,
    unopened: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingFlow {
    admitted_at: Instant,
    opened: bool,
}

impl PendingFlows {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            flows: BTreeMap::new(),
            admissions: VecDeque::new(),
            unopened: 0,
        }
    }

    pub(super) fn add(&mut self, flow: u64, now: Instant) {
        self.remove(flow);
        let pending = PendingFlow {
            admitted_at: now,
            opened: false,
        };
        self.flows.insert(flow, pending);
        self.admissions.push_back((now, flow));
        self.unopened += 1;
    }

    pub(super) fn opened(&mut self, flow: u64) {
        if let Some(pending) = self.flows.get_mut(&flow)
            && !pending.opened
        {
            pending.opened = true;
            self.unopened -= 1;
        }
    }

    pub(super) fn remove(&mut self, flow: u64) {
        if let Some(pending) = self.flows.remove(&flow)
            && !pending.opened
        {
            self.unopened -= 1;
        }
    }

    /// Flows admitted within the window whose first request is to come.
    pub(super) fn waiting(&mut self, now: Instant) -> u32 {
        while let Some((at, flow)) = self.admissions.front().copied()
            && now.since(at) >= self.window
        {
            self.admissions.pop_front();
            self.remove_admitted_at(flow, at);
        }
        u32::try_from(self.flows.len()).unwrap_or(u32::MAX)
    }

    /// Flows admitted within the window whose connection is not counted yet.
    pub(super) fn unopened(&self) -> u32 {
        self.unopened
    }

    fn remove_admitted_at(&mut self, flow: u64, at: Instant) {
        let known = self.flows.get(&flow);
        if known.is_some_and(|pending| pending.admitted_at == at) {
            self.remove(flow);
        }
    }
}

/// Flows taken only to be declined, within the window.
#[derive(Clone, Debug)]
pub(super) struct DeclineWindow {
    window: Duration,
    taken: VecDeque<Instant>,
}

impl DeclineWindow {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            taken: VecDeque::new(),
        }
    }

    /// Takes one out of the allowance, if any is left.
    pub(super) fn take(&mut self, allowance: u32, now: Instant) -> bool {
        let window = self.window;
        while self
            .taken
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.taken.pop_front();
        }
        let left = self.taken.len() < usize::try_from(allowance).unwrap_or(usize::MAX);
        if left {
            self.taken.push_back(now);
        }
        left
    }
}
