//! Requests on open flows wait together with openings, where that is called for.
//!
//! A request is held from its first packet on, when it would find the target full; its
//! packets are handed over together as soon as it is its turn. Held is only what the
//! target has not seen: a request that has begun goes on, with all of its packets.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::held_requests::{Held, HeldTerms};
use crate::flow::agent::admission::openings::EXCHANGE;
use crate::flow::agent::admission::order::{WaitingWork, expected_wait};
use crate::flow::agent::admission::queue::{LONGEST_WAIT, QueuedOpening};
use crate::flow::agent::flows::is_after;
use crate::flow::agent::{Agent, AgentAction, FlowState};
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::message::{OpeningTerms, TargetState};
use crate::flow::note::Note;
use crate::flow::packet::{FlowPacket, PacketKind};

/// Time for which a given-up request is remembered: longer than a caller's last pause
/// between two repetitions.
const GIVEN_UP_REMEMBERED: Duration = Duration::from_secs(30);
/// Expected times of an answer after which a request that has none is not counted on
/// any more when the target's free slots are reckoned.
const DOUBTFUL_AFTER: u32 = 10;
/// Least such time.
const LEAST_DOUBTFUL: Duration = Duration::from_millis(500);

/// How much waits, by kind and importance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// Openings of routes that matter more than another one of the service.
    pub urgent_openings: usize,
    /// Other openings.
    pub openings: usize,
    /// Requests on open flows of such routes.
    pub urgent_requests: usize,
    /// Other requests on open flows.
    pub requests: usize,
}

impl WaitingCounts {
    /// All work of routes that matter more than another one of the service.
    #[must_use]
    pub fn urgent(&self) -> usize {
        self.urgent_openings + self.urgent_requests
    }
}

/// What is handed over next.
pub(crate) enum NextWork {
    /// An opening.
    Opening(QueuedOpening),
    /// The request of an open flow.
    Request(FlowKey),
}

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
        self.counters.requests_held += u64::from(!is_repeated);
        self.count_queue();
        self.notes.add(Note::RequestHeld {
            key: packet.key,
            is_urgent,
            urgent_waiting: self.waiting_counts().urgent() - usize::from(is_urgent),
            load: self.load,
            expected: self.expected_of(&packet.key),
        });
        true
    }

    /// Whether a further packet of a flow whose request waits does so, too. What carries
    /// no bytes and ends nothing goes on, and so does what the target had before.
    fn waits_behind(&mut self, from: NodeAddress, packet: &FlowPacket, bytes: &[u8]) -> bool {
        let is_ordered = packet.payload > 0 || packet.kind == PacketKind::Finish;
        if packet.kind == PacketKind::Reset || !is_ordered {
            return false;
        }
        let end = packet.sequence.wrapping_add(packet.payload.into());
        let was_delivered = self.flows.use_flow(&packet.key).is_some_and(|flow| {
            !is_after(end, flow.caller_next) && packet.sequence != flow.caller_next
        });
        if was_delivered {
            return false;
        }
        match self.held.add(from, packet, bytes) {
            Held::Waits => {}
            Held::Copy => self.counters.held_copies += 1,
            // Its caller sends it again.
            Held::Full => self.counters.dropped += 1,
        }
        true
    }

    fn begins_request(&self, packet: &FlowPacket) -> bool {
        let end = packet.sequence.wrapping_add(packet.payload.into());
        packet.payload > 0
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

    /// Time from handing a flow's opening or request over to the answer.
    pub(crate) fn expected_of(&self, key: &FlowKey) -> Duration {
        if !self.mechanisms.orders_requests {
            return self.expected_answer();
        }
        self.service_times
            .expected(key.service)
            .map_or_else(|| self.expected_answer(), |time| time + EXCHANGE)
    }

    /// Takes the openings out that would be answered too late.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<QueuedOpening> {
        let usual = self.expected_answer();
        let times = &self.service_times;
        let is_by_route = self.mechanisms.orders_requests;
        let expected = |key: &FlowKey| match times.expected(key.service) {
            Some(time) if is_by_route => time + EXCHANGE,
            _ => usual,
        };
        self.queue.take_expired(expected, now)
    }

    /// All that waits: the openings in the order of the queue, then the requests.
    fn waiting(&self, now: Instant) -> (Vec<WaitingWork>, Vec<FlowKey>) {
        let may_open = self.openings_left(now) != Some(0);
        let mut waiting: Vec<WaitingWork> = self
            .queue
            .iter()
            .map(|opening| WaitingWork {
                first_sent: opening.first_sent,
                aim: opening.aim,
                expected: self.expected_of(&opening.packet.key),
                is_urgent: opening.is_urgent,
                is_allowed: may_open,
            })
            .collect();
        let mut keys = Vec::with_capacity(self.held.len());
        for (key, request) in self.held.iter() {
            keys.push(*key);
            waiting.push(WaitingWork {
                first_sent: request.first_seen,
                aim: request.terms.aim,
                expected: self.expected_of(key),
                is_urgent: request.terms.is_urgent,
                is_allowed: true,
            });
        }
        (waiting, keys)
    }

    /// Takes what is handed over next. A request stays held until it is released.
    pub(crate) fn next_work(&mut self, now: Instant) -> Option<NextWork> {
        if !self.mechanisms.orders_requests && self.held.is_empty() {
            if self.openings_left(now) == Some(0) {
                return None;
            }
            let expected = self.expected_answer();
            return self.queue.take_next(expected, now).map(NextWork::Opening);
        }
        let (waiting, keys) = self.waiting(now);
        let chosen = self.order.choose(&waiting, self.target.capacity, now)?;
        match chosen.checked_sub(self.queue.len()) {
            Some(place) => keys.get(place).copied().map(NextWork::Request),
            None => self.queue.take(chosen).map(NextWork::Opening),
        }
    }

    /// Whether an opening that would have to wait here would be answered too late to be
    /// of use.
    pub(crate) fn comes_too_late(&self, key: &FlowKey, terms: &OpeningTerms, now: Instant) -> bool {
        if !self.mechanisms.orders_requests {
            return false;
        }
        let age = Duration::from_millis(terms.age_ms.into());
        let opening = WaitingWork {
            first_sent: Instant::from_origin(now.since_origin().saturating_sub(age)),
            aim: Duration::from_millis(terms.aim_ms.into()),
            expected: self.expected_of(key),
            is_urgent: terms.is_urgent,
            is_allowed: true,
        };
        let (waiting, _) = self.waiting(now);
        let begins_at = age + expected_wait(&opening, &waiting, self.target.capacity, now);
        let timeout = Duration::from_millis(terms.timeout_ms.into());
        begins_at >= LONGEST_WAIT || begins_at + opening.expected >= timeout
    }

    /// Hands a request that waits over, with all of its packets.
    pub(crate) fn release(&mut self, key: &FlowKey, now: Instant, actions: &mut Vec<AgentAction>) {
        let Some(request) = self.held.take(key) else {
            return;
        };
        self.count_queue();
        self.notes.add(Note::WorkReleased {
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
            self.counters.held_released += 1;
            self.release(&key, now, actions);
        }
    }

    /// Drops requests whose callers have left.
    pub(crate) fn drop_hopeless(&mut self, now: Instant) {
        self.held.forget_silent(GIVEN_UP_REMEMBERED, now);
        for (key, request) in self.held.give_up_hopeless(now) {
            self.counters.held_hopeless += 1;
            self.notes.add(Note::RequestGivenUp {
                key,
                waited: now.since(request.held_at),
            });
        }
        self.count_queue();
    }

    /// What waits, by kind and importance.
    #[must_use]
    pub fn waiting_counts(&self) -> WaitingCounts {
        let urgent_openings = self.queue.iter().filter(|it| it.is_urgent).count();
        let urgent_requests = self
            .held
            .iter()
            .filter(|(_, request)| request.terms.is_urgent)
            .count();
        WaitingCounts {
            urgent_openings,
            openings: self.queue.len() - urgent_openings,
            urgent_requests,
            requests: self.held.len() - urgent_requests,
        }
    }

    /// Whether an opening or a request of an open flow waits.
    pub(crate) fn work_waits(&self) -> bool {
        !self.queue.is_empty() || !self.held.is_empty()
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
