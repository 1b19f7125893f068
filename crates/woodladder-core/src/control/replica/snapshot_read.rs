//! Decides when a node reads a snapshot from the key-value service, because no
//! other node delivers it.

use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::control::replica::store_reader::jittered;
use crate::control::store_operation::StoreRequestId;

const READ_TIME_LIMIT: Duration = Duration::from_secs(10);
/// Mean time that a node waits for others before it reads a snapshot whose
/// record it read in the key-value service.
const SOON: Duration = Duration::from_millis(200);
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
const LONGEST_BACKOFF: Duration = Duration::from_secs(30);

/// How far the reading has come.
#[derive(Clone, Copy, Debug)]
enum Stage {
    NotNeeded,
    DueAt(Instant),
    Reading(StoreRequestId, Instant),
}

/// The reading of one snapshot.
#[derive(Clone, Debug)]
pub(super) struct SnapshotRead {
    stage: Stage,
    backoff: Duration,
    /// Time over which all nodes spread their reads of one snapshot.
    spread: Duration,
}

impl SnapshotRead {
    /// A reading that is not needed yet.
    pub(super) fn new() -> Self {
        Self {
            stage: Stage::NotNeeded,
            backoff: FIRST_BACKOFF,
            spread: Duration::ZERO,
        }
    }

    /// Reads soon: the record was read in the service, so only as many nodes
    /// know it as may read.
    pub(super) fn soon(&mut self, now: Instant, random: &mut impl Rng) {
        if matches!(self.stage, Stage::NotNeeded) {
            self.stage = Stage::DueAt(now + jittered(SOON, random));
        }
    }

    /// Takes note of whether other nodes deliver; plans a read if not.
    pub(super) fn plan(
        &mut self,
        delivered: bool,
        stuck: bool,
        spread: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) {
        self.spread = spread;
        match self.stage {
            Stage::NotNeeded if stuck => {
                let wait = spread.mul_f64(random.random_range(0.0..1.0));
                self.stage = Stage::DueAt(now + wait);
            }
            Stage::DueAt(_) if delivered && !stuck => self.stage = Stage::NotNeeded,
            Stage::Reading(_, limit) if now >= limit => self.failed(now, random),
            _ => {}
        }
    }

    /// Whether the read is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        matches!(self.stage, Stage::DueAt(due) if now >= due)
    }

    /// Takes note of the number of the read.
    pub(super) fn asked(&mut self, request: StoreRequestId, now: Instant) {
        self.stage = Stage::Reading(request, now + READ_TIME_LIMIT);
    }

    /// Whether this is the number of the read under way.
    pub(super) fn is_reading(&self, request: StoreRequestId) -> bool {
        matches!(self.stage, Stage::Reading(known, _) if known == request)
    }

    /// Takes note that the service did not deliver the snapshot. The next read
    /// keeps to the rate that all nodes share.
    pub(super) fn failed(&mut self, now: Instant, random: &mut impl Rng) {
        let pause = self.backoff.max(self.spread);
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
