//! Flows that are open: their target from the table, or by a search.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::Routing;
use crate::flow::balancer::{Acceptance, Balancer, BalancerAction, Stage};
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey};
use crate::flow::message::{ForwardHeader, ForwardPurpose};
use crate::flow::packet::{FlowPacket, PacketKind, ResetReason};

/// Time from a caller's opening within which it acknowledges an acceptance.
const OPENING_LASTS: Duration = Duration::from_millis(2500);
/// Most bytes that a target can have sent when a balancer sees the first
/// acknowledgement.
const FARTHEST_ACKNOWLEDGEMENT: u32 = 1 << 20;

impl Balancer {
    pub(crate) fn route_established(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        let Some(entry) = self.flows.touch(&packet.key) else {
            return self.search_unknown(packet, bytes, now);
        };
        let is_repeated = entry.is_repeated(packet);
        entry.acknowledged = packet.acknowledgement;
        entry.finished |= packet.kind == PacketKind::Finish;
        entry.settle(packet.acknowledgement, now);
        let service = entry.service;
        match &entry.stage {
            Stage::Held { agent, .. } => {
                let agent = *agent;
                self.counters.established_packets += 1;
                if is_repeated {
                    // The target may be slow, or its machine may be gone.
                    self.directory.start_probing(agent, now);
                }
                Routing::One {
                    to: agent,
                    header: self.header(service, ForwardPurpose::Established),
                }
            }
            Stage::Searching(_) => self.search_on(packet, bytes, now),
            Stage::Opening { .. } => self.search_opened_elsewhere(packet, bytes, now),
        }
    }

    pub(crate) fn header(&self, service: ServiceKey, purpose: ForwardPurpose) -> ForwardHeader {
        ForwardHeader {
            service,
            version: self.routes.version(),
            purpose,
        }
    }

    /// Resets the flows of a target that has ended; `ended` is the incarnation and
    /// when it was last heard, and `None` when the agent itself is lost. Returns
    /// how many.
    pub(crate) fn reset_flows_of(
        &mut self,
        agent: NodeAddress,
        ended: Option<(Incarnation, Instant)>,
        actions: &mut Vec<BalancerAction>,
    ) -> usize {
        let lost: Vec<(FlowKey, u32)> = self
            .flows
            .iter()
            .filter(|(_, entry)| !entry.finished)
            .filter(|(_, entry)| match &entry.stage {
                Stage::Held {
                    agent: holder,
                    incarnation,
                    since,
                    ..
                } => {
                    let has_ended = ended.is_none_or(|(ended, last_heard)| {
                        *incarnation == Some(ended) && *since <= last_heard
                    });
                    *holder == agent && has_ended
                }
                _ => false,
            })
            .map(|(key, entry)| (*key, entry.acknowledged))
            .collect();
        for (key, acknowledged) in &lost {
            self.flows.remove(key);
            let reset = self.reset(*key, *acknowledged, ResetReason::TargetEnded, 0);
            actions.push(BalancerAction::Reset(reset));
        }
        lost.len()
    }
}

impl crate::flow::balancer::FlowEntry {
    /// Whether the caller has sent this packet's data before, because nobody has
    /// acknowledged it.
    fn is_repeated(&mut self, packet: &FlowPacket) -> bool {
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        let ahead = end.wrapping_sub(self.caller_next);
        let is_new = ahead != 0 && ahead < u32::MAX / 2;
        if is_new {
            self.caller_next = end;
        }
        packet.payload_length > 0 && !is_new
    }

    /// The caller has answered an acceptance, and with that has chosen the
    /// target that holds the flow.
    fn settle(&mut self, acknowledgement: u32, now: Instant) {
        let Stage::Opening {
            since,
            accepted,
            awaited,
            is_queued,
            ..
        } = &self.stage
        else {
            return;
        };
        if now.since(*since) >= OPENING_LASTS {
            return;
        }
        let supposed = awaited
            .filter(|_| accepted.is_empty() && !is_queued)
            .map(|agent| (agent, None, 0));
        let held = chosen_by_caller(accepted, acknowledgement)
            .map(|it| (it.agent, it.incarnation, it.heartbeat))
            .or(supposed);
        if let Some((agent, incarnation, heartbeat)) = held {
            self.stage = Stage::Held {
                agent,
                incarnation,
                heartbeat,
                since: now,
            };
        }
    }
}

/// The acceptance that a caller's packet acknowledges: the one whose number
/// lies closest before the acknowledgement, not farther than a target can have
/// sent meanwhile.
fn chosen_by_caller(accepted: &[Acceptance], acknowledgement: u32) -> Option<&Acceptance> {
    let distance = |acceptance: &Acceptance| acknowledgement.wrapping_sub(acceptance.sequence);
    accepted
        .iter()
        .filter(|acceptance| distance(acceptance) <= FARTHEST_ACKNOWLEDGEMENT)
        .min_by_key(|acceptance| distance(acceptance))
}
