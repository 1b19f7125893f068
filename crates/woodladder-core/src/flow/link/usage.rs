//! Use of a machine's link in one direction, over the last second, with a resolution of
//! an eighth of a second.

use std::time::Duration;

use crate::clock::Instant;

/// Number of buckets in the window.
const BUCKETS: usize = 8;
/// Length of one bucket.
const BUCKET_LENGTH: Duration = Duration::from_millis(125);
/// Bits in a byte.
const BITS_PER_BYTE: u64 = 8;

/// Bytes that were transferred over the link in a sliding window of one second.
#[derive(Clone, Debug, Default)]
pub struct LinkUsage {
    bucket_bytes: [u64; BUCKETS],
    /// Number of the bucket written last, counted from the clock's origin.
    latest_bucket_number: u64,
}

impl LinkUsage {
    /// Counts bytes.
    pub fn add(&mut self, length: usize, now: Instant) {
        self.advance(now);
        let bucket = self.latest_bucket_number % (BUCKETS as u64);
        self.bucket_bytes[usize::try_from(bucket).unwrap_or(0)] +=
            u64::try_from(length).unwrap_or(u64::MAX);
    }

    /// Mean rate over the window, in kilobits per second.
    #[must_use]
    pub fn rate_kbps(&self, now: Instant) -> u64 {
        let mut current = self.clone();
        current.advance(now);
        let window = BUCKET_LENGTH * u32::try_from(BUCKETS).unwrap_or(1);
        let bytes: u64 = current.bucket_bytes.iter().sum();
        bytes * BITS_PER_BYTE / u64::try_from(window.as_millis()).unwrap_or(1)
    }

    fn advance(&mut self, now: Instant) {
        let number = u64::try_from(now.since_origin().as_millis() / BUCKET_LENGTH.as_millis())
            .unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.latest_bucket_number);
        if passed >= BUCKETS as u64 {
            self.bucket_bytes = [0; BUCKETS];
        } else {
            for step in 1..=passed {
                let bucket = (self.latest_bucket_number + step) % (BUCKETS as u64);
                self.bucket_bytes[usize::try_from(bucket).unwrap_or(0)] = 0;
            }
        }
        self.latest_bucket_number = self.latest_bucket_number.max(number);
    }
}
