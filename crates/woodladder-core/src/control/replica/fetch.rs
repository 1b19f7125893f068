//! Fetches the snapshot of a record: in chunks from nodes that have it, or from
//! the key-value service when no node delivers it.

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
use crate::control::replica::snapshot_read::SnapshotRead;
use crate::control::replica::token_bucket::TokenBucket;
use crate::control::store_operation::StoreRequestId;
use crate::digest::Digest;

/// Largest number of nodes that a fetch alternates between.
const MAXIMUM_SOURCES: usize = 8;
/// Time to wait for the complete answer to a request before the next source is
/// tried.
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(400);
/// A fetch that has received no new chunk for this long counts as stuck.
const PROGRESS_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Pause after the first refusal; each further refusal doubles the pause.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause after refusals while the fetch is not stuck.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after refusals while the fetch is stuck.
const LONGEST_STUCK_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// A fetch with more unanswered requests in a row than this counts as stuck.
const FAILURES_BEFORE_STUCK: u32 = 3;
/// Longest delta in bytes that is fetched in chunks.
const MAXIMUM_CHUNKED_DELTA_LENGTH: u32 = 256 * 1024;

/// Output of a fetch.
#[derive(Clone, Debug)]
pub(super) enum FetchAction {
    Send(SocketAddr, ControlMessage),
    ReadStore(Digest),
}

/// A complete copy.
#[derive(Clone, Debug)]
pub(super) enum Fetched {
    Snapshot(Vec<u8>),
    Delta(Vec<u8>),
}

/// A request that the first source has not answered yet.
#[derive(Clone, Copy, Debug)]
enum Outstanding {
    /// A request for the record, whose answer may offer a delta.
    Delta,
    /// A request for chunks, with the number of chunks that have not arrived
    /// yet.
    Chunks(usize),
}

/// The fetch of the snapshot of one record.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    record: RollRecord,
    record_request: RecordRequest,
    sources: Vec<SocketAddr>,
    assembly: CopyAssembly,
    delta_requested: bool,
    outstanding: Option<(Outstanding, Instant)>,
    next_request_at: Instant,
    retry_pause: Duration,
    failures: u32,
    last_progress: Instant,
    store_read: SnapshotRead,
}

impl Fetch {
    /// Starts to fetch the snapshot of `record`. `record_request` states what
    /// the node has in force.
    pub(super) fn new(record: RollRecord, record_request: RecordRequest, now: Instant) -> Self {
        let assembly = snapshot_assembly(&record);
        Self {
            record,
            record_request,
            sources: Vec::new(),
            assembly,
            delta_requested: record_request.snapshot_digest == Digest::default(),
            outstanding: None,
            next_request_at: now,
            retry_pause: FIRST_RETRY_PAUSE,
            failures: 0,
            last_progress: now,
            store_read: SnapshotRead::new(),
        }
    }

    pub(super) fn record(&self) -> &RollRecord {
        &self.record
    }

    /// Whether the sources do not deliver: there is no source, more than
    /// [`FAILURES_BEFORE_STUCK`] requests in a row were not answered, or no new
    /// chunk has arrived for [`PROGRESS_TIME_LIMIT`].
    pub(super) fn is_stuck(&self, now: Instant) -> bool {
        let has_no_progress = now.since(self.last_progress) >= PROGRESS_TIME_LIMIT;
        self.sources.is_empty() || self.failures > FAILURES_BEFORE_STUCK || has_no_progress
    }

    /// The chunks that have arrived.
    pub(super) fn assembly(&self) -> &CopyAssembly {
        &self.assembly
    }

    /// What is being fetched, as the delta of an offer to other nodes.
    pub(super) fn offered_delta(&self) -> OfferedDelta {
        match self.assembly.content() {
            CopyContent::Snapshot(_) => OfferedDelta::None,
            CopyContent::Delta { base, .. } => OfferedDelta::Chunked {
                base,
                length: self.assembly.byte_length(),
            },
        }
    }

    /// The read of the snapshot from the key-value service.
    pub(super) fn store_read(&mut self) -> &mut SnapshotRead {
        &mut self.store_read
    }

    /// Adds a node that has the snapshot or is fetching it.
    pub(super) fn add_source(&mut self, source: SocketAddr) {
        if self.sources.contains(&source) {
            return;
        }
        if self.sources.len() == MAXIMUM_SOURCES {
            self.sources.pop();
        }
        self.sources.push(source);
    }

    /// Records an offer. Its sender is the next source; if it offers a delta
    /// that starts from the snapshot in force, the delta is fetched instead of
    /// the snapshot if `fetch_delta` finds it short enough.
    pub(super) fn record_offer(&mut self, source: SocketAddr, delta: &OfferedDelta, now: Instant) {
        self.sources.retain(|known| *known != source);
        self.sources.insert(0, source);
        self.sources.truncate(MAXIMUM_SOURCES);
        self.next_request_at = now;
        self.retry_pause = FIRST_RETRY_PAUSE;
        if matches!(self.outstanding, Some((Outstanding::Delta, _))) {
            self.outstanding = None;
        }
        match delta {
            OfferedDelta::Chunked { base, length }
                if *base == self.record_request.snapshot_digest =>
            {
                self.fetch_delta(*length);
            }
            _ => {}
        }
    }

    /// Returns the requests that are due.
    pub(super) fn due_actions(
        &mut self,
        store_read_spread: Duration,
        bucket: &mut TokenBucket,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<FetchAction> {
        self.handle_timeout(now);
        let mut actions = Vec::new();
        if self.outstanding.is_none() && now >= self.next_request_at {
            actions.extend(self.next_request(bucket, now));
        }
        let is_stuck = self.is_stuck(now);
        let has_chunks = self.assembly.has_chunks();
        self.store_read
            .update(has_chunks, is_stuck, store_read_spread, now, random);
        if self.store_read.is_due(now) {
            let digest = self.record.statement.snapshot_digest;
            actions.push(FetchAction::ReadStore(digest));
        }
        actions
    }

    /// Whether the read with this identifier is outstanding.
    pub(super) fn is_reading(&self, request: StoreRequestId) -> bool {
        self.store_read.is_reading(request)
    }

    /// Adds a chunk; returns the copy when it is complete.
    pub(super) fn add_chunk(
        &mut self,
        chunk: CopyChunk,
        bucket: &mut TokenBucket,
        now: Instant,
    ) -> Option<Fetched> {
        let last = chunk.is_last && chunk.content == self.assembly.content();
        let added = self.assembly.add(chunk);
        if added {
            self.failures = 0;
            self.last_progress = now;
            self.retry_pause = FIRST_RETRY_PAUSE;
        }
        if let Some((Outstanding::Chunks(missing_chunks), _)) = &mut self.outstanding {
            *missing_chunks = missing_chunks.saturating_sub(usize::from(added));
        }
        if last {
            self.end_chunk_request(bucket);
        }
        if !added {
            return None;
        }
        let bytes = self.assembly.complete_bytes()?;
        Some(match self.assembly.content() {
            CopyContent::Snapshot(_) => Fetched::Snapshot(bytes),
            CopyContent::Delta { .. } => Fetched::Delta(bytes),
        })
    }

    /// Records that a source refused a request.
    pub(super) fn record_refusal(
        &mut self,
        from: SocketAddr,
        refused: &CopyRefused,
        bucket: &mut TokenBucket,
        now: Instant,
    ) {
        if refused.content != self.assembly.content() {
            return;
        }
        self.end_chunk_request(bucket);
        match refused.reason {
            CopyRefusal::Busy | CopyRefusal::NoWantedChunk => {
                self.try_next_source();
                self.next_request_at = now + self.retry_pause;
                let longest = match self.is_stuck(now) {
                    true => LONGEST_STUCK_RETRY_PAUSE,
                    false => LONGEST_RETRY_PAUSE,
                };
                self.retry_pause = longest.min(self.retry_pause * 2);
            }
            CopyRefusal::NotHeld if self.is_fetching_delta() => self.fetch_snapshot(),
            CopyRefusal::NotHeld => self.sources.retain(|source| *source != from),
        }
    }

    /// Discards a complete copy and fetches the full snapshot. If the discarded
    /// copy was a snapshot, the source that is first in line is dropped.
    pub(super) fn discard_copy(&mut self) {
        if !self.is_fetching_delta() && !self.sources.is_empty() {
            self.sources.remove(0);
        }
        self.fetch_snapshot();
    }

    pub(super) fn next_wakeup(&self, bucket: &TokenBucket) -> Option<Instant> {
        let store = self.store_read.next_wakeup();
        let outstanding = match self.outstanding {
            Some((_, deadline)) => Some(deadline),
            None if self.sources.is_empty() => None,
            None => Some(self.next_request_at.max(self.bucket_allows_at(bucket))),
        };
        [store, outstanding].into_iter().flatten().min()
    }

    fn bucket_allows_at(&self, bucket: &TokenBucket) -> Instant {
        bucket.available_at(self.next_request_length())
    }

    fn next_request(&mut self, bucket: &mut TokenBucket, now: Instant) -> Option<FetchAction> {
        let source = *self.sources.first()?;
        let deadline = now + ANSWER_TIME_LIMIT;
        if !self.delta_requested {
            self.delta_requested = true;
            self.outstanding = Some((Outstanding::Delta, deadline));
            return Some(FetchAction::Send(
                source,
                ControlMessage::RecordRequest(self.record_request),
            ));
        }
        let missing_chunks = self.next_chunk_count();
        if missing_chunks == 0 || !bucket.take(self.next_request_length(), now) {
            return None;
        }
        self.outstanding = Some((Outstanding::Chunks(missing_chunks), deadline));
        let request = CopyRequest {
            content: self.assembly.content(),
            wanted_chunks: self.assembly.missing(),
            maximum_chunks: u16::try_from(missing_chunks).unwrap_or(MAXIMUM_CHUNKS_PER_REQUEST),
        };
        Some(FetchAction::Send(
            source,
            ControlMessage::CopyRequest(request),
        ))
    }

    /// Gives up the outstanding request when its time limit has passed, and
    /// continues with the next source. Fetches the snapshot instead of a delta
    /// after the second unanswered request since the last new chunk.
    fn handle_timeout(&mut self, now: Instant) {
        if self
            .outstanding
            .is_some_and(|(_, deadline)| now >= deadline)
        {
            self.outstanding = None;
            self.failures = self.failures.saturating_add(1);
            self.try_next_source();
            if self.is_fetching_delta() && self.failures > 1 {
                self.fetch_snapshot();
            }
        }
    }

    /// Number of chunks that the next request asks for.
    fn next_chunk_count(&self) -> usize {
        let maximum = usize::from(MAXIMUM_CHUNKS_PER_REQUEST);
        self.assembly.missing_count().min(maximum)
    }

    fn next_request_length(&self) -> usize {
        self.next_chunk_count() * CHUNK_LENGTH
    }

    /// Ends the outstanding request. The bytes of requested chunks that have
    /// not arrived are returned to the token bucket.
    fn end_chunk_request(&mut self, bucket: &mut TokenBucket) {
        if let Some((Outstanding::Chunks(missing_chunks), _)) = self.outstanding.take() {
            bucket.give_back(missing_chunks * CHUNK_LENGTH);
        }
    }

    fn try_next_source(&mut self) {
        if self.sources.len() > 1 {
            self.sources.rotate_left(1);
        }
    }

    fn is_fetching_delta(&self) -> bool {
        matches!(self.assembly.content(), CopyContent::Delta { .. })
    }

    /// Fetches the delta with this length in bytes instead of the snapshot, if
    /// the delta is shorter and within [`MAXIMUM_CHUNKED_DELTA_LENGTH`].
    fn fetch_delta(&mut self, length: u32) {
        let content = CopyContent::Delta {
            base: self.record_request.snapshot_digest,
            result: self.record.statement.snapshot_digest,
        };
        let is_shorter = length < self.record.statement.snapshot_length;
        let is_worthwhile = length > 0 && length <= MAXIMUM_CHUNKED_DELTA_LENGTH && is_shorter;
        if is_worthwhile && content != self.assembly.content() {
            self.delta_requested = true;
            self.outstanding = None;
            self.assembly = CopyAssembly::new(content, length);
        }
    }

    fn fetch_snapshot(&mut self) {
        self.outstanding = None;
        self.delta_requested = true;
        self.assembly = snapshot_assembly(&self.record);
    }
}

fn snapshot_assembly(record: &RollRecord) -> CopyAssembly {
    let content = CopyContent::Snapshot(record.statement.snapshot_digest);
    CopyAssembly::new(content, record.statement.snapshot_length)
}
