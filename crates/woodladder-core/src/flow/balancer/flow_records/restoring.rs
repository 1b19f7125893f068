//! Restores the flows of the record that was written before a restart: queries their
//! agents and acts on the answers.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::absence::AbsenceEvidence;
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::flow::flow_record::{AgentKnowledge, FlowRecord, RestoredFlow};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{MAXIMUM_FLOWS_PER_QUERY, PeerMessage, TargetReport};
use crate::flow::packet::FlowPacket;

/// Maximum number of recorded flows queried between two ticks. Each may be answered by
/// a reset, which takes some 30 microseconds.
const MAXIMUM_QUERIED_PER_TICK: usize = 256;

impl Balancer {
    pub(super) fn restore_record(
        &mut self,
        record: &FlowRecord,
        time_of_day: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let age_ms = time_of_day.saturating_sub(record.written_at_ms);
        self.flow_records.counters.restored_record_age_ms = age_ms;
        self.flow_records.restorer.load(record, now);
        self.add_stopped_agents(&record.stopped_agents, Duration::from_millis(age_ms), now);
        self.log_events.add(LogEvent::FlowRecordRead {
            flows: record.len(),
            age: Duration::from_millis(age_ms),
        });
        // Agents that reported before the record was read may not report again for a
        // long time.
        for agent in self.directory.agents() {
            let knowledge = AgentKnowledge {
                knows_all_flows: false,
                incarnation: agent.incarnation,
            };
            self.flow_records
                .restorer
                .update_agent_knowledge(agent.address, knowledge);
        }
        self.probe_recorded_agents(now, actions);
        self.query_recorded_flows(now, actions);
    }

    /// Probes the agents that the record names. After a restart of the whole
    /// deployment, agents report only to the balancers of their settings, which may be
    /// the last to start.
    fn probe_recorded_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        for to in self.flow_records.restorer.agents_to_probe(now) {
            self.counters.agent_probes += 1;
            let message = PeerMessage::Probe;
            actions.push(BalancerAction::Send { to, message });
        }
    }

    /// Handles a report: an agent that was awaited is queried about its recorded flows.
    pub(crate) fn handle_recorded_agent_report(
        &mut self,
        agent: NodeAddress,
        report: &TargetReport,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.flow_records.restorer.awaits(agent) {
            let knowledge = AgentKnowledge {
                knows_all_flows: report.knows_all_flows,
                incarnation: report.incarnation,
            };
            self.flow_records
                .restorer
                .update_agent_knowledge(agent, knowledge);
            self.query_recorded_flows(now, actions);
        }
    }

    fn query_recorded_flows(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let remaining =
            MAXIMUM_QUERIED_PER_TICK.saturating_sub(self.flow_records.queried_this_tick);
        for query in self.flow_records.restorer.take_due_queries(remaining, now) {
            self.flow_records.queried_this_tick += query.keys.len();
            for batch in query.keys.chunks(MAXIMUM_FLOWS_PER_QUERY) {
                let message = PeerMessage::LocateRecorded {
                    incarnation: query.incarnation,
                    keys: batch.to_vec(),
                };
                actions.push(BalancerAction::Send {
                    to: query.agent,
                    message,
                });
            }
        }
    }

    /// Queries further recorded flows. The restoring ends when nothing is left to query
    /// or its time is over.
    pub(crate) fn advance_restoring(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.flow_records.queried_this_tick = 0;
        if self.flow_records.restorer.tick(now) {
            let totals = self.flow_records.restorer.totals();
            self.log_events.add(LogEvent::FlowRecordRestored { totals });
        }
        if !self.flow_records.restorer.is_empty() {
            self.probe_recorded_agents(now, actions);
            self.query_recorded_flows(now, actions);
        }
    }

    /// Handles an agent's denial that the given incarnation of its target holds flows.
    pub(crate) fn handle_recorded_denial(
        &mut self,
        from: NodeAddress,
        incarnation: Incarnation,
        keys: &[FlowKey],
        actions: &mut Vec<BalancerAction>,
    ) {
        for key in keys {
            let flow = self.flow_records.restorer.held_by(from, key);
            if flow.is_some_and(|flow| flow.incarnation == incarnation) {
                self.reset_if_recorded_here(from, *key, actions);
            }
        }
    }

    /// Handles an agent's denial of a flow. If the flow record names this agent as the
    /// holder, the flow no longer exists: the flow is reset and the result is `true`.
    pub(crate) fn reset_if_recorded_here(
        &mut self,
        from: NodeAddress,
        key: FlowKey,
        actions: &mut Vec<BalancerAction>,
    ) -> bool {
        let Some(flow) = self.flow_records.restorer.held_by(from, &key) else {
            return false;
        };
        if self.is_newer_than_record(&key, &flow) {
            self.flow_records.restorer.mark_superseded(&key);
            return false;
        }
        let is_proven = self
            .flow_records
            .restorer
            .handle_denial(from, &key)
            .is_some();
        if is_proven {
            let evidence = AbsenceEvidence::RecordedHolderDenied { agent: from };
            self.reset_recorded_flow(key, &flow, &evidence, actions);
        }
        is_proven
    }

    fn reset_recorded_flow(
        &mut self,
        key: FlowKey,
        flow: &RestoredFlow,
        evidence: &AbsenceEvidence,
        actions: &mut Vec<BalancerAction>,
    ) {
        let entry = self.flows.remove(&key);
        let sequence = entry.map_or(flow.acknowledged, |entry| entry.acknowledged);
        self.reset_open_flow(key, sequence, evidence, actions);
    }

    /// Whether the flow table shows that the key now belongs to another flow than the
    /// recorded one.
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

    /// Resets the recorded flows of a target that has ended, and returns their number.
    pub(crate) fn reset_recorded_flows_of(
        &mut self,
        agent: NodeAddress,
        evidence: &AbsenceEvidence,
        actions: &mut Vec<BalancerAction>,
    ) -> usize {
        let mut count = 0;
        for (key, flow) in self.flow_records.restorer.remove_ended_target(agent) {
            if !self.is_newer_than_record(&key, &flow) {
                self.reset_recorded_flow(key, &flow, evidence, actions);
                count += 1;
            }
        }
        count
    }

    /// Handles an agent's answer that its target holds a recorded flow: the flow is
    /// added to the table without a search.
    pub(crate) fn handle_recorded_flow_located(
        &mut self,
        agent: NodeAddress,
        key: FlowKey,
        now: Instant,
    ) {
        if let Some(flow) = self.flow_records.restorer.handle_located(agent, &key) {
            self.insert_recorded_flow(key, flow, now);
        }
    }

    /// Handles an agent's answer that only a packet can show whether its target holds
    /// the given recorded flows. Packets of these flows are sent to that target, which
    /// returns them if it does not hold the flow.
    pub(crate) fn handle_recorded_flows_undecided(
        &mut self,
        agent: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
    ) {
        for key in keys {
            if let Some(flow) = self.flow_records.restorer.mark_undecided(agent, key) {
                self.insert_recorded_flow(*key, flow, now);
            }
        }
    }

    /// Adds the flow of an unknown packet to the table if the flow record names its
    /// holder and the holder's agent has reported. Returns that agent.
    pub(crate) fn insert_if_recorded(
        &mut self,
        packet: &FlowPacket,
        now: Instant,
    ) -> Option<NodeAddress> {
        let key = packet.key;
        let flow = self.flow_records.restorer.flow(&key)?;
        if !flow.may_have_reached(packet.acknowledgement) {
            self.flow_records.restorer.mark_superseded(&key);
            return None;
        }
        let record = self.directory.agent(flow.agent)?;
        if record.is_marked_lost() {
            return None;
        }
        self.insert_recorded_flow(key, flow, now);
        self.flows.peek(&key).map(|_| flow.agent)
    }

    fn insert_recorded_flow(&mut self, key: FlowKey, flow: RestoredFlow, now: Instant) {
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
            is_finished: false,
            stage: Stage::Held {
                agent: flow.agent,
                incarnation: record.incarnation.filter(|it| *it == flow.incarnation),
                heartbeat: 0,
                known_since: now,
            },
        };
        self.flows.insert(key, entry, now);
    }

    /// Removes the flow with this key, if any, from the flows restored from the record:
    /// the caller opens a new flow with the same key.
    pub(crate) fn drop_recorded_flow(&mut self, key: &FlowKey) {
        self.flow_records.restorer.mark_superseded(key);
    }
}
