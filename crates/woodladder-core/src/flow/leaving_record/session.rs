//! Schedules when an agent reads, writes and removes its leaving record.
//!
//! Each write is conditional on the known revision, so that a delayed one cannot undo a
//! later one.

use std::time::Duration;

use super::LeavingStart;
use crate::clock::Instant;
use crate::flow::store_session::{Backoff, NextCall, StoreCall, StoreReply};

/// Time after the first attempt to read the record after which the agent no longer waits
/// for it: the store is away, and callers would find no target. The agent goes on asking.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks while there is nothing to do.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallInFlight {
    Read,
    Write(Option<LeavingStart>),
}

/// The record of one agent, with at most one call at a time.
#[derive(Clone, Debug)]
pub struct LeavingRecordSession {
    is_read: bool,
    /// Whether no former process can have acknowledged a leaving of a target that still
    /// runs.
    is_irrelevant: bool,
    first_read_at: Option<Instant>,
    /// Content of the record in the store, as far as known.
    stored: Option<LeavingStart>,
    /// Revision of the store entry; zero if there is none.
    revision: u64,
    in_flight: Option<CallInFlight>,
    due_at: Instant,
    backoff: Backoff,
}

impl LeavingRecordSession {
    /// A session that has not read the record yet.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            is_read: false,
            is_irrelevant: false,
            first_read_at: None,
            stored: None,
            revision: 0,
            in_flight: None,
            due_at: now,
            backoff: Backoff::new(seed),
        }
    }

    /// Whether the record has been read, or cannot concern the present target.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.is_read || self.is_irrelevant
    }

    /// Records that no former process can have acknowledged a leaving of a target that
    /// still runs. The record is read all the same, and removed if there is one.
    pub fn set_irrelevant(&mut self) {
        self.is_irrelevant = true;
    }

    /// Whether the agent has waited for the record for so long that it goes on without it.
    #[must_use]
    pub fn has_timed_out(&self, now: Instant) -> bool {
        let since = self.first_read_at.map(|at| now.since(at));
        since.is_some_and(|waited| waited >= READ_TIMEOUT)
    }

    /// Whether the store holds exactly this record.
    #[must_use]
    pub fn holds(&self, start: &LeavingStart) -> bool {
        self.stored.as_ref() == Some(start)
    }

    /// The call that is due. `wanted` is what the record should contain; `None` if there
    /// should be none.
    pub fn next(&mut self, wanted: Option<LeavingStart>, now: Instant) -> NextCall {
        if self.in_flight.is_some() {
            return NextCall::At(now + IDLE_INTERVAL);
        }
        if now < self.due_at {
            return NextCall::At(self.due_at);
        }
        if !self.is_read {
            self.first_read_at.get_or_insert(now);
            self.in_flight = Some(CallInFlight::Read);
            return NextCall::Now(StoreCall::ReadLeavingRecord);
        }
        if wanted == self.stored {
            return NextCall::At(now + IDLE_INTERVAL);
        }
        self.in_flight = Some(CallInFlight::Write(wanted));
        NextCall::Now(StoreCall::WriteLeavingRecord {
            revision: self.revision,
            bytes: wanted.map(|start| start.encode()),
        })
    }

    /// Handles a reply; returns the leaving that a former process has acknowledged, when
    /// the record was read.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Option<LeavingStart> {
        match (self.in_flight.take(), reply) {
            (Some(CallInFlight::Read), StoreReply::Record { value, revision }) => {
                self.backoff.reset();
                self.is_read = true;
                self.revision = revision;
                self.stored = value.and_then(|bytes| LeavingStart::decode(&bytes));
                self.stored.filter(|_| !self.is_irrelevant)
            }
            (Some(CallInFlight::Write(written)), StoreReply::RecordWritten { revision }) => {
                self.backoff.reset();
                self.stored = written;
                self.revision = if written.is_some() { revision } else { 0 };
                None
            }
            (Some(CallInFlight::Write(_)), StoreReply::RecordChanged { revision }) => {
                // An earlier write without an answer took effect after all, or a former
                // process left a record.
                self.revision = revision;
                self.due_at = now + self.backoff.next_pause();
                None
            }
            // A write may have taken effect, or may still do so.
            _ => {
                self.due_at = now + self.backoff.next_pause();
                None
            }
        }
    }
}
