//! New flows: choice of service and target, and further tries.

use super::super::identity::{FlowKey, NodeAddress, ServiceKey};
use super::super::message::{ForwardHeader, ForwardPurpose, ReturnReason};
use super::super::note::Note;
use super::super::packet::{FlowPacket, ResetReason};
use super::super::selection::{Choice, Chosen};
use super::forwarding::{DropReason, Routing};
use super::{Balancer, BalancerAction, FlowEntry, Stage};
use crate::clock::Instant;

/// Copies of an opening that a caller sends after the first.
const LAST_COPY: u32 = 2;
/// Targets that one opening is offered to.
const MAXIMUM_TRIES: usize = 4;
/// Room, in percent of its slots, that a target must have while others may
/// have more.
const FIRST_ROOM: u16 = 130;
/// Room that the last target asked must have, by copies of the opening. A
/// target with more to do would answer late or turn the request away, so the
/// caller's next copy is awaited, which runs nothing and costs no try.
const LAST_ROOMS: [u16; 2] = [200, 110];
/// The same for the last copy.
const LAST_ROOM: u16 = 160;

impl Balancer {
    pub(super) fn route_opening(&mut self, packet: &FlowPacket, now: Instant) -> Routing {
        let copy = packet.acknowledgement;
        if copy > 0
            && let Some(routing) = self.route_copy(packet, now)
        {
            return routing;
        }
        self.route_first(packet, now)
    }

    fn route_first(&mut self, packet: &FlowPacket, now: Instant) -> Routing {
        if self.routes.current().is_none() {
            return Routing::Drop(DropReason::NoConfiguration);
        }
        let Some(route) = self.routes.route(packet.key.service) else {
            let reset = self.reset(packet.key, 0, ResetReason::NoRoute, 0);
            return Routing::Reset(reset);
        };
        let Some(service) = self.shares.next(route) else {
            let reset = self.reset(packet.key, 0, ResetReason::NoRoute, 0);
            return Routing::Reset(reset);
        };
        let entry = FlowEntry {
            service,
            acknowledged: 0,
            finished: false,
            stage: Stage::Opening {
                tried: Vec::new(),
                awaited: None,
                accepted: Vec::new(),
            },
        };
        self.flows.insert(packet.key, entry, now);
        self.offer(packet.key, packet.acknowledgement, now)
    }

    /// A copy is a sign that the first choice gave no answer.
    fn route_copy(&mut self, packet: &FlowPacket, now: Instant) -> Option<Routing> {
        let entry = self.flows.use_flow(&packet.key)?;
        let service = entry.service;
        let repeat = match &mut entry.stage {
            Stage::Opening {
                tried,
                awaited,
                accepted,
            } => match accepted.last() {
                Some(acceptance) => Some(acceptance.agent),
                None => {
                    // Loads have changed since the others gave it back.
                    let silent = awaited.take();
                    *tried = silent.into_iter().collect();
                    if let Some(agent) = silent {
                        self.mark_unanswered(agent);
                    }
                    None
                }
            },
            Stage::Held { agent, .. } => Some(*agent),
            Stage::Searching(_) => return Some(Routing::Drop(DropReason::Ended)),
        };
        match repeat {
            Some(agent) => Some(Routing::One {
                to: agent,
                header: self.opening_header(service, LAST_ROOM),
            }),
            None => Some(self.offer(packet.key, packet.acknowledgement, now)),
        }
    }

    fn mark_unanswered(&mut self, agent: NodeAddress) {
        if let Some(record) = self.directory.agent_mut(agent) {
            record.unanswered += 1;
        }
    }

    /// Sends an opening to the best target that was not asked before.
    fn offer(&mut self, key: FlowKey, copy: u32, now: Instant) -> Routing {
        match self.choose(key, now) {
            Some((chosen, service, tried)) => {
                self.sent_to(key, &chosen, copy, tried, now);
                let is_last = chosen.others == 0 || tried + 1 >= MAXIMUM_TRIES;
                let room = if is_last {
                    room_of_copy(copy)
                } else {
                    FIRST_ROOM
                };
                Routing::One {
                    to: chosen.agent,
                    header: self.opening_header(service, room),
                }
            }
            None => self.without_target(key, copy),
        }
    }

    fn choose(&mut self, key: FlowKey, now: Instant) -> Option<(Chosen, ServiceKey, usize)> {
        let entry = self.flows.peek(&key)?;
        let Stage::Opening { tried, .. } = &entry.stage else {
            return None;
        };
        let choice = Choice {
            directory: &self.directory,
            zone: self.options.zone,
            key,
            service: entry.service,
            tried,
        };
        let chosen = choice.best(now)?;
        Some((chosen, entry.service, tried.len()))
    }

    fn sent_to(&mut self, key: FlowKey, chosen: &Chosen, copy: u32, tried: usize, now: Instant) {
        let mut load_age = std::time::Duration::ZERO;
        if let Some(record) = self.directory.agent_mut(chosen.agent) {
            record.sent_since += 1;
            load_age = now.since(record.load_at);
        }
        if let Some(entry) = self.flows.use_flow(&key)
            && let Stage::Opening { awaited, .. } = &mut entry.stage
        {
            *awaited = Some(chosen.agent);
        }
        if tried == 0 {
            self.counters.opened += 1;
        } else {
            self.counters.reopened += 1;
        }
        self.notes.add(Note::FlowSent {
            key,
            agent: chosen.agent,
            copy,
            tried,
            score: chosen.score,
            load_age,
            version: self.routes.version(),
        });
    }

    /// No target takes the flow now. The caller sends copies, for which one
    /// may be known; with the last of them the flow is given up.
    fn without_target(&mut self, key: FlowKey, copy: u32) -> Routing {
        let service = self.flows.peek(&key).map(|entry| entry.service);
        let known = service.map_or(0, |service| self.directory.agents_of(service).len());
        self.notes.add(Note::FlowWithoutTarget {
            key,
            copy,
            known,
            version: self.routes.version(),
        });
        if copy >= LAST_COPY {
            self.flows.remove(&key);
            return Routing::Reset(self.reset(key, 0, ResetReason::NoTarget, 0));
        }
        Routing::Drop(DropReason::NoTargetYet)
    }

    fn opening_header(&self, service: ServiceKey, room: u16) -> ForwardHeader {
        ForwardHeader {
            service,
            version: self.routes.version(),
            purpose: ForwardPurpose::Open { room },
        }
    }

    /// An agent gave an opening back: it goes to the next target at once.
    pub(super) fn opening_returned(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        reason: ReturnReason,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let Some(entry) = self.flows.use_flow(&packet.key) else {
            return;
        };
        let Stage::Opening {
            tried,
            awaited,
            accepted,
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
        let routing = match reason {
            ReturnReason::StaleVersion => self.reopen_under_new_version(packet, now),
            _ if is_exhausted => self.without_target(packet.key, packet.acknowledgement),
            _ => self.offer(packet.key, packet.acknowledgement, now),
        };
        self.carry_out(routing, bytes, actions);
    }

    /// The agent knows a greater version, which is being fetched; when it has
    /// come meanwhile, the flow is opened under it.
    fn reopen_under_new_version(&mut self, packet: &FlowPacket, now: Instant) -> Routing {
        let version = self.routes.version();
        let is_behind = self
            .directory
            .agents()
            .any(|record| record.version > version);
        if is_behind {
            return Routing::Drop(DropReason::NoConfiguration);
        }
        self.route_first(packet, now)
    }

    pub(super) fn carry_out(
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
            Routing::Drop(_) => {}
        }
    }
}

/// Room that the last target asked must have.
fn room_of_copy(copy: u32) -> u16 {
    let index = usize::try_from(copy).unwrap_or(usize::MAX);
    LAST_ROOMS.get(index).copied().unwrap_or(LAST_ROOM)
}
