//! What a replica reads from the key-value service, and how it handles the
//! answers.

use std::time::Duration;

use borsh::BorshDeserialize as _;

use crate::clock::Instant;
use crate::configuration::roll_record::StoredRoll;
use crate::control::control_message::OfferedDelta;
use crate::control::replica::adoption::Rejection;
use crate::control::replica::fetch::Fetch;
use crate::control::replica::{Replica, ReplicaAction};
use crate::control::store_operation::{StoreAnswer, StoreKey, StoreOperation, StoreRequestId};
use crate::digest::Digest;

impl Replica {
    /// Handles an answer of the key-value service.
    pub(super) fn handle_store_answer(
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
        let is_expected = self
            .store
            .record_answer(request, &answer, now, &mut self.random);
        if is_expected {
            self.joining.record_store_result();
        }
        match &answer {
            StoreAnswer::Value { value, .. } => {
                self.handle_current_entry(request, value, is_expected, now)
            }
            StoreAnswer::NotFound if is_expected => {
                self.pause_detector.record_store_confirmation(request)
            }
            _ => {}
        }
    }

    /// Sends the reads of the current entry that are due.
    pub(super) fn send_due_store_reads(&mut self, now: Instant) {
        let known_nodes = self.members.len();
        let next_store_request = &mut self.next_store_request;
        let next_id = || {
            let number = *next_store_request;
            next_store_request.0 += 1;
            number
        };
        let due = self
            .store
            .due_requests(known_nodes, now, &mut self.random, next_id);
        for (request, operation) in due {
            self.counters.store_reads += 1;
            self.actions
                .push(ReplicaAction::Store { request, operation });
        }
    }

    /// Time over which all nodes together spread their reads of one snapshot.
    /// If each known node reads the snapshot once within this time, all nodes
    /// together stay within `store_reads_per_second`.
    pub(super) fn store_read_spread(&self) -> Duration {
        let rate = f64::from(self.settings.tuning.store_reads_per_second.max(1));
        let nodes = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(nodes) / rate)
    }

    pub(super) fn read_snapshot(&mut self, fetch: &mut Fetch, digest: Digest, now: Instant) {
        let request = self.take_store_request_id();
        fetch.store_read().record_request(request, now);
        self.counters.store_reads += 1;
        let operation = StoreOperation::Read {
            key: StoreKey::Snapshot(digest),
            wait: None,
        };
        self.actions
            .push(ReplicaAction::Store { request, operation });
    }

    /// Handles a value that is taken to be that of the current entry. A value
    /// that was not expected may be a late answer with a snapshot, so it is not
    /// counted as malformed when it cannot be decoded.
    fn handle_current_entry(
        &mut self,
        request: StoreRequestId,
        value: &[u8],
        is_expected: bool,
        now: Instant,
    ) {
        let Ok(stored) = StoredRoll::try_from_slice(value) else {
            if is_expected {
                self.count_rejection(Rejection::Malformed);
            }
            return;
        };
        if stored.record.sequence() <= self.sequence() {
            self.pause_detector.record_store_confirmation(request);
        }
        let delta = stored.delta.map_or(OfferedDelta::None, |delta| {
            OfferedDelta::Inline(Box::new(delta))
        });
        self.handle_record(stored.record, delta, None, now);
    }

    fn handle_stored_snapshot(&mut self, answer: &StoreAnswer, now: Instant) {
        if let StoreAnswer::Value { value, .. } = answer
            && let Some(rejection) = self.adopt_fetched_copy(value, now)
        {
            self.reject_fetched(rejection);
        }
        if let Some(fetch) = &mut self.fetch {
            fetch.store_read().schedule_retry(now, &mut self.random);
        }
    }
}
