//! Limit on the flows of bulk routes (those that send many bytes) that use a link at the
//! same time.
//!
//! Each sender may have up to [`super::SEND_WINDOW_BYTES`] bytes in flight, whatever the
//! link carries. When the packets of several senders arrive at the same time and exceed
//! what can be queued in front of the link, packets are lost, and each loss costs a
//! sender at least 200 milliseconds. Openings beyond the limit are queued here, before
//! the target has received anything of their flows. Packets of open flows are never
//! delayed.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::identity::FlowKey;
use crate::flow::packet::{FlowPacket, PacketKind};

/// Time without data after which a flow no longer counts as active.
const IDLE_AFTER: Duration = Duration::from_millis(60);
/// Upper bound of the age from which an opening is refused, because the caller's attempt
/// ends 1.4 seconds after its start.
const MAXIMUM_OPENING_AGE: Duration = Duration::from_millis(1200);
/// Maximum number of queued openings.
const MAXIMUM_QUEUED_OPENINGS: usize = 256;

/// Terms of an opening of a bulk route.
#[derive(Clone, Copy, Debug)]
pub struct BulkTerms {
    /// Desired time from the opening to the answer to its request.
    pub aim: Duration,
    /// Time from the caller's first sending of the opening after which an answer is of no
    /// use any more.
    pub timeout: Duration,
    /// Time to transfer the flow's bytes if no other flow uses the link.
    pub transfer_time: Duration,
}

impl BulkTerms {
    /// Age, counted from the first time that the caller sent the opening, from which the
    /// opening is refused: the remaining part of the timeout is needed to transfer its
    /// bytes.
    fn max_age(&self) -> Duration {
        MAXIMUM_OPENING_AGE.min(self.timeout.saturating_sub(self.transfer_time))
    }
}

/// What happens to an opening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BulkDecision {
    /// The opening is forwarded.
    Admit,
    /// The opening is queued.
    Wait,
    /// The opening is refused, because the queue is full or the flows before the opening
    /// would take too long. The target has received nothing of the flow.
    Refuse,
}

/// An opening that leaves the queue.
#[derive(Clone, Debug)]
pub struct ReleasedOpening {
    /// The parsed opening.
    pub packet: FlowPacket,
    /// The opening as received.
    pub bytes: Vec<u8>,
    /// When the opening was queued.
    pub queued_at: Instant,
    /// When the caller sent the opening for the first time.
    pub first_sent: Instant,
    /// Whether the opening is forwarded; otherwise it is refused.
    pub is_admitted: bool,
}

#[derive(Clone, Copy, Debug)]
struct ActiveFlow {
    last_data_at: Instant,
    /// Largest payload of a packet so far, in bytes.
    largest_payload: u16,
}

#[derive(Clone, Debug)]
struct QueuedBulkOpening {
    packet: FlowPacket,
    bytes: Vec<u8>,
    terms: BulkTerms,
    queued_at: Instant,
    first_sent: Instant,
}

impl QueuedBulkOpening {
    fn is_expired(&self, now: Instant) -> bool {
        now.since(self.first_sent) >= self.terms.max_age()
    }

    /// Whether the request would be answered within its aim if the opening were forwarded
    /// now. Half of the aim is reserved for delays of the flow's packets on their way.
    fn is_in_time(&self, now: Instant) -> bool {
        now.since(self.first_sent) + self.terms.transfer_time <= self.terms.aim / 2
    }
}

/// Active flows of bulk routes, and openings that are queued until one of them ends.
#[derive(Clone, Debug, Default)]
pub struct BulkAdmission {
    active: FxHashMap<FlowKey, ActiveFlow>,
    queue: Vec<QueuedBulkOpening>,
}

impl BulkAdmission {
    /// Decides about an opening of a bulk route. At most `limit` flows of bulk routes are
    /// to be active, but a retransmitted opening that is not queued is admitted beyond the
    /// limit, too.
    pub fn admit_opening(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: BulkTerms,
        limit: usize,
        now: Instant,
    ) -> BulkDecision {
        let key = packet.key;
        if self.active.contains_key(&key) {
            return BulkDecision::Admit;
        }
        let mut queue = self.queue.iter_mut();
        if let Some(queued) = queue.find(|queued| queued.packet.key == key) {
            // The latest copy has the most accurate age of the opening.
            queued.packet = *packet;
            queued.bytes = bytes.to_vec();
            queued.first_sent = queued.first_sent.min(packet.first_sent(now));
            return BulkDecision::Wait;
        }
        self.drop_idle_flows(now);
        // The acknowledgement number of an opening is the number of copies sent before it.
        let is_first_copy = packet.acknowledgement == 0;
        if !is_first_copy || (self.queue.is_empty() && self.active.len() < limit) {
            self.activate(key, now);
            return BulkDecision::Admit;
        }
        if self.queue.len() >= MAXIMUM_QUEUED_OPENINGS
            || self.would_be_queued_too_long(terms, limit)
        {
            return BulkDecision::Refuse;
        }
        self.queue.push(QueuedBulkOpening {
            packet: *packet,
            bytes: bytes.to_vec(),
            terms,
            queued_at: now,
            first_sent: packet.first_sent(now),
        });
        BulkDecision::Wait
    }

    /// Handles a packet of a bulk route's flow that is not an opening. Such a packet shows
    /// that the caller no longer waits for the flow's queued opening, so that the opening
    /// is removed: a copy may have reached the target through another balancer.
    pub fn handle_packet(&mut self, packet: &FlowPacket, now: Instant) {
        self.remove_queued(|key| *key == packet.key);
        match packet.kind {
            PacketKind::Finish | PacketKind::Reset => {
                self.active.remove(&packet.key);
            }
            PacketKind::Data if packet.payload_length > 0 => self.handle_data(packet, now),
            _ => {}
        }
    }

    fn handle_data(&mut self, packet: &FlowPacket, now: Instant) {
        let flow = self.active.entry(packet.key).or_insert(ActiveFlow {
            last_data_at: now,
            largest_payload: 0,
        });
        flow.last_data_at = now;
        flow.largest_payload = flow.largest_payload.max(packet.payload_length);
        // Senders fill all packets of a request but the last. A shorter packet is thus
        // the last of its request, and the flow is no longer active.
        if packet.payload_length < flow.largest_payload {
            self.active.remove(&packet.key);
        }
    }

    /// Removes the queued openings of the flows for which `is_obsolete` holds.
    pub fn remove_queued(&mut self, is_obsolete: impl Fn(&FlowKey) -> bool) {
        self.queue.retain(|queued| !is_obsolete(&queued.packet.key));
    }

    /// Openings that leave the queue now, in the order in which they are to be forwarded.
    pub fn release(&mut self, limit: usize, now: Instant) -> Vec<ReleasedOpening> {
        let mut released = Vec::new();
        self.drop_idle_flows(now);
        let mut index = 0;
        while index < self.queue.len() {
            if self.queue[index].is_expired(now) {
                released.push(leave_queue(self.queue.remove(index), false));
            } else {
                index += 1;
            }
        }
        while self.active.len() < limit
            && let Some(next) = self.next_index(now)
        {
            let queued = self.queue.remove(next);
            self.activate(queued.packet.key, now);
            released.push(leave_queue(queued, true));
        }
        released
    }

    /// Whether there is room for a queued opening, so that [`Self::release`] may return
    /// one.
    #[must_use]
    pub fn has_room(&self, limit: usize) -> bool {
        !self.queue.is_empty() && self.active.len() < limit
    }

    /// Number of active flows.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Number of queued openings.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Index of the opening that is forwarded next: of those that can still be answered in
    /// time, the one that was queued first, or, if none can, the one that was queued last.
    /// Expired openings must have been removed before.
    fn next_index(&self, now: Instant) -> Option<usize> {
        let in_time = self.queue.iter().position(|queued| queued.is_in_time(now));
        in_time.or(self.queue.len().checked_sub(1))
    }

    /// Whether the flows before an opening that arrives now take longer on the link than
    /// [`MAXIMUM_OPENING_AGE`] or the opening's timeout, whichever is shorter. The flows
    /// before it are the queued ones and `limit` active ones, and each is assumed to take
    /// the `transfer_time` of `terms`.
    fn would_be_queued_too_long(&self, terms: BulkTerms, limit: usize) -> bool {
        let ahead = u32::try_from(self.queue.len() + limit).unwrap_or(u32::MAX);
        terms.transfer_time.saturating_mul(ahead) > MAXIMUM_OPENING_AGE.min(terms.timeout)
    }

    fn activate(&mut self, key: FlowKey, now: Instant) {
        let flow = ActiveFlow {
            last_data_at: now,
            largest_payload: 0,
        };
        self.active.insert(key, flow);
    }

    fn drop_idle_flows(&mut self, now: Instant) {
        self.active
            .retain(|_, flow| now.since(flow.last_data_at) < IDLE_AFTER);
    }
}

fn leave_queue(queued: QueuedBulkOpening, is_admitted: bool) -> ReleasedOpening {
    ReleasedOpening {
        packet: queued.packet,
        bytes: queued.bytes,
        queued_at: queued.queued_at,
        first_sent: queued.first_sent,
        is_admitted,
    }
}
