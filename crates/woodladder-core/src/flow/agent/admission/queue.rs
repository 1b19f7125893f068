//! Openings that wait at the agent until the target can begin with them.
//!
//! A target works through its own queue from the front, so after a surge every
//! request in it is late. Openings wait here instead: nothing of them has run,
//! and the agent can choose. Those whose requests can still be answered in time
//! go first, and among these the ones of routes that matter more; late ones
//! get what is left.
//!
//! Where requests on open flows wait, too, [`crate::flow::agent::admission::order`]
//! chooses among openings and requests together, with its own order within a group and
//! its share for work that is not urgent. Otherwise [`AdmissionQueue::take_next`] chooses:
//! within a group the newest goes first, so that a surge that is over makes nobody late
//! who came after it.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::order::WorkGroup;
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::message::ForwardHeader;
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

/// Most openings that wait at one agent.
pub const CAPACITY: usize = 128;
/// Age at which an opening is given up. The caller's attempt ends soon after.
pub const LONGEST_WAIT: Duration = Duration::from_millis(1200);

/// An opening that waits.
#[derive(Clone, Debug)]
pub(crate) struct QueuedOpening {
    /// Balancer that sent it.
    pub balancer: NodeAddress,
    /// What the balancer said with it.
    pub header: ForwardHeader,
    /// The opening.
    pub packet: FlowPacket,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// When the caller first sent it.
    pub first_sent: Instant,
    /// Time from then in which its request should be answered.
    pub aim: Duration,
    /// Time from then after which an answer is of no use any more.
    pub timeout: Duration,
    /// Whether its route matters more than another of the same service.
    pub is_urgent: bool,
    /// When it began to wait.
    pub queued_at: Instant,
}

/// Openings that wait at one agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionQueue {
    openings: Vec<QueuedOpening>,
}

impl QueuedOpening {
    /// What promises are about.
    pub fn decided(&self, now: Instant) -> DecidedOpening {
        DecidedOpening {
            age: now.since(self.first_sent),
            timeout: self.timeout,
            is_urgent: self.is_urgent,
        }
    }

    fn is_vain(&self, expected: Duration, now: Instant) -> bool {
        let age = now.since(self.first_sent);
        age >= LONGEST_WAIT || age + expected >= self.timeout
    }

    fn group(&self, expected: Duration, now: Instant) -> WorkGroup {
        let is_in_time = now.since(self.first_sent) + expected <= self.aim;
        WorkGroup::of(is_in_time, self.is_urgent)
    }
}

impl AdmissionQueue {
    /// Openings that wait.
    pub fn len(&self) -> usize {
        self.openings.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }

    /// Whether no further one may wait.
    pub fn is_full(&self) -> bool {
        self.openings.len() >= CAPACITY
    }

    /// Whether a flow's opening waits.
    pub fn contains(&self, key: &FlowKey) -> bool {
        self.openings
            .iter()
            .any(|opening| opening.packet.key == *key)
    }

    /// Whether an opening of a more urgent route waits that can still be in time, when an
    /// answer is expected as long after an opening is handed to the target as `expected`
    /// says.
    pub fn has_urgent_in_time(
        &self,
        expected: impl Fn(&FlowKey) -> Duration,
        now: Instant,
    ) -> bool {
        self.openings.iter().any(|opening| {
            opening.group(expected(&opening.packet.key), now) == WorkGroup::InTimeUrgent
        })
    }

    /// Adds an opening.
    pub fn push(&mut self, opening: QueuedOpening) {
        self.openings.push(opening);
    }

    /// Takes the opening that is to be served next, when an answer is expected
    /// this long after it is handed to the target and requests on open flows do not wait.
    pub fn take_next(&mut self, expected: Duration, now: Instant) -> Option<QueuedOpening> {
        let best = self
            .openings
            .iter()
            .enumerate()
            .max_by_key(|(_, opening)| (opening.group(expected, now), opening.first_sent))
            .map(|(index, _)| index)?;
        Some(self.openings.swap_remove(best))
    }

    /// Takes the openings that have waited for as long as they may, or whose answers
    /// would come too late to be of use, when one is expected as long after an
    /// opening is handed to the target as `expected` says.
    pub fn take_expired(
        &mut self,
        expected: impl Fn(&FlowKey) -> Duration,
        now: Instant,
    ) -> Vec<QueuedOpening> {
        self.openings
            .extract_if(.., |opening| {
                opening.is_vain(expected(&opening.packet.key), now)
            })
            .collect()
    }

    /// The openings that wait.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedOpening> {
        self.openings.iter()
    }

    /// Takes the opening at a place among [`Self::iter`].
    pub fn take(&mut self, place: usize) -> Option<QueuedOpening> {
        (place < self.openings.len()).then(|| self.openings.swap_remove(place))
    }

    /// Takes all openings.
    pub fn take_all(&mut self) -> Vec<QueuedOpening> {
        std::mem::take(&mut self.openings)
    }
}
