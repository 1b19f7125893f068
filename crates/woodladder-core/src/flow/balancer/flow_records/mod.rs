//! Records of held flows in the store: the record that this balancer keeps, and the
//! flows of the record that it wrote before its restart.

mod recording;
mod restoring;

use crate::clock::Instant;
use crate::flow::balancer::Balancer;
use crate::flow::flow_record::{RecordNeed, RecordRestorer, RecordSession, RestoreTotals};
use crate::flow::identity::{FlowKey, NodeAddress, address_hash};

/// Counters of the flow records, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FlowRecordCounters {
    /// Number of records written.
    pub writes: u64,
    /// Number of flows in the last record written.
    pub last_record_flows: u64,
    /// Size of the last record written, in bytes.
    pub last_record_bytes: u64,
    /// Age, in milliseconds, of the record that was read at the start.
    pub restored_record_age_ms: u64,
}

/// State of the record being kept and of the record being restored.
#[derive(Clone, Debug)]
pub(crate) struct FlowRecords {
    session: RecordSession,
    restorer: RecordRestorer,
    counters: FlowRecordCounters,
    /// Need to read or write the flow record, as last logged.
    logged_need: RecordNeed,
    queried_this_tick: usize,
}

impl FlowRecords {
    pub(crate) fn new(address: NodeAddress, now: Instant) -> Self {
        Self {
            session: RecordSession::new(address_hash(address), now),
            restorer: RecordRestorer::default(),
            counters: FlowRecordCounters::default(),
            logged_need: RecordNeed::Nothing,
            queried_this_tick: 0,
        }
    }

    /// Whether the record names this agent as the holder of the flow.
    pub(crate) fn names_holder(&self, agent: NodeAddress, key: &FlowKey) -> bool {
        self.restorer.held_by(agent, key).is_some()
    }

    pub(crate) fn leave(&mut self, now: Instant) {
        self.session.leave(now);
    }
}

impl Balancer {
    /// Counters of the flow records.
    #[must_use]
    pub fn flow_record_counters(&self) -> FlowRecordCounters {
        self.flow_records.counters
    }

    /// Totals of the flows that were recorded before the balancer's start, by outcome.
    #[must_use]
    pub fn restore_totals(&self) -> RestoreTotals {
        self.flow_records.restorer.totals()
    }
}
