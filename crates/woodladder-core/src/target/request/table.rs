//! The request table of one target: the state machine of its requests.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Instant;

use super::event::{RequestAction, RequestEvent};
use super::options::RequestOptions;
use super::outcome::{RefusalReason, UnknownReason};
use super::request_id::RequestId;
use super::request_store::{Request, RequestStore, RequestTerms};
use super::service_time_estimate::ServiceTimeEstimate;
use super::stage::{Queued, Stage};

type Actions = Vec<RequestAction>;

/// State machine of the requests of one target that have no final outcome.
#[derive(Debug)]
pub struct RequestTable {
    options: RequestOptions,
    estimate: ServiceTimeEstimate,
    slots: u16,
    takes_arrivals: bool,
    store: RequestStore,
}

/// Number of requests by stage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Waiting for a slot.
    pub queued: u32,
    /// Holding a slot.
    pub busy: u32,
    /// Holding a connection but no slot.
    pub streams: u32,
}

impl RequestTable {
    /// An empty table, for a back end with this many slots.
    #[must_use]
    pub fn new(options: RequestOptions, slots: u16, random: ChaCha8Rng) -> Self {
        Self {
            estimate: ServiceTimeEstimate::new(&options, random),
            options,
            slots,
            takes_arrivals: true,
            store: RequestStore::default(),
        }
    }

    /// Number of requests by stage.
    #[must_use]
    pub fn counts(&self) -> RequestCounts {
        RequestCounts {
            queued: u32::try_from(self.store.queued_count()).unwrap_or(u32::MAX),
            busy: self.store.busy_count(),
            streams: self.store.stream_count(),
        }
    }

    /// Moving average of the time that a request holds a slot.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.estimate.service_time()
    }

    /// When the next [`RequestEvent::Tick`] is due, if one is.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.store.next_give_up_time()
    }

    /// Handles an event.
    pub fn handle(&mut self, event: RequestEvent, now: Instant) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        if !event.is_part_of_answer() {
            self.give_up_overdue(now, &mut actions);
        }
        self.apply(event, now, &mut actions);
        self.give_up_overdue(now, &mut actions);
        self.dispatch_queued(now, &mut actions);
        actions
    }

    fn apply(&mut self, event: RequestEvent, now: Instant, actions: &mut Actions) {
        match event {
            RequestEvent::Arrived {
                id,
                deadline,
                repeatable,
            } => {
                let terms = RequestTerms {
                    deadline,
                    repeatable,
                };
                self.handle_arrival(id, terms, now, actions);
            }
            RequestEvent::BackEndConnected(id) => self.handle_connected(id, actions),
            RequestEvent::AnswerHead { id, streaming } => {
                self.handle_answer_head(id, streaming, now)
            }
            RequestEvent::AnswerEnd { id, complete: true } => {
                self.handle_complete_answer(id, now, actions)
            }
            RequestEvent::AnswerEnd { id, .. } => {
                self.fail_exchange(id, UnknownReason::AnswerTruncated, actions);
            }
            RequestEvent::BackEndRefused { id, retry_after } => {
                self.handle_back_end_refusal(id, retry_after, actions);
            }
            RequestEvent::BackEndFailed(id) => {
                self.fail_exchange(id, UnknownReason::ConnectionBroken, actions);
            }
            RequestEvent::Cancelled(id) => self.handle_cancellation(id, actions),
            RequestEvent::SlotsChanged(slots) => self.handle_slots_changed(slots, actions),
            RequestEvent::RefuseArrivals => self.takes_arrivals = false,
            RequestEvent::TakeArrivals => self.takes_arrivals = true,
            RequestEvent::Tick => {}
        }
    }

    fn handle_arrival(
        &mut self,
        id: RequestId,
        terms: RequestTerms,
        now: Instant,
        actions: &mut Actions,
    ) {
        if self.store.contains(id) {
            return;
        }
        let queued = Queued::new();
        if let Some(reason) = self.refusal_on_arrival(terms.deadline, now) {
            let refusal = queued.refuse(reason, self.retry_after(reason));
            actions.push(RequestAction::Refuse { id, refusal });
            return;
        }
        let latest = now + self.options.maximum_wait;
        let give_up_at = terms.deadline.map_or(latest, |at| at.min(latest));
        let request = Request {
            stage: Stage::Queued(queued),
            terms,
            give_up_at: Some(give_up_at),
        };
        self.store.put(id, request);
        // Dispatches before overdue requests are given up: a request that need
        // not be queued is dispatched even when `maximum_wait` is zero.
        self.dispatch_queued(now, actions);
    }

    /// Why a request that arrives now is refused, or `None` when it is accepted.
    fn refusal_on_arrival(&self, deadline: Option<Instant>, now: Instant) -> Option<RefusalReason> {
        if !self.takes_arrivals {
            return Some(RefusalReason::Leaving);
        }
        if self.slots == 0 {
            return Some(RefusalReason::BackEndDown);
        }
        let usable_slots = self.usable_slots();
        if usable_slots == 0 {
            return Some(RefusalReason::ConnectionLimit);
        }
        if self.store.queued_count() == 0 && self.has_free_slot() {
            let is_late = deadline.is_some_and(|at| at <= now);
            return is_late.then_some(RefusalReason::WouldWaitTooLong);
        }
        if self.store.queued_count() >= self.options.queue_limit {
            return Some(RefusalReason::QueueFull);
        }
        let wait = self
            .estimate
            .queue_wait(self.store.queued_count() + 1, usable_slots);
        let answered_at = now + wait.saturating_add(self.estimate.service_time());
        let is_late = deadline.is_some_and(|at| at < answered_at);
        let is_too_long = wait > self.options.maximum_wait;
        (is_late || is_too_long).then_some(RefusalReason::WouldWaitTooLong)
    }

    /// Slots that requests can use: open streams hold connections, so the
    /// connection limit may leave less than all slots.
    fn usable_slots(&self) -> u32 {
        let connections = self.options.connection_limit;
        let left = connections.saturating_sub(self.store.stream_count());
        left.min(u32::from(self.slots))
    }

    fn has_free_slot(&self) -> bool {
        self.store.busy_count() < self.usable_slots()
    }

    fn dispatch_queued(&mut self, now: Instant, actions: &mut Actions) {
        while self.has_free_slot() {
            let Some(id) = self.store.first_queued() else {
                return;
            };
            self.dispatch(id, now, actions);
        }
    }

    fn dispatch(&mut self, id: RequestId, now: Instant, actions: &mut Actions) {
        let removed = self.store.take_if(id, Stage::is_queued);
        let Some((Stage::Queued(queued), terms)) = removed.map(Request::into_parts) else {
            return;
        };
        let request = Request {
            stage: Stage::Connecting(queued.dispatch(now)),
            terms,
            give_up_at: terms.deadline,
        };
        self.store.put(id, request);
        actions.push(RequestAction::Dispatch(id));
    }

    fn handle_connected(&mut self, id: RequestId, actions: &mut Actions) {
        let removed = self.store.take_if(id, Stage::is_connecting);
        let Some((Stage::Connecting(connecting), terms)) = removed.map(Request::into_parts) else {
            return;
        };
        let (sent, permit) = connecting.send(id);
        actions.push(RequestAction::Send(permit));
        let request = Request {
            stage: Stage::Sent(sent),
            terms,
            give_up_at: terms.deadline,
        };
        self.store.put(id, request);
    }

    fn handle_answer_head(&mut self, id: RequestId, streaming: bool, now: Instant) {
        let removed = self.store.take_if(id, Stage::is_sent);
        let Some((Stage::Sent(sent), terms)) = removed.map(Request::into_parts) else {
            return;
        };
        let answering = sent.answer(streaming);
        if streaming {
            self.estimate.record(answering.service_time(now));
        }
        let request = Request {
            stage: Stage::Answering(answering),
            terms,
            give_up_at: terms.deadline.filter(|_| !streaming),
        };
        self.store.put(id, request);
    }

    fn handle_complete_answer(&mut self, id: RequestId, now: Instant, actions: &mut Actions) {
        let removed = self.store.take_if(id, Stage::is_answering);
        let Some((Stage::Answering(answering), _)) = removed.map(Request::into_parts) else {
            self.fail_exchange(id, UnknownReason::AnswerTruncated, actions);
            return;
        };
        if !answering.is_streaming() {
            self.estimate.record(answering.service_time(now));
        }
        actions.push(RequestAction::Complete(id));
    }

    fn handle_back_end_refusal(
        &mut self,
        id: RequestId,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let removed = self.store.take_if(id, Stage::is_sent);
        let Some((Stage::Sent(sent), _)) = removed.map(Request::into_parts) else {
            return;
        };
        let wait = retry_after.unwrap_or_else(|| self.queue_wait());
        let refusal = sent.refused_by_back_end(self.estimate.retry_after(wait));
        actions.push(RequestAction::Refuse { id, refusal });
    }

    /// The exchange with the back end has failed.
    fn fail_exchange(&mut self, id: RequestId, reason: UnknownReason, actions: &mut Actions) {
        if let Some(request) = self.store.take_if(id, |stage| !stage.is_queued()) {
            self.end_unanswered(id, request, RefusalReason::ConnectFailed, reason, actions);
        }
    }

    fn give_up_overdue(&mut self, now: Instant, actions: &mut Actions) {
        while let Some(id) = self.store.first_overdue(now) {
            let Some(request) = self.store.take(id) else {
                return;
            };
            self.record_service_time_so_far(&request, now);
            let refusal_reason = if request.stage.is_queued() {
                RefusalReason::WaitedTooLong
            } else {
                RefusalReason::ConnectedTooLate
            };
            self.end_unanswered(
                id,
                request,
                refusal_reason,
                UnknownReason::DeadlinePassed,
                actions,
            );
        }
    }

    /// Records how long a given-up request has held its slot. At least the average
    /// is recorded, because giving up cuts the measured time short.
    fn record_service_time_so_far(&mut self, request: &Request, now: Instant) {
        if let Some(time) = request.stage.service_time(now) {
            self.estimate.record(time.max(self.estimate.service_time()));
        }
    }

    /// Adds the final action for a request that is not answered. The stage
    /// decides between a refusal (not run), a failure (outcome unknown) and a
    /// reset of the caller's stream.
    fn end_unanswered(
        &mut self,
        id: RequestId,
        request: Request,
        refusal_reason: RefusalReason,
        unknown_reason: UnknownReason,
        actions: &mut Actions,
    ) {
        if !request.stage.is_queued() {
            actions.push(RequestAction::CloseBackEndConnection(id));
        }
        let repeatable = request.terms.repeatable;
        actions.push(match request.stage {
            Stage::Queued(queued) => RequestAction::Refuse {
                id,
                refusal: queued.refuse(refusal_reason, self.retry_after(refusal_reason)),
            },
            Stage::Connecting(connecting) => RequestAction::Refuse {
                id,
                refusal: connecting.refuse(refusal_reason, self.retry_after(refusal_reason)),
            },
            Stage::Sent(_) => RequestAction::Fail {
                id,
                reason: unknown_reason,
                repeatable,
            },
            Stage::Answering(_) => RequestAction::ResetCaller {
                id,
                reason: unknown_reason,
            },
        });
    }

    fn handle_cancellation(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.store.take(id) else {
            return;
        };
        if !request.stage.is_queued() {
            actions.push(RequestAction::CloseBackEndConnection(id));
        }
        let may_have_run = request.stage.may_have_run();
        actions.push(RequestAction::Forget { id, may_have_run });
    }

    fn handle_slots_changed(&mut self, slots: u16, actions: &mut Actions) {
        self.slots = slots;
        if slots > 0 {
            return;
        }
        while let Some(id) = self.store.first_queued() {
            let Some(request) = self.store.take(id) else {
                return;
            };
            let refusal_reason = RefusalReason::BackEndDown;
            self.end_unanswered(
                id,
                request,
                refusal_reason,
                UnknownReason::ConnectionBroken,
                actions,
            );
        }
    }

    fn retry_after(&mut self, reason: RefusalReason) -> Duration {
        let wait = if reason.is_caused_by_load() {
            self.queue_wait()
        } else {
            Duration::ZERO
        };
        self.estimate.retry_after(wait)
    }

    /// Estimated time until a request behind all queued ones would be dispatched.
    /// While all slots are busy, that takes one released slot for each queued
    /// request and one more for the request itself.
    fn queue_wait(&self) -> Duration {
        self.estimate
            .queue_wait(self.store.queued_count() + 1, self.usable_slots())
    }
}
