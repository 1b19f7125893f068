//! When the flow record is read and written, and which flows it contains.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::activation::is_worth_recording;
use crate::flow::balancer::forwarding::relay::RELAY_SIZE_RATIO;
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::flow::flow_record::record::MAXIMUM_FLOWS;
use crate::flow::flow_record::{FlowRecord, RecordError, RecordNeed, RecordStep, write_period};
use crate::flow::identity::{Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::store_session::{NextCall, StoreCall, StoreReply};

/// Number of heartbeats that a target must send after a flow was opened before the flow
/// is recorded. The first heartbeat can arrive late: an incarnation that had already
/// ended when the flow was opened may have sent it. A target sends its second heartbeat
/// only when the first, which arrived after the opening, has been answered or has timed
/// out at the target.
const CONFIRMING_HEARTBEATS: u64 = 2;

impl Balancer {
    /// The next call to the store for the flow record. Its reply goes to
    /// [`Self::handle_record_reply`]. `time_of_day` is in milliseconds since 1970.
    pub fn next_record_call(&mut self, time_of_day: u64, now: Instant) -> NextCall {
        let need = self.record_need(now);
        self.log_record_need(need, now);
        match self.flow_records.session.next(need, now) {
            RecordStep::At(at) => NextCall::At(at),
            RecordStep::Read => NextCall::Now(StoreCall::ReadFlowRecord),
            RecordStep::Collect => self.next_write_call(time_of_day, now),
        }
    }

    /// Handles the store's reply to a call that [`Self::next_record_call`] returned. A
    /// record that was read is restored.
    pub fn handle_record_reply(
        &mut self,
        reply: StoreReply,
        time_of_day: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if matches!(reply, StoreReply::RecordWritten { .. }) {
            self.flow_records.counters.writes += 1;
        }
        let Some(bytes) = self.flow_records.session.reply(reply, now) else {
            return;
        };
        match self.decode_own_record(&bytes, time_of_day) {
            Ok(record) => self.restore_record(&record, time_of_day, now, actions),
            Err(error) => self.log_events.add(LogEvent::FlowRecordRefused { error }),
        }
    }

    /// Number of balancers that route flows themselves instead of relaying, including
    /// this one.
    fn deciding_balancers(&self, now: Instant) -> usize {
        let own = self.options.cpu_millicores;
        let others: Vec<u32> = self.peers.processors_millicores(now).collect();
        let largest = others.iter().copied().max().unwrap_or(0).max(own);
        let decides = |capacity: &&u32| capacity.saturating_mul(RELAY_SIZE_RATIO) > largest;
        1 + others.iter().filter(decides).count()
    }

    fn record_need(&self, now: Instant) -> RecordNeed {
        let relays_all = !self.relay_receivers.is_empty();
        if !self.mechanisms.locates_flows || relays_all {
            return RecordNeed::Nothing;
        }
        match write_period(self.deciding_balancers(now)) {
            Some(period) => RecordNeed::Write(period),
            None => RecordNeed::ReadOnly,
        }
    }

    /// Logs a new need to read or write the record when writing begins or stops, and
    /// when there was no need before. A change of the write period alone is not logged.
    fn log_record_need(&mut self, need: RecordNeed, now: Instant) {
        let former = std::mem::replace(&mut self.flow_records.logged_need, need);
        let is_write = |need: RecordNeed| matches!(need, RecordNeed::Write(_));
        let is_relevant = is_write(former) != is_write(need) || former == RecordNeed::Nothing;
        if is_relevant && former != need {
            self.log_events.add(LogEvent::FlowRecording {
                need,
                balancers: self.deciding_balancers(now),
            });
        }
    }

    /// Returns the call that writes the record, or `NextCall::At(now)` if the session
    /// needs no write now. In the latter case the session has set the time of its next
    /// step, or has ended, and the next call of [`Self::next_record_call`] returns the
    /// time to wait for.
    fn next_write_call(&mut self, time_of_day: u64, now: Instant) -> NextCall {
        let record = self
            .flow_record(time_of_day)
            .with_stopped_agents(self.stopped_agents(now));
        let fingerprint = record.fingerprint();
        let session = &mut self.flow_records.session;
        let Some(revision) = session.offer(fingerprint, record.is_empty(), now) else {
            return NextCall::At(now);
        };
        let bytes = record.encode();
        self.flow_records.counters.last_record_flows = record.len().try_into().unwrap_or(u64::MAX);
        self.flow_records.counters.last_record_bytes = bytes.len().try_into().unwrap_or(u64::MAX);
        NextCall::Now(StoreCall::WriteFlowRecord { revision, bytes })
    }

    /// The flows with a confirmed holder: first those whose requests must not be sent
    /// again, then the others. Within each group, recently used flows come first.
    #[must_use]
    pub fn flow_record(&self, time_of_day: u64) -> FlowRecord {
        let mut first = Vec::new();
        let mut others = Vec::new();
        for (key, entry) in self.flows.iter() {
            let (terms, _) = self.routes.terms(key.service, entry.service);
            let Some((agent, incarnation)) = self.confirmed_holder(entry) else {
                continue;
            };
            let is_wanted = self.routes.route(key.service).is_some() && is_worth_recording(&terms);
            let list = if terms.is_repeatable {
                &mut others
            } else {
                &mut first
            };
            if is_wanted && list.len() < MAXIMUM_FLOWS {
                list.push((
                    *key,
                    agent,
                    incarnation,
                    entry.acknowledged,
                    entry.caller_next,
                ));
            }
        }
        let flows = first.into_iter().chain(others);
        FlowRecord::of(self.options.address, time_of_day, flows)
    }

    /// Returns the agent and incarnation that certainly hold a flow: the incarnation
    /// must have sent enough heartbeats since the flow was opened. Otherwise the flow
    /// could belong to a later incarnation that has sent no heartbeat yet. Heartbeats
    /// are compared by number and not by time, because reports can be late.
    fn confirmed_holder(&self, entry: &FlowEntry) -> Option<(NodeAddress, Incarnation)> {
        let Stage::Held {
            agent,
            incarnation: Some(incarnation),
            heartbeat,
            ..
        } = &entry.stage
        else {
            return None;
        };
        let record = self.directory.agent(*agent)?;
        let is_present = record.incarnation == Some(*incarnation);
        let is_confirmed = record.last_heartbeat >= heartbeat.saturating_add(CONFIRMING_HEARTBEATS);
        (is_present && is_confirmed && !entry.is_finished).then_some((*agent, *incarnation))
    }

    fn decode_own_record(&self, bytes: &[u8], time_of_day: u64) -> Result<FlowRecord, RecordError> {
        let record = FlowRecord::decode(bytes)?;
        if record.balancer != self.options.address {
            return Err(RecordError::OtherBalancer);
        }
        let age = Duration::from_millis(time_of_day.abs_diff(record.written_at_ms));
        // Every flow of an older record has ended.
        if age > self.options.flow_lifetime {
            return Err(RecordError::TooOld);
        }
        Ok(record)
    }
}
