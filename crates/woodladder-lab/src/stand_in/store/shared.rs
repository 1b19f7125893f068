//! What the store's request handlers share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use governor::DefaultDirectRateLimiter;
use tokio::sync::watch;

use super::fault::{DownMode, StoreFault};
use super::state::{StoreOperation, StoreOutcome, StoreState};
use crate::stand_in::clock::MonotonicClock;
use crate::stand_in::gate::Gate;

/// A watcher: one connection's blocking reads of one key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Watcher {
    pub(super) peer: Option<SocketAddr>,
    pub(super) key: String,
}

#[derive(Debug)]
pub(super) struct Shared {
    clock: MonotonicClock,
    state: Mutex<StoreState>,
    changed: watch::Sender<u64>,
    fault: watch::Sender<StoreFault>,
    gate: Gate,
    rate_limiter: Option<DefaultDirectRateLimiter>,
    repeated: Mutex<BTreeMap<Watcher, u64>>,
}

impl Shared {
    pub(super) fn new(
        state: StoreState,
        gate: Gate,
        rate_limiter: Option<DefaultDirectRateLimiter>,
    ) -> Self {
        Self {
            clock: MonotonicClock::start(),
            changed: watch::Sender::new(state.index()),
            state: Mutex::new(state),
            fault: watch::Sender::new(StoreFault::default()),
            gate,
            rate_limiter,
            repeated: Mutex::new(BTreeMap::new()),
        }
    }

    /// Carries out an operation and wakes the watchers when it changed something.
    pub(super) fn apply(&self, operation: StoreOperation) -> StoreOutcome {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = state.apply(operation, now);
        let index = state.index();
        drop(state);
        self.announce(index);
        outcome
    }

    /// Ends lapsed sessions; returns the time until the next one lapses.
    pub(super) fn expire(&self) -> Option<Duration> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire(now);
        let index = state.index();
        let next = state.next_lapse().map(|at| at.since(now));
        drop(state);
        self.announce(index);
        next
    }

    fn announce(&self, index: u64) {
        self.changed.send_if_modified(|announced| {
            let newer = index > *announced;
            if newer {
                *announced = index;
            }
            newer
        });
    }

    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(super) fn fault(&self) -> StoreFault {
        *self.fault.borrow()
    }

    pub(super) fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
        self.gate
            .set_shut(fault.down && fault.down_mode == DownMode::Refuse);
    }

    /// Waits until the faults are no longer such that `lasting` holds.
    pub(super) async fn wait_while(&self, lasting: impl Fn(&StoreFault) -> bool) {
        let mut faults = self.fault.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = faults.wait_for(|fault| !lasting(fault)).await;
    }

    /// Takes one of the write answers that are to be lost.
    pub(super) fn loses_write_answer(&self) -> bool {
        self.fault.send_if_modified(|fault| {
            let loses = fault.lose_next_write_answers > 0;
            fault.lose_next_write_answers = fault.lose_next_write_answers.saturating_sub(1);
            loses
        })
    }

    /// Whether the change with this index is still to be repeated to the watcher.
    pub(super) fn repeats(&self, watcher: &Watcher, index: u64) -> bool {
        let mut repeated = self.repeated.lock().unwrap_or_else(PoisonError::into_inner);
        repeated.insert(watcher.clone(), index) != Some(index)
    }

    pub(super) fn within_rate(&self) -> bool {
        self.rate_limiter
            .as_ref()
            .is_none_or(|limiter| limiter.check().is_ok())
    }
}
