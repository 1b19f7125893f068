//! Events in the order of a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use woodladder_core::clock::Instant;

/// Events that are due later; events of one instant keep their order.
#[derive(Debug)]
pub(super) struct EventQueue<T> {
    events: BinaryHeap<Reverse<Queued<T>>>,
    order: u64,
}

/// An event with its time.
#[derive(Debug)]
pub(super) struct Queued<T> {
    /// When the event is due.
    pub(super) at: Instant,
    order: u64,
    /// The event.
    pub(super) event: T,
}

impl<T> EventQueue<T> {
    /// A queue without events.
    pub(super) fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            order: 0,
        }
    }

    /// Adds an event.
    pub(super) fn push(&mut self, at: Instant, event: T) {
        self.order += 1;
        let order = self.order;
        self.events.push(Reverse(Queued { at, order, event }));
    }

    /// Takes the next event that is due at `end` or before.
    pub(super) fn pop_until(&mut self, end: Instant) -> Option<Queued<T>> {
        let Reverse(next) = self.events.peek()?;
        if next.at > end {
            return None;
        }
        self.events.pop().map(|Reverse(queued)| queued)
    }
}

impl<T> PartialEq for Queued<T> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<T> Eq for Queued<T> {}

impl<T> PartialOrd for Queued<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Queued<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
