//! Routes new flows: the choice of service and target, and further attempts.

use crate::clock::Instant;
use crate::flow::balancer::forwarding::route_change::RouteChange;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::balancer::resets::OpeningRefusal;
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::flow::directory::AgentDirectory;
use crate::flow::identity::{FlowKey, NodeAddress, ServiceKey};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{
    ForwardHeader, ForwardPurpose, OpeningTerms, ReturnReason, TargetState,
};
use crate::flow::packet::FlowPacket;
use crate::flow::selection::{SelectedTarget, TargetSelector};

/// Maximum number of targets that one opening is offered to before it waits at
/// this balancer.
const MAXIMUM_TRIES: usize = 4;
/// Number of agents that may return one opening because their targets hold more flows
/// than this balancer's records show.
const MAXIMUM_RETURNS_BY_LOAD: usize = 1;

impl Balancer {
    pub(crate) fn route_opening(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        let copy = packet.acknowledgement;
        if copy > 0
            && let Some(routing) = self.route_opening_copy(packet, bytes, now)
        {
            return routing;
        }
        self.route_first_opening(packet, bytes, now)
    }

    fn route_first_opening(&mut self, packet: &FlowPacket, bytes: &[u8], now: Instant) -> Routing {
        if self.routes.current().is_none() {
            return Routing::Drop(DropReason::NoConfiguration);
        }
        let Some(route) = self.routes.route(packet.key.service) else {
            let refusal = self.refusal_of(packet.key, OpeningRefusal::NoRoute);
            return Routing::Reset(refusal);
        };
        let Some(service) = self.part_shares.next_service(route) else {
            let refusal = self.refusal_of(packet.key, OpeningRefusal::NoRoute);
            return Routing::Reset(refusal);
        };
        self.route_traffic.count_flow(packet.key.service);
        let entry = FlowEntry {
            service,
            acknowledged: 0,
            caller_next: packet.sequence.wrapping_add(1),
            is_finished: false,
            stage: Stage::Opening {
                first_sent_at: packet.first_sent(now),
                tried: Vec::new(),
                awaited: None,
                is_queued: false,
                accepted: Vec::new(),
            },
        };
        self.flows.insert(packet.key, entry, now);
        self.promises.record_opening(&packet.key);
        self.offer_or_wait(packet, bytes, now)
    }

    /// Routes a further copy of an opening. The copy shows that the first attempt has
    /// had no answer.
    fn route_opening_copy(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Option<Routing> {
        match self.apply_route_change(packet.key) {
            RouteChange::None => {}
            RouteChange::Moved => return Some(self.offer_or_wait(packet, bytes, now)),
            RouteChange::Dropped(reset) => return Some(reset),
        }
        let entry = self.flows.touch(&packet.key)?;
        let service = entry.service;
        let repeat = match &mut entry.stage {
            Stage::Opening {
                tried,
                awaited,
                is_queued,
                accepted,
                ..
            } => match (accepted.last(), *awaited) {
                (Some(acceptance), _) => Some((acceptance.service, acceptance.agent)),
                (None, Some(agent)) if *is_queued && is_live(&self.directory, agent, now) => {
                    Some((service, agent))
                }
                (None, Some(silent)) => {
                    // The agents that returned the opening may accept it now, so only
                    // the silent one is left out.
                    *tried = vec![silent];
                    *awaited = None;
                    *is_queued = false;
                    self.mark_unanswered(silent, now);
                    None
                }
                (None, None) => return Some(Routing::Drop(DropReason::NoTargetYet)),
            },
            Stage::Held { agent, .. } => Some((service, *agent)),
            Stage::Searching(_) => return Some(Routing::Drop(DropReason::Ended)),
        };
        match repeat {
            Some((service, agent)) => {
                let first_sent_at = packet.first_sent(now);
                let terms = self.opening_terms(packet, service, first_sent_at, now);
                Some(Routing::One {
                    to: agent,
                    header: self.opening_header(service, terms),
                })
            }
            None => Some(self.offer_or_wait(packet, bytes, now)),
        }
    }

    fn mark_unanswered(&mut self, agent: NodeAddress, now: Instant) {
        if let Some(record) = self.directory.agent_mut(agent) {
            record.unanswered_openings += 1;
        }
        self.directory.start_probing(agent, now);
    }

    fn offer_or_wait(&mut self, packet: &FlowPacket, bytes: &[u8], now: Instant) -> Routing {
        self.offer(packet, now)
            .unwrap_or_else(|| self.queue_for_target(packet, bytes))
    }

    /// Sends an opening to the best target that has not been tried yet; `None` if there
    /// is none.
    pub(crate) fn offer(&mut self, packet: &FlowPacket, now: Instant) -> Option<Routing> {
        let entry = self.flows.peek(&packet.key)?;
        let Stage::Opening {
            tried,
            first_sent_at,
            ..
        } = &entry.stage
        else {
            return None;
        };
        let (service, first_sent_at, tries) = (entry.service, *first_sent_at, tried.len());
        let choice = TargetSelector {
            directory: &self.directory,
            excluded_zones: &self.excluded_zones,
            zone: self.options.zone,
            key: packet.key,
            service,
            tried,
            bytes_per_flow: self.route_traffic.bytes_per_flow(packet.key.service),
        };
        let chosen = choice.select(now)?;
        let mut terms = self.opening_terms(packet, service, first_sent_at, now);
        let may_ask_elsewhere = chosen.other_candidates > 0 && tries < MAXIMUM_RETURNS_BY_LOAD;
        terms.estimated_load = may_ask_elsewhere.then_some(chosen.estimated_load);
        self.record_offer(packet, &chosen, tries, now);
        Some(Routing::One {
            to: chosen.agent,
            header: self.opening_header(service, terms),
        })
    }

    fn opening_terms(
        &self,
        packet: &FlowPacket,
        service: ServiceKey,
        first_sent_at: Instant,
        now: Instant,
    ) -> OpeningTerms {
        let (terms, is_urgent) = self.routes.terms(packet.key.service, service);
        let age = now.since(first_sent_at).as_millis();
        OpeningTerms {
            age_ms: u16::try_from(age).unwrap_or(u16::MAX),
            aim_ms: terms.aim_ms,
            timeout_ms: terms.timeout_ms,
            is_urgent,
            estimated_load: None,
        }
    }

    fn record_offer(
        &mut self,
        packet: &FlowPacket,
        chosen: &SelectedTarget,
        tried: usize,
        now: Instant,
    ) {
        let key = packet.key;
        let mut load_age = std::time::Duration::ZERO;
        if let Some(record) = self.directory.agent_mut(chosen.agent) {
            record.flows_sent_since_report += 1;
            load_age = now.since(record.load_at);
        }
        if let Some(entry) = self.flows.touch(&key)
            && let Stage::Opening {
                awaited, is_queued, ..
            } = &mut entry.stage
        {
            *awaited = Some(chosen.agent);
            *is_queued = false;
        }
        if tried == 0 {
            self.counters.flows_opened += 1;
        } else {
            self.counters.flows_reopened += 1;
        }
        self.log_events.add(LogEvent::FlowSent {
            key,
            agent: chosen.agent,
            copy: packet.acknowledgement,
            tried,
            score: chosen.score,
            load_age,
            version: self.routes.version(),
        });
    }

    fn opening_header(&self, service: ServiceKey, terms: OpeningTerms) -> ForwardHeader {
        ForwardHeader {
            service,
            version: self.routes.version(),
            purpose: ForwardPurpose::Open(terms),
        }
    }

    /// Handles an opening that an agent returned: the opening is offered to the next
    /// target at once.
    pub(crate) fn handle_returned_opening(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        reason: ReturnReason,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(entry) = self.flows.touch(&packet.key) else {
            return;
        };
        let Stage::Opening {
            tried,
            awaited,
            accepted,
            ..
        } = &mut entry.stage
        else {
            return;
        };
        if *awaited != Some(from) || !accepted.is_empty() {
            return;
        }
        *awaited = None;
        tried.push(from);
        let is_exhausted = tried.len() >= MAXIMUM_TRIES;
        let routing = match (self.apply_route_change(packet.key), reason) {
            (RouteChange::Dropped(reset), _) => reset,
            (_, ReturnReason::Expired) => {
                self.promises.record_held_untried();
                self.refuse_opening(packet)
            }
            (_, ReturnReason::StaleVersion) => self.reopen_under_new_version(packet, bytes, now),
            (RouteChange::None, _) if is_exhausted => self.queue_for_target(packet, bytes),
            _ => self.offer_or_wait(packet, bytes, now),
        };
        self.push_actions(routing, bytes, actions);
    }

    /// Handles an opening that was returned because the agent that received it has a
    /// newer configuration. While a live agent has a newer version than this balancer, that
    /// version is being fetched and the opening waits for it. Otherwise, as when the newer
    /// version has arrived here meanwhile, the opening is offered again under the version in
    /// force here, also to the agent that returned it.
    fn reopen_under_new_version(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        let version = self.routes.version();
        let is_behind = self
            .directory
            .agents()
            .any(|record| record.version > version && record.is_live(now));
        if is_behind {
            return self.queue_for_newer_version(packet, bytes);
        }
        if let Some(entry) = self.flows.touch(&packet.key)
            && let Stage::Opening { tried, .. } = &mut entry.stage
        {
            tried.clear();
        }
        self.offer_or_wait(packet, bytes, now)
    }

    /// Refuses an opening. No target may have executed anything of the flow: the refusal
    /// of an opening that a target has accepted is counted as a broken promise.
    pub(crate) fn refuse_opening(&mut self, packet: &FlowPacket) -> Routing {
        if let Some(entry) = self.flows.remove(&packet.key) {
            let was_accepted = match &entry.stage {
                Stage::Opening { accepted, .. } => !accepted.is_empty(),
                Stage::Held { .. } | Stage::Searching(_) => true,
            };
            let has_free_target = self.has_free_target(entry.service);
            self.promises.record_refusal(was_accepted, has_free_target);
        }
        Routing::Reset(self.refusal_of(packet.key, OpeningRefusal::NoTarget))
    }

    /// Whether a live target of a service has a free slot according to this balancer's
    /// records.
    fn has_free_target(&self, service: ServiceKey) -> bool {
        let now = self.last_tick_at.unwrap_or(self.started_at);
        let agents = self.directory.agents_of(service).iter();
        let mut records = agents.filter_map(|agent| self.directory.agent(*agent));
        records.any(|record| {
            record.state == TargetState::Ready
                && record.is_live(now)
                && !self.excluded_zones.excludes(record.zone)
                && record.estimated_load() < record.slots
        })
    }

    /// Handles an agent's message that an opening waits in its queue.
    pub(crate) fn handle_queued_opening(&mut self, from: NodeAddress, key: &FlowKey) {
        if let Some(entry) = self.flows.touch(key)
            && let Stage::Opening {
                awaited, is_queued, ..
            } = &mut entry.stage
        {
            *is_queued = *awaited == Some(from);
        }
    }

    pub(crate) fn push_actions(
        &self,
        routing: Routing,
        bytes: &[u8],
        actions: &mut Vec<BalancerAction>,
    ) {
        match routing {
            Routing::One { to, header } => actions.push(BalancerAction::Forward {
                to,
                header,
                packet: bytes.to_vec(),
            }),
            Routing::Several(receivers) => {
                actions.extend(
                    receivers
                        .into_iter()
                        .map(|(to, header)| BalancerAction::Forward {
                            to,
                            header,
                            packet: bytes.to_vec(),
                        }),
                );
            }
            Routing::Reset(reset) => actions.push(BalancerAction::Reset(reset)),
            Routing::Relay(to) => actions.push(BalancerAction::Relay {
                to,
                packet: bytes.to_vec(),
            }),
            Routing::Drop(_) => {}
        }
    }
}

fn is_live(directory: &AgentDirectory, agent: NodeAddress, now: Instant) -> bool {
    directory
        .agent(agent)
        .is_some_and(|record| record.is_live(now))
}
