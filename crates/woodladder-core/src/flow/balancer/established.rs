//! Flows that are open: their target from the table, or by a search.
//!
//! A search asks the targets of the flow's route at once, at most
//! [`FIRST_ASKED`] of them; when all deny, it widens to every target that may
//! hold the flow. Only when each of them has denied is the flow reset.

use std::time::Duration;

use super::super::identity::{FlowKey, NodeAddress, ServiceKey};
use super::super::message::{ForwardHeader, ForwardPurpose};
use super::super::note::Note;
use super::super::packet::{FlowPacket, PacketKind, ResetReason};
use super::super::selection::first_candidates;
use super::forwarding::{DropReason, Routing};
use super::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::clock::Instant;

/// Targets that are asked at first.
pub const FIRST_ASKED: usize = 24;
/// Targets that a widened search asks; where more are known, a flow that the
/// first ones deny is neither found nor reset.
pub const MOST_ASKED: usize = 96;
/// Time after which a search that is not decided begins anew.
const SEARCH_AGAIN_AFTER: Duration = Duration::from_millis(600);

impl Balancer {
    pub(super) fn route_established(&mut self, packet: &FlowPacket, now: Instant) -> Routing {
        let Some(entry) = self.flows.use_flow(&packet.key) else {
            return self.search_unknown(packet, now);
        };
        entry.acknowledged = packet.acknowledgement;
        entry.finished |= packet.kind == PacketKind::Finish;
        if let Stage::Opening { accepted, tried } = &entry.stage {
            let held = chosen_by_caller(accepted, packet.acknowledgement)
                .map(|acceptance| (acceptance.agent, acceptance.incarnation))
                .or_else(|| tried.last().map(|agent| (*agent, None)));
            if let Some((agent, incarnation)) = held {
                entry.stage = Stage::Held { agent, incarnation };
            }
        }
        let service = entry.service;
        match &entry.stage {
            Stage::Held { agent, .. } => {
                self.counters.established += 1;
                Routing::One {
                    to: *agent,
                    header: self.header(service, ForwardPurpose::Established),
                }
            }
            Stage::Searching { started_at, .. } if now.since(*started_at) >= SEARCH_AGAIN_AFTER => {
                self.search(packet.key, service, now)
            }
            Stage::Searching { asked, .. } => {
                let asked = asked.clone();
                self.counters.searched += 1;
                self.ask(&asked, packet.key)
            }
            Stage::Opening { .. } => Routing::Drop(DropReason::HolderUnknown),
        }
    }

    fn search_unknown(&mut self, packet: &FlowPacket, now: Instant) -> Routing {
        if packet.kind == PacketKind::Reset {
            // A caller's reset of an unknown flow needs no answer, but its
            // target may still hold the flow.
            let asked = self.first_asked(packet.key);
            return self.ask(&asked, packet.key);
        }
        if self.routes.current().is_none() {
            return Routing::Drop(DropReason::NoConfiguration);
        }
        let Some(service) = self.likely_services(packet.key).first().copied() else {
            return Routing::Drop(DropReason::HolderUnknown);
        };
        let entry = FlowEntry {
            service,
            acknowledged: packet.acknowledgement,
            finished: packet.kind == PacketKind::Finish,
            stage: Stage::Searching {
                asked: Vec::new(),
                denied: Vec::new(),
                widened: false,
                started_at: now,
            },
        };
        self.flows.insert(packet.key, entry, now);
        self.search(packet.key, service, now)
    }

    /// Begins a search, or begins it anew.
    fn search(&mut self, key: FlowKey, service: ServiceKey, now: Instant) -> Routing {
        let asked = self.first_asked(key);
        let acknowledged = self.flows.peek(&key).map_or(0, |entry| entry.acknowledged);
        self.notes.add(Note::SearchStarted {
            key,
            asked: asked.len(),
        });
        self.counters.searched += 1;
        let routing = self.ask(&asked, key);
        let entry = FlowEntry {
            service,
            acknowledged,
            finished: false,
            stage: Stage::Searching {
                asked,
                denied: Vec::new(),
                widened: false,
                started_at: now,
            },
        };
        self.flows.insert(key, entry, now);
        routing
    }

    fn first_asked(&self, key: FlowKey) -> Vec<NodeAddress> {
        let mut asked = Vec::new();
        for service in self.likely_services(key) {
            for agent in first_candidates(&self.directory, service, &key, FIRST_ASKED) {
                if !asked.contains(&agent) {
                    asked.push(agent);
                }
            }
        }
        asked
    }

    /// Services that the flow may have been opened with: those of its route
    /// and those that the route had before.
    fn likely_services(&self, key: FlowKey) -> Vec<ServiceKey> {
        let mut services: Vec<ServiceKey> = self
            .routes
            .route(key.service)
            .map(|route| route.parts.iter().map(|part| part.service).collect())
            .unwrap_or_default();
        for service in self.routes.former_services(key.service) {
            if !services.contains(service) {
                services.push(*service);
            }
        }
        services
    }

    fn ask(&self, agents: &[NodeAddress], key: FlowKey) -> Routing {
        let likely = self.likely_services(key);
        let receivers: Vec<(NodeAddress, ForwardHeader)> = agents
            .iter()
            .filter_map(|agent| self.directory.agent(*agent))
            .map(|record| {
                let ask_target = likely.contains(&record.service);
                let purpose = ForwardPurpose::Search { ask_target };
                (record.address, self.header(record.service, purpose))
            })
            .collect();
        if receivers.is_empty() {
            return Routing::Drop(DropReason::HolderUnknown);
        }
        Routing::Several(receivers)
    }

    fn header(&self, service: ServiceKey, purpose: ForwardPurpose) -> ForwardHeader {
        ForwardHeader {
            service,
            version: self.routes.version(),
            purpose,
        }
    }

    /// An agent says that its target does not hold a flow that it was sent
    /// for; the packet goes to the others.
    pub(super) fn held_elsewhere(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(entry) = self.flows.use_flow(&packet.key) else {
            return;
        };
        let service = entry.service;
        match &entry.stage {
            Stage::Held { agent, .. } if *agent == from => {}
            Stage::Searching { .. } => return self.denied(from, packet.key, now, actions),
            _ => return,
        }
        let _asked_all = self.search(packet.key, service, now);
        if let Some(entry) = self.flows.use_flow(&packet.key)
            && let Stage::Searching { asked, denied, .. } = &mut entry.stage
        {
            if !asked.contains(&from) {
                asked.push(from);
            }
            denied.push(from);
            let others: Vec<NodeAddress> = asked
                .iter()
                .copied()
                .filter(|agent| *agent != from)
                .collect();
            let routing = self.ask(&others, packet.key);
            self.carry_out(routing, bytes, actions);
        }
        self.conclude(packet.key, now, actions);
    }

    /// An agent says that its target does not hold a flow searched for.
    pub(super) fn denied(
        &mut self,
        from: NodeAddress,
        key: FlowKey,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(entry) = self.flows.use_flow(&key) else {
            return;
        };
        let Stage::Searching { asked, denied, .. } = &mut entry.stage else {
            return;
        };
        if asked.contains(&from) && !denied.contains(&from) {
            denied.push(from);
            self.conclude(key, now, actions);
        }
    }

    /// Widens a search that all have denied, or ends it with a reset.
    fn conclude(&mut self, key: FlowKey, now: Instant, actions: &mut Vec<BalancerAction>) {
        let everyone = self.possible_holders();
        let Some(entry) = self.flows.use_flow(&key) else {
            return;
        };
        let acknowledged = entry.acknowledged;
        let Stage::Searching {
            asked,
            denied,
            widened,
            started_at,
        } = &mut entry.stage
        else {
            return;
        };
        if denied.len() < asked.len() {
            return;
        }
        let Some(everyone) = everyone else {
            return;
        };
        if !*widened {
            *widened = true;
            let further: Vec<NodeAddress> = everyone
                .into_iter()
                .filter(|agent| !asked.contains(agent))
                .collect();
            if !further.is_empty() {
                // Asked with the caller's next copy of the packet.
                asked.extend(further);
                *started_at = now;
                return;
            }
        }
        let count = denied.len();
        if self.knows_all_holders(now) {
            self.flows.remove(&key);
            let reset = self.reset(key, acknowledged, ResetReason::HeldNowhere, count);
            actions.push(BalancerAction::Reset(reset));
        }
    }

    /// Every agent whose target may hold a flow: of all services, because the
    /// route may have led elsewhere before this balancer started. `None` when
    /// there are too many to ask.
    fn possible_holders(&self) -> Option<Vec<NodeAddress>> {
        if self.directory.len() > MOST_ASKED {
            return None;
        }
        let agents = self.directory.agents().map(|record| record.address);
        Some(agents.collect())
    }

    /// Whether the balancer has listened long enough to know every agent.
    fn knows_all_holders(&self, now: Instant) -> bool {
        const LISTENED: Duration = Duration::from_secs(3);
        now.since(self.started_at) >= LISTENED
    }

    /// A target holds a flow that was searched for.
    pub(super) fn located(
        &mut self,
        agent: NodeAddress,
        key: FlowKey,
        incarnation: Option<super::Incarnation>,
    ) {
        let Some(record) = self.directory.agent(agent) else {
            return;
        };
        let service = record.service;
        if let Some(entry) = self.flows.use_flow(&key)
            && matches!(entry.stage, Stage::Searching { .. })
        {
            entry.service = service;
            entry.stage = Stage::Held { agent, incarnation };
            self.notes.add(Note::FlowLocated { key, agent });
        }
    }

    /// Resets the flows of a target that has ended; `ended` is `None` when the
    /// agent itself is lost. Returns how many.
    pub(super) fn reset_flows_of(
        &mut self,
        agent: NodeAddress,
        ended: Option<super::Incarnation>,
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
                } => *holder == agent && (ended.is_none() || *incarnation == ended),
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

/// The acceptance that a caller's packet acknowledges: the one whose number
/// lies closest before the acknowledgement.
fn chosen_by_caller(
    accepted: &[super::Acceptance],
    acknowledgement: u32,
) -> Option<&super::Acceptance> {
    accepted
        .iter()
        .min_by_key(|acceptance| acknowledgement.wrapping_sub(acceptance.sequence))
}
