//! How much a balancer can afford of the work that searches make.

use std::time::Duration;

use crate::clock::Instant;

/// Processor that one question and its answer take, in microseconds: two datagrams.
const QUESTION_TAKES_US: f64 = 30.0;
/// Part of the processor that questions may take. They are many only when nearly no flow
/// is known, after a loss of everything; packets of known flows keep the rest.
const PART_FOR_QUESTIONS: f64 = 0.8;
/// Part of the link that lists of flows may take.
const PART_FOR_LISTS: f64 = 0.05;
/// Part of the link that packets handed to agents that cannot tell may take.
const PART_FOR_PACKETS: f64 = 0.4;
/// Rate taken for a link whose rate is not known, in kilobits a second.
const UNKNOWN_LINK_RATE: u32 = 10_000;
/// Bytes a second in one kilobit a second.
const BYTES_IN_KILOBIT: f64 = 125.0;
/// Microseconds in a second, by thousandths of a core.
const MICROSECONDS_A_THOUSANDTH: f64 = 1000.0;
/// Time whose work may be done at once.
const BURST: Duration = Duration::from_millis(100);

/// Work that may still be done. A round may overdraw it; the next one waits until that
/// is made good.
#[derive(Clone, Debug)]
pub struct WorkBudget {
    a_second: f64,
    left: f64,
    refilled_at: Instant,
}

impl WorkBudget {
    /// Questions that a processor bears, given in thousandths of a core.
    #[must_use]
    pub fn for_queries(capacity: u32, now: Instant) -> Self {
        let share = f64::from(capacity) * MICROSECONDS_A_THOUSANDTH * PART_FOR_QUESTIONS;
        Self::of_rate(share / QUESTION_TAKES_US, now)
    }

    /// Bytes of lists that a link bears, given in kilobits a second.
    #[must_use]
    pub fn of_list_bytes(link_rate: Option<u32>, now: Instant) -> Self {
        let rate = f64::from(link_rate.unwrap_or(UNKNOWN_LINK_RATE));
        Self::of_rate(rate * BYTES_IN_KILOBIT * PART_FOR_LISTS, now)
    }

    /// Bytes of callers' packets that a link bears for searches, given in kilobits a
    /// second.
    #[must_use]
    pub fn of_packet_bytes(link_rate: Option<u32>, now: Instant) -> Self {
        let rate = f64::from(link_rate.unwrap_or(UNKNOWN_LINK_RATE));
        Self::of_rate(rate * BYTES_IN_KILOBIT * PART_FOR_PACKETS, now)
    }

    fn of_rate(a_second: f64, now: Instant) -> Self {
        Self {
            a_second,
            left: a_second * BURST.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Whether more may be done now.
    pub fn has_remaining(&mut self, now: Instant) -> bool {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let most = self.a_second * BURST.as_secs_f64();
        self.left = (self.left + passed * self.a_second).min(most);
        self.left > 0.0
    }

    /// So much was done.
    pub fn spend(&mut self, amount: u32) {
        self.left -= f64::from(amount);
    }
}
