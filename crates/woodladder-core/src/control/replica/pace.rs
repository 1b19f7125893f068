//! A token bucket over bytes.

use std::time::Duration;

use crate::clock::Instant;

const NANOSECONDS: u64 = 1_000_000_000;

/// Allows a mean of so many bytes a second, and one second's worth at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    bytes_per_second: u64,
    available: u64,
    refilled: Instant,
}

impl Pace {
    /// A full bucket.
    pub(super) fn new(bytes_per_second: u32, now: Instant) -> Self {
        let bytes_per_second = u64::from(bytes_per_second.max(1));
        Self {
            bytes_per_second,
            available: bytes_per_second,
            refilled: now,
        }
    }

    /// Takes bytes if they are available. More than the bucket holds counts as
    /// all that it holds, so that nothing waits for ever.
    pub(super) fn take(&mut self, bytes: usize, now: Instant) -> bool {
        self.refill(now);
        let wanted = self.bounded(bytes);
        if wanted > self.available {
            return false;
        }
        self.available -= wanted;
        true
    }

    /// Gives back bytes that were taken and not used.
    pub(super) fn give_back(&mut self, bytes: usize) {
        let available = self.available.saturating_add(bytes as u64);
        self.available = available.min(self.bytes_per_second);
    }

    /// When so many bytes will be available.
    pub(super) fn available_at(&self, bytes: usize) -> Instant {
        let missing = self.bounded(bytes).saturating_sub(self.available);
        let nanoseconds = missing.saturating_mul(NANOSECONDS) / self.bytes_per_second;
        self.refilled + Duration::from_nanos(nanoseconds + 1)
    }

    fn bounded(&self, bytes: usize) -> u64 {
        (bytes as u64).min(self.bytes_per_second)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = u64::try_from(now.since(self.refilled).as_nanos()).unwrap_or(u64::MAX);
        let gained = elapsed.saturating_mul(self.bytes_per_second) / NANOSECONDS;
        if gained == 0 {
            return;
        }
        self.available = self
            .available
            .saturating_add(gained)
            .min(self.bytes_per_second);
        self.refilled = now;
    }
}
