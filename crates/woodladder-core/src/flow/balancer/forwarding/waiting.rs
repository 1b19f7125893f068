//! Openings that wait for a target with room.
//!
//! While every target of a service is full, or none is known yet, openings
//! wait here instead of at the targets: nothing of them has run, and the
//! newest, which can still be answered in time, go first. An opening that has
//! waited too long, or that finds the queue full, is refused at once.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::balancer::{Balancer, BalancerAction, Stage};
use crate::flow::log_event::LogEvent;
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

/// Most openings that wait.
const CAPACITY: usize = 2048;
/// Longest wait. The caller's attempt ends soon after.
const LONGEST_WAIT: Duration = Duration::from_millis(1200);
/// An opening that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingOpening {
    packet: FlowPacket,
    bytes: Vec<u8>,
}

impl Balancer {
    /// Openings that wait for a target.
    #[must_use]
    pub fn waiting_opening_count(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn wait_for_target(&mut self, packet: &FlowPacket, bytes: &[u8]) -> Routing {
        let Some(entry) = self.flows.touch(&packet.key) else {
            return Routing::Drop(DropReason::Ended);
        };
        let service = entry.service;
        if let Stage::Opening { tried, awaited, .. } = &mut entry.stage {
            tried.clear();
            *awaited = None;
        }
        if self.is_wholly_excluded(service) {
            return self.refuse(packet);
        }
        self.notes.add(LogEvent::FlowWithoutTarget {
            key: packet.key,
            copy: packet.acknowledgement,
            known: self.directory.agents_of(service).len(),
            version: self.routes.version(),
        });
        if self.waiting.len() >= CAPACITY {
            return self.refuse(packet);
        }
        self.waiting.push(WaitingOpening {
            packet: *packet,
            bytes: bytes.to_vec(),
        });
        Routing::Drop(DropReason::NoTargetYet)
    }

    /// Offers the waiting openings to targets that have room by now.
    pub(crate) fn serve_waiting(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let waiting = std::mem::take(&mut self.waiting);
        let mut remaining = Vec::with_capacity(waiting.len());
        for opening in waiting.into_iter().rev() {
            let Some(since) = self.waits_since(&opening) else {
                continue;
            };
            let age = now.since(since);
            if self.is_vain(&opening.packet, age) {
                self.promises.record_held_untried();
                if let Some(decided) = self.decided(&opening.packet, age) {
                    self.promises.record_given_up(&decided);
                }
                let routing = self.refuse(&opening.packet);
                self.carry_out(routing, &opening.bytes, actions);
                continue;
            }
            match self.offer(&opening.packet, now) {
                Some(routing) => self.carry_out(routing, &opening.bytes, actions),
                None => remaining.push(opening),
            }
        }
        remaining.reverse();
        self.waiting = remaining;
    }

    /// Whether no target can answer an opening of this age in time for its caller.
    fn is_vain(&self, packet: &FlowPacket, age: Duration) -> bool {
        let Some(entry) = self.flows.peek(&packet.key) else {
            return true;
        };
        let (terms, _) = self.routes.terms(packet.key.service, entry.service);
        let useful_for = Duration::from_millis(terms.timeout_ms.into());
        age >= LONGEST_WAIT.min(useful_for) || self.is_wholly_excluded(entry.service)
    }

    fn decided(&self, packet: &FlowPacket, age: Duration) -> Option<DecidedOpening> {
        let service = self.flows.peek(&packet.key)?.service;
        let (terms, is_urgent) = self.routes.terms(packet.key.service, service);
        Some(DecidedOpening {
            age,
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            is_urgent,
        })
    }

    /// When the opening was first sent, or `None` when it no longer waits.
    fn waits_since(&self, opening: &WaitingOpening) -> Option<Instant> {
        match &self.flows.peek(&opening.packet.key)?.stage {
            Stage::Opening {
                since,
                awaited: None,
                accepted,
                ..
            } if accepted.is_empty() => Some(*since),
            _ => None,
        }
    }
}
