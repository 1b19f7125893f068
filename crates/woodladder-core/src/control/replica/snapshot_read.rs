//! Decides when a node reads a snapshot from the key-value service, because no
//! other node delivers it.

use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::control::replica::store_reader::jittered;
use crate::control::store_operation::StoreRequestId;

/// Time to wait for the answer to a read.
const READ_TIME_LIMIT: Duration = Duration::from_secs(10);
/// Mean time that a node waits for other nodes to deliver a snapshot, before it
/// reads the snapshot from the key-value service. Applies when the node read
/// the record there or resumes a deferred fetch.
const MEAN_READ_DELAY: Duration = Duration::from_millis(200);
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const LONGEST_BACKOFF: Duration = Duration::from_secs(30);

/// State of the read.
#[derive(Clone, Copy, Debug)]
enum Stage {
    NotNeeded,
    DueAt(Instant),
    Reading(StoreRequestId, Instant),
}

/// Read of one snapshot from the key-value service.
#[derive(Clone, Debug)]
pub(super) struct SnapshotRead {
    stage: Stage,
    backoff: Duration,
    /// Time over which all nodes together spread their reads of one snapshot.
    read_spread: Duration,
}

impl SnapshotRead {
    /// A read that is not needed yet.
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::NotNeeded,
            backoff: FIRST_BACKOFF,
            read_spread: Duration::ZERO,
        }
    }

    /// Schedules a read after a short delay, for a record that the node read
    /// from the key-value service or whose deferred fetch is resumed. All nodes
    /// share one rate of reads of the current entry, which already limits how
    /// many nodes read the record there.
    pub(super) fn schedule_soon(&mut self, now: Instant, random: &mut impl Rng) {
        if matches!(self.stage, Stage::NotNeeded) {
            self.stage = Stage::DueAt(now + jittered(MEAN_READ_DELAY, random));
        }
    }

    /// Updates the schedule: plans a read if the fetch from other nodes is
    /// stuck, cancels it if they deliver, and retries one that timed out.
    pub(super) fn update(
        &mut self,
        has_chunks: bool,
        is_stuck: bool,
        read_spread: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) {
        self.read_spread = read_spread;
        match self.stage {
            Stage::NotNeeded if is_stuck => {
                let wait = read_spread.mul_f64(random.random_range(0.0..1.0));
                self.stage = Stage::DueAt(now + wait);
            }
            Stage::DueAt(_) if has_chunks && !is_stuck => self.stage = Stage::NotNeeded,
            Stage::Reading(_, limit) if now >= limit => self.schedule_retry(now, random),
            _ => {}
        }
    }

    /// Whether the read is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        matches!(self.stage, Stage::DueAt(due) if now >= due)
    }

    /// Records the identifier of the read.
    pub(super) fn record_request(&mut self, request: StoreRequestId, now: Instant) {
        self.stage = Stage::Reading(request, now + READ_TIME_LIMIT);
    }

    /// Whether the read with this identifier is outstanding.
    pub(super) fn is_reading(&self, request: StoreRequestId) -> bool {
        matches!(self.stage, Stage::Reading(known, _) if known == request)
    }

    /// Schedules a retry after the service did not deliver the snapshot, within
    /// the rate that all nodes share.
    pub(super) fn schedule_retry(&mut self, now: Instant, random: &mut impl Rng) {
        let pause = self.backoff.max(self.read_spread);
        self.stage = Stage::DueAt(now + jittered(pause, random));
        self.backoff = LONGEST_BACKOFF.min(self.backoff * 2);
    }

    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        match self.stage {
            Stage::NotNeeded => None,
            Stage::DueAt(at) | Stage::Reading(_, at) => Some(at),
        }
    }
}
