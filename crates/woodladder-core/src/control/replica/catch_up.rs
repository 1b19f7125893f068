//! Handles received records: adopts their rolls, or fetches the snapshots that
//! they state.

use std::net::SocketAddr;

use borsh::BorshDeserialize as _;

use crate::clock::Instant;
use crate::configuration::bundle::encode;
use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::control_message::{
    ControlMessage, CopyChunk, CopyContent, CopyRefused, CopyRequest, Offer, OfferedDelta,
};
use crate::control::replica::adoption::{Rejection, adopt_copy, adopt_delta, check_record};
use crate::control::replica::delta_history::DeltaHistory;
use crate::control::replica::fetch::{Fetch, FetchAction, Fetched};
use crate::control::replica::install::SnapshotOrigin;
use crate::control::replica::joining::JoinProgress;
use crate::control::replica::{InstalledRoll, Replica};

impl Replica {
    /// Handles an offer.
    pub(super) fn handle_offer(&mut self, from: SocketAddr, offer: Offer, now: Instant) {
        let Offer { record, delta } = offer;
        self.handle_record(record, delta, Some(from), now);
    }

    /// Handles a request for chunks.
    pub(super) fn handle_copy_request(
        &mut self,
        from: SocketAddr,
        request: &CopyRequest,
        now: Instant,
    ) {
        let messages = self.copy_messages(from, request, now);
        for message in messages {
            self.counters.copy_bytes_sent += message.datagram_length() as u64;
            self.send(from, message);
        }
    }

    fn copy_messages(
        &mut self,
        from: SocketAddr,
        request: &CopyRequest,
        now: Instant,
    ) -> Vec<ControlMessage> {
        if let Some(fetch) = &mut self.fetch
            && fetch.assembly().content() == request.content
        {
            fetch.add_source(from);
            let partial_copy = fetch.assembly();
            return self.copies.answer_from_partial_copy(
                request,
                partial_copy,
                now,
                &mut self.random,
            );
        }
        let installed = self.installed.as_deref();
        let history = &self.delta_history;
        let encode_content = |content: &CopyContent| encoded_content(installed?, history, content);
        self.copies
            .answer(request, now, &mut self.random, encode_content)
    }

    /// Handles a chunk.
    pub(super) fn handle_copy_chunk(&mut self, chunk: CopyChunk, now: Instant) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        self.counters.copy_bytes_received += chunk.bytes.len() as u64;
        match fetch.add_chunk(chunk, &mut self.fetch_bucket, now) {
            None => {}
            Some(Fetched::Snapshot(bytes)) => self.adopt_chunked_copy(&bytes, now),
            Some(Fetched::Delta(bytes)) => self.adopt_fetched_delta(&bytes, now),
        }
    }

    /// Handles a refused request for chunks.
    pub(super) fn handle_copy_refused(
        &mut self,
        from: SocketAddr,
        refused: &CopyRefused,
        now: Instant,
    ) {
        if let Some(fetch) = &mut self.fetch {
            fetch.record_refusal(from, refused, &mut self.fetch_bucket, now);
        }
    }

    /// Sends the requests of the fetch that are due.
    pub(super) fn send_due_fetch_requests(&mut self, now: Instant) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        let read_spread = self.store_read_spread();
        let due = fetch.due_actions(read_spread, &mut self.fetch_bucket, now, &mut self.random);
        for action in due {
            match action {
                FetchAction::Send(to, message) => self.send(to, message),
                FetchAction::ReadStore(digest) => self.read_snapshot(&mut fetch, digest, now),
            }
        }
        self.fetch = Some(fetch);
    }

    /// Makes the node ready if the conditions in `Joining::update` are met.
    pub(super) fn update_joining(&mut self, now: Instant) {
        let progress = JoinProgress {
            installed: self.installed.as_ref().map(|known| known.sequence()),
            greatest_known_sequence: self.greatest_known_sequence,
            fetching: self.fetch.is_some(),
            known_nodes: self.members.len(),
        };
        self.joining.update(progress, now);
    }

    /// Handles a received record: rejects it, adopts its roll, or starts to
    /// fetch its snapshot.
    pub(super) fn handle_record(
        &mut self,
        record: RollRecord,
        delta: OfferedDelta,
        source: Option<SocketAddr>,
        now: Instant,
    ) {
        if !self.is_adoptable(&record) {
            return;
        }
        let is_new = self.fetch.as_ref().map(Fetch::record) != Some(&record);
        if is_new {
            if let Err(rejection) = check_record(&record, &self.settings.trusted) {
                self.count_rejection(rejection);
                return;
            }
            self.greatest_known_sequence = self.greatest_known_sequence.max(record.sequence());
        }
        if self.try_adopt_unchanged_snapshot(&record, now) {
            return;
        }
        if let OfferedDelta::Inline(delta) = &delta
            && self.try_adopt_delta(&record, delta, now)
        {
            return;
        }
        if !self.begin_fetch(record, now) {
            return;
        }
        match (&mut self.fetch, source) {
            (Some(fetch), Some(source)) => fetch.record_offer(source, &delta, now),
            _ => self.schedule_store_read(now),
        }
        if is_new {
            self.offer_roll_being_fetched();
        }
    }

    /// Whether a record has a greater sequence than the one in force and is not
    /// known to be unacceptable. Counts a rejection if the record conflicts
    /// with the one in force.
    fn is_adoptable(&mut self, record: &RollRecord) -> bool {
        let Some(installed) = &self.installed else {
            return !self.is_known_unacceptable(record);
        };
        if record.sequence() == installed.sequence() && *record != installed.record {
            let verified = record.verify(&self.settings.trusted);
            self.count_rejection(match verified {
                Ok(()) => Rejection::SequenceConflict,
                Err(error) => Rejection::RecordSignature(error),
            });
            return false;
        }
        record.sequence() > installed.sequence() && !self.is_known_unacceptable(record)
    }

    /// Starts to fetch the snapshot of a record, unless its fetch is under way.
    /// Abandons the fetch of a smaller sequence. Returns false, and changes
    /// nothing, while another record with the same or a greater sequence is
    /// being fetched and that fetch is not stuck. If that fetch is stuck, its
    /// record is deferred; of two deferred records, the one with the greater
    /// sequence is kept.
    fn begin_fetch(&mut self, record: RollRecord, now: Instant) -> bool {
        let sequence = record.sequence();
        if let Some(fetch) = &self.fetch {
            if *fetch.record() == record {
                return true;
            }
            let current_is_not_older = fetch.record().sequence() >= sequence;
            if current_is_not_older && !fetch.is_stuck(now) {
                return false;
            }
            if current_is_not_older {
                let deferred = fetch.record().clone();
                let known = self.deferred.take();
                self.deferred = known
                    .filter(|known| known.sequence() > deferred.sequence())
                    .or(Some(deferred));
            }
        }
        self.fetch = Some(Fetch::new(record, self.record_request(), now));
        true
    }

    /// Adopts a record whose snapshot is already in force, by an empty delta.
    /// Returns true when the record was adopted or is finally rejected, so that
    /// its snapshot need not be fetched.
    fn try_adopt_unchanged_snapshot(&mut self, record: &RollRecord, now: Instant) -> bool {
        let Some(installed) = &self.installed else {
            return false;
        };
        if installed.digest() != record.statement.snapshot_digest {
            return false;
        }
        let delta = SnapshotDelta::between(&installed.snapshot, &installed.snapshot);
        let record = record.clone();
        self.try_adopt_delta(&record, &delta, now)
    }

    /// Resumes the fetch of the deferred record, once a roll with a smaller
    /// sequence is in force.
    pub(super) fn resume_deferred(&mut self, now: Instant) {
        let Some(record) = self.deferred.take() else {
            return;
        };
        if record.sequence() > self.sequence() && self.begin_fetch(record, now) {
            self.schedule_store_read(now);
        }
    }

    fn schedule_store_read(&mut self, now: Instant) {
        if let Some(fetch) = &mut self.fetch {
            fetch.store_read().schedule_soon(now, &mut self.random);
        }
    }

    /// Adopts a record by a delta from the snapshot in force. Returns true when
    /// the record was adopted or is finally rejected, so that its snapshot need
    /// not be fetched.
    fn try_adopt_delta(
        &mut self,
        record: &RollRecord,
        delta: &SnapshotDelta,
        now: Instant,
    ) -> bool {
        let Some(installed) = self.installed.clone() else {
            return false;
        };
        if delta.base != installed.digest() {
            return false;
        }
        let adopted = adopt_delta(record, delta, &installed, &self.settings.trusted);
        match adopted {
            Ok(next) => {
                self.install(next, Some(delta.clone()), SnapshotOrigin::Delta, now);
                true
            }
            Err(rejection) => {
                self.reject_content(record, rejection);
                rejection.is_final()
            }
        }
    }

    fn adopt_fetched_delta(&mut self, bytes: &[u8], now: Instant) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let record = fetch.record().clone();
        fetch.discard_copy();
        match SnapshotDelta::try_from_slice(bytes) {
            Ok(delta) => {
                self.try_adopt_delta(&record, &delta, now);
            }
            Err(_) => self.count_rejection(Rejection::Malformed),
        }
    }

    fn adopt_chunked_copy(&mut self, bytes: &[u8], now: Instant) {
        let Some(rejection) = self.adopt_fetched_copy(bytes, now) else {
            return;
        };
        if let Some(fetch) = &mut self.fetch {
            fetch.discard_copy();
        }
        self.reject_fetched(rejection);
    }

    /// Adopts the roll with the fetched copy, or returns why the copy is
    /// rejected.
    pub(super) fn adopt_fetched_copy(&mut self, bytes: &[u8], now: Instant) -> Option<Rejection> {
        let record = self.fetch.as_ref()?.record();
        match adopt_copy(record, bytes, &self.settings.trusted) {
            Ok(next) => {
                self.install(next, None, SnapshotOrigin::Copy, now);
                None
            }
            Err(rejection) => Some(rejection),
        }
    }

    pub(super) fn reject_fetched(&mut self, rejection: Rejection) {
        if let Some(record) = self.fetch.as_ref().map(|fetch| fetch.record().clone()) {
            self.reject_content(&record, rejection);
        }
    }
}

fn encoded_content(
    installed: &InstalledRoll,
    history: &DeltaHistory,
    content: &CopyContent,
) -> Option<Vec<u8>> {
    let current = installed.digest();
    match content {
        CopyContent::Snapshot(digest) if *digest == current => Some(installed.snapshot.encode()),
        CopyContent::Delta { base, result } if *result == current => {
            history.delta_from(*base).map(|delta| encode(&delta))
        }
        _ => None,
    }
}
