//! The request table of one target.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Instant;

use super::estimate::Estimate;
use super::event::{RequestAction, RequestEvent};
use super::options::RequestOptions;
use super::outcome::{RefusalReason, UnknownReason};
use super::request_id::RequestId;
use super::stage::{Queued, Stage};
use super::store::{Request, Store, Terms};

type Actions = Vec<RequestAction>;

/// Requests of one target that have no final outcome.
#[derive(Debug)]
pub struct RequestTable {
    options: RequestOptions,
    estimate: Estimate,
    slots: u16,
    takes_arrivals: bool,
    store: Store,
}

/// How many requests are where.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Waiting for a slot.
    pub queued: u32,
    /// Holding a slot.
    pub busy: u32,
    /// Holding a connection and no slot.
    pub streams: u32,
}

impl RequestTable {
    /// A table without requests, for a back end with this many slots.
    #[must_use]
    pub fn new(options: RequestOptions, slots: u16, random: ChaCha8Rng) -> Self {
        Self {
            estimate: Estimate::new(&options, random),
            options,
            slots,
            takes_arrivals: true,
            store: Store::default(),
        }
    }

    /// How many requests are where.
    #[must_use]
    pub fn counts(&self) -> RequestCounts {
        RequestCounts {
            queued: u32::try_from(self.store.queued()).unwrap_or(u32::MAX),
            busy: self.store.busy(),
            streams: self.store.streams(),
        }
    }

    /// Average time that a request holds a slot.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.estimate.service_time()
    }

    /// When the next [`RequestEvent::Tick`] is due, if one is.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.store.next_limit()
    }

    /// Takes an event in.
    pub fn handle(&mut self, event: RequestEvent, now: Instant) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        if !event.brings_answer() {
            self.give_up_late(now, &mut actions);
        }
        self.apply(event, now, &mut actions);
        self.give_up_late(now, &mut actions);
        self.dispatch_waiting(now, &mut actions);
        actions
    }

    fn apply(&mut self, event: RequestEvent, now: Instant, actions: &mut Actions) {
        match event {
            RequestEvent::Arrived {
                id,
                deadline,
                repeatable,
            } => {
                let terms = Terms {
                    deadline,
                    repeatable,
                };
                self.arrived(id, terms, now, actions);
            }
            RequestEvent::BackEndConnected(id) => self.connected(id, actions),
            RequestEvent::AnswerHead { id, streaming } => self.head(id, streaming, now),
            RequestEvent::AnswerEnd { id, complete: true } => self.end(id, now, actions),
            RequestEvent::AnswerEnd { id, .. } => {
                self.break_off(id, UnknownReason::AnswerTruncated, actions);
            }
            RequestEvent::BackEndRefused { id, retry_after } => {
                self.refused_by_back_end(id, retry_after, actions);
            }
            RequestEvent::BackEndFailed(id) => {
                self.break_off(id, UnknownReason::ConnectionBroken, actions);
            }
            RequestEvent::Cancelled(id) => self.cancelled(id, actions),
            RequestEvent::SlotsChanged(slots) => self.slots_changed(slots, actions),
            RequestEvent::RefuseArrivals => self.takes_arrivals = false,
            RequestEvent::TakeArrivals => self.takes_arrivals = true,
            RequestEvent::Tick => {}
        }
    }

    fn arrived(&mut self, id: RequestId, terms: Terms, now: Instant, actions: &mut Actions) {
        if self.store.contains(id) {
            return;
        }
        let queued = Queued::new();
        if let Some(reason) = self.reason_against(terms.deadline, now) {
            let refusal = queued.refuse(reason, self.retry_after(reason));
            actions.push(RequestAction::Refuse { id, refusal });
            return;
        }
        let patience = now + self.options.maximum_wait;
        let limit = terms.deadline.map_or(patience, |at| at.min(patience));
        let request = Request {
            stage: Stage::Queued(queued),
            terms,
            limit: Some(limit),
        };
        self.store.put(id, request);
        // Before late requests are given up: one that need not wait may have a
        // limit of no time at all.
        self.dispatch_waiting(now, actions);
    }

    /// Why a request that arrives now cannot be taken, if it cannot.
    fn reason_against(&self, deadline: Option<Instant>, now: Instant) -> Option<RefusalReason> {
        if !self.takes_arrivals {
            return Some(RefusalReason::Leaving);
        }
        if self.slots == 0 {
            return Some(RefusalReason::BackEndDown);
        }
        let places = self.places();
        if places == 0 {
            return Some(RefusalReason::ConnectionLimit);
        }
        if self.store.queued() == 0 && self.has_free_place() {
            let late = deadline.is_some_and(|at| at <= now);
            return late.then_some(RefusalReason::WouldWaitTooLong);
        }
        if self.store.queued() >= self.options.queue_limit {
            return Some(RefusalReason::QueueFull);
        }
        let wait = self.estimate.wait(self.store.queued() + 1, places);
        let answered_at = now + wait.saturating_add(self.estimate.service_time());
        let late = deadline.is_some_and(|at| at < answered_at);
        let too_long = wait > self.options.maximum_wait;
        (late || too_long).then_some(RefusalReason::WouldWaitTooLong)
    }

    /// Requests that may hold a slot beside the streams that are open.
    fn places(&self) -> u32 {
        let connections = self.options.connection_limit;
        let left = connections.saturating_sub(self.store.streams());
        left.min(u32::from(self.slots))
    }

    fn has_free_place(&self) -> bool {
        self.store.busy() < self.places()
    }

    fn dispatch_waiting(&mut self, now: Instant, actions: &mut Actions) {
        while self.has_free_place() {
            let Some(id) = self.store.first_queued() else {
                return;
            };
            self.dispatch(id, now, actions);
        }
    }

    fn dispatch(&mut self, id: RequestId, now: Instant, actions: &mut Actions) {
        let taken = self.store.take_if(id, Stage::is_queued);
        let Some((Stage::Queued(queued), terms)) = taken.map(Request::into_parts) else {
            return;
        };
        let request = Request {
            stage: Stage::Connecting(queued.dispatch(now)),
            terms,
            limit: terms.deadline,
        };
        self.store.put(id, request);
        actions.push(RequestAction::Dispatch(id));
    }

    fn connected(&mut self, id: RequestId, actions: &mut Actions) {
        let taken = self.store.take_if(id, Stage::is_connecting);
        let Some((Stage::Connecting(connecting), terms)) = taken.map(Request::into_parts) else {
            return;
        };
        let (sent, permit) = connecting.send(id);
        actions.push(RequestAction::Send(permit));
        let request = Request {
            stage: Stage::Sent(sent),
            terms,
            limit: terms.deadline,
        };
        self.store.put(id, request);
    }

    fn head(&mut self, id: RequestId, streaming: bool, now: Instant) {
        let taken = self.store.take_if(id, Stage::is_sent);
        let Some((Stage::Sent(sent), terms)) = taken.map(Request::into_parts) else {
            return;
        };
        let answering = sent.answer(streaming);
        if streaming {
            self.estimate.record(answering.service_time(now));
        }
        let request = Request {
            stage: Stage::Answering(answering),
            terms,
            limit: terms.deadline.filter(|_| !streaming),
        };
        self.store.put(id, request);
    }

    fn end(&mut self, id: RequestId, now: Instant, actions: &mut Actions) {
        let taken = self.store.take_if(id, Stage::is_answering);
        let Some((Stage::Answering(answering), _)) = taken.map(Request::into_parts) else {
            self.break_off(id, UnknownReason::AnswerTruncated, actions);
            return;
        };
        if !answering.is_streaming() {
            self.estimate.record(answering.service_time(now));
        }
        actions.push(RequestAction::Complete(id));
    }

    fn refused_by_back_end(
        &mut self,
        id: RequestId,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let taken = self.store.take_if(id, Stage::is_sent);
        let Some((Stage::Sent(sent), _)) = taken.map(Request::into_parts) else {
            return;
        };
        let wait = retry_after.unwrap_or_else(|| self.time_of_waiting_work());
        let refusal = sent.refused_by_back_end(self.estimate.retry_after(wait));
        actions.push(RequestAction::Refuse { id, refusal });
    }

    /// The exchange with the back end has broken.
    fn break_off(&mut self, id: RequestId, reason: UnknownReason, actions: &mut Actions) {
        if let Some(request) = self.store.take_if(id, |stage| !stage.is_queued()) {
            self.fail(id, request, RefusalReason::ConnectFailed, reason, actions);
        }
    }

    fn give_up_late(&mut self, now: Instant, actions: &mut Actions) {
        while let Some(id) = self.store.first_late(now) {
            let Some(request) = self.store.take(id) else {
                return;
            };
            self.record_given_up(&request, now);
            let not_run = if request.stage.is_queued() {
                RefusalReason::WaitedTooLong
            } else {
                RefusalReason::ConnectedTooLate
            };
            self.fail(id, request, not_run, UnknownReason::DeadlinePassed, actions);
        }
    }

    /// A request given up holds a slot at least as long as it did until then.
    fn record_given_up(&mut self, request: &Request, now: Instant) {
        if let Some(time) = request.stage.service_time(now) {
            self.estimate.record(time.max(self.estimate.service_time()));
        }
    }

    /// The final action for a request that is not answered: what it may say
    /// follows from the stage.
    fn fail(
        &mut self,
        id: RequestId,
        request: Request,
        not_run: RefusalReason,
        unknown: UnknownReason,
        actions: &mut Actions,
    ) {
        if !request.stage.is_queued() {
            actions.push(RequestAction::CloseBackEndConnection(id));
        }
        let repeatable = request.terms.repeatable;
        actions.push(match request.stage {
            Stage::Queued(queued) => RequestAction::Refuse {
                id,
                refusal: queued.refuse(not_run, self.retry_after(not_run)),
            },
            Stage::Connecting(connecting) => RequestAction::Refuse {
                id,
                refusal: connecting.refuse(not_run, self.retry_after(not_run)),
            },
            Stage::Sent(_) => RequestAction::Fail {
                id,
                reason: unknown,
                repeatable,
            },
            Stage::Answering(_) => RequestAction::ResetCaller {
                id,
                reason: unknown,
            },
        });
    }

    fn cancelled(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.store.take(id) else {
            return;
        };
        if !request.stage.is_queued() {
            actions.push(RequestAction::CloseBackEndConnection(id));
        }
        let may_have_run = request.stage.may_have_run();
        actions.push(RequestAction::Forget { id, may_have_run });
    }

    fn slots_changed(&mut self, slots: u16, actions: &mut Actions) {
        self.slots = slots;
        if slots > 0 {
            return;
        }
        while let Some(id) = self.store.first_queued() {
            let Some(request) = self.store.take(id) else {
                return;
            };
            let not_run = RefusalReason::BackEndDown;
            self.fail(
                id,
                request,
                not_run,
                UnknownReason::ConnectionBroken,
                actions,
            );
        }
    }

    fn retry_after(&mut self, reason: RefusalReason) -> Duration {
        let wait = if reason.follows_from_work() {
            self.time_of_waiting_work()
        } else {
            Duration::ZERO
        };
        self.estimate.retry_after(wait)
    }

    /// Time until the requests that wait now have a slot.
    fn time_of_waiting_work(&self) -> Duration {
        self.estimate.wait(self.store.queued() + 1, self.places())
    }
}
