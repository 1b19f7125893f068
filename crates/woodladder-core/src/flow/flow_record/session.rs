//! Schedules when a balancer reads and writes its flow record.
//!
//! The balancer reads the record once at its start, and gives up after [`READ_TIMEOUT`].
//! It then writes at a period that keeps the writes of all balancers within
//! [`MAXIMUM_WRITES_PER_SECOND`], and only if the record has changed. Each write is
//! conditional on the known revision, so that a delayed write cannot replace a later one.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::store_session::{Backoff, StoreReply};

/// Writes per second that all balancers of a deployment may make together.
pub const MAXIMUM_WRITES_PER_SECOND: u32 = 4;
/// Shortest time between two writes of one balancer.
const MINIMUM_PERIOD: Duration = Duration::from_secs(1);
/// Longest time between two writes of one balancer. After a longer time, most recorded
/// flows would have ended, because callers use a flow only once in some seconds, and the
/// record would not be worth its store calls.
const MAXIMUM_PERIOD: Duration = Duration::from_secs(5);
/// Time after the first attempt within which a record is read. By then, callers have
/// noticed the loss of their flows themselves.
pub const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Polling interval while there is nothing to do.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Polling interval while the balancer has no configuration after its start and so has
/// not read its record.
const POLL_INTERVAL_AT_START: Duration = Duration::from_millis(10);
/// Time after the balancer's start in which [`POLL_INTERVAL_AT_START`] applies.
const START_PHASE: Duration = Duration::from_secs(2);

/// Time between two writes of one balancer when `balancers` balancers route flows
/// themselves; `None` if there are too many of them to write at all.
#[must_use]
pub fn write_period(balancers: usize) -> Option<Duration> {
    let count = u32::try_from(balancers).unwrap_or(u32::MAX);
    let period = Duration::from_secs(count.into()) / MAXIMUM_WRITES_PER_SECOND;
    (period <= MAXIMUM_PERIOD).then_some(period.max(MINIMUM_PERIOD))
}

/// What the record is currently needed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordNeed {
    /// Nothing: [`ActiveMechanisms::locates_flows`] is off, or the balancer relays
    /// callers' packets to larger balancers.
    ///
    /// [`ActiveMechanisms::locates_flows`]: crate::flow::activation::ActiveMechanisms::locates_flows
    Nothing,
    /// The record is read but not written, because there are too many balancers.
    ReadOnly,
    /// The record is read, and written with this period.
    Write(Duration),
}

/// Next action of the session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordStep {
    /// Read the record.
    Read,
    /// Build the record and pass its fingerprint to [`RecordSession::offer`].
    Collect,
    /// Do nothing before this time.
    At(Instant),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The record has not been read yet; `since` is the time of the first attempt.
    Reading {
        since: Option<Instant>,
    },
    Writing,
    /// A last write is due as part of a planned stop.
    Stopping,
    Ended,
}

/// Reads and writes the record of one balancer, with at most one call at a time.
#[derive(Clone, Debug)]
pub struct RecordSession {
    stage: Stage,
    started_at: Instant,
    due_at: Instant,
    is_in_flight: bool,
    /// Whether the write in flight is the last one of a planned stop.
    is_final_write: bool,
    /// Revision of the store entry; zero if there is none.
    revision: u64,
    period: Duration,
    /// Fingerprint of the record in the store, if known.
    stored_fingerprint: Option<u64>,
    /// Fingerprint of the record that is being written.
    offered_fingerprint: Option<u64>,
    backoff: Backoff,
}

impl RecordSession {
    /// A session that reads as soon as the record is needed.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            stage: Stage::Reading { since: None },
            started_at: now,
            due_at: now,
            is_in_flight: false,
            is_final_write: false,
            revision: 0,
            period: MAXIMUM_PERIOD,
            stored_fingerprint: None,
            offered_fingerprint: None,
            backoff: Backoff::new(seed),
        }
    }

    /// The next action.
    pub fn next(&mut self, need: RecordNeed, now: Instant) -> RecordStep {
        if self.is_in_flight || self.stage == Stage::Ended {
            return RecordStep::At(now + POLL_INTERVAL);
        }
        if need == RecordNeed::Nothing {
            return RecordStep::At(now + self.poll_interval(now));
        }
        if now < self.due_at {
            return RecordStep::At(self.due_at);
        }
        if let Stage::Reading { since } = self.stage {
            let since = since.unwrap_or(now);
            self.stage = Stage::Reading { since: Some(since) };
            if now.since(since) < READ_TIMEOUT {
                self.is_in_flight = true;
                return RecordStep::Read;
            }
            self.stage = Stage::Writing;
        }
        match need {
            RecordNeed::Write(period) => {
                self.period = period;
                RecordStep::Collect
            }
            _ => RecordStep::At(now + POLL_INTERVAL),
        }
    }

    fn poll_interval(&self, now: Instant) -> Duration {
        let is_starting = now.since(self.started_at) < START_PHASE;
        match self.stage {
            Stage::Reading { since: None } if is_starting => POLL_INTERVAL_AT_START,
            _ => POLL_INTERVAL,
        }
    }

    /// Offers a record for writing after [`RecordStep::Collect`]. Returns the revision
    /// that the write depends on, or `None` if the store already holds the same record.
    pub fn offer(&mut self, fingerprint: u64, is_empty: bool, now: Instant) -> Option<u64> {
        let is_unchanged = self.stored_fingerprint == Some(fingerprint);
        let is_unneeded = is_empty && self.revision == 0;
        self.is_final_write = self.stage == Stage::Stopping;
        if is_unchanged || is_unneeded {
            self.advance(now);
            return None;
        }
        self.offered_fingerprint = Some(fingerprint);
        self.is_in_flight = true;
        Some(self.revision)
    }

    /// Handles a reply; returns the bytes of the record when it was read.
    pub fn reply(&mut self, reply: StoreReply, now: Instant) -> Option<Vec<u8>> {
        self.is_in_flight = false;
        match (reply, self.stage) {
            (StoreReply::Record { value, revision }, Stage::Reading { .. }) => {
                self.backoff.reset();
                self.revision = revision;
                self.stage = Stage::Writing;
                self.due_at = now + self.backoff.randomize(MINIMUM_PERIOD);
                value
            }
            (_, Stage::Reading { .. }) => {
                self.due_at = now + self.backoff.next_pause();
                None
            }
            (StoreReply::RecordWritten { revision }, _) => {
                self.backoff.reset();
                self.revision = revision;
                self.stored_fingerprint = self.offered_fingerprint.take();
                self.advance(now);
                None
            }
            (StoreReply::RecordChanged { revision }, _) => {
                // An earlier write without an answer took effect after all, or the entry
                // was removed.
                self.revision = revision;
                self.stored_fingerprint = None;
                self.due_at = now + self.backoff.next_pause();
                None
            }
            _ => {
                // The write may have taken effect, or may still do so.
                self.stored_fingerprint = None;
                let pause = self.backoff.next_pause().max(self.period);
                self.advance(now);
                self.due_at = now + pause;
                None
            }
        }
    }

    /// Schedules a last write as part of a planned stop.
    pub fn leave(&mut self, now: Instant) {
        self.stage = match self.stage {
            Stage::Writing => Stage::Stopping,
            _ => Stage::Ended,
        };
        self.due_at = now;
    }

    fn advance(&mut self, now: Instant) {
        match (self.stage, self.is_final_write) {
            (Stage::Stopping, true) => self.stage = Stage::Ended,
            // The write was made before the stop began: the last one is due now.
            (Stage::Stopping, false) => self.due_at = now,
            _ => self.due_at = now + self.period,
        }
    }
}
