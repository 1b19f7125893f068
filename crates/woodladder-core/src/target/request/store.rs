//! Requests without a final outcome, with the counts and orders over them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Instant;

use super::request_id::RequestId;
use super::stage::Stage;

/// What the caller stated about a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) deadline: Option<Instant>,
    pub(super) repeatable: bool,
}

/// A request, taken out of the store.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) stage: Stage,
    pub(super) terms: Terms,
    /// When it is given up.
    pub(super) limit: Option<Instant>,
}

impl Request {
    /// The stage and the terms, each to be used by itself.
    pub(super) fn into_parts(self) -> (Stage, Terms) {
        (self.stage, self.terms)
    }
}

/// Requests by identifier, by time and in the order of waiting.
#[derive(Debug, Default)]
pub(super) struct Store {
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    limits: BTreeSet<(Instant, RequestId)>,
    busy: u32,
    streams: u32,
}

impl Store {
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn busy(&self) -> u32 {
        self.busy
    }

    pub(super) fn streams(&self) -> u32 {
        self.streams
    }

    /// The request that has waited longest.
    pub(super) fn first_queued(&self) -> Option<RequestId> {
        self.queue.front().copied()
    }

    pub(super) fn next_limit(&self) -> Option<Instant> {
        self.limits.first().map(|(at, _)| *at)
    }

    /// The request to be given up first, when its time has come.
    pub(super) fn first_late(&self, now: Instant) -> Option<RequestId> {
        let (at, id) = self.limits.first()?;
        (*at <= now).then_some(*id)
    }

    /// Puts a request in; one that waits goes to the end of the queue.
    pub(super) fn put(&mut self, id: RequestId, request: Request) {
        if let Some(at) = request.limit {
            self.limits.insert((at, id));
        }
        if request.stage.is_queued() {
            self.queue.push_back(id);
        }
        self.busy += u32::from(request.stage.holds_slot());
        self.streams += u32::from(request.stage.is_stream());
        self.requests.insert(id, request);
    }

    /// Takes a request out when its stage is as wanted.
    pub(super) fn take_if(
        &mut self,
        id: RequestId,
        wanted: impl FnOnce(&Stage) -> bool,
    ) -> Option<Request> {
        if !wanted(&self.requests.get(&id)?.stage) {
            return None;
        }
        self.take(id)
    }

    pub(super) fn take(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        if let Some(at) = request.limit {
            self.limits.remove(&(at, id));
        }
        if request.stage.is_queued() {
            self.queue.retain(|queued| *queued != id);
        }
        self.busy -= u32::from(request.stage.holds_slot());
        self.streams -= u32::from(request.stage.is_stream());
        Some(request)
    }
}
