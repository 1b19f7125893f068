//! Puts a roll in force, or rejects its record.

use std::sync::Arc;

use crate::clock::Instant;
use crate::configuration::bundle::encode;
use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::replica::adoption::Rejection;
use crate::control::replica::fetch::Fetch;
use crate::control::replica::{InstalledRoll, Replica, ReplicaAction};
use crate::digest::Digest;

/// Largest number of unacceptable records that a replica remembers.
const MAXIMUM_UNACCEPTABLE_RECORDS: usize = 16;

/// Whether a snapshot was built from a delta or received as a full copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SnapshotOrigin {
    Delta,
    Copy,
}

impl Replica {
    /// Puts a roll in force and offers it to other nodes.
    pub(super) fn install(
        &mut self,
        next: Arc<InstalledRoll>,
        delta: Option<SnapshotDelta>,
        origin: SnapshotOrigin,
        now: Instant,
    ) {
        if next.sequence() <= self.sequence() {
            return;
        }
        self.record_delta(&next, delta);
        self.counters.rolls_adopted += 1;
        if origin == SnapshotOrigin::Delta {
            self.counters.rolls_adopted_by_delta += 1;
        }
        let first = self.installed.is_none();
        self.installed = Some(Arc::clone(&next));
        let is_superseded = |fetch: &Fetch| fetch.record().sequence() <= next.sequence();
        if self.fetch.as_ref().is_some_and(is_superseded) {
            self.fetch = None;
        }
        self.joining.record_install(now);
        if first || self.pause_detector.is_suspect(now) {
            self.gossip.schedule_urgent_round(now);
        }
        self.actions.push(ReplicaAction::Install(next));
        self.forget_removed_targets();
        if self.unavailable_target_count() > 0 {
            self.replace_routing_table(now);
        }
        self.offer_adopted_roll();
        self.resume_deferred(now);
    }

    /// Adds the delta from the snapshot in force to that of `next` to the
    /// history, and computes the delta if `delta` is `None`. The first roll
    /// starts the history, because no snapshot precedes its own.
    fn record_delta(&mut self, next: &InstalledRoll, delta: Option<SnapshotDelta>) {
        let Some(previous) = &self.installed else {
            self.delta_history.reset(next.digest());
            return;
        };
        let delta =
            delta.unwrap_or_else(|| SnapshotDelta::between(&previous.snapshot, &next.snapshot));
        self.delta_history.push(delta, next.digest());
    }

    /// Rejects the snapshot of a record. If no other source can make the record
    /// acceptable, the record is remembered as unacceptable and no longer
    /// fetched.
    pub(super) fn reject_content(&mut self, record: &RollRecord, rejection: Rejection) {
        self.count_rejection(rejection);
        if !rejection.is_final() {
            return;
        }
        if self.unacceptable_records.len() == MAXIMUM_UNACCEPTABLE_RECORDS {
            self.unacceptable_records.remove(0);
        }
        self.unacceptable_records.push(record_digest(record));
        if self.fetch.as_ref().map(Fetch::record) == Some(record) {
            self.fetch = None;
        }
        if self.greatest_known_sequence == record.sequence() {
            self.greatest_known_sequence = self.sequence();
        }
    }

    /// Whether the record is remembered as unacceptable.
    pub(super) fn is_known_unacceptable(&self, record: &RollRecord) -> bool {
        self.unacceptable_records.contains(&record_digest(record))
    }

    /// Counts a rejection.
    pub(super) fn count_rejection(&mut self, rejection: Rejection) {
        self.counters.rejections.count(rejection);
    }
}

fn record_digest(record: &RollRecord) -> Digest {
    Digest::of(&encode(record))
}
