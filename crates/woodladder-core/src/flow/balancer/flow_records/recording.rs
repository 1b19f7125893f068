//! When the record is read and written, and which flows are in it.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::activation::is_worth_recording;
use crate::flow::balancer::forwarding::relay::LARGER_BY;
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::flow::flow_record::record::MAXIMUM_FLOWS;
use crate::flow::flow_record::{FlowRecord, RecordError, RecordNeed, RecordStep, write_period};
use crate::flow::identity::{Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::store_session::{NextCall, StoreCall, StoreReply};

/// Heartbeats of its target after which a flow is recorded. The first may have been under
/// way from an incarnation that had ended when the flow was opened; a target sends the
/// second only when the first is answered or given up.
const CONFIRMED_BY: u64 = 2;
/// Age of a record by the time of day after which its flows are over: longer than a
/// restart, and no longer than a flow lives.
const LONGEST_AGE: Duration = Duration::from_secs(60);

impl Balancer {
    /// The next call for the record; its reply goes to [`Self::handle_record_reply`].
    /// `time_of_day` is in milliseconds since 1970.
    pub fn next_record_call(&mut self, time_of_day: u64, now: Instant) -> NextCall {
        let need = self.record_need(now);
        self.note_record_need(need, now);
        match self.records.session.next(need, now) {
            RecordStep::At(at) => NextCall::At(at),
            RecordStep::Read => NextCall::Now(StoreCall::ReadFlowRecord),
            RecordStep::Collect => self.write_record(time_of_day, now),
        }
    }

    /// Takes the reply to a call for the record in.
    pub fn handle_record_reply(
        &mut self,
        reply: StoreReply,
        time_of_day: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if matches!(reply, StoreReply::FlowRecordWritten { .. }) {
            self.records.counters.writes += 1;
        }
        let Some(bytes) = self.records.session.reply(reply, now) else {
            return;
        };
        match self.check_record(&bytes, time_of_day) {
            Ok(record) => self.take_record(&record, time_of_day, now, actions),
            Err(error) => self.notes.add(LogEvent::FlowRecordRefused { error }),
        }
    }

    /// The balancers that decide about flows, this one included.
    fn deciding_balancers(&self, now: Instant) -> usize {
        let own = self.options.cpu_millicores;
        let others: Vec<u32> = self.peers.capacities(now).collect();
        let largest = others.iter().copied().max().unwrap_or(0).max(own);
        let decides = |capacity: &&u32| capacity.saturating_mul(LARGER_BY) > largest;
        1 + others.iter().filter(decides).count()
    }

    fn record_need(&self, now: Instant) -> RecordNeed {
        let hands_all_on = !self.relay_receivers.is_empty();
        if !self.mechanisms.locates_flows || hands_all_on {
            return RecordNeed::Nothing;
        }
        match write_period(self.deciding_balancers(now)) {
            Some(period) => RecordNeed::Write(period),
            None => RecordNeed::ReadOnly,
        }
    }

    fn note_record_need(&mut self, need: RecordNeed, now: Instant) {
        let former = std::mem::replace(&mut self.records.noted_need, need);
        let kind = |need: RecordNeed| matches!(need, RecordNeed::Write(_));
        let is_new = kind(former) != kind(need) || former == RecordNeed::Nothing;
        if is_new && former != need {
            self.notes.add(LogEvent::FlowRecording {
                need,
                balancers: self.deciding_balancers(now),
            });
        }
    }

    fn write_record(&mut self, time_of_day: u64, now: Instant) -> NextCall {
        let record = self.flow_record(time_of_day);
        let fingerprint = record.fingerprint();
        let session = &mut self.records.session;
        let Some(revision) = session.offer(fingerprint, record.is_empty(), now) else {
            return NextCall::At(now);
        };
        let bytes = record.encode();
        self.records.counters.last_record_flows = record.len().try_into().unwrap_or(u64::MAX);
        self.records.counters.last_record_bytes = bytes.len().try_into().unwrap_or(u64::MAX);
        NextCall::Now(StoreCall::WriteFlowRecord { revision, bytes })
    }

    /// The flows that this balancer knows to be held, those whose requests may not be
    /// sent again first, and then those used last.
    #[must_use]
    pub fn flow_record(&self, time_of_day: u64) -> FlowRecord {
        let mut first = Vec::new();
        let mut others = Vec::new();
        for (key, entry) in self.flows.iter() {
            let (terms, _) = self.routes.terms(key.service, entry.service);
            let Some((agent, incarnation)) = self.certain_holder(entry) else {
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

    /// The target that holds a flow, when its incarnation has sent heartbeats since the
    /// flow was open: the flow is then not one of a later incarnation, of which no heartbeat
    /// was heard yet. Heartbeats are told apart by their numbers, not by time, because
    /// reports can be late.
    fn certain_holder(&self, entry: &FlowEntry) -> Option<(NodeAddress, Incarnation)> {
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
        let is_confirmed = record.last_heartbeat >= heartbeat.saturating_add(CONFIRMED_BY);
        (is_present && is_confirmed && !entry.finished).then_some((*agent, *incarnation))
    }

    fn check_record(&self, bytes: &[u8], time_of_day: u64) -> Result<FlowRecord, RecordError> {
        let record = FlowRecord::decode(bytes)?;
        if record.balancer != self.options.address {
            return Err(RecordError::OtherBalancer);
        }
        let age = Duration::from_millis(time_of_day.abs_diff(record.written_at_ms));
        if age > LONGEST_AGE {
            return Err(RecordError::TooOld);
        }
        Ok(record)
    }
}
