//! The balancer's record of held flows at the store, and what becomes of the flows
//! of an earlier record.

mod recording;
mod restoring;

use crate::clock::Instant;
use crate::flow::balancer::Balancer;
use crate::flow::flow_record::{RecordNeed, RecordRestorer, RecordSession, RestoreTotals};
use crate::flow::identity::{NodeAddress, address_hash};

/// Totals of the record, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FlowRecordCounters {
    /// Records written.
    pub writes: u64,
    /// Flows in the last one.
    pub last_record_flows: u64,
    /// Bytes of the last one.
    pub last_record_bytes: u64,
    /// Age of the record that was read at the start, in milliseconds.
    pub restored_record_age_ms: u64,
}

/// The record that is kept and the one that was read.
#[derive(Clone, Debug)]
pub(crate) struct FlowRecords {
    session: RecordSession,
    restorer: RecordRestorer,
    counters: FlowRecordCounters,
    /// The last period, or that there was none, as far as it was noted.
    noted_need: RecordNeed,
    asked_this_tick: usize,
}

impl FlowRecords {
    pub(crate) fn new(address: NodeAddress, now: Instant) -> Self {
        Self {
            session: RecordSession::new(address_hash(address), now),
            restorer: RecordRestorer::default(),
            counters: FlowRecordCounters::default(),
            noted_need: RecordNeed::Nothing,
            asked_this_tick: 0,
        }
    }

    pub(crate) fn leave(&mut self, now: Instant) {
        self.session.leave(now);
    }
}

impl Balancer {
    /// Totals of the record.
    #[must_use]
    pub fn record_counters(&self) -> FlowRecordCounters {
        self.records.counters
    }

    /// What became of the flows that were recorded before the balancer's start.
    #[must_use]
    pub fn restore_totals(&self) -> RestoreTotals {
        self.records.restorer.totals()
    }
}
