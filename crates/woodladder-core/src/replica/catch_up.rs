//! From an offer or a reading of the key-value service to a roll in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use borsh::BorshDeserialize as _;

use crate::bundle::encode;
use crate::clock::Instant;
use crate::control_message::{
    CopyChunk, CopyContent, CopyRefused, CopyRequest, Offer, OfferedDelta,
};
use crate::digest::Digest;
use crate::replica::adoption::{Rejection, adopt_copy, adopt_delta, check_record};
use crate::replica::fetch::{Fetch, FetchAction, Fetched};
use crate::replica::joining::JoinProgress;
use crate::replica::{Action, Installed, Replica};
use crate::roll_record::{RollRecord, StoredRoll};
use crate::snapshot_delta::SnapshotDelta;
use crate::store_operation::{StoreAnswer, StoreKey, StoreOperation, StoreRequestId};

const MAXIMUM_REMEMBERED: usize = 16;

/// How a snapshot came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Delta,
    Copy,
}

impl Replica {
    /// Takes an offer from a node.
    pub(super) fn handle_offer(&mut self, from: SocketAddr, offer: Offer, now: Instant) {
        let Offer { record, delta } = offer;
        self.consider(record, delta, Some(from), now);
    }

    /// Takes an answer of the key-value service.
    pub(super) fn handle_store(
        &mut self,
        request: StoreRequestId,
        answer: StoreAnswer,
        now: Instant,
    ) {
        let fetch = self.fetch.as_ref();
        if fetch.is_some_and(|fetch| fetch.is_reading(request)) {
            self.handle_stored_snapshot(&answer, now);
            return;
        }
        let awaited = self.store.answered(request, &answer, now, &mut self.random);
        if awaited {
            self.joining.store_settled();
        }
        match &answer {
            StoreAnswer::Value { value, .. } => self.handle_current(request, value, now),
            StoreAnswer::NotFound => self.vigilance.confirmed_by_store(request),
            _ => {}
        }
    }

    /// Answers a request for chunks.
    pub(super) fn handle_copy_request(
        &mut self,
        from: SocketAddr,
        request: &CopyRequest,
        now: Instant,
    ) {
        let installed = self.installed.clone();
        let history = &self.history;
        let load = |content: &CopyContent| encoded_content(installed.as_deref()?, history, content);
        let messages = self.copies.answer(request, now, load);
        for message in messages {
            self.counters.copy_bytes_sent += message.datagram_length() as u64;
            self.send(from, message);
        }
    }

    /// Takes a chunk.
    pub(super) fn handle_copy_chunk(&mut self, chunk: CopyChunk, now: Instant) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        self.counters.copy_bytes_received += chunk.bytes.len() as u64;
        match fetch.chunk(chunk) {
            None => {}
            Some(Fetched::Snapshot(bytes)) => self.take_chunked_copy(&bytes, now),
            Some(Fetched::Delta(bytes)) => self.take_delta(&bytes, now),
        }
    }

    /// Takes a refusal.
    pub(super) fn handle_copy_refused(
        &mut self,
        from: SocketAddr,
        refused: &CopyRefused,
        now: Instant,
    ) {
        if let Some(fetch) = &mut self.fetch {
            fetch.refused(from, refused, now);
        }
    }

    /// Sends the reads of the current entry that are due.
    pub(super) fn run_store(&mut self, now: Instant) {
        let known_nodes = self.members.len();
        let next_request = &mut self.next_request;
        let number = || {
            let number = *next_request;
            next_request.0 += 1;
            number
        };
        let due = self.store.due(known_nodes, now, &mut self.random, number);
        for (request, operation) in due {
            self.counters.store_reads += 1;
            self.actions.push(Action::Store { request, operation });
        }
    }

    /// Carries the fetch on.
    pub(super) fn run_fetch(&mut self, now: Instant) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        let known_nodes = self.members.len();
        let spread = self.store_spread(known_nodes);
        let due = fetch.due(
            known_nodes,
            spread,
            &mut self.fetch_pace,
            now,
            &mut self.random,
        );
        for action in due {
            match action {
                FetchAction::Send(to, message) => self.send(to, message),
                FetchAction::ReadStore(digest) => self.read_snapshot(&mut fetch, digest, now),
            }
        }
        self.fetch = Some(fetch);
    }

    /// Turns ready when enough was heard.
    pub(super) fn update_joining(&mut self, now: Instant) {
        let progress = JoinProgress {
            installed: self.installed.as_ref().map(|known| known.sequence()),
            greatest_heard: self.greatest_heard,
            fetching: self.fetch.is_some(),
            known_nodes: self.members.len(),
        };
        self.joining.update(progress, now);
    }

    /// Time over which all nodes spread reads of one snapshot, so that they
    /// stay within the rate that they share.
    fn store_spread(&self, known_nodes: usize) -> Duration {
        let rate = f64::from(self.settings.tuning.store_reads_per_second.max(1));
        let nodes = u32::try_from(known_nodes).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(nodes) / rate)
    }

    fn read_snapshot(&mut self, fetch: &mut Fetch, digest: Digest, now: Instant) {
        let request = self.take_request_number();
        fetch.store_asked(request, now);
        self.counters.store_reads += 1;
        let operation = StoreOperation::Read {
            key: StoreKey::Snapshot(digest),
            wait: None,
        };
        self.actions.push(Action::Store { request, operation });
    }

    fn handle_current(&mut self, request: StoreRequestId, value: &[u8], now: Instant) {
        let Ok(stored) = StoredRoll::try_from_slice(value) else {
            self.counters.rejections.count(Rejection::Malformed);
            return;
        };
        if stored.record.sequence() <= self.sequence() {
            self.vigilance.confirmed_by_store(request);
        }
        let delta = stored.delta.map_or(OfferedDelta::None, |delta| {
            OfferedDelta::Inline(Box::new(delta))
        });
        self.consider(stored.record, delta, None, now);
    }

    fn handle_stored_snapshot(&mut self, answer: &StoreAnswer, now: Instant) {
        if let StoreAnswer::Value { value, .. } = answer
            && let Some(rejection) = self.take_copy(value, now)
        {
            self.refuse_fetched(rejection);
        }
        if let Some(fetch) = &mut self.fetch {
            fetch.store_failed(now, &mut self.random);
        }
    }

    /// Looks at a record that was heard and adopts, fetches or refuses it.
    fn consider(
        &mut self,
        record: RollRecord,
        delta: OfferedDelta,
        source: Option<SocketAddr>,
        now: Instant,
    ) {
        if !self.is_news(&record) {
            return;
        }
        let fetching = self.fetch.as_ref().map(Fetch::record);
        if fetching != Some(&record) {
            if let Err(rejection) = check_record(&record, &self.settings.trusted) {
                self.refuse(rejection);
                return;
            }
            self.greatest_heard = self.greatest_heard.max(record.sequence());
        }
        if self.try_same_snapshot(&record, now) {
            return;
        }
        if let OfferedDelta::Inline(delta) = &delta
            && self.try_delta(&record, delta, now)
        {
            return;
        }
        if self.begin_fetch(record, now)
            && let (Some(fetch), Some(source)) = (&mut self.fetch, source)
        {
            fetch.add_source(source);
            fetch.offered(&delta);
        }
    }

    /// Whether a record is greater than the one in force and not known to be
    /// unacceptable.
    fn is_news(&mut self, record: &RollRecord) -> bool {
        let Some(installed) = &self.installed else {
            return !self.unacceptable.contains(&record_digest(record));
        };
        if record.sequence() == installed.sequence() && *record != installed.record {
            let verified = record.verify(&self.settings.trusted);
            self.refuse(match verified {
                Ok(()) => Rejection::SequenceTaken,
                Err(error) => Rejection::RecordSignature(error),
            });
            return false;
        }
        record.sequence() > installed.sequence()
            && !self.unacceptable.contains(&record_digest(record))
    }

    /// Makes sure that the record is being fetched; false when a greater one
    /// is already.
    fn begin_fetch(&mut self, record: RollRecord, now: Instant) -> bool {
        let sequence = record.sequence();
        if let Some(fetch) = &self.fetch {
            if *fetch.record() == record {
                return true;
            }
            if fetch.record().sequence() >= sequence && !fetch.is_stuck() {
                return false;
            }
        }
        self.fetch = Some(Fetch::new(record, self.record_request(), now));
        true
    }

    /// Adopts a record that rolls the snapshot in force once more.
    fn try_same_snapshot(&mut self, record: &RollRecord, now: Instant) -> bool {
        let Some(installed) = &self.installed else {
            return false;
        };
        if installed.digest() != record.statement.snapshot {
            return false;
        }
        let delta = SnapshotDelta::between(&installed.snapshot, &installed.snapshot);
        let record = record.clone();
        self.try_delta(&record, &delta, now)
    }

    fn try_delta(&mut self, record: &RollRecord, delta: &SnapshotDelta, now: Instant) -> bool {
        let Some(installed) = self.installed.clone() else {
            return false;
        };
        if delta.base != installed.digest() {
            return false;
        }
        let adopted = adopt_delta(record, delta, &installed, &self.settings.trusted);
        match adopted {
            Ok(next) => {
                self.install(next, Some(delta.clone()), Way::Delta, now);
                true
            }
            Err(rejection) => {
                self.refuse_content(record, rejection);
                rejection.is_final()
            }
        }
    }

    fn take_delta(&mut self, bytes: &[u8], now: Instant) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let record = fetch.record().clone();
        fetch.copy_was_wrong();
        match SnapshotDelta::try_from_slice(bytes) {
            Ok(delta) => {
                self.try_delta(&record, &delta, now);
            }
            Err(_) => self.refuse(Rejection::Malformed),
        }
    }

    fn take_chunked_copy(&mut self, bytes: &[u8], now: Instant) {
        let Some(rejection) = self.take_copy(bytes, now) else {
            return;
        };
        if let Some(fetch) = &mut self.fetch {
            fetch.copy_was_wrong();
        }
        self.refuse_fetched(rejection);
    }

    /// Adopts the copy that was fetched, or tells why not.
    fn take_copy(&mut self, bytes: &[u8], now: Instant) -> Option<Rejection> {
        let record = self.fetch.as_ref()?.record();
        match adopt_copy(record, bytes, &self.settings.trusted) {
            Ok(next) => {
                self.install(next, None, Way::Copy, now);
                None
            }
            Err(rejection) => Some(rejection),
        }
    }

    fn refuse_fetched(&mut self, rejection: Rejection) {
        if let Some(record) = self.fetch.as_ref().map(|fetch| fetch.record().clone()) {
            self.refuse_content(&record, rejection);
        }
    }

    fn install(
        &mut self,
        next: Arc<Installed>,
        delta: Option<SnapshotDelta>,
        way: Way,
        now: Instant,
    ) {
        if next.sequence() <= self.sequence() {
            return;
        }
        self.remember_delta(&next, delta);
        self.counters.adopted += 1;
        if way == Way::Delta {
            self.counters.adopted_by_delta += 1;
        }
        let first = self.installed.is_none();
        self.installed = Some(Arc::clone(&next));
        let overtaken = |fetch: &Fetch| fetch.record().sequence() <= next.sequence();
        if self.fetch.as_ref().is_some_and(overtaken) {
            self.fetch = None;
        }
        self.joining.installed(now);
        if first {
            self.gossip.round_soon(now);
        }
        self.actions.push(Action::Install(next));
        self.spread();
    }

    fn remember_delta(&mut self, next: &Installed, delta: Option<SnapshotDelta>) {
        let Some(previous) = &self.installed else {
            self.history.begin(next.digest());
            return;
        };
        let delta =
            delta.unwrap_or_else(|| SnapshotDelta::between(&previous.snapshot, &next.snapshot));
        self.history.push(delta, next.digest());
    }

    fn refuse_content(&mut self, record: &RollRecord, rejection: Rejection) {
        self.refuse(rejection);
        if !rejection.is_final() {
            return;
        }
        if self.unacceptable.len() == MAXIMUM_REMEMBERED {
            self.unacceptable.remove(0);
        }
        self.unacceptable.push(record_digest(record));
        if self.fetch.as_ref().map(Fetch::record) == Some(record) {
            self.fetch = None;
        }
        if self.greatest_heard == record.sequence() {
            self.greatest_heard = self.sequence();
        }
    }

    fn refuse(&mut self, rejection: Rejection) {
        self.counters.rejections.count(rejection);
    }
}

fn record_digest(record: &RollRecord) -> Digest {
    Digest::of(&encode(record))
}

fn encoded_content(
    installed: &Installed,
    history: &crate::replica::history::History,
    content: &CopyContent,
) -> Option<Vec<u8>> {
    let current = installed.digest();
    match content {
        CopyContent::Snapshot(digest) if *digest == current => Some(installed.snapshot.encode()),
        CopyContent::Delta { base, result } if *result == current => {
            history.since(*base).map(|delta| encode(&delta))
        }
        _ => None,
    }
}
