//! Queue of requests on open flows: the first packet of a request and all packets behind
//! it.
//!
//! The packets of a flow keep the order of their bytes, and a retransmission of a queued
//! packet is dropped. A queued packet is not acknowledged, so its caller retransmits it
//! and nothing is lost when the agent's process ends.
//!
//! A request that is given up is removed with its packets; its flow stays open. A caller
//! that has not left retransmits the packets. They are then queued with the age of the
//! first attempt, and are not given up a second time, so that the flow can continue.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::packet::FlowPacket;

/// Maximum number of flows with a queued request.
pub const MAXIMUM_QUEUED_REQUESTS: usize = 128;
/// Maximum size of all queued packets, in bytes.
pub const MAXIMUM_QUEUED_BYTES: usize = 256 * 1024;
/// Maximum number of queued packets of one flow: as many as a caller may have in flight.
pub const MAXIMUM_PACKETS_PER_REQUEST: usize = 16;
/// Maximum number of flows for which a given-up request is remembered.
const MAXIMUM_GIVEN_UP_FLOWS: usize = 512;

/// Terms of the route of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTerms {
    /// Desired time from the request to its answer.
    pub aim: Duration,
    /// Time from the arrival of the request's first packet after which an answer is of no
    /// use any more.
    pub timeout: Duration,
    /// Whether the route has a higher priority than another route of the same service.
    pub is_urgent: bool,
}

/// A queued packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedPacket {
    /// The packet's parsed header.
    pub packet: FlowPacket,
    /// The packet as received.
    pub bytes: Vec<u8>,
}

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Balancer that sent the latest packet of the request.
    pub balancer: NodeAddress,
    /// Terms of the request's route.
    pub terms: RequestTerms,
    /// When the first packet of the request arrived.
    pub first_seen: Instant,
    /// When the request was queued; if it was given up and retransmitted, when it was
    /// queued again.
    pub queued_at: Instant,
    /// The packets in the order of their bytes.
    pub packets: Vec<QueuedPacket>,
    /// Whether the request was given up before and its caller has retransmitted it.
    pub was_given_up: bool,
}

/// Result of queueing a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnqueueResult {
    /// The packet was queued.
    Queued,
    /// The packet is queued already.
    Duplicate,
    /// The packet was not queued: the queue has no room, the flow's request has
    /// [`MAXIMUM_PACKETS_PER_REQUEST`] packets already, or no request of the flow is
    /// queued to which the packet could be added.
    Full,
}

/// What is remembered of a request that was given up.
#[derive(Clone, Copy, Debug)]
struct GivenUpRequest {
    /// When the first packet of the request arrived.
    first_seen: Instant,
    /// When the request was given up. The record is removed when the request is queued
    /// again, a request of the flow is delivered or the flow ends.
    given_up_at: Instant,
}

/// Queued requests of open flows, by flow.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    requests: FxHashMap<FlowKey, QueuedRequest>,
    given_up: FxHashMap<FlowKey, GivenUpRequest>,
    bytes: usize,
}

impl RequestQueue {
    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Size of the queued packets, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether a request of the flow is queued.
    #[must_use]
    pub fn contains(&self, key: &FlowKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Whether the flow's queued request was given up before.
    #[must_use]
    pub fn was_given_up(&self, key: &FlowKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.was_given_up)
    }

    /// All queued requests.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &QueuedRequest)> {
        self.requests.iter()
    }

    /// Queues a request, starting with its first packet.
    pub fn enqueue(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: RequestTerms,
        now: Instant,
    ) -> EnqueueResult {
        if self.requests.len() >= MAXIMUM_QUEUED_REQUESTS
            || self.bytes + bytes.len() > MAXIMUM_QUEUED_BYTES
        {
            return EnqueueResult::Full;
        }
        let given_up = self.given_up.remove(&packet.key);
        let request = QueuedRequest {
            balancer: from,
            terms,
            first_seen: given_up.map_or(now, |request| request.first_seen),
            queued_at: now,
            packets: vec![QueuedPacket {
                packet: *packet,
                bytes: bytes.to_vec(),
            }],
            was_given_up: given_up.is_some(),
        };
        self.bytes += bytes.len();
        self.requests.insert(packet.key, request);
        EnqueueResult::Queued
    }

    /// Queues a further packet behind the flow's request.
    pub fn append(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
    ) -> EnqueueResult {
        let Some(request) = self.requests.get_mut(&packet.key) else {
            return EnqueueResult::Full;
        };
        request.balancer = from;
        let is_copy = |queued: &QueuedPacket| {
            queued.packet.sequence == packet.sequence && queued.packet.kind == packet.kind
        };
        if request.packets.iter().any(is_copy) {
            return EnqueueResult::Duplicate;
        }
        if request.packets.len() >= MAXIMUM_PACKETS_PER_REQUEST
            || self.bytes + bytes.len() > MAXIMUM_QUEUED_BYTES
        {
            return EnqueueResult::Full;
        }
        let index = request
            .packets
            .partition_point(|queued| !is_sequence_before(packet.sequence, queued.packet.sequence));
        let queued = QueuedPacket {
            packet: *packet,
            bytes: bytes.to_vec(),
        };
        request.packets.insert(index, queued);
        self.bytes += bytes.len();
        EnqueueResult::Queued
    }

    /// Removes a flow's request, for delivery.
    pub fn take(&mut self, key: &FlowKey) -> Option<QueuedRequest> {
        let request = self.requests.remove(key)?;
        self.bytes -= request.bytes();
        Some(request)
    }

    /// Forgets that a request of the flow was given up: a request has been delivered, so
    /// the flow's next request is another one.
    pub fn forget_given_up(&mut self, key: &FlowKey) {
        self.given_up.remove(key);
    }

    /// Removes all state of a flow that has ended. Returns the number of packets that
    /// were queued.
    pub fn remove_flow(&mut self, key: &FlowKey) -> usize {
        self.given_up.remove(key);
        self.take(key).map_or(0, |request| request.packets.len())
    }

    /// Gives up requests whose timeout has passed, so that their callers have left. A
    /// request stays queued if [`MAXIMUM_GIVEN_UP_FLOWS`] given-up requests are
    /// remembered already, or if it was given up before and its caller has retransmitted
    /// it.
    pub fn give_up_timed_out(&mut self, now: Instant) -> Vec<(FlowKey, QueuedRequest)> {
        let room = MAXIMUM_GIVEN_UP_FLOWS.saturating_sub(self.given_up.len());
        let timed_out: Vec<FlowKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.may_be_given_up(now))
            .map(|(key, _)| *key)
            .take(room)
            .collect();
        let mut given_up = Vec::new();
        for key in timed_out {
            if let Some(request) = self.take(&key) {
                let remembered = GivenUpRequest {
                    first_seen: request.first_seen,
                    given_up_at: now,
                };
                self.given_up.insert(key, remembered);
                given_up.push((key, request));
            }
        }
        given_up
    }

    /// Forgets the requests that were given up at least `after` ago and have not been
    /// queued again.
    pub fn forget_silent_callers(&mut self, after: Duration, now: Instant) {
        self.given_up
            .retain(|_, request| now.since(request.given_up_at) < after);
    }

    /// Flows with a queued request, in the order in which their requests arrived.
    #[must_use]
    pub fn keys_by_age(&self) -> Vec<FlowKey> {
        let mut keys: Vec<FlowKey> = self.requests.keys().copied().collect();
        keys.sort_by_key(|key| self.requests.get(key).map(|request| request.first_seen));
        keys
    }
}

impl QueuedRequest {
    fn may_be_given_up(&self, now: Instant) -> bool {
        !self.was_given_up && now.since(self.first_seen) >= self.terms.timeout
    }

    fn bytes(&self) -> usize {
        self.packets.iter().map(|queued| queued.bytes.len()).sum()
    }
}

/// Whether one sequence number is before another, in wrapping order.
fn is_sequence_before(one: u32, other: u32) -> bool {
    one.wrapping_sub(other) > u32::MAX / 2
}
