//! Admission of new flows by the target's true state and load.
//!
//! An opening goes to the target when the target can begin with its request at
//! once; else it waits in the agent's own queue ([`crate::flow::agent::admission::queue`]).
//! It is given back only when the target takes no flow, when the balancer was
//! mistaken about the load, or when it has waited too long.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::choosing::NextWork;
use crate::flow::agent::admission::queue::QueuedOpening;
use crate::flow::agent::admission::service_times::EXCHANGE;
use crate::flow::agent::{Agent, AgentAction, FlowState, ForwardDecision, HeldFlow};
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;
use crate::flow::message::{ForwardHeader, OpeningTerms, PeerMessage, ReturnReason, TargetState};
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

/// Time that a balancer has to reach the version that an agent knows before
/// its openings under a lesser one are given back.
const VERSION_GRACE: Duration = Duration::from_millis(1000);
/// The whole, in percent.
const WHOLE: u32 = 100;
/// Requests that are handed to the target, in percent of its slots: some more
/// than it works on, because an opening takes a moment to become a request.
const HANDED_OVER: u32 = 120;
/// Time from a target's acceptance within which the caller's request is
/// expected; after it, another opening may take the place.
const SEQUEL_WITHIN: Duration = Duration::from_millis(50);
/// Expected times of an answer without any after which a full target counts as
/// stuck.
const STUCK_AFTER: u32 = 5;
/// Least such time.
const LEAST_STUCK: Duration = Duration::from_millis(400);
/// Service time that is expected before the target has answered any request.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(50);

impl Agent {
    pub(crate) fn opening(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        terms: &OpeningTerms,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        if self.queue.contains(&packet.key) {
            return ForwardDecision::Drop;
        }
        if let Some(flow) = self.flows.touch(&packet.key)
            && flow.state != FlowState::Unconfirmed
            && packet.acknowledgement > 0
        {
            // A copy of an opening that the target has; it answers again.
            flow.balancer = from;
            return ForwardDecision::plain();
        }
        if let Some(reason) = self.reason_to_decline(header, now) {
            self.counters.openings_declined_excluded +=
                u64::from(reason == ReturnReason::ZoneExcluded);
            return self.give_back(reason);
        }
        if self.queue.is_empty()
            && self.held.is_empty()
            && self.target_has_room()
            && self.openings_left(now) != Some(0)
        {
            if self.load.busy == 0 {
                self.progress_at = now;
            }
            self.promises.record_handover(&decided(terms), false);
            self.hand_over(from, header, packet, now);
            return ForwardDecision::plain();
        }
        if self.openings_left(now) == Some(0) && terms.estimated_load.is_some() {
            self.load.openings_left = Some(0);
            self.counters.openings_declined_cold += 1;
            return self.give_back(ReturnReason::WarmingUp);
        }
        if self.queue.is_full() || self.is_underestimated(terms) || self.is_stuck(now) {
            return self.give_back(ReturnReason::Saturated);
        }
        if self.comes_too_late(&packet.key, terms, now) {
            self.counters.openings_declined_late += 1;
            return self.give_back(ReturnReason::Saturated);
        }
        self.enqueue(from, header, terms, packet, bytes, now)
    }

    fn reason_to_decline(&self, header: &ForwardHeader, now: Instant) -> Option<ReturnReason> {
        match self.target.state {
            TargetState::Unknown => return Some(ReturnReason::NoTarget),
            TargetState::Leaving => return Some(ReturnReason::Leaving),
            TargetState::Unresponsive => return Some(ReturnReason::NoTarget),
            TargetState::Ready => {}
        }
        if self.is_excluded() {
            return Some(ReturnReason::ZoneExcluded);
        }
        let is_settled = now.since(self.version_known_at) >= VERSION_GRACE;
        if header.version < self.routes.version() && is_settled {
            return Some(ReturnReason::StaleVersion);
        }
        None
    }

    pub(crate) fn target_has_room(&self) -> bool {
        let counted = u32::from(self.load.busy) + u32::from(self.load.opening);
        let handed_over = counted.saturating_sub(self.doubtful.into());
        handed_over * WHOLE < u32::from(self.target.capacity) * HANDED_OVER
    }

    /// Whether the balancer believed the target to hold so much less that
    /// another one may be the better choice.
    fn is_underestimated(&self, terms: &OpeningTerms) -> bool {
        let margin = (self.target.capacity / 2).max(1);
        terms
            .estimated_load
            .is_some_and(|believed| self.load.requests() > believed.saturating_add(margin))
    }

    /// Whether the target has begun no answer for far longer than requests
    /// take, although it holds all that it can begin with.
    pub(crate) fn is_stuck(&self, now: Instant) -> bool {
        let limit = (self.expected_answer() * STUCK_AFTER).max(LEAST_STUCK);
        !self.target_has_room() && now.since(self.progress_at) >= limit
    }

    fn enqueue(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        terms: &OpeningTerms,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        let age = Duration::from_millis(terms.age_ms.into());
        self.queue.push(QueuedOpening {
            balancer: from,
            header: *header,
            packet: *packet,
            bytes: bytes.to_vec(),
            first_sent: Instant::from_origin(now.since_origin().saturating_sub(age)),
            aim: Duration::from_millis(terms.aim_ms.into()),
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            is_urgent: terms.is_urgent,
            queued_at: now,
        });
        self.counters.openings_queued += 1;
        self.count_queue();
        self.notes.add(LogEvent::OpeningQueued {
            key: packet.key,
            balancer: from,
            age,
            load: self.load,
            expected: self.expected_answer(),
        });
        ForwardDecision::Queued(PeerMessage::Queued {
            key: packet.key,
            load: self.load,
        })
    }

    pub(crate) fn count_queue(&mut self) {
        let waiting = self.queue.len() + self.held.len();
        self.load.queued = u16::try_from(waiting).unwrap_or(u16::MAX);
    }

    /// Time from handing an opening over to the answer of its request.
    pub(crate) fn expected_answer(&self) -> Duration {
        let service_time = match self.load.service_time_us {
            0 => FIRST_SERVICE_TIME,
            known => Duration::from_micros(known.into()),
        };
        service_time + EXCHANGE
    }

    fn hand_over(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        packet: &FlowPacket,
        now: Instant,
    ) {
        self.counters.openings_offered += 1;
        self.replace_flow(packet, FlowState::Offered, from, now);
        self.load.opening += 1;
        self.warm_up.count(now);
        self.load.openings_left = self.openings_left(now);
        self.target.unanswered_since.get_or_insert(now);
        self.notes.add(LogEvent::FlowOffered {
            key: packet.key,
            balancer: from,
            busy: self.load.busy,
            version: header.version,
        });
    }

    /// Hands over what waits while the target has room, and gives back the openings
    /// that it cannot take or that have waited too long. To be called after each event.
    pub fn dispatch_queued(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        if self.queue.is_empty() && self.held.is_empty() {
            return;
        }
        if self.target.state != TargetState::Ready || self.is_excluded() {
            let all = self.queue.take_all();
            self.return_queued(all, ReturnReason::NoTarget, now, actions);
        }
        self.give_up_accepted(now);
        if self.is_stuck(now) {
            let all = self.queue.take_all();
            self.return_queued(all, ReturnReason::Saturated, now, actions);
        }
        if self.cannot_hold(now) {
            return self.release_all(now, actions);
        }
        self.give_up_hopeless(now, actions);
        while self.target_has_room() {
            match self.next_work(now) {
                Some(NextWork::Opening(opening)) => self.serve_opening(opening, now, actions),
                Some(NextWork::Request(key)) => self.release(&key, now, actions),
                None => break,
            }
        }
    }

    fn give_up_hopeless(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.drop_hopeless(now);
        let expired = self.take_expired(now);
        self.counters.openings_expired += u64::try_from(expired.len()).unwrap_or(0);
        self.return_queued(expired, ReturnReason::Expired, now, actions);
    }

    fn serve_opening(
        &mut self,
        opening: QueuedOpening,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        self.count_queue();
        if self.reason_to_decline(&opening.header, now).is_some() {
            return self.return_queued(vec![opening], ReturnReason::StaleVersion, now, actions);
        }
        let urgent_waits = self
            .queue
            .has_urgent_in_time(|key| self.expected_of(key), now);
        self.promises
            .record_handover(&opening.decided(now), urgent_waits);
        self.hand_over(opening.balancer, &opening.header, &opening.packet, now);
        self.notes.add(LogEvent::WorkReleased {
            key: opening.packet.key,
            waited: now.since(opening.queued_at),
        });
        actions.push(AgentAction::Deliver {
            balancer: opening.balancer,
            packet: opening.bytes,
            begins_request: None,
        });
    }

    /// Takes openings out of the load that the target has accepted and whose
    /// callers have sent nothing since: most have chosen another target or have
    /// given up.
    fn give_up_accepted(&mut self, now: Instant) {
        while let Some((key, accepted_at)) = self.accepted.front().copied() {
            if now.since(accepted_at) < SEQUEL_WITHIN {
                break;
            }
            self.accepted.pop_front();
            let is_same = self
                .flows
                .peek(&key)
                .is_some_and(|flow| flow.state == FlowState::Accepted && flow.since == accepted_at);
            if is_same {
                self.stop_expecting(&key);
            }
        }
    }

    /// Gives openings back, for `usual_reason` unless the target's state or the
    /// configuration is a better one.
    fn return_queued(
        &mut self,
        openings: Vec<QueuedOpening>,
        usual_reason: ReturnReason,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        self.count_queue();
        for opening in openings {
            let reason = self
                .reason_to_decline(&opening.header, now)
                .unwrap_or(usual_reason);
            self.promises.record_given_up(&opening.decided(now));
            self.counters.openings_declined += 1;
            actions.push(AgentAction::Return {
                to: opening.balancer,
                message: self.returned(reason),
                packet: opening.bytes,
            });
        }
    }

    /// Puts a flow into the table, and takes the former flow of the same ends
    /// out of the load.
    pub(in crate::flow::agent) fn replace_flow(
        &mut self,
        opening: &FlowPacket,
        state: FlowState,
        balancer: NodeAddress,
        now: Instant,
    ) {
        self.forget_flow(&opening.key);
        let flow = HeldFlow {
            state,
            is_expected: state == FlowState::Offered,
            has_answered: false,
            balancer,
            since: now,
            busy_since: None,
            caller_next: opening.sequence.wrapping_add(1),
            request_start: 0,
            awaits_outcome: false,
        };
        self.flows.insert(opening.key, flow, now);
    }
}

fn decided(terms: &OpeningTerms) -> DecidedOpening {
    DecidedOpening {
        age: Duration::from_millis(terms.age_ms.into()),
        timeout: Duration::from_millis(terms.timeout_ms.into()),
        is_urgent: terms.is_urgent,
    }
}
