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
/// Requests beyond the slots that a target may hold before openings that have
/// another choice are given back.
const QUEUE_ALLOWED: u16 = 2;

impl Agent {
    pub(super) fn opening(
        &mut self,
        from: NodeAddress,
        header: &ForwardHeader,
        last_choice: bool,
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
        if let Some(reason) = self.reason_to_decline(header, last_choice, now) {
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
        last_choice: bool,
        now: Instant,
    ) -> Option<ReturnReason> {
        match self.target.state {
            TargetState::Unknown => return Some(ReturnReason::NoTarget),
            TargetState::Leaving => return Some(ReturnReason::Leaving),
            TargetState::Unresponsive if !last_choice => return Some(ReturnReason::NoTarget),
            TargetState::Ready | TargetState::Unresponsive => {}
        }
        let is_settled = now.since(self.version_known_at) >= VERSION_GRACE;
        if header.version < self.routes.version() && is_settled {
            return Some(ReturnReason::StaleVersion);
        }
        let taken = self.load.busy.saturating_add(self.load.opening);
        let room = self.target.capacity.saturating_add(QUEUE_ALLOWED);
        if !last_choice && taken >= room {
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
