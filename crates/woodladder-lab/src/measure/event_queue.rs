//! The virtual clock: events ordered by time, and by order of arrival within
//! one instant, so that a run never depends on anything but its seed.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

use woodladder_core::clock::Instant;

/// Events still to come, and the present instant.
#[derive(Debug)]
pub struct EventQueue<E> {
    now: Instant,
    next_number: u64,
    heap: BinaryHeap<Entry<E>>,
}

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    number: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            now: Instant::ORIGIN,
            next_number: 0,
            heap: BinaryHeap::new(),
        }
    }
}

impl<E> EventQueue<E> {
    /// The present instant: that of the event taken last.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.at(self.now + delay, event);
    }

    /// Schedules an event; an instant in the past means the present one.
    pub fn at(&mut self, at: Instant, event: E) {
        let entry = Entry {
            at: at.max(self.now),
            number: self.next_number,
            event,
        };
        self.next_number += 1;
        self.heap.push(entry);
    }

    /// Takes the next event and moves the clock to it.
    pub fn pop(&mut self) -> Option<E> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed, because the heap gives its greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
