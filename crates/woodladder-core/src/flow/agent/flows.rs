//! Packets of open flows, to the target and from it, and the table of flows that the
//! target holds.

use super::super::identity::{FlowKey, NodeAddress};
use super::super::message::{PeerMessage, ReturnReason, TargetState};
use super::super::packet::{FlowPacket, PacketKind};
use super::target::idle_flow_work::IdleFlowWork;
use super::target::life_proof::FormerLife;
use super::{
    Agent, ColdReason, FailureRecord, FlowState, ForwardDecision, ReplyBody, StateCause,
    TargetFlow, TargetPacketDecision, not_held_message,
};
use crate::clock::Instant;

impl Agent {
    pub(super) fn handle_established(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        if self.flows.touch(&packet.key).is_some() {
            if self.queue_if_full(from, packet, bytes, now) {
                return ForwardDecision::NoReply;
            }
            let begins_request = self.record_delivery(from, packet, now);
            return ForwardDecision::Deliver {
                reply: None,
                begins_request,
            };
        }
        if self.has_all_flows_in_table(now) {
            self.counters.searches_denied += 1;
            return ForwardDecision::Reply(
                self.returned_message(ReturnReason::NotHeld),
                ReplyBody::Packet,
            );
        }
        self.deliver_unconfirmed(from, packet, now)
    }

    /// Updates the load for a packet on its way to the target. Returns whether the packet
    /// contains the first byte of a request. Because packets overtake each other, a
    /// request can count as load before that byte arrives.
    pub(super) fn record_delivery(
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
        let was_opening = matches!(flow.state, FlowState::Offered | FlowState::Accepted);
        if was_opening {
            flow.state = FlowState::Open;
            flow.state_since = now;
            self.load.flows += 1;
            self.stop_counting_as_opening(&packet.key);
        }
        let Some(flow) = self.flows.touch(&packet.key) else {
            return false;
        };
        let end = packet.sequence.wrapping_add(packet.payload_length.into());
        let is_new = packet.payload_length > 0 && is_sequence_after(end, flow.caller_next_sequence);
        let begins_request = is_new && flow.busy_since.is_none();
        if begins_request {
            flow.request_start_sequence = flow.caller_next_sequence;
            flow.awaits_outcome = true;
        }
        if is_new {
            flow.caller_next_sequence = end;
        }
        let has_first_byte = flow.awaits_outcome && packet.sequence == flow.request_start_sequence;
        if begins_request {
            flow.busy_since = Some(now);
            self.request_queue.forget_given_up(&packet.key);
            if self.load.busy == 0 {
                self.last_progress_at = now;
            }
            self.load.busy += 1;
            if !was_opening {
                self.warm_up.count_request(now);
            }
        }
        match packet.kind {
            PacketKind::Reset => {
                self.count_abandoned(&packet.key, now);
                self.remove_flow(&packet.key);
            }
            PacketKind::Finish => self.begin_closing(&packet.key),
            _ => {}
        }
        has_first_byte && packet.payload_length > 0
    }

    /// Decides about a packet that the target sent. `returned_to` is the balancer that
    /// the packet names if the target returned it.
    pub fn handle_target_packet(
        &mut self,
        packet: &FlowPacket,
        returned_to: Option<NodeAddress>,
        now: Instant,
    ) -> TargetPacketDecision {
        self.target.last_packet_at = Some(now);
        self.target.unanswered_since = None;
        if self.target.state == TargetState::Unresponsive {
            self.set_state(TargetState::Ready, StateCause::Packet, now);
            self.assume_cold(ColdReason::Silent, now);
        }
        match returned_to {
            Some(balancer) => self.handle_returned_by_target(packet, balancer),
            None => self.send_to_caller(packet, now),
        }
    }

    fn handle_returned_by_target(
        &mut self,
        packet: &FlowPacket,
        balancer: NodeAddress,
    ) -> TargetPacketDecision {
        self.counters.packets_returned_by_target += 1;
        let state = self.flows.peek(&packet.key).map(|flow| flow.state);
        self.remove_flow(&packet.key);
        if packet.kind != PacketKind::Open && state == Some(FlowState::Unconfirmed) {
            return TargetPacketDecision::Returned {
                to: balancer,
                message: not_held_message(packet.key),
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
            message: self.returned_message(reason),
            body: ReplyBody::Packet,
        }
    }

    fn send_to_caller(&mut self, packet: &FlowPacket, now: Instant) -> TargetPacketDecision {
        self.counters.packets_sent_to_callers += 1;
        if packet.kind == PacketKind::Reset {
            if self.take_awaits_outcome(&packet.key) {
                self.count_outcome(false, now);
            }
            self.remove_flow(&packet.key);
            return TargetPacketDecision::ToCaller(None);
        }
        if packet.kind != PacketKind::Accept {
            self.note_life_shown_by_packet(&packet.key, now);
        }
        if self.flows.touch(&packet.key).is_none() {
            self.add_missing_flow(packet, now);
        }
        let Some(flow) = self.flows.touch(&packet.key) else {
            return TargetPacketDecision::ToCaller(None);
        };
        let balancer = flow.balancer;
        let message = match (packet.kind, flow.state) {
            (PacketKind::Accept, FlowState::Offered) => {
                flow.state = FlowState::Accepted;
                flow.state_since = now;
                self.accepted_without_request.push_back((packet.key, now));
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
                self.located_message(&packet.key)
            }
            _ => None,
        };
        if packet.payload_length > 0 {
            self.record_answer(&packet.key, now);
        }
        if packet.kind == PacketKind::Finish {
            self.end_request(&packet.key);
            self.begin_closing(&packet.key);
        }
        TargetPacketDecision::ToCaller(message.map(|message| (balancer, message)))
    }

    /// Adds a flow that the target holds and that is not in the table, because the flow
    /// was opened before the agent started.
    fn add_missing_flow(&mut self, packet: &FlowPacket, now: Instant) {
        if packet.kind == PacketKind::Accept {
            return;
        }
        let flow = TargetFlow {
            state: FlowState::Open,
            counts_as_opening: false,
            has_answered: false,
            balancer: self.options.address,
            state_since: now,
            opened_at: None,
            busy_since: None,
            caller_next_sequence: packet.acknowledgement,
            request_start_sequence: 0,
            awaits_outcome: false,
        };
        self.flows.insert(packet.key, flow, now);
        self.load.flows += 1;
    }

    /// Marks a flow as closing after one end has closed its side. The flow no longer
    /// counts as open; its entry stays in the table for its last packets.
    fn begin_closing(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.touch(key)
            && flow.state == FlowState::Open
        {
            flow.state = FlowState::Closing;
            self.load.flows = self.load.flows.saturating_sub(1);
        }
    }

    pub(super) fn remove_flow(&mut self, key: &FlowKey) {
        if self.request_queue.remove_flow(key) > 0 {
            self.update_queued_count();
        }
        let Some(flow) = self.flows.remove(key) else {
            return;
        };
        if flow.busy_since.is_some() {
            self.load.busy = self.load.busy.saturating_sub(1);
        }
        if flow.counts_as_opening {
            self.load.opening = self.load.opening.saturating_sub(1);
        }
        if flow.state == FlowState::Open {
            self.load.flows = self.load.flows.saturating_sub(1);
        }
    }

    /// Removes the flows of a target that was replaced, except for flows whose state
    /// changed after the time until which it is known to have run. Because a target takes
    /// flows before its own first heartbeat, the remaining flows may be open at the new target;
    /// if they are not, the new target returns their packets. Requests of the remaining
    /// flows that were in service no longer count as load: most of them ended with the
    /// former incarnation, and would keep slots of the new one occupied.
    pub(super) fn remove_flows_of_replaced_target(
        &mut self,
        former_life: FormerLife,
        now: Instant,
    ) {
        self.flows
            .retain(|_, flow| former_life.may_have_ended_by(flow.state_since));
        for (_, flow) in self.flows.iter_mut() {
            flow.busy_since = None;
            flow.awaits_outcome = false;
            flow.counts_as_opening = false;
        }
        self.accepted_without_request
            .retain(|(_, at)| former_life.may_have_ended_by(*at));
        self.load.service_time_us = 0;
        self.service_times.clear();
        self.failure_record = FailureRecord::new(now);
        self.idle_flow_work = IdleFlowWork::new(now);
        self.load.failed_percent = 0;
        self.recount_load(now);
    }
}

/// Whether one sequence number is after another, in wrapping order.
pub(super) fn is_sequence_after(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
