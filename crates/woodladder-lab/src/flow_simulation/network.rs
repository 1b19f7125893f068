//! Messages under way, and the machines between which none pass.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::flow::identity::NodeAddress;

/// Share of datagrams that are lost.
const LOSS: f64 = 0.01;

/// Events in the order of their times; equal times in the order of their
/// scheduling.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    events: Vec<Option<E>>,
    scheduled: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: Vec::new(),
            scheduled: 0,
        }
    }

    /// Schedules an event.
    pub fn push(&mut self, at: Instant, event: E) {
        self.events.push(Some(event));
        self.heap
            .push(Reverse((at, self.scheduled, self.events.len() - 1)));
        self.scheduled += 1;
    }

    /// The next event.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        let Reverse((at, _, index)) = self.heap.pop()?;
        let event = self.events.get_mut(index)?.take()?;
        Some((at, event))
    }
}

/// Delay and loss of datagrams.
#[derive(Debug, Default)]
pub struct Links {
    cut: BTreeSet<NodeAddress>,
}

impl Links {
    /// Cuts a machine off from all others.
    pub fn cut(&mut self, machine: NodeAddress) {
        self.cut.insert(machine);
    }

    /// Ends a cut.
    pub fn heal(&mut self, machine: NodeAddress) {
        self.cut.remove(&machine);
    }

    /// When a datagram arrives, or `None` when it is lost.
    pub fn arrival(
        &self,
        from: NodeAddress,
        to: NodeAddress,
        now: Instant,
        random: &mut ChaCha8Rng,
    ) -> Option<Instant> {
        let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
        if is_cut || random.random_bool(LOSS) {
            return None;
        }
        Some(now + Duration::from_micros(random.random_range(100..2500)))
    }
}
