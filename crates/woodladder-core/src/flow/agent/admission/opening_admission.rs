//! Admission of new flows by the actual state and load of the target.
//!
//! An opening is delivered when the target can begin with its request at once; otherwise
//! it is queued at the agent ([`crate::flow::agent::admission::opening_queue`]). The
//! agent returns an opening to its balancer only when the target takes no flow, when the
//! target may be cold and has reached its limit of requests, when the queue is full or
//! the target is stuck, when the balancer has underestimated the load or uses an old
//! configuration, or when the opening has expired or would be answered too late.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::admission::opening_queue::QueuedOpening;
use crate::flow::agent::admission::service_times::EXCHANGE_TIME;
use crate::flow::agent::admission::work_selection::NextWork;
use crate::flow::agent::{Agent, AgentAction, FlowState, ForwardDecision, OpeningPath, TargetFlow};
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;
use crate::flow::message::{ForwardHeader, OpeningTerms, PeerMessage, ReturnReason, TargetState};
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

/// Time that a balancer has to reach the configuration version of the agent before
/// openings that it sends under an older version are returned.
const VERSION_GRACE: Duration = Duration::from_millis(1000);
/// One hundred percent.
const PERCENT: u32 = 100;
/// Maximum number of requests and openings at the target, in percent of its slots. The
/// limit is above 100 because an opening takes no slot until its request arrives, a round
/// trip later.
const MAXIMUM_LOAD_PERCENT: u32 = 120;
/// Longest time from the delivery of an opening to the arrival of a further copy: a caller
/// gives up an opening 1.4 seconds after its first copy.
const MAXIMUM_COPY_DELAY: Duration = Duration::from_millis(1500);
/// Time from the target's acceptance of an opening within which the caller's request is
/// expected; after it, the opening no longer counts as load.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_millis(50);
/// A full target counts as stuck after this many expected answer times without any
/// answer.
const STUCK_AFTER_ANSWER_TIMES: u32 = 5;
/// Minimum time without any answer after which a full target counts as stuck.
const MINIMUM_STUCK_TIME: Duration = Duration::from_millis(400);
/// Service time that is assumed before the target has answered any request.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(50);

impl Agent {
    pub(crate) fn admit_opening(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        terms: &OpeningTerms,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        if self.opening_queue.contains(&packet.key) {
            return ForwardDecision::NoReply;
        }
        if self.repeats_delivered_opening(packet, now)
            && let Some(flow) = self.flows.touch(&packet.key)
        {
            flow.balancer = from;
            return ForwardDecision::plain();
        }
        if let Some(reason) = self.reason_to_decline(header, now) {
            self.counters.openings_returned_excluded +=
                u64::from(reason == ReturnReason::ZoneExcluded);
            return self.decline_forwarded(reason);
        }
        if self.opening_queue.is_empty()
            && self.request_queue.is_empty()
            && self.target_has_room()
            && self.openings_left(now) != Some(0)
        {
            if self.load.busy == 0 {
                self.last_progress_at = now;
            }
            self.promises.record_handover(&promise_input(terms), false);
            self.deliver_opening(from, header, packet, now);
            return ForwardDecision::plain();
        }
        if self.openings_left(now) == Some(0) && terms.estimated_load.is_some() {
            self.load.openings_left = Some(0);
            self.counters.openings_returned_cold += 1;
            return self.decline_forwarded(ReturnReason::WarmingUp);
        }
        if self.opening_queue.is_full()
            || self.is_load_underestimated(terms)
            || self.is_target_stuck(now)
        {
            return self.decline_forwarded(ReturnReason::Saturated);
        }
        if self.would_be_answered_too_late(&packet.key, terms, now) {
            self.counters.openings_returned_late += 1;
            return self.decline_forwarded(ReturnReason::Saturated);
        }
        self.enqueue_opening(from, header, terms, packet, bytes, now)
    }

    /// Whether an opening is a further copy of one that the target has received; the target
    /// answers it again. The acknowledgement number of an opening is the number of copies
    /// sent before it. A copy that comes later than a caller sends any belongs to a new flow
    /// between the ends of an older one.
    fn repeats_delivered_opening(&self, packet: &FlowPacket, now: Instant) -> bool {
        packet.acknowledgement > 0
            && self.flows.peek(&packet.key).is_some_and(|flow| {
                flow.opened_at
                    .is_some_and(|at| now.since(at) < MAXIMUM_COPY_DELAY)
            })
    }

    fn reason_to_decline(&self, header: &ForwardHeader, now: Instant) -> Option<ReturnReason> {
        if self.planned_stop.is_stopping() {
            return Some(ReturnReason::Leaving);
        }
        match self.target.state {
            TargetState::Unknown => return Some(ReturnReason::NoTarget),
            TargetState::Leaving => return Some(ReturnReason::Leaving),
            TargetState::Unresponsive => return Some(ReturnReason::NoTarget),
            TargetState::Ready => {}
        }
        if self.is_excluded() {
            return Some(ReturnReason::ZoneExcluded);
        }
        let grace_has_passed = now.since(self.version_adopted_at) >= VERSION_GRACE;
        if header.version < self.routes.version() && grace_has_passed {
            return Some(ReturnReason::StaleVersion);
        }
        None
    }

    pub(crate) fn target_has_room(&self) -> bool {
        let counted = u32::from(self.load.busy) + u32::from(self.load.opening);
        let delivered = counted.saturating_sub(self.presumed_lost_count.into());
        delivered * PERCENT < u32::from(self.target.slots) * MAXIMUM_LOAD_PERCENT
    }

    /// Whether the balancer's estimate of the target's load is lower than the actual load
    /// by so much that another target may be the better choice.
    fn is_load_underestimated(&self, terms: &OpeningTerms) -> bool {
        let margin = (self.target.slots / 2).max(1);
        terms
            .estimated_load
            .is_some_and(|estimated| self.load.requests() > estimated.saturating_add(margin))
    }

    /// Whether the target is full and has begun no answer for
    /// [`STUCK_AFTER_ANSWER_TIMES`] expected answer times, and for at least
    /// [`MINIMUM_STUCK_TIME`].
    pub(crate) fn is_target_stuck(&self, now: Instant) -> bool {
        let limit =
            (self.expected_answer_time() * STUCK_AFTER_ANSWER_TIMES).max(MINIMUM_STUCK_TIME);
        !self.target_has_room() && now.since(self.last_progress_at) >= limit
    }

    fn enqueue_opening(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        terms: &OpeningTerms,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        let age = Duration::from_millis(terms.age_ms.into());
        self.opening_queue.push(QueuedOpening {
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
        self.update_queued_count();
        self.log_events.add(LogEvent::OpeningQueued {
            key: packet.key,
            balancer: from,
            age,
            load: self.load,
            expected: self.expected_answer_time(),
        });
        ForwardDecision::Queued(PeerMessage::Queued {
            key: packet.key,
            load: self.load,
        })
    }

    pub(crate) fn update_queued_count(&mut self) {
        let queued = self.opening_queue.len() + self.request_queue.len();
        self.load.queued = u16::try_from(queued).unwrap_or(u16::MAX);
    }

    /// Expected time from the delivery of an opening to the answer to its request.
    pub(crate) fn expected_answer_time(&self) -> Duration {
        let service_time = match self.load.service_time_us {
            0 => ASSUMED_SERVICE_TIME,
            mean_us => Duration::from_micros(mean_us.into()),
        };
        service_time + EXCHANGE_TIME
    }

    fn deliver_opening(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        packet: &FlowPacket,
        now: Instant,
    ) {
        self.counters.openings_offered += 1;
        self.replace_flow(packet, FlowState::Offered, from, now);
        self.load.opening += 1;
        self.warm_up.count_request(now);
        self.load.openings_left = self.openings_left(now);
        self.target.unanswered_since.get_or_insert(now);
        self.log_events.add(LogEvent::FlowOffered {
            key: packet.key,
            balancer: from,
            busy: self.load.busy,
            version: header.version,
        });
    }

    /// Delivers queued work while the target has room, and sends back to their balancers
    /// the openings that the target cannot take or that have expired. To be called after
    /// each event.
    pub fn dispatch_queued(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        if self.opening_queue.is_empty() && self.request_queue.is_empty() {
            return;
        }
        if self.target.state != TargetState::Ready || self.is_excluded() {
            let all = self.opening_queue.take_all();
            self.return_openings(all, ReturnReason::NoTarget, now, actions);
        }
        self.stop_counting_silent_accepted(now);
        if self.is_target_stuck(now) {
            let all = self.opening_queue.take_all();
            self.return_openings(all, ReturnReason::Saturated, now, actions);
        }
        if self.must_not_queue_requests(now) {
            return self.deliver_all_queued_requests(now, actions);
        }
        self.remove_expired_work(now, actions);
        while self.target_has_room() {
            match self.next_work(now) {
                Some(NextWork::Opening(opening)) => {
                    self.deliver_queued_opening(opening, now, actions)
                }
                Some(NextWork::Request(key)) => self.deliver_queued_request(&key, now, actions),
                None => break,
            }
        }
    }

    /// Gives up requests that have timed out and returns expired openings to their
    /// balancers.
    fn remove_expired_work(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.give_up_timed_out_requests(now);
        let expired = self.take_expired(now);
        self.counters.openings_expired += u64::try_from(expired.len()).unwrap_or(0);
        self.return_openings(expired, ReturnReason::Expired, now, actions);
    }

    fn deliver_queued_opening(
        &mut self,
        opening: QueuedOpening,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        self.update_queued_count();
        if self.reason_to_decline(&opening.header, now).is_some() {
            return self.return_openings(vec![opening], ReturnReason::StaleVersion, now, actions);
        }
        let urgent_waits = self
            .opening_queue
            .has_urgent_in_time(|key| self.expected_answer_time_of(key), now);
        self.promises
            .record_handover(&opening.promise_input(now), urgent_waits);
        self.deliver_opening(opening.balancer, &opening.header, &opening.packet, now);
        let path = OpeningPath::Queue(now.since(opening.queued_at));
        self.watch_delivered_opening(opening.balancer, &opening.packet, path, now);
        self.log_events.add(LogEvent::WorkDelivered {
            key: opening.packet.key,
            waited: now.since(opening.queued_at),
        });
        actions.push(AgentAction::Deliver {
            balancer: opening.balancer,
            packet: opening.bytes,
            begins_request: None,
        });
    }

    /// Stops counting openings as load that the target has accepted and whose callers
    /// have sent nothing since: most of these callers have chosen another target or have
    /// given up.
    fn stop_counting_silent_accepted(&mut self, now: Instant) {
        while let Some((key, accepted_at)) = self.accepted_without_request.front().copied() {
            if now.since(accepted_at) < FIRST_REQUEST_WITHIN {
                break;
            }
            self.accepted_without_request.pop_front();
            let is_same = self.flows.peek(&key).is_some_and(|flow| {
                flow.state == FlowState::Accepted && flow.state_since == accepted_at
            });
            if is_same {
                self.stop_counting_as_opening(&key);
            }
        }
    }

    /// Returns openings to their balancers, for `usual_reason` unless the target's state
    /// or the configuration gives a better one.
    fn return_openings(
        &mut self,
        openings: Vec<QueuedOpening>,
        usual_reason: ReturnReason,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        self.update_queued_count();
        for opening in openings {
            let reason = self
                .reason_to_decline(&opening.header, now)
                .unwrap_or(usual_reason);
            self.promises.record_given_up(&opening.promise_input(now));
            self.counters.openings_returned += 1;
            actions.push(AgentAction::Return {
                to: opening.balancer,
                message: self.returned_message(reason),
                packet: opening.bytes,
            });
        }
    }

    /// Inserts a flow into the table, and removes the former flow between the same ends
    /// from the load.
    pub(in crate::flow::agent) fn replace_flow(
        &mut self,
        opening: &FlowPacket,
        state: FlowState,
        balancer: NodeAddress,
        now: Instant,
    ) {
        self.remove_flow(&opening.key);
        let flow = TargetFlow {
            state,
            counts_as_opening: state == FlowState::Offered,
            has_answered: false,
            balancer,
            state_since: now,
            opened_at: Some(now),
            busy_since: None,
            caller_next_sequence: opening.sequence.wrapping_add(1),
            request_start_sequence: 0,
            awaits_outcome: false,
        };
        self.flows.insert(opening.key, flow, now);
    }
}

fn promise_input(terms: &OpeningTerms) -> DecidedOpening {
    DecidedOpening {
        age: Duration::from_millis(terms.age_ms.into()),
        timeout: Duration::from_millis(terms.timeout_ms.into()),
        is_urgent: terms.is_urgent,
    }
}
