//! Fetches the snapshot of a record: by chunks from nodes that have it, or
//! from the key-value service when none has.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::configuration::roll_record::RollRecord;
use crate::control::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
    MAXIMUM_CHUNKS_PER_REQUEST, OfferedDelta, RecordRequest,
};
use crate::control::replica::copy_assembly::CopyAssembly;
use crate::control::replica::pace::Pace;
use crate::control::replica::snapshot_read::SnapshotRead;
use crate::control::store_operation::StoreRequestId;
use crate::digest::Digest;

const MAXIMUM_SOURCES: usize = 8;
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(400);
/// A fetch without a new chunk for this long looks for another way.
const PROGRESS_TIME_LIMIT: Duration = Duration::from_secs(2);
const FIRST_REFUSED_PAUSE: Duration = Duration::from_millis(25);
const LONGEST_REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause while nothing comes from anybody.
const STUCK_REFUSED_PAUSE: Duration = Duration::from_secs(2);
const FAILURES_BEFORE_STORE: u32 = 3;
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
    /// So many chunks that did not come yet.
    Chunks(usize),
}

/// The fetch of one record's snapshot.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    record: RollRecord,
    record_request: RecordRequest,
    sources: Vec<SocketAddr>,
    assembly: CopyAssembly,
    delta_asked: bool,
    question: Option<(Question, Instant)>,
    resume_at: Instant,
    refused_pause: Duration,
    failures: u32,
    progress_at: Instant,
    store_read: SnapshotRead,
}

impl Fetch {
    /// Begins to fetch what `record` names, starting from what `have` states.
    pub(super) fn new(record: RollRecord, record_request: RecordRequest, now: Instant) -> Self {
        let assembly = snapshot_assembly(&record);
        Self {
            record,
            record_request,
            sources: Vec::new(),
            assembly,
            delta_asked: record_request.snapshot_digest == Digest::default(),
            question: None,
            resume_at: now,
            refused_pause: FIRST_REFUSED_PAUSE,
            failures: 0,
            progress_at: now,
            store_read: SnapshotRead::new(),
        }
    }

    pub(super) fn record(&self) -> &RollRecord {
        &self.record
    }

    /// Whether no source has delivered for a while.
    pub(super) fn is_stuck(&self, now: Instant) -> bool {
        let silent = now.since(self.progress_at) >= PROGRESS_TIME_LIMIT;
        self.sources.is_empty() || self.failures > FAILURES_BEFORE_STORE || silent
    }

    /// What has come so far.
    pub(super) fn assembly(&self) -> &CopyAssembly {
        &self.assembly
    }

    /// The delta that is being fetched, as it is offered to others.
    pub(super) fn offered_delta(&self) -> OfferedDelta {
        match self.assembly.content() {
            CopyContent::Snapshot(_) => OfferedDelta::None,
            CopyContent::Delta { base, .. } => OfferedDelta::Chunked {
                base,
                length: self.assembly.byte_length(),
            },
        }
    }

    /// The reading of the snapshot from the key-value service.
    pub(super) fn store_read(&mut self) -> &mut SnapshotRead {
        &mut self.store_read
    }

    /// Adds a node that has the snapshot or fetches it.
    pub(super) fn add_source(&mut self, source: SocketAddr) {
        if self.sources.contains(&source) {
            return;
        }
        if self.sources.len() == MAXIMUM_SOURCES {
            self.sources.pop();
        }
        self.sources.push(source);
    }

    /// Takes note of an offer: its sender is asked next, and first for the
    /// delta if it offers one.
    pub(super) fn offered(&mut self, source: SocketAddr, delta: &OfferedDelta, now: Instant) {
        self.sources.retain(|known| *known != source);
        self.sources.insert(0, source);
        self.sources.truncate(MAXIMUM_SOURCES);
        self.resume_at = now;
        self.refused_pause = FIRST_REFUSED_PAUSE;
        if matches!(self.question, Some((Question::Delta, _))) {
            self.question = None;
        }
        match delta {
            OfferedDelta::Chunked { base, length }
                if *base == self.record_request.snapshot_digest =>
            {
                self.begin_delta(*length);
            }
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
        let stuck = self.is_stuck(now);
        let delivered = self.assembly.is_begun();
        self.store_read
            .plan(delivered, stuck, store_spread, now, random);
        if self.store_read.is_due(now) {
            let digest = self.record.statement.snapshot_digest;
            actions.push(FetchAction::ReadStore(digest));
        }
        actions
    }

    /// Whether this is the number of the read under way.
    pub(super) fn is_reading(&self, request: StoreRequestId) -> bool {
        self.store_read.is_reading(request)
    }

    /// Takes a chunk; the whole copy once it is complete.
    pub(super) fn chunk(
        &mut self,
        chunk: CopyChunk,
        pace: &mut Pace,
        now: Instant,
    ) -> Option<Fetched> {
        let last = chunk.is_last && chunk.content == self.assembly.content();
        let added = self.assembly.add(chunk);
        if added {
            self.failures = 0;
            self.progress_at = now;
            self.refused_pause = FIRST_REFUSED_PAUSE;
        }
        if let Some((Question::Chunks(awaited), _)) = &mut self.question {
            *awaited = awaited.saturating_sub(usize::from(added));
        }
        if last {
            self.end_question(pace);
        }
        if !added {
            return None;
        }
        let bytes = self.assembly.whole()?;
        Some(match self.assembly.content() {
            CopyContent::Snapshot(_) => Fetched::Snapshot(bytes),
            CopyContent::Delta { .. } => Fetched::Delta(bytes),
        })
    }

    /// Takes note that a source refused.
    pub(super) fn refused(
        &mut self,
        from: SocketAddr,
        refused: &CopyRefused,
        pace: &mut Pace,
        now: Instant,
    ) {
        if refused.content != self.assembly.content() {
            return;
        }
        self.end_question(pace);
        match refused.reason {
            CopyRefusal::Busy | CopyRefusal::NoWantedChunk => {
                self.rotate();
                self.resume_at = now + self.refused_pause;
                let longest = match self.is_stuck(now) {
                    true => STUCK_REFUSED_PAUSE,
                    false => LONGEST_REFUSED_PAUSE,
                };
                self.refused_pause = longest.min(self.refused_pause * 2);
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
        let store = self.store_read.next_wakeup();
        let question = match self.question {
            Some((_, limit)) => Some(limit),
            None if self.sources.is_empty() => None,
            None => Some(self.resume_at.max(self.pace_allows_at(pace))),
        };
        [store, question].into_iter().flatten().min()
    }

    fn pace_allows_at(&self, pace: &Pace) -> Instant {
        pace.available_at(self.next_length())
    }

    fn ask(&mut self, pace: &mut Pace, now: Instant) -> Option<FetchAction> {
        let source = *self.sources.first()?;
        let limit = now + ANSWER_TIME_LIMIT;
        if !self.delta_asked {
            self.delta_asked = true;
            self.question = Some((Question::Delta, limit));
            return Some(FetchAction::Send(
                source,
                ControlMessage::RecordRequest(self.record_request),
            ));
        }
        let awaited = self.next_count();
        if awaited == 0 || !pace.take(self.next_length(), now) {
            return None;
        }
        self.question = Some((Question::Chunks(awaited), limit));
        let request = CopyRequest {
            content: self.assembly.content(),
            wanted_chunks: self.assembly.missing(),
            maximum_chunks: u16::try_from(awaited).unwrap_or(MAXIMUM_CHUNKS_PER_REQUEST),
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
    }

    /// Chunks that the next request asks for.
    fn next_count(&self) -> usize {
        let limit = usize::from(MAXIMUM_CHUNKS_PER_REQUEST);
        self.assembly.missing_count().min(limit)
    }

    fn next_length(&self) -> usize {
        self.next_count() * CHUNK_LENGTH
    }

    /// Ends a question for chunks and gives back what it did not use.
    fn end_question(&mut self, pace: &mut Pace) {
        if let Some((Question::Chunks(awaited), _)) = self.question.take() {
            pace.give_back(awaited * CHUNK_LENGTH);
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
            base: self.record_request.snapshot_digest,
            result: self.record.statement.snapshot_digest,
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
    let content = CopyContent::Snapshot(record.statement.snapshot_digest);
    CopyAssembly::new(content, record.statement.snapshot_length)
}
