//! Defers openings of routes with large transfers while enough flows already share the
//! link.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::balancer::{Balancer, BalancerAction, FlowEntry};
use crate::flow::flow_table::FlowTable;
use crate::flow::identity::FlowKey;
use crate::flow::link::LinkLoadControl;
use crate::flow::link::bulk_admission::{BulkDecision, ReleasedOpening};
use crate::flow::log_event::LogEvent;
use crate::flow::packet::FlowPacket;
use crate::flow::promises::DecidedOpening;

impl Balancer {
    /// Load and limits of the machine's link; `None` unless pacing of the link is
    /// active.
    #[must_use]
    pub fn paced_link(&self) -> Option<&LinkLoadControl> {
        self.link.as_ref().filter(|_| self.mechanisms.paces_link)
    }

    /// Counts a datagram that was received over the link.
    pub fn count_received_datagram(&mut self, length: usize, now: Instant) {
        if let Some(link) = &mut self.link {
            link.record_received(length, now);
        }
    }

    /// Counts a datagram that was sent over the link.
    pub fn count_sent_datagram(&mut self, length: usize, now: Instant) {
        if let Some(link) = &mut self.link {
            link.record_sent(length, now);
        }
    }

    /// Whether openings are queued until the link has room for their flows.
    #[must_use]
    pub fn has_openings_waiting_for_link(&self) -> bool {
        self.paced_link()
            .is_some_and(|link| link.queued_openings() > 0)
    }

    /// Whether the link has room for openings that wait for it.
    #[must_use]
    pub fn can_release_openings(&self) -> bool {
        self.paced_link()
            .is_some_and(LinkLoadControl::can_release_opening)
    }

    /// Defers or refuses an opening while the link is full; `None` if the packet may be
    /// routed now.
    pub(crate) fn admit_to_link(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> Option<Routing> {
        self.paced_link()?;
        let terms = self.routes.route(packet.key.service)?.terms;
        let link = self.link.as_mut()?;
        let waited_before = link.queued_openings();
        match link.admit_caller_packet(packet, bytes, terms, now) {
            BulkDecision::Admit => None,
            BulkDecision::Wait => {
                let (under_way, waiting) = (link.active_bulk_flows(), link.queued_openings());
                if waiting > waited_before {
                    self.counters.openings_deferred_for_link += 1;
                    self.log_events.add(LogEvent::OpeningDeferredForLink {
                        key: packet.key,
                        under_way,
                        waiting,
                    });
                }
                // The link's queue holds a copy of the opening, which is routed or refused
                // later: nothing is sent now.
                Some(Routing::Drop(DropReason::LinkShared))
            }
            // This is a late copy of an opening whose flow is open or being opened.
            // Refusing the copy would end the flow.
            BulkDecision::Refuse if is_open(&self.flows, &packet.key) => {
                Some(Routing::Drop(DropReason::LinkShared))
            }
            BulkDecision::Refuse => Some(self.refuse_for_link(packet, now, now)),
        }
    }

    /// Routes the openings that the link has room for, and refuses those that have
    /// waited too long.
    pub fn release_openings(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if self.paced_link().is_none() {
            return;
        }
        let Some(link) = &mut self.link else {
            return;
        };
        // Drops waiting openings whose flows were opened meanwhile by other copies.
        link.remove_queued_openings(|key| is_open(&self.flows, key));
        for opening in link.release_openings(now) {
            let routing = if opening.is_admitted {
                self.relay_or_route_packet(&opening.packet, &opening.bytes, now)
            } else {
                self.record_untried_end(&opening, now);
                self.refuse_for_link(&opening.packet, opening.queued_at, now)
            };
            self.push_actions(routing, &opening.bytes, actions);
        }
    }

    /// Counts an opening that is refused after it has waited for the link too long and
    /// was never sent to a target.
    fn record_untried_end(&mut self, opening: &ReleasedOpening, now: Instant) {
        self.promises.record_held_untried();
        if let Some(route) = self.routes.route(opening.packet.key.service) {
            self.promises.record_given_up(&DecidedOpening {
                age: now.since(opening.first_sent),
                timeout: Duration::from_millis(route.terms.timeout_ms.into()),
                is_urgent: false,
            });
        }
    }

    fn refuse_for_link(
        &mut self,
        packet: &FlowPacket,
        queued_at: Instant,
        now: Instant,
    ) -> Routing {
        self.counters.openings_refused_for_link += 1;
        self.log_events.add(LogEvent::OpeningRefusedForLink {
            key: packet.key,
            waited: now.since(queued_at),
        });
        self.refuse_opening(packet)
    }
}

/// Whether a flow is open or being opened according to the flow table. A new flow may
/// have the key of one that has finished.
fn is_open(flows: &FlowTable<FlowEntry>, key: &FlowKey) -> bool {
    flows.peek(key).is_some_and(|entry| !entry.is_finished)
}
