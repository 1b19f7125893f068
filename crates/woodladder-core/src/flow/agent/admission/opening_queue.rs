//! Queue of openings that wait until the target can begin with their requests.
//!
//! A target serves its own queue in order of arrival, so that after a surge every request
//! in that queue is late. Openings wait at the agent instead, before the target has
//! received anything of them, and the agent can choose among them. Openings whose
//! requests can still be answered in time go first, and among these the ones of urgent
//! routes; late ones get the remaining slots.
//!
//! Where requests on open flows are queued, too,
//! [`crate::flow::agent::admission::serving_order`] chooses among openings and requests
//! together, with its own order within a group and its share for less urgent work.
//! Otherwise [`OpeningQueue::take_next`] chooses: within a group the newest goes first,
//! so that a surge that has ended does not delay openings that arrived after it.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::serving_order::WorkGroup;
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::message::ForwardHeader;
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

/// Maximum number of openings that are queued at one agent.
pub const MAXIMUM_QUEUED_OPENINGS: usize = 128;
/// Age, counted from the caller's first sending, at which an opening is given up. The
/// caller's attempt ends soon after.
pub const MAXIMUM_OPENING_AGE: Duration = Duration::from_millis(1200);

/// A queued opening.
#[derive(Clone, Debug)]
pub(crate) struct QueuedOpening {
    /// Balancer that sent the opening.
    pub balancer: NodeAddress,
    /// Header that the balancer sent with the opening.
    pub header: ForwardHeader,
    /// The parsed opening.
    pub packet: FlowPacket,
    /// The opening as received.
    pub bytes: Vec<u8>,
    /// When the caller first sent the opening.
    pub first_sent: Instant,
    /// Desired time from `first_sent` to the answer to the opening's request.
    pub aim: Duration,
    /// Time from `first_sent` after which an answer is of no use any more.
    pub timeout: Duration,
    /// Whether the opening's route has a higher priority than another route of the same
    /// service.
    pub is_urgent: bool,
    /// When the opening was queued.
    pub queued_at: Instant,
}

/// Openings that are queued at one agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpeningQueue {
    openings: Vec<QueuedOpening>,
}

impl QueuedOpening {
    /// Properties of the opening that
    /// [`PromiseWatch`](crate::flow::promises::PromiseWatch) evaluates.
    pub fn promise_input(&self, now: Instant) -> DecidedOpening {
        DecidedOpening {
            age: now.since(self.first_sent),
            timeout: self.timeout,
            is_urgent: self.is_urgent,
        }
    }

    fn is_expired(&self, expected_time: Duration, now: Instant) -> bool {
        let age = now.since(self.first_sent);
        age >= MAXIMUM_OPENING_AGE || age + expected_time >= self.timeout
    }

    fn group(&self, expected_time: Duration, now: Instant) -> WorkGroup {
        let is_in_time = now.since(self.first_sent) + expected_time <= self.aim;
        WorkGroup::from_flags(is_in_time, self.is_urgent)
    }
}

impl OpeningQueue {
    /// Number of queued openings.
    pub fn len(&self) -> usize {
        self.openings.len()
    }

    /// Whether no opening is queued.
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }

    /// Whether the queue has no room for a further opening.
    pub fn is_full(&self) -> bool {
        self.openings.len() >= MAXIMUM_QUEUED_OPENINGS
    }

    /// Whether an opening of the flow is queued.
    pub fn contains(&self, key: &FlowKey) -> bool {
        self.openings
            .iter()
            .any(|opening| opening.packet.key == *key)
    }

    /// Whether an opening of an urgent route is queued that can still be answered within
    /// its aim. `expected_time` gives the expected time from the delivery of a flow's
    /// opening to the answer.
    pub fn has_urgent_in_time(
        &self,
        expected_time: impl Fn(&FlowKey) -> Duration,
        now: Instant,
    ) -> bool {
        self.openings.iter().any(|opening| {
            opening.group(expected_time(&opening.packet.key), now) == WorkGroup::InTimeUrgent
        })
    }

    /// Adds an opening.
    pub fn push(&mut self, opening: QueuedOpening) {
        self.openings.push(opening);
    }

    /// Removes the opening that is to be served next where requests on open flows are not
    /// queued. `expected_time` is the expected time from delivery to the answer.
    pub fn take_next(&mut self, expected_time: Duration, now: Instant) -> Option<QueuedOpening> {
        let best = self
            .openings
            .iter()
            .enumerate()
            .max_by_key(|(_, opening)| (opening.group(expected_time, now), opening.first_sent))
            .map(|(index, _)| index)?;
        Some(self.openings.swap_remove(best))
    }

    /// Removes the openings that have reached [`MAXIMUM_OPENING_AGE`], or whose answers
    /// would come only after their timeout. `expected_time` gives the expected time from
    /// the delivery of a flow's opening to the answer.
    pub fn take_expired(
        &mut self,
        expected_time: impl Fn(&FlowKey) -> Duration,
        now: Instant,
    ) -> Vec<QueuedOpening> {
        self.openings
            .extract_if(.., |opening| {
                opening.is_expired(expected_time(&opening.packet.key), now)
            })
            .collect()
    }

    /// The queued openings.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedOpening> {
        self.openings.iter()
    }

    /// Removes the opening at an index of [`Self::iter`].
    pub fn take(&mut self, index: usize) -> Option<QueuedOpening> {
        (index < self.openings.len()).then(|| self.openings.swap_remove(index))
    }

    /// Removes all openings.
    pub fn take_all(&mut self) -> Vec<QueuedOpening> {
        std::mem::take(&mut self.openings)
    }
}
