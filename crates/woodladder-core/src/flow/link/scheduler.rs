//! Order and pace of the datagrams that leave over a link.
//!
//! A link that is handed more than it carries loses datagrams, whichever they are.
//! The scheduler hands over no more than the link's rate: small packets that others
//! wait for go first, bulk waits for as long as it is of use, and the packets of one
//! flow keep their order. While the link has room, every datagram passes at once.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::LINK_HEADER;
use crate::clock::Instant;
use crate::flow::identity::FlowKey;

/// Share of the link's rate that is used, in percent: the rest covers what a burst
/// adds within a second.
const PACED_PERCENT: u64 = 99;
/// How far ahead of its rate the link may be handed datagrams: some of the shell's
/// timers.
const BURST: Duration = Duration::from_millis(4);
/// Longest wait of a datagram. Its sender repeats it after 200 milliseconds.
pub const LONGEST_QUEUED: Duration = Duration::from_millis(150);
/// Nanoseconds that one bit takes at one kilobit a second.
const BIT_AT_A_KILOBIT: u64 = 1_000_000;
/// Bits in a byte.
const BITS: u64 = 8;
/// Hundredths in a whole.
const PERCENT: u64 = 100;

/// Which datagrams go first.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TrafficClass {
    /// Small packets that others wait for: openings, acknowledgements, requests that
    /// fit in a packet, resets, messages between nodes.
    Priority,
    /// Packets of flows that bring many bytes, and copies of packets of searches.
    Bulk,
}

/// A datagram's place among the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatagramInfo {
    /// Bytes, without the headers of the network.
    pub length_bytes: usize,
    /// Flow whose packet it carries, if any.
    pub flow: Option<FlowKey>,
    /// Whether it goes first.
    pub class: TrafficClass,
}

/// Running totals.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SchedulerTotals {
    /// Datagrams that waited.
    pub queued: u64,
    /// Datagrams dropped because they had waited for too long.
    pub dropped_late: u64,
    /// Datagrams dropped because the queue was full.
    pub dropped_full: u64,
}

#[derive(Clone, Debug)]
struct Queued<T> {
    datagram: T,
    placement: DatagramInfo,
    since: Instant,
}

/// The datagrams that wait to leave over one link.
#[derive(Clone, Debug)]
pub struct LinkScheduler<T> {
    /// Nanoseconds that a byte takes.
    byte_time: u64,
    /// When the link has sent everything that it was handed.
    busy_until: Instant,
    urgent: VecDeque<Queued<T>>,
    bulk: VecDeque<Queued<T>>,
    /// Datagrams of each flow that wait in the bulk queue.
    waiting_flows: FxHashMap<FlowKey, u32>,
    queued_bytes: usize,
    most_bytes: usize,
    totals: SchedulerTotals,
}

impl<T> LinkScheduler<T> {
    /// A scheduler for a link of this rate, in kilobits a second.
    #[must_use]
    pub fn new(link_rate: u32) -> Self {
        let paced = u64::from(link_rate.max(1)) * PACED_PERCENT / PERCENT;
        let byte_time = BITS * BIT_AT_A_KILOBIT / paced.max(1);
        let most_bytes = LONGEST_QUEUED.as_nanos() / u128::from(byte_time.max(1));
        Self {
            byte_time,
            busy_until: Instant::ORIGIN,
            urgent: VecDeque::new(),
            bulk: VecDeque::new(),
            waiting_flows: FxHashMap::default(),
            queued_bytes: 0,
            most_bytes: usize::try_from(most_bytes).unwrap_or(usize::MAX),
            totals: SchedulerTotals::default(),
        }
    }

    /// Takes a datagram that is to leave. It is given back when it is to be sent at
    /// once; otherwise it waits, or is dropped because the queue is full.
    pub fn offer(&mut self, datagram: T, placement: DatagramInfo, now: Instant) -> Option<T> {
        let follows_bulk = placement
            .flow
            .is_some_and(|flow| self.waiting_flows.contains_key(&flow));
        let waits_in_bulk = follows_bulk || placement.class == TrafficClass::Bulk;
        let must_wait = if waits_in_bulk {
            !self.bulk.is_empty() || !self.urgent.is_empty()
        } else {
            !self.urgent.is_empty()
        };
        if !must_wait && self.has_room(now) {
            self.charge(&placement, now);
            return Some(datagram);
        }
        let queued = Queued {
            datagram,
            placement,
            since: now,
        };
        self.queue(queued, waits_in_bulk, now);
        None
    }

    /// The next datagram that is to be sent now.
    pub fn release(&mut self, now: Instant) -> Option<T> {
        self.drop_late(now);
        if !self.has_room(now) {
            return None;
        }
        let queued = match self.urgent.pop_front() {
            Some(queued) => queued,
            None => self.pop_bulk()?,
        };
        self.queued_bytes -= queued.placement.length_bytes;
        self.charge(&queued.placement, now);
        Some(queued.datagram)
    }

    /// When [`Self::release`] is to be called next; `None` while nothing waits.
    #[must_use]
    pub fn next_release(&self) -> Option<Instant> {
        if self.urgent.is_empty() && self.bulk.is_empty() {
            return None;
        }
        let due = self.busy_until.since_origin().saturating_sub(BURST);
        Some(Instant::from_origin(due))
    }

    /// Bytes that wait.
    #[must_use]
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Running totals.
    #[must_use]
    pub fn totals(&self) -> SchedulerTotals {
        self.totals
    }

    fn has_room(&self, now: Instant) -> bool {
        self.busy_until <= now + BURST
    }

    fn charge(&mut self, placement: &DatagramInfo, now: Instant) {
        let bytes = u64::try_from(placement.length_bytes + LINK_HEADER).unwrap_or(u64::MAX);
        let time = Duration::from_nanos(bytes.saturating_mul(self.byte_time));
        self.busy_until = self.busy_until.max(now) + time;
    }

    fn queue(&mut self, queued: Queued<T>, waits_in_bulk: bool, now: Instant) {
        self.drop_late(now);
        let length = queued.placement.length_bytes;
        loop {
            let is_full = self.queued_bytes + length > self.most_bytes;
            if waits_in_bulk || !is_full || !self.drop_newest_bulk() {
                break;
            }
        }
        if self.queued_bytes + length > self.most_bytes {
            self.totals.dropped_full += 1;
            return;
        }
        self.totals.queued += 1;
        self.queued_bytes += length;
        if waits_in_bulk {
            if let Some(flow) = queued.placement.flow {
                *self.waiting_flows.entry(flow).or_default() += 1;
            }
            self.bulk.push_back(queued);
        } else {
            self.urgent.push_back(queued);
        }
    }

    fn drop_late(&mut self, now: Instant) {
        let is_late = |queued: &Queued<T>| now.since(queued.since) >= LONGEST_QUEUED;
        while self.urgent.front().is_some_and(is_late) {
            if let Some(late) = self.urgent.pop_front() {
                self.queued_bytes -= late.placement.length_bytes;
                self.totals.dropped_late += 1;
            }
        }
        while self.bulk.front().is_some_and(is_late) {
            if let Some(late) = self.pop_bulk() {
                self.queued_bytes -= late.placement.length_bytes;
                self.totals.dropped_late += 1;
            }
        }
    }

    fn pop_bulk(&mut self) -> Option<Queued<T>> {
        let queued = self.bulk.pop_front()?;
        self.forget_waiting(&queued);
        Some(queued)
    }

    /// Makes room for an urgent datagram; says whether there was one to drop. The
    /// newest goes, as what follows a gap in a flow is sent again anyway.
    fn drop_newest_bulk(&mut self) -> bool {
        let Some(dropped) = self.bulk.pop_back() else {
            return false;
        };
        self.forget_waiting(&dropped);
        self.queued_bytes -= dropped.placement.length_bytes;
        self.totals.dropped_full += 1;
        true
    }

    fn forget_waiting(&mut self, queued: &Queued<T>) {
        let Some(flow) = queued.placement.flow else {
            return;
        };
        if let Some(count) = self.waiting_flows.get_mut(&flow) {
            *count -= 1;
            if *count == 0 {
                self.waiting_flows.remove(&flow);
            }
        }
    }
}
