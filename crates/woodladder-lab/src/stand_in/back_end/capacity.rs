//! Bounded count of things in use: slots and open requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Debug)]
pub(super) struct Capacity {
    limit: usize,
    used: AtomicUsize,
}

/// One unit in use, given back when dropped.
#[derive(Debug)]
pub(super) struct Lease {
    capacity: Arc<Capacity>,
}

impl Capacity {
    pub(super) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    pub(super) fn limit(&self) -> usize {
        self.limit
    }

    pub(super) fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    pub(super) fn take(self: &Arc<Self>) -> Option<Lease> {
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                (used < self.limit).then_some(used + 1)
            })
            .ok()?;
        Some(Lease {
            capacity: Arc::clone(self),
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.capacity.used.fetch_sub(1, Ordering::AcqRel);
    }
}
