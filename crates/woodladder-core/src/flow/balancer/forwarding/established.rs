//! Routes packets of open flows, to the target that the table lists or by a search.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::Routing;
use crate::flow::balancer::{Acceptance, Balancer, Stage};
use crate::flow::identity::ServiceKey;
use crate::flow::message::{ForwardHeader, ForwardPurpose};
use crate::flow::packet::{FlowPacket, PacketKind};

/// Time after a flow's opening in which the caller acknowledges an acceptance.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of bytes that a target can have sent by the time a balancer sees the
/// caller's first acknowledgement.
const MAXIMUM_ACKNOWLEDGEMENT_DISTANCE: u32 = 1 << 20;

impl Balancer {
    pub(crate) fn route_established(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Routing {
        let Some(entry) = self.flows.touch(&packet.key) else {
            return self.route_unknown_flow(packet, bytes, now);
        };
        let is_repeated = entry.advance_caller_next(packet);
        entry.acknowledged = packet.acknowledgement;
        entry.is_finished |= packet.kind == PacketKind::Finish;
        entry.apply_caller_choice(packet.acknowledgement, now);
        let service = entry.service;
        match &entry.stage {
            Stage::Held { agent, .. } => {
                let agent = *agent;
                self.counters.established_packets += 1;
                if is_repeated {
                    // The caller has repeated its data: the target may be slow, or the
                    // target's machine may be gone.
                    self.directory.start_probing(agent, now);
                }
                Routing::One {
                    to: agent,
                    header: self.forward_header(service, ForwardPurpose::Established),
                }
            }
            Stage::Searching(_) => self.continue_search(packet, bytes, now),
            Stage::Opening { .. } => self.search_flow_opened_elsewhere(packet, bytes, now),
        }
    }

    pub(crate) fn forward_header(
        &self,
        service: ServiceKey,
        purpose: ForwardPurpose,
    ) -> ForwardHeader {
        ForwardHeader {
            service,
            version: self.routes.version(),
            purpose,
        }
    }
}

impl crate::flow::balancer::FlowEntry {
    /// Advances `caller_next` past the data of a packet. Returns whether the packet has
    /// data and the caller has sent all of this data before.
    fn advance_caller_next(&mut self, packet: &FlowPacket) -> bool {
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        let ahead = end.wrapping_sub(self.caller_next);
        let is_new = ahead != 0 && ahead < u32::MAX / 2;
        if is_new {
            self.caller_next = end;
        }
        packet.payload_length > 0 && !is_new
    }

    /// Handles the caller's first packet after the opening: by acknowledging an
    /// acceptance, the caller has chosen the target that holds the flow.
    fn apply_caller_choice(&mut self, acknowledgement: u32, now: Instant) {
        let Stage::Opening {
            first_sent_at,
            accepted,
            awaited,
            is_queued,
            ..
        } = &self.stage
        else {
            return;
        };
        if now.since(*first_sent_at) >= ACKNOWLEDGEMENT_TIMEOUT {
            return;
        }
        let presumed = awaited
            .filter(|_| accepted.is_empty() && !is_queued)
            .map(|agent| (self.service, agent, None, 0));
        let held = chosen_by_caller(accepted, acknowledgement)
            .map(|it| (it.service, it.agent, it.incarnation, it.heartbeat))
            .or(presumed);
        if let Some((service, agent, incarnation, heartbeat)) = held {
            self.service = service;
            self.stage = Stage::Held {
                agent,
                incarnation,
                heartbeat,
                known_since: now,
            };
        }
    }
}

/// The acceptance that a caller's packet acknowledges: the one whose sequence number
/// lies closest before the acknowledgement, and not farther than a target can have sent
/// meanwhile.
fn chosen_by_caller(accepted: &[Acceptance], acknowledgement: u32) -> Option<&Acceptance> {
    let distance = |acceptance: &Acceptance| acknowledgement.wrapping_sub(acceptance.sequence);
    accepted
        .iter()
        .filter(|acceptance| distance(acceptance) <= MAXIMUM_ACKNOWLEDGEMENT_DISTANCE)
        .min_by_key(|acceptance| distance(acceptance))
}
