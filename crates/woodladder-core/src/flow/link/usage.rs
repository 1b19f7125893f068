//! Use of a machine's link in one direction, over the last second, to an eighth of
//! a second.

use std::time::Duration;

use crate::clock::Instant;

/// Parts of the window.
const SLOTS: usize = 8;
/// Length of one part.
const SLOT: Duration = Duration::from_millis(125);
/// Bits in a byte.
const BITS: u64 = 8;

/// Bytes that went over the link in a sliding window of one second.
#[derive(Clone, Debug, Default)]
pub struct LinkUsage {
    slots: [u64; SLOTS],
    /// Number of the slot written last, counted from the clock's origin.
    latest: u64,
}

impl LinkUsage {
    /// Counts bytes.
    pub fn add(&mut self, length: usize, now: Instant) {
        self.advance(now);
        let slot = self.latest % (SLOTS as u64);
        self.slots[usize::try_from(slot).unwrap_or(0)] += u64::try_from(length).unwrap_or(u64::MAX);
    }

    /// Mean rate over the window, in kilobits a second.
    #[must_use]
    pub fn rate(&self, now: Instant) -> u64 {
        let mut current = self.clone();
        current.advance(now);
        let window = SLOT * u32::try_from(SLOTS).unwrap_or(1);
        let bytes: u64 = current.slots.iter().sum();
        bytes * BITS / u64::try_from(window.as_millis()).unwrap_or(1)
    }

    fn advance(&mut self, now: Instant) {
        let number =
            u64::try_from(now.since_origin().as_millis() / SLOT.as_millis()).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.latest);
        if passed >= SLOTS as u64 {
            self.slots = [0; SLOTS];
        } else {
            for step in 1..=passed {
                let slot = (self.latest + step) % (SLOTS as u64);
                self.slots[usize::try_from(slot).unwrap_or(0)] = 0;
            }
        }
        self.latest = self.latest.max(number);
    }
}
