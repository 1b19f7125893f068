//! Slots of the back end and the bounded queue for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use super::counters::GaugeGuard;
use super::outcome::NotRunReason;

/// Slots and queue of one back end.
#[derive(Debug)]
pub(super) struct Slots {
    free: Arc<Semaphore>,
    connections: Arc<Semaphore>,
    slots: usize,
    queue_limit: usize,
    queued: AtomicUsize,
}

/// Holds a slot and a connection of the back end.
#[derive(Debug)]
pub(super) struct SlotGuard {
    slot: Option<OwnedSemaphorePermit>,
    _connection: OwnedSemaphorePermit,
}

impl Slots {
    pub(super) fn new(slots: usize, queue_limit: usize, connections: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(slots)),
            connections: Arc::new(Semaphore::new(connections)),
            slots,
            queue_limit,
            queued: AtomicUsize::new(0),
        }
    }

    /// Waits for a slot until the deadline; fails at once when too many wait.
    pub(super) async fn acquire(&self, deadline: Instant) -> Result<SlotGuard, NotRunReason> {
        let connection = Arc::clone(&self.connections)
            .try_acquire_owned()
            .map_err(|_| NotRunReason::ConnectionLimit)?;
        let slot = self.acquire_slot(deadline).await?;
        Ok(SlotGuard {
            slot: Some(slot),
            _connection: connection,
        })
    }

    pub(super) fn busy(&self) -> usize {
        self.slots.saturating_sub(self.free.available_permits())
    }

    pub(super) fn queued(&self) -> usize {
        self.queued.load(Ordering::Acquire)
    }

    pub(super) fn count(&self) -> usize {
        self.slots
    }

    async fn acquire_slot(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, NotRunReason> {
        if let Ok(slot) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(slot);
        }
        if self.queued() >= self.queue_limit {
            return Err(NotRunReason::QueueFull);
        }
        let _waiting = GaugeGuard::new(&self.queued);
        let waited = timeout_at(deadline, Arc::clone(&self.free).acquire_owned()).await;
        match waited {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(NotRunReason::Draining),
            Err(_) => Err(NotRunReason::DeadlinePassed),
        }
    }
}

impl SlotGuard {
    /// Gives the slot back and keeps the connection: the answer is a feed.
    pub(super) fn release_slot(&mut self) {
        self.slot = None;
    }
}
