//! Agents that are found, stop, fall silent or report another target, and what this means for
//! their flows.
//!
//! The silence of an agent is evidence that its target is gone only if the agent has not
//! announced a planned stop. The flows of an agent that has announced one are kept until it
//! has started again, and then asks or reports what its target holds. If it does not
//! return, they are kept for as long as an idle flow is: no packet of them passes meanwhile.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::absence::AbsenceEvidence;
use crate::flow::balancer::resets::EndedFlows;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::directory::DirectoryChange;
use crate::flow::identity::{Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;

impl Balancer {
    /// Silence after which the flows of an agent that has announced a planned stop count as
    /// gone: the shorter of the idle timeout of flows and their lifetime.
    pub(crate) fn stopped_agent_absence_limit(&self) -> Duration {
        self.routes.idle_limit(self.options.flow_lifetime)
    }

    /// Handles an agent's message that it stops as planned while its target may run on.
    pub(crate) fn handle_agent_stop(&mut self, agent: NodeAddress, epoch: u64, now: Instant) {
        let had_announced_stop = self
            .directory
            .agent(agent)
            .is_some_and(|record| record.has_announced_stop());
        if !self.directory.record_stop(agent, epoch) {
            self.add_stopped_agent(agent, Duration::ZERO, now);
        } else if !had_announced_stop {
            self.log_events.add(LogEvent::AgentStops { agent });
        }
    }

    /// Handles an agent's message that it stops and that its target has ended.
    pub(crate) fn handle_target_ended(
        &mut self,
        agent: NodeAddress,
        epoch: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.named_agents.remove(&agent);
        if self.directory.remove_ended(agent, epoch, now) {
            self.flow_index.remove_agent(agent);
            let evidence = AbsenceEvidence::TargetEnded { agent };
            let flows = self.reset_flows_of(agent, EndedFlows::All, &evidence, actions)
                + self.reset_recorded_flows_of(agent, &evidence, actions);
            self.log_events.add(LogEvent::AgentStopped { agent, flows });
        }
    }

    pub(crate) fn apply_directory_changes(
        &mut self,
        changes: Vec<DirectoryChange>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        for change in changes {
            match change {
                DirectoryChange::Found(agent) => self.handle_agent_found(agent, now, actions),
                DirectoryChange::Replaced {
                    agent,
                    ended,
                    last_heard,
                } => self.handle_target_replaced(agent, ended, last_heard, now, actions),
                DirectoryChange::HoldsNoFlow(agent) => self.handle_no_flow_held(agent, actions),
                DirectoryChange::Lost(agent) => self.handle_agent_lost(agent, now, actions),
                DirectoryChange::Forgotten(agent) => self.flow_index.remove_agent(agent),
            }
        }
    }

    fn handle_agent_found(
        &mut self,
        agent: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.last_agent_found_at = now;
        self.log_events.add(LogEvent::AgentFound { agent });
        let named = self.named_agents.remove(&agent);
        match named.and_then(|named| named.next_hello_at) {
            Some(next_hello_at) => self.directory.set_next_hello(agent, next_hello_at),
            None => self.send_hello_to_agent(agent, now, actions),
        }
    }

    fn handle_target_replaced(
        &mut self,
        agent: NodeAddress,
        ended: Incarnation,
        last_heard: Instant,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let evidence = AbsenceEvidence::Replaced {
            agent,
            ended,
            last_heard_ago: now.since(last_heard),
        };
        let ended_flows = EndedFlows::OfIncarnation {
            incarnation: ended,
            known_by: last_heard,
        };
        let flows = self.reset_flows_of(agent, ended_flows, &evidence, actions);
        self.log_events.add(LogEvent::TargetReplaced {
            agent,
            ended,
            flows,
        });
    }

    fn handle_no_flow_held(&mut self, agent: NodeAddress, actions: &mut Vec<BalancerAction>) {
        let evidence = AbsenceEvidence::HoldsNoFlow { agent };
        let flows = self.reset_flows_of(agent, EndedFlows::All, &evidence, actions);
        if flows > 0 {
            self.log_events
                .add(LogEvent::AgentHoldsNoFlow { agent, flows });
        }
    }

    fn handle_agent_lost(
        &mut self,
        agent: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(record) = self.directory.agent(agent) else {
            return;
        };
        let silence = record.silence(now);
        let unanswered_for = record.unanswered_for(now);
        let has_announced_stop = record.has_announced_stop();
        let evidence = if has_announced_stop {
            AbsenceEvidence::AgentAway { agent, silence }
        } else {
            AbsenceEvidence::AgentSilent {
                agent,
                silence,
                unanswered_for,
            }
        };
        let flows = self.reset_flows_of(agent, EndedFlows::All, &evidence, actions);
        self.log_events.add(LogEvent::AgentLost {
            agent,
            silence,
            unanswered_for,
            has_announced_stop,
            flows,
        });
    }
}
