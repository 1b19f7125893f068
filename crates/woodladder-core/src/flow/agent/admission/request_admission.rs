//! Queueing of requests on open flows together with openings, where the configuration
//! calls for it.
//!
//! A request is queued, starting with its first packet, if the target is full or other
//! work is queued already. Its packets are delivered together when its turn comes. Only
//! requests that the target has not seen are queued: once a request has begun, all of its
//! packets are delivered at once.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::request_queue::{EnqueueResult, RequestTerms};
use crate::flow::agent::flows::is_sequence_after;
use crate::flow::agent::{Agent, AgentAction, FlowState};
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::TargetState;
use crate::flow::packet::{FlowPacket, PacketKind};

/// Time for which a given-up request is remembered: longer than a caller's last pause
/// between two retransmissions.
const GIVEN_UP_RETENTION: Duration = Duration::from_secs(30);
/// A request that has had no answer for this many expected answer times is presumed lost
/// and no longer counted when the target's free slots are computed.
const PRESUMED_LOST_AFTER_ANSWER_TIMES: u32 = 10;
/// Minimum age of a request that is presumed lost.
const MINIMUM_PRESUMED_LOST_AGE: Duration = Duration::from_millis(500);

impl Agent {
    /// Queues a packet of an open flow if the packet has to wait for the target. Returns
    /// whether the packet was queued or dropped, in which case it is not to be delivered
    /// now.
    pub(crate) fn queue_if_full(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> bool {
        if self.request_queue.contains(&packet.key) {
            return self.queue_behind_request(from, packet, bytes);
        }
        if !self.mechanisms.orders_requests || !self.begins_request(packet) {
            return false;
        }
        if self.may_be_delivered_at_once(now) {
            return false;
        }
        let (terms, is_urgent) = self.routes.terms(packet.key.service, self.options.service);
        let terms = RequestTerms {
            aim: Duration::from_millis(terms.aim_ms.into()),
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            is_urgent,
        };
        if self.request_queue.enqueue(from, packet, bytes, terms, now) != EnqueueResult::Queued {
            return false;
        }
        let is_retransmission = self.request_queue.was_given_up(&packet.key);
        self.counters.requests_queued += u64::from(!is_retransmission);
        self.update_queued_count();
        self.log_events.add(LogEvent::RequestQueued {
            key: packet.key,
            is_urgent,
            urgent_waiting: self.queued_counts().urgent() - usize::from(is_urgent),
            load: self.load,
            expected: self.expected_answer_time_of(&packet.key),
        });
        true
    }

    /// Queues a further packet of a flow whose request is queued. Returns false for
    /// packets that are to be delivered at once: resets, packets that carry no bytes and
    /// do not finish the flow, and packets that the target has received before.
    fn queue_behind_request(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
    ) -> bool {
        let occupies_sequence = packet.payload_length > 0 || packet.kind == PacketKind::Finish;
        if packet.kind == PacketKind::Reset || !occupies_sequence {
            return false;
        }
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        let was_delivered = self.flows.touch(&packet.key).is_some_and(|flow| {
            !is_sequence_after(end, flow.caller_next_sequence)
                && packet.sequence != flow.caller_next_sequence
        });
        if was_delivered {
            return false;
        }
        match self.request_queue.append(from, packet, bytes) {
            EnqueueResult::Queued => {}
            EnqueueResult::Duplicate => self.counters.duplicate_packets_dropped += 1,
            // The caller retransmits the packet.
            EnqueueResult::Full => self.counters.messages_and_packets_dropped += 1,
        }
        true
    }

    fn begins_request(&self, packet: &FlowPacket) -> bool {
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        packet.payload_length > 0
            && packet.kind != PacketKind::Reset
            && self.flows.peek(&packet.key).is_some_and(|flow| {
                flow.state == FlowState::Open
                    && flow.busy_since.is_none()
                    && is_sequence_after(end, flow.caller_next_sequence)
            })
    }

    fn may_be_delivered_at_once(&self, now: Instant) -> bool {
        let has_deliverable_openings =
            !self.opening_queue.is_empty() && self.openings_left(now) != Some(0);
        let is_first = self.request_queue.is_empty() && !has_deliverable_openings;
        (is_first && self.target_has_room()) || self.must_not_queue_requests(now)
    }

    /// Whether requests must not be queued, because it is uncertain whether the target is
    /// alive, its slots are unknown, the agent is stopping, or the target is stuck. All
    /// requests are then delivered at once; the target serves or returns them.
    pub(crate) fn must_not_queue_requests(&self, now: Instant) -> bool {
        let is_responsive = matches!(self.target.state, TargetState::Ready | TargetState::Leaving);
        let are_slots_known = self.target.last_heartbeat_at.is_some();
        self.planned_stop.is_stopping()
            || !is_responsive
            || !are_slots_known
            || self.is_target_stuck(now)
    }

    /// Delivers a queued request with all of its packets.
    pub(crate) fn deliver_queued_request(
        &mut self,
        key: &FlowKey,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(request) = self.request_queue.take(key) else {
            return;
        };
        self.update_queued_count();
        self.log_events.add(LogEvent::WorkDelivered {
            key: *key,
            waited: now.since(request.queued_at),
        });
        for queued in request.packets {
            let begins_request = self.record_delivery(request.balancer, &queued.packet, now);
            actions.push(AgentAction::Deliver {
                balancer: request.balancer,
                packet: queued.bytes,
                begins_request: begins_request.then_some(*key),
            });
        }
    }

    /// Delivers all queued requests: the target serves or returns them as if they had
    /// just arrived.
    pub(crate) fn deliver_all_queued_requests(
        &mut self,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        for key in self.request_queue.keys_by_age() {
            self.counters.requests_delivered_early += 1;
            self.deliver_queued_request(&key, now, actions);
        }
    }

    /// Gives up requests whose timeout has passed, so that their callers have left.
    pub(crate) fn give_up_timed_out_requests(&mut self, now: Instant) {
        self.request_queue
            .forget_silent_callers(GIVEN_UP_RETENTION, now);
        for (key, request) in self.request_queue.give_up_timed_out(now) {
            self.counters.requests_given_up += 1;
            self.log_events.add(LogEvent::RequestGivenUp {
                key,
                waited: now.since(request.queued_at),
            });
        }
        self.update_queued_count();
    }

    /// Counts the requests that have been in service for so long that the target has
    /// probably dropped them.
    pub(crate) fn count_presumed_lost(&mut self, now: Instant) {
        if !self.mechanisms.orders_requests || !self.has_queued_work() {
            self.presumed_lost_count = 0;
            return;
        }
        let limit = (self.expected_answer_time() * PRESUMED_LOST_AFTER_ANSWER_TIMES)
            .max(MINIMUM_PRESUMED_LOST_AGE);
        let is_presumed_lost = |since: Instant| now.since(since) >= limit;
        let presumed_lost = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.busy_since.is_some_and(is_presumed_lost))
            .count();
        self.presumed_lost_count = u16::try_from(presumed_lost).unwrap_or(u16::MAX);
    }
}
