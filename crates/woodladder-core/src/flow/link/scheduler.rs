//! Order and pace of the datagrams that leave over a link.
//!
//! When a link is sent more than its rate, it drops datagrams regardless of their class.
//! The scheduler sends no more than this rate. Small packets that their receivers wait
//! for go first; bulk datagrams are queued for at most
//! [`MAXIMUM_SCHEDULER_QUEUE_TIME`], and the packets of one flow keep their order. While
//! the link has room, every datagram is sent at once.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::DATAGRAM_HEADER_BYTES;
use crate::clock::Instant;
use crate::flow::identity::FlowKey;

/// Share of the link's rate that is used, in percent. The unused 1 percent has room for
/// one burst of [`MAXIMUM_BURST`] in every second, which is 0.4 percent of a second.
const PACED_PERCENT: u64 = 99;
/// Time by which the sent datagrams may run ahead of the link's rate, a few periods of
/// the node's timers (1 millisecond each), so that the link is not idle between two calls
/// of [`LinkScheduler::release`].
const MAXIMUM_BURST: Duration = Duration::from_millis(4);
/// Longest time for which a datagram is queued in the scheduler. Its sender retransmits
/// it after 200 milliseconds.
pub const MAXIMUM_SCHEDULER_QUEUE_TIME: Duration = Duration::from_millis(150);
/// Nanoseconds that one bit takes at one kilobit per second.
const NANOSECONDS_PER_BIT_AT_1_KBPS: u64 = 1_000_000;
/// Bits in a byte.
const BITS_PER_BYTE: u64 = 8;
/// Hundredths in a whole.
const PERCENT: u64 = 100;

/// Class of a datagram, which decides the order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TrafficClass {
    /// Sent first: small packets that their receivers wait for. These are openings,
    /// acknowledgements, requests that fit into one packet, resets, and messages between
    /// nodes.
    Priority,
    /// Sent last: packets of flows that send many bytes, and copies of packets that are
    /// sent for searches.
    Bulk,
}

/// Properties of a datagram that the scheduler needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatagramInfo {
    /// Length in bytes, without the headers of IP and UDP.
    pub length_bytes: usize,
    /// Flow whose packet the datagram carries, if any.
    pub flow: Option<FlowKey>,
    /// Class of the datagram.
    pub class: TrafficClass,
}

/// Counters of a scheduler since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerTotals {
    /// Datagrams that were queued.
    pub queued: u64,
    /// Datagrams dropped because they had been queued for too long.
    pub dropped_late: u64,
    /// Datagrams dropped because the queue was full.
    pub dropped_full: u64,
}

#[derive(Clone, Debug)]
struct QueuedDatagram<T> {
    datagram: T,
    info: DatagramInfo,
    queued_at: Instant,
}

/// The datagrams that are queued in front of one link.
#[derive(Clone, Debug)]
pub struct LinkScheduler<T> {
    /// Time that a byte takes at [`PACED_PERCENT`] of the link's rate, in nanoseconds.
    nanoseconds_per_byte: u64,
    /// When the link, used at [`PACED_PERCENT`] of its rate, will have sent all datagrams
    /// passed to it.
    busy_until: Instant,
    priority_queue: VecDeque<QueuedDatagram<T>>,
    bulk_queue: VecDeque<QueuedDatagram<T>>,
    /// Number of datagrams of each flow in the bulk queue.
    bulk_queue_flows: FxHashMap<FlowKey, u32>,
    queued_bytes: usize,
    max_queued_bytes: usize,
    totals: SchedulerTotals,
}

impl<T> LinkScheduler<T> {
    /// A scheduler for a link of this rate, in kilobits per second.
    #[must_use]
    pub fn new(link_rate_kbps: u32) -> Self {
        let paced_kbps = u64::from(link_rate_kbps.max(1)) * PACED_PERCENT / PERCENT;
        let nanoseconds_per_byte =
            BITS_PER_BYTE * NANOSECONDS_PER_BIT_AT_1_KBPS / paced_kbps.max(1);
        let max_queued_bytes =
            MAXIMUM_SCHEDULER_QUEUE_TIME.as_nanos() / u128::from(nanoseconds_per_byte.max(1));
        Self {
            nanoseconds_per_byte,
            busy_until: Instant::ORIGIN,
            priority_queue: VecDeque::new(),
            bulk_queue: VecDeque::new(),
            bulk_queue_flows: FxHashMap::default(),
            queued_bytes: 0,
            max_queued_bytes: usize::try_from(max_queued_bytes).unwrap_or(usize::MAX),
            totals: SchedulerTotals::default(),
        }
    }

    /// Accepts a datagram. Returns it if it is to be sent at once; otherwise the datagram
    /// is queued, or dropped because the queue is full.
    pub fn offer(&mut self, datagram: T, info: DatagramInfo, now: Instant) -> Option<T> {
        let follows_bulk = info
            .flow
            .is_some_and(|flow| self.bulk_queue_flows.contains_key(&flow));
        let joins_bulk_queue = follows_bulk || info.class == TrafficClass::Bulk;
        let must_wait = if joins_bulk_queue {
            !self.bulk_queue.is_empty() || !self.priority_queue.is_empty()
        } else {
            !self.priority_queue.is_empty()
        };
        if !must_wait && self.may_send(now) {
            self.advance_busy_until(&info, now);
            return Some(datagram);
        }
        let queued = QueuedDatagram {
            datagram,
            info,
            queued_at: now,
        };
        self.enqueue(queued, joins_bulk_queue, now);
        None
    }

    /// Removes the datagram that is to be sent now; `None` while the link is busy or
    /// nothing is queued.
    pub fn release(&mut self, now: Instant) -> Option<T> {
        self.drop_late(now);
        if !self.may_send(now) {
            return None;
        }
        let queued = match self.priority_queue.pop_front() {
            Some(queued) => queued,
            None => self.pop_bulk()?,
        };
        self.queued_bytes -= queued.info.length_bytes;
        self.advance_busy_until(&queued.info, now);
        Some(queued.datagram)
    }

    /// When [`Self::release`] is to be called next; `None` while nothing is queued.
    #[must_use]
    pub fn next_release(&self) -> Option<Instant> {
        if self.priority_queue.is_empty() && self.bulk_queue.is_empty() {
            return None;
        }
        let due = self.busy_until.since_origin().saturating_sub(MAXIMUM_BURST);
        Some(Instant::from_origin(due))
    }

    /// Size of the queued datagrams, in bytes.
    #[must_use]
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Counters since the start.
    #[must_use]
    pub fn totals(&self) -> SchedulerTotals {
        self.totals
    }

    /// Whether a datagram may be sent now: the link is occupied for at most
    /// [`MAXIMUM_BURST`].
    fn may_send(&self, now: Instant) -> bool {
        self.busy_until <= now + MAXIMUM_BURST
    }

    /// Moves `busy_until` by the time that the datagram takes on the link.
    fn advance_busy_until(&mut self, info: &DatagramInfo, now: Instant) {
        let bytes = u64::try_from(info.length_bytes + DATAGRAM_HEADER_BYTES).unwrap_or(u64::MAX);
        let time = Duration::from_nanos(bytes.saturating_mul(self.nanoseconds_per_byte));
        self.busy_until = self.busy_until.max(now) + time;
    }

    fn enqueue(&mut self, queued: QueuedDatagram<T>, joins_bulk_queue: bool, now: Instant) {
        self.drop_late(now);
        let length = queued.info.length_bytes;
        loop {
            let is_full = self.queued_bytes + length > self.max_queued_bytes;
            if joins_bulk_queue || !is_full || !self.drop_newest_bulk() {
                break;
            }
        }
        if self.queued_bytes + length > self.max_queued_bytes {
            self.totals.dropped_full += 1;
            return;
        }
        self.totals.queued += 1;
        self.queued_bytes += length;
        if joins_bulk_queue {
            if let Some(flow) = queued.info.flow {
                *self.bulk_queue_flows.entry(flow).or_default() += 1;
            }
            self.bulk_queue.push_back(queued);
        } else {
            self.priority_queue.push_back(queued);
        }
    }

    fn drop_late(&mut self, now: Instant) {
        let is_late = |queued: &QueuedDatagram<T>| {
            now.since(queued.queued_at) >= MAXIMUM_SCHEDULER_QUEUE_TIME
        };
        while self.priority_queue.front().is_some_and(is_late) {
            if let Some(late) = self.priority_queue.pop_front() {
                self.queued_bytes -= late.info.length_bytes;
                self.totals.dropped_late += 1;
            }
        }
        while self.bulk_queue.front().is_some_and(is_late) {
            if let Some(late) = self.pop_bulk() {
                self.queued_bytes -= late.info.length_bytes;
                self.totals.dropped_late += 1;
            }
        }
    }

    fn pop_bulk(&mut self) -> Option<QueuedDatagram<T>> {
        let queued = self.bulk_queue.pop_front()?;
        self.uncount_bulk_queue_flow(&queued);
        Some(queued)
    }

    /// Drops the newest bulk datagram to make room for a priority one, and returns
    /// whether there was one. The newest is chosen because a sender also
    /// retransmits the datagrams that follow a dropped one in its flow.
    fn drop_newest_bulk(&mut self) -> bool {
        let Some(dropped) = self.bulk_queue.pop_back() else {
            return false;
        };
        self.uncount_bulk_queue_flow(&dropped);
        self.queued_bytes -= dropped.info.length_bytes;
        self.totals.dropped_full += 1;
        true
    }

    fn uncount_bulk_queue_flow(&mut self, queued: &QueuedDatagram<T>) {
        let Some(flow) = queued.info.flow else {
            return;
        };
        if let Some(count) = self.bulk_queue_flows.get_mut(&flow) {
            *count -= 1;
            if *count == 0 {
                self.bulk_queue_flows.remove(&flow);
            }
        }
    }
}
