//! The balancer's record of held flows at the store, and what becomes of the flows
//! of an earlier record.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::activation::is_worth_recording;
use crate::flow::balancer::forwarding::relay::LARGER_BY;
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::flow::flow_record::record::MAXIMUM_FLOWS;
use crate::flow::flow_record::{
    AgentKnowledge, FlowRecord, RecordError, RecordNeed, RecordRestorer, RecordSession, RecordStep,
    RestoreTotals, RestoredFlow, write_period,
};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress, address_hash};
use crate::flow::message::{MAXIMUM_KEYS, PeerMessage, TargetReport};
use crate::flow::note::Note;
use crate::flow::packet::{FlowPacket, ResetReason};
use crate::flow::store_session::{NextCall, StoreCall, StoreReply};

/// Heartbeats of its target after which a flow is recorded. The first may have been under
/// way from an incarnation that had ended when the flow was opened; a target sends the
/// second only when the first is answered or given up.
const CONFIRMED_BY: u64 = 2;
/// Flows asked for between two ticks. Each may be answered by a reset, of some 30
/// microseconds.
const ASKED_A_TICK: usize = 256;
/// Age of a record by the time of day after which its flows are over: longer than a
/// restart, and no longer than a flow lives.
const LONGEST_AGE: Duration = Duration::from_secs(60);

/// Totals of the record, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FlowRecordCounters {
    /// Records written.
    pub writes: u64,
    /// Flows in the last one.
    pub flows: u64,
    /// Bytes of the last one.
    pub bytes: u64,
    /// Age of the record that was read at the start, in milliseconds.
    pub age_ms: u64,
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

    /// The next call for the record; its reply goes to [`Self::record_reply`].
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
    pub fn record_reply(
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
            Err(error) => self.notes.add(Note::FlowRecordRefused { error }),
        }
    }

    /// The balancers that decide about flows, this one included.
    fn deciding_balancers(&self, now: Instant) -> usize {
        let own = self.options.capacity;
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
            self.notes.add(Note::FlowRecording {
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
        self.records.counters.flows = record.len().try_into().unwrap_or(u64::MAX);
        self.records.counters.bytes = bytes.len().try_into().unwrap_or(u64::MAX);
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
        let is_confirmed = record.heartbeat >= heartbeat.saturating_add(CONFIRMED_BY);
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

    fn take_record(
        &mut self,
        record: &FlowRecord,
        time_of_day: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let age_ms = time_of_day.saturating_sub(record.written_at_ms);
        self.records.counters.age_ms = age_ms;
        self.records.restorer.take(record, now);
        self.notes.add(Note::FlowRecordRead {
            flows: record.len(),
            age: Duration::from_millis(age_ms),
        });
        // Agents may have been heard before: their next report may be long in coming.
        for agent in self.directory.agents() {
            let knowledge = AgentKnowledge {
                knows_all_flows: false,
                incarnation: agent.incarnation,
            };
            self.records.restorer.heard(agent.address, knowledge);
        }
        self.probe_recorded_agents(now, actions);
        self.ask_recorded_flows(now, actions);
    }

    /// After a start of everything the agents know only the balancers of their settings,
    /// which may be the last to start.
    fn probe_recorded_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        for to in self.records.restorer.agents_to_probe(now) {
            self.counters.probes += 1;
            let message = PeerMessage::Probe;
            actions.push(BalancerAction::Send { to, message });
        }
    }

    /// An agent has reported: it is asked for the flows that it held.
    pub(crate) fn recorded_agent_heard(
        &mut self,
        agent: NodeAddress,
        report: &TargetReport,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.records.restorer.awaits(agent) {
            let knowledge = AgentKnowledge {
                knows_all_flows: report.knows_all_flows,
                incarnation: report.incarnation,
            };
            self.records.restorer.heard(agent, knowledge);
            self.ask_recorded_flows(now, actions);
        }
    }

    fn ask_recorded_flows(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let left = ASKED_A_TICK.saturating_sub(self.records.asked_this_tick);
        for question in self.records.restorer.due(left, now) {
            self.records.asked_this_tick += question.keys.len();
            for batch in question.keys.chunks(MAXIMUM_KEYS) {
                let message = PeerMessage::LocateRecorded {
                    incarnation: question.incarnation,
                    keys: batch.to_vec(),
                };
                actions.push(BalancerAction::Send {
                    to: question.agent,
                    message,
                });
            }
        }
    }

    /// Asks for further recorded flows, and ends the restoring when it is over.
    pub(crate) fn pursue_recorded_flows(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.records.asked_this_tick = 0;
        if self.records.restorer.tick(now) {
            let totals = self.records.restorer.totals();
            self.notes.add(Note::FlowRecordRestored { totals });
        }
        if !self.records.restorer.is_empty() {
            self.probe_recorded_agents(now, actions);
            self.ask_recorded_flows(now, actions);
        }
    }

    /// An agent denies flows that an incarnation of its target held.
    pub(crate) fn recorded_not_held(
        &mut self,
        from: NodeAddress,
        incarnation: Incarnation,
        keys: &[FlowKey],
        actions: &mut Vec<BalancerAction>,
    ) {
        for key in keys {
            let flow = self.records.restorer.held_by(from, key);
            if flow.is_some_and(|flow| flow.incarnation == incarnation) {
                self.reset_recorded(from, *key, actions);
            }
        }
    }

    /// An agent denies a flow. When the record names it as the flow's holder, the
    /// flow is gone and is reset. Says whether that was so.
    pub(crate) fn reset_recorded(
        &mut self,
        from: NodeAddress,
        key: FlowKey,
        actions: &mut Vec<BalancerAction>,
    ) -> bool {
        let Some(flow) = self.records.restorer.held_by(from, &key) else {
            return false;
        };
        if self.is_newer_than_record(&key, &flow) {
            self.records.restorer.superseded(&key);
            return false;
        }
        let is_proven = self.records.restorer.denied(from, &key).is_some();
        if is_proven {
            self.reset_restored(key, &flow, actions);
        }
        is_proven
    }

    fn reset_restored(
        &mut self,
        key: FlowKey,
        flow: &RestoredFlow,
        actions: &mut Vec<BalancerAction>,
    ) {
        let entry = self.flows.remove(&key);
        let sequence = entry.map_or(flow.acknowledged, |entry| entry.acknowledged);
        let reset = self.reset(key, sequence, ResetReason::HolderDenied, 1);
        actions.push(BalancerAction::Reset(reset));
    }

    /// Whether the table tells that the flow is another one than the record names.
    fn is_newer_than_record(&self, key: &FlowKey, flow: &RestoredFlow) -> bool {
        self.flows.peek(key).is_some_and(|entry| {
            let is_elsewhere = match &entry.stage {
                Stage::Opening { .. } => true,
                Stage::Held { agent, .. } => *agent != flow.agent,
                Stage::Searching(_) => false,
            };
            is_elsewhere || !flow.may_have_reached(entry.acknowledged)
        })
    }

    /// The target of an agent has ended with all its flows.
    pub(crate) fn recorded_agent_ended(
        &mut self,
        agent: NodeAddress,
        actions: &mut Vec<BalancerAction>,
    ) -> usize {
        let mut count = 0;
        for (key, flow) in self.records.restorer.ended(agent) {
            if !self.is_newer_than_record(&key, &flow) {
                self.reset_restored(key, &flow, actions);
                count += 1;
            }
        }
        count
    }

    /// An agent says that its target holds a flow: it is there without a search.
    pub(crate) fn recorded_located(&mut self, agent: NodeAddress, key: FlowKey, now: Instant) {
        if let Some(flow) = self.records.restorer.located(agent, &key) {
            self.place_restored(key, flow, now);
        }
    }

    /// An agent says that only its target can tell whether it holds these flows:
    /// their packets go there, and come back if it does not.
    pub(crate) fn recorded_undecided(
        &mut self,
        agent: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
    ) {
        for key in keys {
            if let Some(flow) = self.records.restorer.undecided(agent, key) {
                self.place_restored(*key, flow, now);
            }
        }
    }

    /// Puts the flow of an unknown packet into the table when the record names its
    /// holder and that has been heard.
    pub(crate) fn place_recorded(
        &mut self,
        packet: &FlowPacket,
        now: Instant,
    ) -> Option<NodeAddress> {
        let key = packet.key;
        let flow = self.records.restorer.flow(&key)?;
        if !flow.may_have_reached(packet.acknowledgement) {
            self.records.restorer.superseded(&key);
            return None;
        }
        let record = self.directory.agent(flow.agent)?;
        if record.is_given_up() {
            return None;
        }
        self.place_restored(key, flow, now);
        self.flows.peek(&key).map(|_| flow.agent)
    }

    fn place_restored(&mut self, key: FlowKey, flow: RestoredFlow, now: Instant) {
        let Some(record) = self.directory.agent(flow.agent) else {
            return;
        };
        if self.flows.peek(&key).is_some() {
            return;
        }
        let entry = FlowEntry {
            service: record.service,
            acknowledged: flow.acknowledged,
            caller_next: flow.caller_next,
            finished: false,
            stage: Stage::Held {
                agent: flow.agent,
                incarnation: record.incarnation.filter(|it| *it == flow.incarnation),
                heartbeat: 0,
                since: now,
            },
        };
        self.flows.insert(key, entry, now);
    }

    /// A caller opens a flow anew: what is recorded of an earlier one is over.
    pub(crate) fn recorded_superseded(&mut self, key: &FlowKey) {
        self.records.restorer.superseded(key);
    }
}
