//! Admission of new flows by the target's true state and load.

use std::time::Duration;

use super::super::identity::NodeAddress;
use super::super::message::{ForwardHeader, ReturnReason, TargetState};
use super::super::note::Note;
use super::super::packet::FlowPacket;
use super::{Agent, Delivery, FlowState, HeldFlow};
use crate::clock::Instant;

/// Time that a balancer has to reach the version that an agent knows before
/// its openings under a lesser one are given back.
const VERSION_GRACE: Duration = Duration::from_millis(1000);
/// The whole, in percent.
const WHOLE: u32 = 100;

impl Agent {
    pub(super) fn opening(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        room: u16,
        packet: &FlowPacket,
        now: Instant,
    ) -> Delivery {
        if let Some(flow) = self.flows.use_flow(&packet.key)
            && flow.state != FlowState::Unconfirmed
            && packet.acknowledgement > 0
        {
            // A copy of an opening that the target has; it answers again.
            flow.balancer = from;
            return Delivery::plain();
        }
        if let Some(reason) = self.reason_to_decline(header, room, now) {
            return self.give_back(reason);
        }
        self.counters.offered += 1;
        self.replace_flow(packet.key, FlowState::Offered, from, now);
        self.load.opening += 1;
        self.target.unanswered_since.get_or_insert(now);
        self.notes.add(Note::FlowOffered {
            key: packet.key,
            balancer: from,
            busy: self.load.busy,
            version: header.version,
        });
        Delivery::plain()
    }

    fn reason_to_decline(
        &self,
        header: &ForwardHeader,
        room: u16,
        now: Instant,
    ) -> Option<ReturnReason> {
        match self.target.state {
            TargetState::Unknown => return Some(ReturnReason::NoTarget),
            TargetState::Leaving => return Some(ReturnReason::Leaving),
            TargetState::Unresponsive => return Some(ReturnReason::NoTarget),
            TargetState::Ready => {}
        }
        let is_settled = now.since(self.version_known_at) >= VERSION_GRACE;
        if header.version < self.routes.version() && is_settled {
            return Some(ReturnReason::StaleVersion);
        }
        let taken = u32::from(self.load.busy) + u32::from(self.load.opening);
        let allowed = u32::from(self.target.capacity) * u32::from(room);
        if taken * WHOLE >= allowed {
            return Some(ReturnReason::Saturated);
        }
        None
    }

    /// Puts a flow into the table, and takes the former flow of the same ends
    /// out of the load.
    pub(super) fn replace_flow(
        &mut self,
        key: super::FlowKey,
        state: FlowState,
        balancer: NodeAddress,
        now: Instant,
    ) {
        self.forget_flow(&key);
        let flow = HeldFlow {
            state,
            balancer,
            since: now,
            busy_since: None,
            caller_next: 0,
        };
        self.flows.insert(key, flow, now);
    }
}
