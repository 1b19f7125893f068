//! Puts a roll in force, or refuses it for good.

use std::sync::Arc;

use crate::clock::Instant;
use crate::configuration::bundle::encode;
use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::replica::adoption::Rejection;
use crate::control::replica::fetch::Fetch;
use crate::control::replica::{InstalledRoll, Replica, ReplicaAction};
use crate::digest::Digest;

const MAXIMUM_REMEMBERED: usize = 16;

/// How a snapshot came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Way {
    Delta,
    Copy,
}

impl Replica {
    /// Puts a roll in force and offers it to others.
    pub(super) fn install(
        &mut self,
        next: Arc<InstalledRoll>,
        delta: Option<SnapshotDelta>,
        way: Way,
        now: Instant,
    ) {
        if next.sequence() <= self.sequence() {
            return;
        }
        self.remember_delta(&next, delta);
        self.counters.rolls_adopted += 1;
        if way == Way::Delta {
            self.counters.rolls_adopted_by_delta += 1;
        }
        let first = self.installed.is_none();
        self.installed = Some(Arc::clone(&next));
        let overtaken = |fetch: &Fetch| fetch.record().sequence() <= next.sequence();
        if self.fetch.as_ref().is_some_and(overtaken) {
            self.fetch = None;
        }
        self.joining.installed(now);
        if first || self.vigilance.is_suspect(now) {
            self.gossip.round_soon(now);
        }
        self.actions.push(ReplicaAction::Install(next));
        self.forget_removed_targets();
        if self.unavailable_target_count() > 0 {
            self.refresh(now);
        }
        self.spread();
        self.resume_deferred(now);
    }

    fn remember_delta(&mut self, next: &InstalledRoll, delta: Option<SnapshotDelta>) {
        let Some(previous) = &self.installed else {
            self.history.begin(next.digest());
            return;
        };
        let delta =
            delta.unwrap_or_else(|| SnapshotDelta::between(&previous.snapshot, &next.snapshot));
        self.history.push(delta, next.digest());
    }

    /// Refuses the snapshot of a record; for good when no other source can
    /// make it acceptable.
    pub(super) fn refuse_content(&mut self, record: &RollRecord, rejection: Rejection) {
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

    /// Whether the record was refused for good.
    pub(super) fn is_unacceptable(&self, record: &RollRecord) -> bool {
        self.unacceptable.contains(&record_digest(record))
    }

    /// Counts a refusal.
    pub(super) fn refuse(&mut self, rejection: Rejection) {
        self.counters.rejections.count(rejection);
    }
}

fn record_digest(record: &RollRecord) -> Digest {
    Digest::of(&encode(record))
}
