//! Open flows of the target: packets to it and from it, and who holds what.

use super::super::identity::{FlowKey, NodeAddress};
use super::super::message::{PeerMessage, ReturnReason, TargetState};
use super::super::packet::{FlowPacket, PacketKind};
use super::target::resting_work::RestingWork;
use super::{
    Agent, ColdReason, FailureRecord, FlowState, ForwardDecision, HeldFlow, ReplyBody,
    TargetPacketDecision, not_held,
};
use crate::clock::Instant;

impl Agent {
    pub(super) fn established(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        if self.flows.touch(&packet.key).is_some() {
            if self.waits(from, packet, bytes, now) {
                return ForwardDecision::Drop;
            }
            let begins_request = self.count_delivery(from, packet, now);
            return ForwardDecision::Deliver {
                reply: None,
                begins_request,
            };
        }
        if self.knows_all_flows(now) {
            self.counters.searches_denied += 1;
            return ForwardDecision::Reply(self.returned(ReturnReason::NotHeld), ReplyBody::Packet);
        }
        self.try_target(from, packet, now)
    }

    /// Counts what a packet on its way to the target means for its load; says
    /// whether a request's first byte is in it. Packets overtake each other, so
    /// a request can be load before that one comes.
    pub(super) fn count_delivery(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        now: Instant,
    ) -> bool {
        self.counters.packets_delivered += 1;
        let Some(flow) = self.flows.touch(&packet.key) else {
            return false;
        };
        flow.balancer = from;
        let was_counted = matches!(flow.state, FlowState::Offered | FlowState::Accepted);
        if was_counted {
            flow.state = FlowState::Open;
            flow.since = now;
            self.load.flows += 1;
            self.stop_expecting(&packet.key);
        }
        let Some(flow) = self.flows.touch(&packet.key) else {
            return false;
        };
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        let is_new = packet.payload_length > 0 && is_after(end, flow.caller_next);
        let begins_request = is_new && flow.busy_since.is_none();
        if begins_request {
            flow.request_start = flow.caller_next;
            flow.awaits_outcome = true;
        }
        if is_new {
            flow.caller_next = end;
        }
        let is_head = flow.awaits_outcome && packet.sequence == flow.request_start;
        if begins_request {
            flow.busy_since = Some(now);
            self.held.passed(&packet.key);
            if self.load.busy == 0 {
                self.progress_at = now;
            }
            self.load.busy += 1;
            if !was_counted {
                self.warm_up.count(now);
            }
        }
        match packet.kind {
            PacketKind::Reset => {
                self.count_abandoned(&packet.key, now);
                self.forget_flow(&packet.key);
            }
            PacketKind::Finish => self.close_flow(&packet.key),
            _ => {}
        }
        is_head && packet.payload_length > 0
    }

    /// Decides about a packet that the target sent. `returned_to` is the
    /// balancer that the packet names when the target gave it back.
    pub fn handle_target_packet(
        &mut self,
        packet: &FlowPacket,
        returned_to: Option<NodeAddress>,
        now: Instant,
    ) -> TargetPacketDecision {
        self.target.sent_at = Some(now);
        self.target.unanswered_since = None;
        if self.target.state == TargetState::Unresponsive {
            self.set_state(TargetState::Ready);
            self.doubt_warmth(ColdReason::Silent, now);
        }
        match returned_to {
            Some(balancer) => self.given_back(packet, balancer),
            None => self.send_to_caller(packet, now),
        }
    }

    fn given_back(&mut self, packet: &FlowPacket, balancer: NodeAddress) -> TargetPacketDecision {
        self.counters.packets_returned_by_target += 1;
        let state = self.flows.peek(&packet.key).map(|flow| flow.state);
        self.forget_flow(&packet.key);
        if packet.kind != PacketKind::Open && state == Some(FlowState::Unconfirmed) {
            return TargetPacketDecision::Returned {
                to: balancer,
                message: not_held(packet.key),
                body: ReplyBody::Empty,
            };
        }
        let reason = if packet.kind == PacketKind::Open {
            ReturnReason::RefusedByTarget
        } else {
            ReturnReason::NotHeld
        };
        TargetPacketDecision::Returned {
            to: balancer,
            message: self.returned(reason),
            body: ReplyBody::Packet,
        }
    }

    fn send_to_caller(&mut self, packet: &FlowPacket, now: Instant) -> TargetPacketDecision {
        self.counters.packets_sent_to_callers += 1;
        if packet.kind == PacketKind::Reset {
            if self.take_awaited(&packet.key) {
                self.count_outcome(false, now);
            }
            self.forget_flow(&packet.key);
            return TargetPacketDecision::ToCaller(None);
        }
        if self.flows.touch(&packet.key).is_none() {
            self.learn_flow(packet, now);
        }
        let Some(flow) = self.flows.touch(&packet.key) else {
            return TargetPacketDecision::ToCaller(None);
        };
        let balancer = flow.balancer;
        let message = match (packet.kind, flow.state) {
            (PacketKind::Accept, FlowState::Offered) => {
                flow.state = FlowState::Accepted;
                flow.since = now;
                self.accepted.push_back((packet.key, now));
                Some(PeerMessage::Accepted {
                    key: packet.key,
                    sequence: packet.sequence,
                    incarnation: self.target.incarnation,
                    load: self.load,
                })
            }
            (_, FlowState::Unconfirmed) => {
                flow.state = FlowState::Open;
                self.load.flows += 1;
                self.located(&packet.key)
            }
            _ => None,
        };
        if packet.payload_length > 0 {
            self.answered(&packet.key, now);
        }
        if packet.kind == PacketKind::Finish {
            self.end_request(&packet.key);
            self.close_flow(&packet.key);
        }
        TargetPacketDecision::ToCaller(message.map(|message| (balancer, message)))
    }

    /// A flow that the target holds and the agent did not know: it was opened
    /// before the agent started.
    fn learn_flow(&mut self, packet: &FlowPacket, now: Instant) {
        if packet.kind == PacketKind::Accept {
            return;
        }
        let flow = HeldFlow {
            state: FlowState::Open,
            is_expected: false,
            has_answered: false,
            balancer: self.options.address,
            since: now,
            busy_since: None,
            caller_next: packet.acknowledgement,
            request_start: 0,
            awaits_outcome: false,
        };
        self.flows.insert(packet.key, flow, now);
        self.load.flows += 1;
    }

    /// One end closes its side: the flow is no longer open, and stays in the
    /// table for its last packets.
    fn close_flow(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.touch(key)
            && flow.state == FlowState::Open
        {
            flow.state = FlowState::Closing;
            self.load.flows = self.load.flows.saturating_sub(1);
        }
    }

    pub(super) fn forget_flow(&mut self, key: &FlowKey) {
        if self.held.forget(key) > 0 {
            self.count_queue();
        }
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        if flow.busy_since.is_some() {
            self.load.busy = self.load.busy.saturating_sub(1);
        }
        if flow.is_expected {
            self.load.opening = self.load.opening.saturating_sub(1);
        }
        if flow.state == FlowState::Open {
            self.load.flows = self.load.flows.saturating_sub(1);
        }
    }

    /// The target was replaced: its flows are gone, but for those that were opened
    /// after its last heartbeat. A target takes flows before its own first
    /// heartbeat, so these may be open at the new one; if not, it gives their
    /// packets back. What they had at work is no load any more: most of it ended
    /// with the former incarnation, and would keep the new one's slots taken.
    pub(super) fn forget_flows_before(&mut self, last_beat: Option<Instant>, now: Instant) {
        let last_beat = last_beat.unwrap_or(now);
        self.flows.retain(|_, flow| flow.since > last_beat);
        for (_, flow) in self.flows.iter_mut() {
            flow.busy_since = None;
            flow.awaits_outcome = false;
            flow.is_expected = false;
        }
        self.accepted.retain(|(_, at)| *at > last_beat);
        self.load.service_time_us = 0;
        self.service_times.clear();
        self.failures = FailureRecord::new(now);
        self.resting_work = RestingWork::new(now);
        self.load.failed_percent = 0;
        self.count_load(now);
    }
}

/// Whether one number of a wrapping sequence lies after another.
pub(super) fn is_after(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
