//! What waits at the agent as the serving order sees it, and what is handed over next.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::agent::admission::order::{WaitingWork, expected_wait};
use crate::flow::agent::admission::queue::{LONGEST_WAIT, QueuedOpening};
use crate::flow::agent::admission::service_times::EXCHANGE;
use crate::flow::identity::FlowKey;
use crate::flow::message::OpeningTerms;

/// How much waits, by kind and importance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueuedCounts {
    /// Openings of routes that matter more than another one of the service.
    pub urgent_openings: usize,
    /// Other openings.
    pub openings: usize,
    /// Requests on open flows of such routes.
    pub urgent_requests: usize,
    /// Other requests on open flows.
    pub requests: usize,
}

impl QueuedCounts {
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
                timeout: opening.timeout.min(LONGEST_WAIT),
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
                timeout: request.terms.timeout,
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
            timeout: Duration::from_millis(terms.timeout_ms.into()).min(LONGEST_WAIT),
            expected: self.expected_of(key),
            is_urgent: terms.is_urgent,
            is_allowed: true,
        };
        let (waiting, _) = self.waiting(now);
        let begins_at = age + expected_wait(&opening, &waiting, self.target.capacity, now);
        let timeout = Duration::from_millis(terms.timeout_ms.into());
        begins_at >= LONGEST_WAIT || begins_at + opening.expected >= timeout
    }

    /// What waits, by kind and importance.
    #[must_use]
    pub fn queued_counts(&self) -> QueuedCounts {
        let urgent_openings = self.queue.iter().filter(|it| it.is_urgent).count();
        let urgent_requests = self
            .held
            .iter()
            .filter(|(_, request)| request.terms.is_urgent)
            .count();
        QueuedCounts {
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
}
