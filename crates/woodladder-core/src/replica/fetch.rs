//! Fetches the snapshot of a record: by chunks from nodes that have it, or
//! from the key-value service when none has.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
    OfferedDelta, RecordRequest,
};
use crate::digest::Digest;
use crate::replica::copy_assembly::{ChunkRange, CopyAssembly};
use crate::replica::pace::Pace;
use crate::replica::store_reader::jittered;
use crate::roll_record::RollRecord;
use crate::store_operation::StoreRequestId;

const MAXIMUM_SOURCES: usize = 8;
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(400);
const BUSY_PAUSE: Duration = Duration::from_millis(150);
const FAILURES_BEFORE_STORE: u32 = 3;
const STORE_TIME_LIMIT: Duration = Duration::from_secs(10);
/// Mean time that a node waits for others before it reads a snapshot whose
/// record it read in the key-value service.
const SOON: Duration = Duration::from_millis(200);
const FIRST_STORE_BACKOFF: Duration = Duration::from_secs(1);
const LONGEST_STORE_BACKOFF: Duration = Duration::from_secs(30);
/// Longest delta worth fetching in chunks.
const MAXIMUM_DELTA_LENGTH: u32 = 256 * 1024;

/// What a fetch asks for.
#[derive(Clone, Debug)]
pub(super) enum FetchAction {
    Send(SocketAddr, ControlMessage),
    ReadStore(Digest),
}

/// A whole copy.
#[derive(Clone, Debug)]
pub(super) enum Fetched {
    Snapshot(Vec<u8>),
    Delta(Vec<u8>),
}

/// A question to a source without an answer so far.
#[derive(Clone, Copy, Debug)]
enum Question {
    Delta,
    Chunks(ChunkRange),
}

/// Reading the snapshot from the key-value service.
#[derive(Clone, Copy, Debug)]
enum StoreStage {
    NotNeeded,
    DueAt(Instant),
    Reading(StoreRequestId, Instant),
}

/// The fetch of one record's snapshot.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    record: RollRecord,
    have: RecordRequest,
    sources: Vec<SocketAddr>,
    assembly: CopyAssembly,
    delta_asked: bool,
    question: Option<(Question, Instant)>,
    resume_at: Instant,
    failures: u32,
    store: StoreStage,
    store_backoff: Duration,
}

impl Fetch {
    /// Begins to fetch what `record` names, starting from what `have` states.
    pub(super) fn new(record: RollRecord, have: RecordRequest, now: Instant) -> Self {
        let assembly = snapshot_assembly(&record);
        Self {
            record,
            have,
            sources: Vec::new(),
            assembly,
            delta_asked: have.have == Digest::default(),
            question: None,
            resume_at: now,
            failures: 0,
            store: StoreStage::NotNeeded,
            store_backoff: FIRST_STORE_BACKOFF,
        }
    }

    pub(super) fn record(&self) -> &RollRecord {
        &self.record
    }

    /// Whether no source has delivered for a while.
    pub(super) fn is_stuck(&self) -> bool {
        self.sources.is_empty() || self.failures > FAILURES_BEFORE_STORE
    }

    /// Allows the key-value service to be read soon: the record was read there,
    /// so only as many nodes know it as may read.
    pub(super) fn read_store_soon(&mut self, now: Instant, random: &mut impl Rng) {
        if matches!(self.store, StoreStage::NotNeeded) {
            let wait = jittered(SOON, random);
            self.store = StoreStage::DueAt(now + wait);
        }
    }

    /// Adds a node that has the snapshot.
    pub(super) fn add_source(&mut self, source: SocketAddr) {
        if self.sources.contains(&source) {
            return;
        }
        if self.sources.len() == MAXIMUM_SOURCES {
            self.sources.pop();
        }
        self.sources.push(source);
    }

    /// Takes note of the delta that a source offered in place of a copy.
    pub(super) fn offered(&mut self, delta: &OfferedDelta) {
        if matches!(self.question, Some((Question::Delta, _))) {
            self.question = None;
        }
        match delta {
            OfferedDelta::Chunked { base, length } if *base == self.have.have => {
                self.begin_delta(*length);
            }
            OfferedDelta::None => self.delta_asked = true,
            _ => {}
        }
    }

    /// What is due.
    pub(super) fn due(
        &mut self,
        store_spread: Duration,
        pace: &mut Pace,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<FetchAction> {
        self.give_up_overdue(now);
        let mut actions = Vec::new();
        if self.question.is_none() && now >= self.resume_at {
            actions.extend(self.ask(pace, now));
        }
        if self.is_stuck() && matches!(self.store, StoreStage::NotNeeded) {
            let wait = store_spread.mul_f64(random.random_range(0.0..1.0));
            self.store = StoreStage::DueAt(now + wait);
        }
        actions.extend(self.read_store(now));
        actions
    }

    /// Takes note of the number of the read that was asked for.
    pub(super) fn store_asked(&mut self, request: StoreRequestId, now: Instant) {
        self.store = StoreStage::Reading(request, now + STORE_TIME_LIMIT);
    }

    /// Whether this is the number of the read under way.
    pub(super) fn is_reading(&self, request: StoreRequestId) -> bool {
        matches!(self.store, StoreStage::Reading(known, _) if known == request)
    }

    /// Takes note that the service did not deliver the snapshot.
    pub(super) fn store_failed(&mut self, now: Instant, random: &mut impl Rng) {
        self.store = StoreStage::DueAt(now + jittered(self.store_backoff, random));
        self.store_backoff = LONGEST_STORE_BACKOFF.min(self.store_backoff * 2);
    }

    /// Takes a chunk; the whole copy once it is complete.
    pub(super) fn chunk(&mut self, chunk: CopyChunk) -> Option<Fetched> {
        if !self.assembly.add(chunk) {
            return None;
        }
        self.failures = 0;
        if let Some((Question::Chunks(range), _)) = self.question
            && self.assembly.has(range)
        {
            self.question = None;
        }
        let bytes = self.assembly.whole()?;
        Some(match self.assembly.content() {
            CopyContent::Snapshot(_) => Fetched::Snapshot(bytes),
            CopyContent::Delta { .. } => Fetched::Delta(bytes),
        })
    }

    /// Takes note that a source refused.
    pub(super) fn refused(&mut self, from: SocketAddr, refused: &CopyRefused, now: Instant) {
        if refused.content != self.assembly.content() {
            return;
        }
        self.question = None;
        match refused.reason {
            CopyRefusal::Busy => {
                self.rotate();
                self.resume_at = now + BUSY_PAUSE;
            }
            CopyRefusal::NotHeld if self.is_fetching_delta() => self.begin_snapshot(),
            CopyRefusal::NotHeld => self.sources.retain(|source| *source != from),
        }
    }

    /// Begins again, after a copy that was wrong as a whole.
    pub(super) fn copy_was_wrong(&mut self) {
        if !self.is_fetching_delta() && !self.sources.is_empty() {
            self.sources.remove(0);
        }
        self.begin_snapshot();
    }

    pub(super) fn next_wakeup(&self, pace: &Pace) -> Option<Instant> {
        let store = match self.store {
            StoreStage::NotNeeded => None,
            StoreStage::DueAt(at) | StoreStage::Reading(_, at) => Some(at),
        };
        let question = match self.question {
            Some((_, limit)) => Some(limit),
            None if self.sources.is_empty() => None,
            None => Some(self.resume_at.max(self.pace_allows_at(pace))),
        };
        [store, question].into_iter().flatten().min()
    }

    /// The read of the key-value service, unless sources deliver by now.
    fn read_store(&mut self, now: Instant) -> Option<FetchAction> {
        let StoreStage::DueAt(due) = self.store else {
            return None;
        };
        if now < due {
            return None;
        }
        if !self.is_stuck() {
            self.store = StoreStage::NotNeeded;
            return None;
        }
        self.store = StoreStage::DueAt(now + STORE_TIME_LIMIT);
        Some(FetchAction::ReadStore(self.record.statement.snapshot))
    }

    fn pace_allows_at(&self, pace: &Pace) -> Instant {
        let range = self.assembly.next_missing();
        pace.available_at(range.map_or(0, byte_length))
    }

    fn ask(&mut self, pace: &mut Pace, now: Instant) -> Option<FetchAction> {
        let source = *self.sources.first()?;
        let limit = now + ANSWER_TIME_LIMIT;
        if !self.delta_asked {
            self.delta_asked = true;
            self.question = Some((Question::Delta, limit));
            return Some(FetchAction::Send(
                source,
                ControlMessage::RecordRequest(self.have),
            ));
        }
        let range = self.assembly.next_missing()?;
        if !pace.take(byte_length(range), now) {
            return None;
        }
        self.question = Some((Question::Chunks(range), limit));
        let request = CopyRequest {
            content: self.assembly.content(),
            first: range.first,
            count: range.count,
        };
        Some(FetchAction::Send(
            source,
            ControlMessage::CopyRequest(request),
        ))
    }

    fn give_up_overdue(&mut self, now: Instant) {
        if self.question.is_some_and(|(_, limit)| now >= limit) {
            self.question = None;
            self.failures = self.failures.saturating_add(1);
            self.rotate();
            if self.is_fetching_delta() && self.failures > 1 {
                self.begin_snapshot();
            }
        }
        if let StoreStage::Reading(_, limit) = self.store
            && now >= limit
        {
            self.store = StoreStage::DueAt(now + self.store_backoff);
        }
    }

    fn rotate(&mut self) {
        if self.sources.len() > 1 {
            self.sources.rotate_left(1);
        }
    }

    fn is_fetching_delta(&self) -> bool {
        matches!(self.assembly.content(), CopyContent::Delta { .. })
    }

    fn begin_delta(&mut self, length: u32) {
        let content = CopyContent::Delta {
            base: self.have.have,
            result: self.record.statement.snapshot,
        };
        let shorter = length < self.record.statement.snapshot_length;
        let worthwhile = length > 0 && length <= MAXIMUM_DELTA_LENGTH && shorter;
        if worthwhile && content != self.assembly.content() {
            self.delta_asked = true;
            self.question = None;
            self.assembly = CopyAssembly::new(content, length);
        }
    }

    fn begin_snapshot(&mut self) {
        self.question = None;
        self.delta_asked = true;
        self.assembly = snapshot_assembly(&self.record);
    }
}

fn snapshot_assembly(record: &RollRecord) -> CopyAssembly {
    let content = CopyContent::Snapshot(record.statement.snapshot);
    CopyAssembly::new(content, record.statement.snapshot_length)
}

fn byte_length(range: ChunkRange) -> usize {
    usize::from(range.count) * CHUNK_LENGTH
}
