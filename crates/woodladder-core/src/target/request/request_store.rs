//! Storage of requests without a final outcome: counts, queue order and the
//! times at which they are given up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Instant;

use super::request_id::RequestId;
use super::stage::Stage;

/// What the caller stated about a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTerms {
    pub(super) deadline: Option<Instant>,
    pub(super) repeatable: bool,
}

/// A request without a final outcome: its stage, what the caller stated about it,
/// and when it is given up.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) stage: Stage,
    pub(super) terms: RequestTerms,
    /// Time at which the request is given up unless it has ended before; `None` when
    /// it has no time limit.
    pub(super) give_up_at: Option<Instant>,
}

impl Request {
    /// Splits the request into its stage and terms.
    pub(super) fn into_parts(self) -> (Stage, RequestTerms) {
        (self.stage, self.terms)
    }
}

/// Requests without a final outcome, with three indexes: all of them by identifier,
/// the queued ones in order of arrival, and those with a time limit by the time at
/// which they are given up.
#[derive(Debug, Default)]
pub(super) struct RequestStore {
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    give_up_times: BTreeSet<(Instant, RequestId)>,
    busy_count: u32,
    stream_count: u32,
}

impl RequestStore {
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn queued_count(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn busy_count(&self) -> u32 {
        self.busy_count
    }

    pub(super) fn stream_count(&self) -> u32 {
        self.stream_count
    }

    /// The request that has waited longest.
    pub(super) fn first_queued(&self) -> Option<RequestId> {
        self.queue.front().copied()
    }

    pub(super) fn next_give_up_time(&self) -> Option<Instant> {
        self.give_up_times.first().map(|(at, _)| *at)
    }

    /// The request with the earliest time limit, if that time has come.
    pub(super) fn first_overdue(&self, now: Instant) -> Option<RequestId> {
        let (at, id) = self.give_up_times.first()?;
        (*at <= now).then_some(*id)
    }

    /// Adds a request; one in the queued stage goes to the end of the queue.
    pub(super) fn put(&mut self, id: RequestId, request: Request) {
        if let Some(at) = request.give_up_at {
            self.give_up_times.insert((at, id));
        }
        if request.stage.is_queued() {
            self.queue.push_back(id);
        }
        self.busy_count += u32::from(request.stage.holds_slot());
        self.stream_count += u32::from(request.stage.is_stream());
        self.requests.insert(id, request);
    }

    /// Removes and returns a request if its stage meets the condition.
    pub(super) fn take_if(
        &mut self,
        id: RequestId,
        condition: impl FnOnce(&Stage) -> bool,
    ) -> Option<Request> {
        if !condition(&self.requests.get(&id)?.stage) {
            return None;
        }
        self.take(id)
    }

    /// Removes and returns a request.
    pub(super) fn take(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        if let Some(at) = request.give_up_at {
            self.give_up_times.remove(&(at, id));
        }
        if request.stage.is_queued() {
            self.queue.retain(|queued| *queued != id);
        }
        self.busy_count -= u32::from(request.stage.holds_slot());
        self.stream_count -= u32::from(request.stage.is_stream());
        Some(request)
    }
}
