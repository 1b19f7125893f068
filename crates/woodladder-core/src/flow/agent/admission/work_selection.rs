//! The agent's queued work as input of the serving order, and the choice of the work that
//! is delivered next.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::agent::admission::opening_queue::{MAXIMUM_OPENING_AGE, QueuedOpening};
use crate::flow::agent::admission::service_times::EXCHANGE_TIME;
use crate::flow::agent::admission::serving_order::{QueuedWork, expected_wait};
use crate::flow::identity::FlowKey;
use crate::flow::message::OpeningTerms;

/// Amount of queued work, by kind and priority.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueuedCounts {
    /// Openings of routes with a higher priority than another route of the service.
    pub urgent_openings: usize,
    /// Openings of all other routes.
    pub openings: usize,
    /// Requests on open flows of routes with a higher priority than another route of the
    /// service.
    pub urgent_requests: usize,
    /// Requests on open flows of all other routes.
    pub requests: usize,
}

impl QueuedCounts {
    /// All work of routes with a higher priority than another route of the service.
    #[must_use]
    pub fn urgent(&self) -> usize {
        self.urgent_openings + self.urgent_requests
    }
}

/// The work that is delivered next.
pub(crate) enum NextWork {
    /// An opening.
    Opening(QueuedOpening),
    /// The request of an open flow.
    Request(FlowKey),
}

impl Agent {
    /// Expected time from the delivery of a flow's opening or request to the answer.
    pub(crate) fn expected_answer_time_of(&self, key: &FlowKey) -> Duration {
        if !self.mechanisms.orders_requests {
            return self.expected_answer_time();
        }
        self.service_times
            .expected_time(key.service)
            .map_or_else(|| self.expected_answer_time(), |time| time + EXCHANGE_TIME)
    }

    /// Removes the openings that have reached [`MAXIMUM_OPENING_AGE`], or whose answers
    /// would come only after their timeout.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<QueuedOpening> {
        let mean_time = self.expected_answer_time();
        let times = &self.service_times;
        let is_by_route = self.mechanisms.orders_requests;
        let expected_time = |key: &FlowKey| match times.expected_time(key.service) {
            Some(time) if is_by_route => time + EXCHANGE_TIME,
            _ => mean_time,
        };
        self.opening_queue.take_expired(expected_time, now)
    }

    /// All queued work: the openings in the order of their queue, then the requests,
    /// whose keys are returned too.
    fn queued_work(&self, now: Instant) -> (Vec<QueuedWork>, Vec<FlowKey>) {
        let may_deliver_openings = self.openings_left(now) != Some(0);
        let mut queued: Vec<QueuedWork> = self
            .opening_queue
            .iter()
            .map(|opening| QueuedWork {
                first_sent: opening.first_sent,
                aim: opening.aim,
                timeout: opening.timeout.min(MAXIMUM_OPENING_AGE),
                expected_time: self.expected_answer_time_of(&opening.packet.key),
                is_urgent: opening.is_urgent,
                is_eligible: may_deliver_openings,
            })
            .collect();
        let mut keys = Vec::with_capacity(self.request_queue.len());
        for (key, request) in self.request_queue.iter() {
            keys.push(*key);
            queued.push(QueuedWork {
                first_sent: request.first_seen,
                aim: request.terms.aim,
                timeout: request.terms.timeout,
                expected_time: self.expected_answer_time_of(key),
                is_urgent: request.terms.is_urgent,
                is_eligible: true,
            });
        }
        (queued, keys)
    }

    /// Chooses the work that is delivered next. An opening is removed from its queue; a
    /// request stays queued until it is delivered.
    pub(crate) fn next_work(&mut self, now: Instant) -> Option<NextWork> {
        if !self.mechanisms.orders_requests && self.request_queue.is_empty() {
            if self.openings_left(now) == Some(0) {
                return None;
            }
            let expected_time = self.expected_answer_time();
            return self
                .opening_queue
                .take_next(expected_time, now)
                .map(NextWork::Opening);
        }
        let (queued, keys) = self.queued_work(now);
        let chosen = self.serving_order.choose(&queued, self.target.slots, now)?;
        match chosen.checked_sub(self.opening_queue.len()) {
            Some(index) => keys.get(index).copied().map(NextWork::Request),
            None => self.opening_queue.take(chosen).map(NextWork::Opening),
        }
    }

    /// Whether an opening that would have to be queued here would be answered too late to
    /// be of use.
    pub(crate) fn would_be_answered_too_late(
        &self,
        key: &FlowKey,
        terms: &OpeningTerms,
        now: Instant,
    ) -> bool {
        if !self.mechanisms.orders_requests {
            return false;
        }
        let age = Duration::from_millis(terms.age_ms.into());
        let opening = QueuedWork {
            first_sent: Instant::from_origin(now.since_origin().saturating_sub(age)),
            aim: Duration::from_millis(terms.aim_ms.into()),
            timeout: Duration::from_millis(terms.timeout_ms.into()).min(MAXIMUM_OPENING_AGE),
            expected_time: self.expected_answer_time_of(key),
            is_urgent: terms.is_urgent,
            is_eligible: true,
        };
        let (queued, _) = self.queued_work(now);
        let age_at_delivery = age + expected_wait(&opening, &queued, self.target.slots, now);
        let timeout = Duration::from_millis(terms.timeout_ms.into());
        age_at_delivery >= MAXIMUM_OPENING_AGE || age_at_delivery + opening.expected_time >= timeout
    }

    /// Amount of queued work, by kind and priority.
    #[must_use]
    pub fn queued_counts(&self) -> QueuedCounts {
        let urgent_openings = self.opening_queue.iter().filter(|it| it.is_urgent).count();
        let urgent_requests = self
            .request_queue
            .iter()
            .filter(|(_, request)| request.terms.is_urgent)
            .count();
        QueuedCounts {
            urgent_openings,
            openings: self.opening_queue.len() - urgent_openings,
            urgent_requests,
            requests: self.request_queue.len() - urgent_requests,
        }
    }

    /// Whether an opening or a request of an open flow is queued.
    pub(crate) fn has_queued_work(&self) -> bool {
        !self.opening_queue.is_empty() || !self.request_queue.is_empty()
    }
}
