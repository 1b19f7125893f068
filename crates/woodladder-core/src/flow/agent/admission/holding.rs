//! Requests on open flows wait together with openings, where that is called for.
//!
//! A request is held from its first packet on, when it would find the target full; its
//! packets are handed over together as soon as it is its turn. Held is only what the
//! target has not seen: a request that has begun goes on, with all of its packets.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::held_requests::{Held, HeldTerms};
use crate::flow::agent::flows::is_after;
use crate::flow::agent::{Agent, AgentAction, FlowState};
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::TargetState;
use crate::flow::packet::{FlowPacket, PacketKind};

/// Time for which a given-up request is remembered: longer than a caller's last pause
/// between two repetitions.
const GIVEN_UP_REMEMBERED: Duration = Duration::from_secs(30);
/// Expected times of an answer after which a request that has none is not counted on
/// any more when the target's free slots are reckoned.
const DOUBTFUL_AFTER: u32 = 10;
/// Least such time.
const LEAST_DOUBTFUL: Duration = Duration::from_millis(500);

impl Agent {
    /// Whether a packet of an open flow waits here instead of going to the target.
    pub(crate) fn waits(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> bool {
        if self.held.contains(&packet.key) {
            return self.waits_behind(from, packet, bytes);
        }
        if !self.mechanisms.orders_requests || !self.begins_request(packet) {
            return false;
        }
        if self.passes_at_once(now) {
            return false;
        }
        let (terms, is_urgent) = self.routes.terms(packet.key.service, self.options.service);
        let terms = HeldTerms {
            aim: Duration::from_millis(terms.aim_ms.into()),
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            is_urgent,
        };
        if self.held.hold(from, packet, bytes, terms, now) != Held::Waits {
            return false;
        }
        let is_repeated = self.held.was_given_up(&packet.key);
        self.counters.requests_queued += u64::from(!is_repeated);
        self.count_queue();
        self.notes.add(LogEvent::RequestQueued {
            key: packet.key,
            is_urgent,
            urgent_waiting: self.queued_counts().urgent() - usize::from(is_urgent),
            load: self.load,
            expected: self.expected_of(&packet.key),
        });
        true
    }

    /// Whether a further packet of a flow whose request waits does so, too. What carries
    /// no bytes and ends nothing goes on, and so does what the target had before.
    fn waits_behind(&mut self, from: NodeAddress, packet: &FlowPacket, bytes: &[u8]) -> bool {
        let is_ordered = packet.payload_length > 0 || packet.kind == PacketKind::Finish;
        if packet.kind == PacketKind::Reset || !is_ordered {
            return false;
        }
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        let was_delivered = self.flows.touch(&packet.key).is_some_and(|flow| {
            !is_after(end, flow.caller_next) && packet.sequence != flow.caller_next
        });
        if was_delivered {
            return false;
        }
        match self.held.add(from, packet, bytes) {
            Held::Waits => {}
            Held::Copy => self.counters.duplicate_packets_dropped += 1,
            // Its caller sends it again.
            Held::Full => self.counters.packets_dropped += 1,
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
                    && is_after(end, flow.caller_next)
            })
    }

    fn passes_at_once(&self, now: Instant) -> bool {
        let openings_wait = !self.queue.is_empty() && self.openings_left(now) != Some(0);
        let is_first = self.held.is_empty() && !openings_wait;
        (is_first && self.target_has_room()) || self.cannot_hold(now)
    }

    /// Whether it is not known if the target lives, or it makes no progress: then it is
    /// given what there is, and takes or returns it.
    pub(crate) fn cannot_hold(&self, now: Instant) -> bool {
        let is_heard = matches!(self.target.state, TargetState::Ready | TargetState::Leaving);
        self.is_stopping || !is_heard || self.is_stuck(now)
    }

    /// Hands a request that waits over, with all of its packets.
    pub(crate) fn release(&mut self, key: &FlowKey, now: Instant, actions: &mut Vec<AgentAction>) {
        let Some(request) = self.held.take(key) else {
            return;
        };
        self.count_queue();
        self.notes.add(LogEvent::WorkReleased {
            key: *key,
            waited: now.since(request.held_at),
        });
        for held in request.packets {
            let begins = self.count_delivery(request.balancer, &held.packet, now);
            actions.push(AgentAction::Deliver {
                balancer: request.balancer,
                packet: held.bytes,
                begins_request: begins.then_some(*key),
            });
        }
    }

    /// Hands over all that is held: the target takes or returns it as if it had come now.
    pub(crate) fn release_all(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        for key in self.held.keys_by_age() {
            self.counters.requests_released_early += 1;
            self.release(&key, now, actions);
        }
    }

    /// Drops requests whose callers have left.
    pub(crate) fn drop_hopeless(&mut self, now: Instant) {
        self.held.forget_silent(GIVEN_UP_REMEMBERED, now);
        for (key, request) in self.held.give_up_hopeless(now) {
            self.counters.requests_given_up += 1;
            self.notes.add(LogEvent::RequestGivenUp {
                key,
                waited: now.since(request.held_at),
            });
        }
        self.count_queue();
    }

    /// Counts the requests at work for so long that the target has more likely dropped
    /// than not answered them yet.
    pub(crate) fn count_doubtful(&mut self, now: Instant) {
        if !self.mechanisms.orders_requests || !self.work_waits() {
            self.doubtful = 0;
            return;
        }
        let limit = (self.expected_answer() * DOUBTFUL_AFTER).max(LEAST_DOUBTFUL);
        let is_doubtful = |since: Instant| now.since(since) >= limit;
        let doubtful = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.busy_since.is_some_and(is_doubtful))
            .count();
        self.doubtful = u16::try_from(doubtful).unwrap_or(u16::MAX);
    }
}
