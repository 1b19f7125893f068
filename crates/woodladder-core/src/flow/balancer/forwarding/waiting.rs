//! Openings that wait for a target with a free slot, or for a newer configuration.
//!
//! While every target of a service is full, or none is known yet, openings wait here
//! and not at the targets, so nothing of them has been executed. The newest are served
//! first, because they can still be answered in time. An opening that has waited too
//! long, or that finds the queue full, is refused at once.
//!
//! An opening that an agent with a newer configuration has returned waits until that
//! configuration is in force here.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::route_change::RouteChange;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::balancer::{Balancer, BalancerAction, Stage};
use crate::flow::log_event::LogEvent;
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

/// Maximum number of openings that wait.
const MAXIMUM_WAITING_OPENINGS: usize = 2048;
/// Maximum time that an opening waits. The caller's attempt ends soon after.
const MAXIMUM_WAIT: Duration = Duration::from_millis(1200);

/// What an opening waits for.
#[derive(Clone, Copy, Debug)]
enum AwaitedCondition {
    /// A target with a free slot.
    Target,
    /// A configuration with a greater version.
    VersionAfter(u64),
}

/// An opening that waits at this balancer.
#[derive(Clone, Debug)]
pub(crate) struct WaitingOpening {
    packet: FlowPacket,
    bytes: Vec<u8>,
    condition: AwaitedCondition,
}

impl Balancer {
    /// Number of openings that wait for a target or for a newer configuration.
    #[must_use]
    pub fn waiting_opening_count(&self) -> usize {
        self.waiting_openings.len()
    }

    pub(crate) fn queue_for_target(&mut self, packet: &FlowPacket, bytes: &[u8]) -> Routing {
        self.queue_opening(packet, bytes, AwaitedCondition::Target)
    }

    /// Queues an opening until a newer configuration than the present one is in force.
    pub(crate) fn queue_for_newer_version(&mut self, packet: &FlowPacket, bytes: &[u8]) -> Routing {
        let condition = AwaitedCondition::VersionAfter(self.routes.version());
        self.queue_opening(packet, bytes, condition)
    }

    fn queue_opening(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        condition: AwaitedCondition,
    ) -> Routing {
        let Some(entry) = self.flows.touch(&packet.key) else {
            return Routing::Drop(DropReason::Ended);
        };
        let service = entry.service;
        if let Stage::Opening { tried, awaited, .. } = &mut entry.stage {
            tried.clear();
            *awaited = None;
        }
        if self.is_service_excluded(service) {
            return self.refuse_opening(packet);
        }
        self.log_events.add(LogEvent::FlowWithoutTarget {
            key: packet.key,
            copy: packet.acknowledgement,
            known: self.directory.agents_of(service).len(),
            version: self.routes.version(),
        });
        if self.waiting_openings.len() >= MAXIMUM_WAITING_OPENINGS {
            return self.refuse_opening(packet);
        }
        self.waiting_openings.push(WaitingOpening {
            packet: *packet,
            bytes: bytes.to_vec(),
            condition,
        });
        Routing::Drop(DropReason::NoTargetYet)
    }

    /// Offers the waiting openings, newest first, to targets that have free slots by
    /// now, unless they wait for a newer configuration.
    pub(crate) fn offer_waiting_openings(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let waiting = std::mem::take(&mut self.waiting_openings);
        let mut remaining = Vec::with_capacity(waiting.len());
        for opening in waiting.into_iter().rev() {
            let Some(first_sent_at) = self.waiting_since(&opening) else {
                continue;
            };
            if let RouteChange::Dropped(reset) = self.apply_route_change(opening.packet.key) {
                self.push_actions(reset, &opening.bytes, actions);
                continue;
            }
            let age = now.since(first_sent_at);
            if self.is_too_late(&opening.packet, age) {
                self.promises.record_held_untried();
                if let Some(decided) = self.decided_opening(&opening.packet, age) {
                    self.promises.record_given_up(&decided);
                }
                let routing = self.refuse_opening(&opening.packet);
                self.push_actions(routing, &opening.bytes, actions);
                continue;
            }
            match self.offer_waiting_opening(&opening, now) {
                Some(routing) => self.push_actions(routing, &opening.bytes, actions),
                None => remaining.push(opening),
            }
        }
        remaining.reverse();
        self.waiting_openings = remaining;
    }

    fn offer_waiting_opening(&mut self, opening: &WaitingOpening, now: Instant) -> Option<Routing> {
        match opening.condition {
            AwaitedCondition::VersionAfter(version) if self.routes.version() <= version => None,
            _ => self.offer(&opening.packet, now),
        }
    }

    /// Whether no target can answer an opening of this age in time for its caller.
    fn is_too_late(&self, packet: &FlowPacket, age: Duration) -> bool {
        let Some(entry) = self.flows.peek(&packet.key) else {
            return true;
        };
        let (terms, _) = self.routes.terms(packet.key.service, entry.service);
        let useful_for = Duration::from_millis(terms.timeout_ms.into());
        age >= MAXIMUM_WAIT.min(useful_for) || self.is_service_excluded(entry.service)
    }

    fn decided_opening(&self, packet: &FlowPacket, age: Duration) -> Option<DecidedOpening> {
        let service = self.flows.peek(&packet.key)?.service;
        let (terms, is_urgent) = self.routes.terms(packet.key.service, service);
        Some(DecidedOpening {
            age,
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            is_urgent,
        })
    }

    /// When the caller first sent the opening, or `None` if it no longer waits here.
    fn waiting_since(&self, opening: &WaitingOpening) -> Option<Instant> {
        match &self.flows.peek(&opening.packet.key)?.stage {
            Stage::Opening {
                first_sent_at,
                awaited: None,
                accepted,
                ..
            } if accepted.is_empty() => Some(*first_sent_at),
            _ => None,
        }
    }
}
