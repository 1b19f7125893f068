//! Token bucket that limits a rate in bytes per second.

use std::time::Duration;

use crate::clock::Instant;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;

/// Allows a mean rate, and a burst of as many bytes as the rate allows in one
/// second.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    bytes_per_second: u64,
    available_bytes: u64,
    last_refill: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(bytes_per_second: u32, now: Instant) -> Self {
        let bytes_per_second = u64::from(bytes_per_second.max(1));
        Self {
            bytes_per_second,
            available_bytes: bytes_per_second,
            last_refill: now,
        }
    }

    /// Takes bytes from the bucket and returns whether they were available. A
    /// request for more than the capacity counts as a request for the whole
    /// capacity, so that it is granted eventually.
    pub(super) fn take(&mut self, bytes: usize, now: Instant) -> bool {
        self.refill(now);
        let needed_bytes = self.limited_to_capacity(bytes);
        if needed_bytes > self.available_bytes {
            return false;
        }
        self.available_bytes -= needed_bytes;
        true
    }

    /// Returns bytes that were taken and not used.
    pub(super) fn give_back(&mut self, bytes: usize) {
        let available_bytes = self.available_bytes.saturating_add(bytes as u64);
        self.available_bytes = available_bytes.min(self.bytes_per_second);
    }

    /// When [`TokenBucket::take`] will grant this many bytes, if no others are
    /// taken until then.
    pub(super) fn available_at(&self, bytes: usize) -> Instant {
        let missing_bytes = self
            .limited_to_capacity(bytes)
            .saturating_sub(self.available_bytes);
        let nanoseconds =
            missing_bytes.saturating_mul(NANOSECONDS_PER_SECOND) / self.bytes_per_second;
        self.last_refill + Duration::from_nanos(nanoseconds + 1)
    }

    fn limited_to_capacity(&self, bytes: usize) -> u64 {
        (bytes as u64).min(self.bytes_per_second)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = u64::try_from(now.since(self.last_refill).as_nanos()).unwrap_or(u64::MAX);
        let refilled_bytes = elapsed.saturating_mul(self.bytes_per_second) / NANOSECONDS_PER_SECOND;
        if refilled_bytes == 0 {
            return;
        }
        self.available_bytes = self
            .available_bytes
            .saturating_add(refilled_bytes)
            .min(self.bytes_per_second);
        self.last_refill = now;
    }
}
