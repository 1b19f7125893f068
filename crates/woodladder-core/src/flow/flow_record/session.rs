//! When a balancer reads and writes its record.
//!
//! It reads it once at its start, and gives up after [`READS_FOR`]. It then writes
//! at a period that keeps the writes of all balancers within [`WRITES_A_SECOND`],
//! and only when the record has changed. Each write is bound to the revision that
//! is known, so that one which was under way for long cannot replace a later one.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::store_session::{Backoff, StoreReply};

/// Writes a second that all balancers of a deployment may make together.
pub const WRITES_A_SECOND: u32 = 4;
/// Least time between two writes of one balancer.
const LEAST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two writes beyond which too many of the flows in a record have
/// ended for it to be worth its calls: callers use a flow once in some seconds.
const LONGEST_PERIOD: Duration = Duration::from_secs(5);
/// Time after the first attempt in which a record is read. What callers have not
/// used by then, they find out themselves.
pub const READS_FOR: Duration = Duration::from_secs(4);
/// Time between two looks while nothing is to be done.
const STAND_BY: Duration = Duration::from_millis(500);
/// The same while the balancer has not yet read its record, because it has no
/// configuration.
const STAND_BY_AT_START: Duration = Duration::from_millis(10);
/// Time after its start in which a balancer looks so often.
const STARTING_FOR: Duration = Duration::from_secs(2);

/// Time between two writes of each of so many balancers that decide; `None` when
/// they are too many.
#[must_use]
pub fn write_period(balancers: usize) -> Option<Duration> {
    let count = u32::try_from(balancers).unwrap_or(u32::MAX);
    let period = Duration::from_secs(count.into()) / WRITES_A_SECOND;
    (period <= LONGEST_PERIOD).then_some(period.max(LEAST_PERIOD))
}

/// What the record is needed for at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordNeed {
    /// Nothing: the mechanism does not act, or the balancer decides about no flows.
    Nothing,
    /// It is read, and not written: there are too many balancers.
    ReadOnly,
    /// It is read, and written at this period.
    Write(Duration),
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordStep {
    /// Read the record.
    Read,
    /// Make the record and offer it by [`RecordSession::offer`].
    Collect,
    /// Nothing before this time.
    At(Instant),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The record is to be read; since when that is tried.
    Reading {
        since: Option<Instant>,
    },
    Writing,
    /// A last write is due as part of a planned stop.
    Leaving,
    Ended,
}

/// Reads and writes one balancer's record, with one call at a time.
#[derive(Clone, Debug)]
pub struct RecordSession {
    stage: Stage,
    began_at: Instant,
    due_at: Instant,
    in_flight: bool,
    /// Whether the write in flight is the last one of a planned stop.
    is_final_write: bool,
    /// Revision of the entry; zero when there is none.
    revision: u64,
    period: Duration,
    /// Fingerprint of what the store holds, if it is known.
    written: Option<u64>,
    /// Fingerprint of what is being written.
    offered: Option<u64>,
    backoff: Backoff,
}

impl RecordSession {
    /// A session that reads as soon as it is needed.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            stage: Stage::Reading { since: None },
            began_at: now,
            due_at: now,
            in_flight: false,
            is_final_write: false,
            revision: 0,
            period: LONGEST_PERIOD,
            written: None,
            offered: None,
            backoff: Backoff::new(seed),
        }
    }

    /// What to do next.
    pub fn next(&mut self, need: RecordNeed, now: Instant) -> RecordStep {
        if self.in_flight || self.stage == Stage::Ended {
            return RecordStep::At(now + STAND_BY);
        }
        if need == RecordNeed::Nothing {
            return RecordStep::At(now + self.stand_by(now));
        }
        if now < self.due_at {
            return RecordStep::At(self.due_at);
        }
        if let Stage::Reading { since } = self.stage {
            let since = since.unwrap_or(now);
            self.stage = Stage::Reading { since: Some(since) };
            if now.since(since) < READS_FOR {
                self.in_flight = true;
                return RecordStep::Read;
            }
            self.stage = Stage::Writing;
        }
        match need {
            RecordNeed::Write(period) => {
                self.period = period;
                RecordStep::Collect
            }
            _ => RecordStep::At(now + STAND_BY),
        }
    }

    fn stand_by(&self, now: Instant) -> Duration {
        let is_starting = now.since(self.began_at) < STARTING_FOR;
        match self.stage {
            Stage::Reading { since: None } if is_starting => STAND_BY_AT_START,
            _ => STAND_BY,
        }
    }

    /// Offers a record with this fingerprint after [`RecordStep::Collect`]. Returns
    /// the revision that its write is bound to, or `None` when the store holds the
    /// same already.
    pub fn offer(&mut self, fingerprint: u64, is_empty: bool, now: Instant) -> Option<u64> {
        let is_known = self.written == Some(fingerprint);
        let is_needless = is_empty && self.revision == 0;
        self.is_final_write = self.stage == Stage::Leaving;
        if is_known || is_needless {
            self.advance(now);
            return None;
        }
        self.offered = Some(fingerprint);
        self.in_flight = true;
        Some(self.revision)
    }

    /// Takes a reply in; returns the record's bytes when it was read.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Option<Vec<u8>> {
        self.in_flight = false;
        match (reply, self.stage) {
            (StoreReply::FlowRecord { value, revision }, Stage::Reading { .. }) => {
                self.backoff.succeeded();
                self.revision = revision;
                self.stage = Stage::Writing;
                self.due_at = now + self.backoff.spread(LEAST_PERIOD);
                value
            }
            (_, Stage::Reading { .. }) => {
                self.due_at = now + self.backoff.failed();
                None
            }
            (StoreReply::FlowRecordWritten { revision }, _) => {
                self.backoff.succeeded();
                self.revision = revision;
                self.written = self.offered.take();
                self.advance(now);
                None
            }
            (StoreReply::FlowRecordChanged { revision }, _) => {
                // A write without an answer took effect, or the entry was removed.
                self.revision = revision;
                self.written = None;
                self.due_at = now + self.backoff.failed();
                None
            }
            _ => {
                // It may have taken effect, or may yet.
                self.written = None;
                let pause = self.backoff.failed().max(self.period);
                self.advance(now);
                self.due_at = now + pause;
                None
            }
        }
    }

    /// Writes a last time as part of a planned stop.
    pub fn leave(&mut self, now: Instant) {
        self.stage = match self.stage {
            Stage::Writing => Stage::Leaving,
            _ => Stage::Ended,
        };
        self.due_at = now;
    }

    fn advance(&mut self, now: Instant) {
        match (self.stage, self.is_final_write) {
            (Stage::Leaving, true) => self.stage = Stage::Ended,
            // A write from before the stop has ended: the last one is due now.
            (Stage::Leaving, false) => self.due_at = now,
            _ => self.due_at = now + self.period,
        }
    }
}
