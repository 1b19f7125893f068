//! Requests and connections that are open now, with their age and stage, so that
//! an operator sees what a draining agent waits for.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What an open request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestStage {
    /// The head of the request from the caller.
    ReceivingHead,
    /// The first part of the request's body from the caller.
    ReceivingBody,
    /// A slot of the back end.
    Queued,
    /// The head of the answer from the back end.
    AwaitingAnswer,
    /// The rest of the answer from the back end, or room to send it to the
    /// caller. Feeds stay in this stage.
    SendingAnswer,
    /// The caller's acknowledgement of the whole answer.
    AwaitingAcknowledgement,
}

/// How far a caller's connection has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionStage {
    /// The QUIC or HTTP/3 handshake is not complete.
    Handshake,
    /// Requests are accepted.
    Serving,
    /// The caller was asked to open no more requests, by the first GOAWAY.
    CallerNotified,
    /// Requests are refused, and the last GOAWAY was sent. The connection closes
    /// after its last request.
    Refusing,
    /// The connection accepts no more streams and waits for its last request.
    AwaitingRequests,
}

impl RequestStage {
    /// Name in the status and in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ReceivingHead => "receiving_head",
            Self::ReceivingBody => "receiving_body",
            Self::Queued => "queued",
            Self::AwaitingAnswer => "awaiting_answer",
            Self::SendingAnswer => "sending_answer",
            Self::AwaitingAcknowledgement => "awaiting_acknowledgement",
        }
    }
}

impl ConnectionStage {
    /// Name in the status and in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Handshake => "handshake",
            Self::Serving => "serving",
            Self::CallerNotified => "caller_notified",
            Self::Refusing => "refusing",
            Self::AwaitingRequests => "awaiting_requests",
        }
    }
}

/// The open request or connection that was opened first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OldestWork<Stage> {
    /// Time since it was opened.
    pub age: Duration,
    /// What it waits for, or how far it has come.
    pub stage: Stage,
}

/// All open work of one kind.
pub(super) struct OpenWork<Stage> {
    /// Number of entries, readable without the lock.
    count: AtomicUsize,
    entries: Mutex<Entries<Stage>>,
}

struct Entries<Stage> {
    last_id: u64,
    /// Ordered by identifier, and so by the time of opening.
    by_id: BTreeMap<u64, Entry<Stage>>,
}

struct Entry<Stage> {
    opened_at: Instant,
    stage: Stage,
}

/// Keeps one piece of work open; dropping it ends the work.
pub(super) struct OpenWorkGuard<Stage: Copy> {
    work: Arc<OpenWork<Stage>>,
    id: u64,
}

impl<Stage: Copy> OpenWork<Stage> {
    /// Counts a new piece of work as open, in this stage.
    pub(super) fn open(self: &Arc<Self>, stage: Stage) -> OpenWorkGuard<Stage> {
        let mut entries = self.entries();
        entries.last_id += 1;
        let id = entries.last_id;
        let opened_at = Instant::now();
        entries.by_id.insert(id, Entry { opened_at, stage });
        self.count.store(entries.by_id.len(), Ordering::Release);
        OpenWorkGuard {
            work: Arc::clone(self),
            id,
        }
    }

    /// Number of pieces of work that are open now.
    pub(super) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// The piece of work that was opened first, if any is open.
    pub(super) fn oldest(&self) -> Option<OldestWork<Stage>> {
        let entries = self.entries();
        let (_, oldest) = entries.by_id.first_key_value()?;
        Some(OldestWork {
            age: oldest.opened_at.elapsed(),
            stage: oldest.stage,
        })
    }

    fn close(&self, id: u64) {
        let mut entries = self.entries();
        entries.by_id.remove(&id);
        self.count.store(entries.by_id.len(), Ordering::Release);
    }

    fn entries(&self) -> MutexGuard<'_, Entries<Stage>> {
        // The entries are consistent between calls, so a panic in another task
        // that held the lock does no harm.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<Stage: Copy> OpenWorkGuard<Stage> {
    /// Records that the work has reached this stage.
    pub(super) fn set_stage(&self, stage: Stage) {
        if let Some(entry) = self.work.entries().by_id.get_mut(&self.id) {
            entry.stage = stage;
        }
    }
}

impl<Stage: Copy> Drop for OpenWorkGuard<Stage> {
    fn drop(&mut self) {
        self.work.close(self.id);
    }
}

impl<Stage> Default for OpenWork<Stage> {
    fn default() -> Self {
        Self {
            count: AtomicUsize::new(0),
            entries: Mutex::new(Entries {
                last_id: 0,
                by_id: BTreeMap::new(),
            }),
        }
    }
}

impl<Stage> fmt::Debug for OpenWork<Stage> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("OpenWork")
            .field("count", &self.count)
            .finish_non_exhaustive()
    }
}
