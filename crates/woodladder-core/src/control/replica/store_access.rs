//! What the replica reads from the key-value service and makes of it.

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
            StoreAnswer::Value { value, .. } => self.handle_current(request, value, awaited, now),
            StoreAnswer::NotFound if awaited => self.vigilance.confirmed_by_store(request),
            _ => {}
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
            self.actions
                .push(ReplicaAction::Store { request, operation });
        }
    }

    /// Time over which all nodes spread reads of one snapshot, so that they
    /// stay within the rate that they share.
    pub(super) fn store_spread(&self) -> Duration {
        let rate = f64::from(self.settings.tuning.store_reads_per_second.max(1));
        let nodes = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(nodes) / rate)
    }

    pub(super) fn read_snapshot(&mut self, fetch: &mut Fetch, digest: Digest, now: Instant) {
        let request = self.take_request_number();
        fetch.store_read().asked(request, now);
        self.counters.store_reads += 1;
        let operation = StoreOperation::Read {
            key: StoreKey::Snapshot(digest),
            wait: None,
        };
        self.actions
            .push(ReplicaAction::Store { request, operation });
    }

    /// Takes a value of the current entry. A value that was not awaited may be
    /// the late one of a snapshot, so it is no fault when it is no record.
    fn handle_current(
        &mut self,
        request: StoreRequestId,
        value: &[u8],
        awaited: bool,
        now: Instant,
    ) {
        let Ok(stored) = StoredRoll::try_from_slice(value) else {
            if awaited {
                self.refuse(Rejection::Malformed);
            }
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
            fetch.store_read().failed(now, &mut self.random);
        }
    }
}
