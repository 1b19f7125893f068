//! From a record that was heard to its snapshot.

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
use crate::control::replica::fetch::{Fetch, FetchAction, Fetched};
use crate::control::replica::history::History;
use crate::control::replica::install::Way;
use crate::control::replica::joining::JoinProgress;
use crate::control::replica::{InstalledRoll, Replica};

impl Replica {
    /// Takes an offer from a node.
    pub(super) fn handle_offer(&mut self, from: SocketAddr, offer: Offer, now: Instant) {
        let Offer { record, delta } = offer;
        self.consider(record, delta, Some(from), now);
    }

    /// Answers a request for chunks.
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
            let part = fetch.assembly();
            return self
                .copies
                .answer_part(request, part, now, &mut self.random);
        }
        let installed = self.installed.as_deref();
        let history = &self.history;
        let load = |content: &CopyContent| encoded_content(installed?, history, content);
        self.copies.answer(request, now, &mut self.random, load)
    }

    /// Takes a chunk.
    pub(super) fn handle_copy_chunk(&mut self, chunk: CopyChunk, now: Instant) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        self.counters.copy_bytes_received += chunk.bytes.len() as u64;
        match fetch.chunk(chunk, &mut self.fetch_pace, now) {
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
            fetch.refused(from, refused, &mut self.fetch_pace, now);
        }
    }

    /// Carries the fetch on.
    pub(super) fn run_fetch(&mut self, now: Instant) {
        let Some(mut fetch) = self.fetch.take() else {
            return;
        };
        let spread = self.store_spread();
        let due = fetch.due(spread, &mut self.fetch_pace, now, &mut self.random);
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

    /// Looks at a record that was heard and adopts, fetches or refuses it.
    pub(super) fn consider(
        &mut self,
        record: RollRecord,
        delta: OfferedDelta,
        source: Option<SocketAddr>,
        now: Instant,
    ) {
        if !self.is_news(&record) {
            return;
        }
        let is_new = self.fetch.as_ref().map(Fetch::record) != Some(&record);
        if is_new {
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
        if !self.begin_fetch(record, now) {
            return;
        }
        match (&mut self.fetch, source) {
            (Some(fetch), Some(source)) => fetch.offered(source, &delta, now),
            _ => self.allow_store_read(now),
        }
        if is_new {
            self.spread_fetched();
        }
    }

    /// Whether a record is greater than the one in force and not known to be
    /// unacceptable.
    fn is_news(&mut self, record: &RollRecord) -> bool {
        let Some(installed) = &self.installed else {
            return !self.is_unacceptable(record);
        };
        if record.sequence() == installed.sequence() && *record != installed.record {
            let verified = record.verify(&self.settings.trusted);
            self.refuse(match verified {
                Ok(()) => Rejection::SequenceTaken,
                Err(error) => Rejection::RecordSignature(error),
            });
            return false;
        }
        record.sequence() > installed.sequence() && !self.is_unacceptable(record)
    }

    /// Makes sure that the record is being fetched; false when a greater one
    /// is already.
    fn begin_fetch(&mut self, record: RollRecord, now: Instant) -> bool {
        let sequence = record.sequence();
        if let Some(fetch) = &self.fetch {
            if *fetch.record() == record {
                return true;
            }
            let greater = fetch.record().sequence() >= sequence;
            if greater && !fetch.is_stuck(now) {
                return false;
            }
            if greater {
                let put_off = fetch.record().clone();
                let known = self.deferred.take();
                self.deferred = known
                    .filter(|known| known.sequence() > put_off.sequence())
                    .or(Some(put_off));
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
        if installed.digest() != record.statement.snapshot_digest {
            return false;
        }
        let delta = SnapshotDelta::between(&installed.snapshot, &installed.snapshot);
        let record = record.clone();
        self.try_delta(&record, &delta, now)
    }

    /// Fetches the greater record that was put off, once the smaller one is in
    /// force.
    pub(super) fn resume_deferred(&mut self, now: Instant) {
        let Some(record) = self.deferred.take() else {
            return;
        };
        if record.sequence() > self.sequence() && self.begin_fetch(record, now) {
            self.allow_store_read(now);
        }
    }

    fn allow_store_read(&mut self, now: Instant) {
        if let Some(fetch) = &mut self.fetch {
            fetch.store_read().soon(now, &mut self.random);
        }
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
    pub(super) fn take_copy(&mut self, bytes: &[u8], now: Instant) -> Option<Rejection> {
        let record = self.fetch.as_ref()?.record();
        match adopt_copy(record, bytes, &self.settings.trusted) {
            Ok(next) => {
                self.install(next, None, Way::Copy, now);
                None
            }
            Err(rejection) => Some(rejection),
        }
    }

    pub(super) fn refuse_fetched(&mut self, rejection: Rejection) {
        if let Some(record) = self.fetch.as_ref().map(|fetch| fetch.record().clone()) {
            self.refuse_content(&record, rejection);
        }
    }
}

fn encoded_content(
    installed: &InstalledRoll,
    history: &History,
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
