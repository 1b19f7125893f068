//! Resets to callers. A refused opening needs no evidence, because nothing of it has run; a
//! flow that may be open is reset only with evidence that no target holds it.

use crate::clock::Instant;
use crate::flow::absence::AbsenceEvidence;
use crate::flow::balancer::{Balancer, BalancerAction, Stage};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::packet::{CallerReset, ResetReason};

/// Which flows of an agent have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EndedFlows {
    /// All flows of the agent's target.
    All,
    /// The flows of one incarnation that this balancer knew by a time at which the
    /// incarnation is known to have run. A later flow may be open at the next incarnation,
    /// which takes flows before its own first heartbeat.
    OfIncarnation {
        incarnation: Incarnation,
        known_by: Instant,
    },
}

impl Balancer {
    /// The reset that refuses an opening.
    pub(crate) fn refusal_of(&mut self, key: FlowKey, refusal: OpeningRefusal) -> CallerReset {
        let (reason, counter) = match refusal {
            OpeningRefusal::NoRoute => (ResetReason::NoRoute, &mut self.counters.reset_no_route),
            OpeningRefusal::NoTarget => (ResetReason::NoTarget, &mut self.counters.reset_no_target),
        };
        *counter += 1;
        self.log_events.add(LogEvent::FlowReset {
            key,
            reason,
            evidence: None,
        });
        CallerReset { key, sequence: 0 }
    }

    /// Resets a flow that may be open.
    pub(crate) fn reset_open_flow(
        &mut self,
        key: FlowKey,
        sequence: u32,
        evidence: &AbsenceEvidence,
        actions: &mut Vec<BalancerAction>,
    ) {
        let reason = evidence.reset_reason();
        match reason {
            ResetReason::HeldNowhere => self.counters.reset_held_nowhere += 1,
            ResetReason::HolderDenied => self.counters.reset_holder_denied += 1,
            _ => self.counters.reset_target_ended += 1,
        }
        self.counters.resets_by_evidence[evidence.kind_index()] += 1;
        let now = self.last_tick_at.unwrap_or(self.started_at);
        self.promises.record_reset(key, now);
        self.log_events.add(LogEvent::FlowReset {
            key,
            reason,
            evidence: Some(*evidence),
        });
        actions.push(BalancerAction::Reset(CallerReset { key, sequence }));
    }

    /// Resets flows of an agent that have ended, and returns their number.
    pub(crate) fn reset_flows_of(
        &mut self,
        agent: NodeAddress,
        ended: EndedFlows,
        evidence: &AbsenceEvidence,
        actions: &mut Vec<BalancerAction>,
    ) -> usize {
        let lost: Vec<(FlowKey, u32)> = self
            .flows
            .iter()
            .filter(|(_, entry)| !entry.is_finished && entry.stage.has_ended(agent, ended))
            .map(|(key, entry)| (*key, entry.acknowledged))
            .collect();
        for (key, acknowledged) in &lost {
            self.flows.remove(key);
            self.reset_open_flow(*key, *acknowledged, evidence, actions);
        }
        lost.len()
    }
}

/// Why an opening is refused.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OpeningRefusal {
    /// The address has no route.
    NoRoute,
    /// No target accepts the flow.
    NoTarget,
}

impl Stage {
    /// Whether the flow is one of the ended flows of an agent.
    fn has_ended(&self, agent: NodeAddress, ended: EndedFlows) -> bool {
        let Self::Held {
            agent: holder,
            incarnation: held_by,
            known_since,
            ..
        } = self
        else {
            return false;
        };
        let is_meant = match ended {
            EndedFlows::All => true,
            EndedFlows::OfIncarnation {
                incarnation,
                known_by,
            } => *held_by == Some(incarnation) && *known_since <= known_by,
        };
        *holder == agent && is_meant
    }
}
