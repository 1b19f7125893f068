//! The flows of an earlier record: questions to their agents, and what follows from the
//! answers.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::flow::flow_record::{AgentKnowledge, FlowRecord, RestoredFlow};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{MAXIMUM_KEYS, PeerMessage, TargetReport};
use crate::flow::packet::{FlowPacket, ResetReason};

/// Flows asked for between two ticks. Each may be answered by a reset, of some 30
/// microseconds.
const ASKED_A_TICK: usize = 256;

impl Balancer {
    pub(super) fn take_record(
        &mut self,
        record: &FlowRecord,
        time_of_day: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let age_ms = time_of_day.saturating_sub(record.written_at_ms);
        self.records.counters.restored_record_age_ms = age_ms;
        self.records.restorer.load(record, now);
        self.notes.add(LogEvent::FlowRecordRead {
            flows: record.len(),
            age: Duration::from_millis(age_ms),
        });
        // Agents may have been heard before: their next report may be long in coming.
        for agent in self.directory.agents() {
            let knowledge = AgentKnowledge {
                knows_all_flows: false,
                incarnation: agent.incarnation,
            };
            self.records
                .restorer
                .update_agent_knowledge(agent.address, knowledge);
        }
        self.probe_recorded_agents(now, actions);
        self.ask_recorded_flows(now, actions);
    }

    /// After a start of everything the agents know only the balancers of their settings,
    /// which may be the last to start.
    fn probe_recorded_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        for to in self.records.restorer.agents_to_probe(now) {
            self.counters.agent_probes += 1;
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
            self.records
                .restorer
                .update_agent_knowledge(agent, knowledge);
            self.ask_recorded_flows(now, actions);
        }
    }

    fn ask_recorded_flows(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let left = ASKED_A_TICK.saturating_sub(self.records.asked_this_tick);
        for question in self.records.restorer.take_due_queries(left, now) {
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
            self.notes.add(LogEvent::FlowRecordRestored { totals });
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
            self.records.restorer.mark_superseded(&key);
            return false;
        }
        let is_proven = self.records.restorer.handle_denial(from, &key).is_some();
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
        for (key, flow) in self.records.restorer.remove_ended_target(agent) {
            if !self.is_newer_than_record(&key, &flow) {
                self.reset_restored(key, &flow, actions);
                count += 1;
            }
        }
        count
    }

    /// An agent says that its target holds a flow: it is there without a search.
    pub(crate) fn recorded_located(&mut self, agent: NodeAddress, key: FlowKey, now: Instant) {
        if let Some(flow) = self.records.restorer.handle_located(agent, &key) {
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
            if let Some(flow) = self.records.restorer.mark_undecided(agent, key) {
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
            self.records.restorer.mark_superseded(&key);
            return None;
        }
        let record = self.directory.agent(flow.agent)?;
        if record.is_marked_lost() {
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
        self.records.restorer.mark_superseded(key);
    }
}
