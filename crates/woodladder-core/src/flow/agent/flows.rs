//! Open flows of the target, and the load that they make.

use std::time::Duration;

use super::super::identity::{FlowKey, NodeAddress};
use super::super::message::{MAXIMUM_KEYS, PeerMessage, ReturnReason, TargetState};
use super::super::note::Note;
use super::super::packet::{FlowPacket, PacketKind};
use super::{
    Agent, AgentAction, AnswerBody, AnswerKind, Delivery, Departure, FlowState, HeldFlow, Outcomes,
    Presence, Suspicion, not_held,
};
use crate::clock::Instant;

/// A new sample counts for one part in this many of the mean service time.
const MEAN_DIVISOR: u32 = 8;
/// Time after which a request without an answer no longer counts as load.
const BUSY_AT_MOST: Duration = Duration::from_secs(12);
/// Service times after which a request that its caller gives up counts as a
/// failure of the target.
const ABANDONED_AFTER: u32 = 10;
/// Least such time.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
/// Time after which an opening without a sequel no longer counts as load.
const OPENING_AT_MOST: Duration = Duration::from_millis(1000);

impl Agent {
    pub(super) fn established(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        now: Instant,
    ) -> Delivery {
        if self.flows.use_flow(&packet.key).is_some() {
            let begins_request = self.count_delivery(from, packet, now);
            return Delivery::Deliver {
                tell: None,
                begins_request,
            };
        }
        if self.knows_all_flows(now) {
            self.counters.denied += 1;
            return Delivery::Answer(self.returned(ReturnReason::NotHeld), AnswerBody::Packet);
        }
        self.try_target(from, packet, now)
    }

    pub(super) fn search(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        now: Instant,
    ) -> Delivery {
        if let Some(flow) = self.flows.use_flow(&packet.key) {
            match flow.state {
                FlowState::Unconfirmed => return Delivery::plain(),
                FlowState::Offered | FlowState::Accepted => {
                    return self.try_target(from, packet, now);
                }
                FlowState::Open | FlowState::Closing => {}
            }
            let begins_request = self.count_delivery(from, packet, now);
            let tell = self.located(&packet.key);
            return Delivery::Deliver {
                tell,
                begins_request,
            };
        }
        let knows_all = self.knows_all_flows(now);
        if !knows_all && !self.has_heard_target() {
            return Delivery::Drop;
        }
        if knows_all {
            self.counters.denied += 1;
            return Delivery::Answer(not_held(packet.key), AnswerBody::Nothing);
        }
        self.try_target(from, packet, now)
    }

    /// What a balancer that searched is told when the flow is held here.
    fn located(&self, key: &FlowKey) -> Option<PeerMessage> {
        let flow = self.flows.peek(key)?;
        if !matches!(flow.state, FlowState::Open | FlowState::Closing) {
            return None;
        }
        Some(PeerMessage::Located {
            key: *key,
            incarnation: self.target.incarnation,
        })
    }

    /// Answers a query for flows.
    pub(super) fn locate(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let knows_all = self.knows_all_flows(now);
        let mut denied = Vec::new();
        let mut undecided = Vec::new();
        for key in keys.iter().take(MAXIMUM_KEYS) {
            if let Some(message) = self.located(key) {
                actions.push(AgentAction::Send { to: from, message });
            } else if knows_all && self.flows.peek(key).is_none() {
                denied.push(*key);
            } else {
                undecided.push(*key);
            }
        }
        if !denied.is_empty() {
            self.counters.denied += 1;
            let message = PeerMessage::NotHeld { keys: denied };
            actions.push(AgentAction::Send { to: from, message });
        }
        if !undecided.is_empty() {
            let message = PeerMessage::MayBeHeld { keys: undecided };
            actions.push(AgentAction::Send { to: from, message });
        }
    }

    /// Whether the target runs for certain. A packet for a target that has not
    /// started yet is answered with a reset by its machine, which would end a
    /// flow that another target holds.
    fn has_heard_target(&self) -> bool {
        let has_beaten = self.target.state != TargetState::Unknown;
        has_beaten || self.target.sent_at.is_some() || self.target.presence == Presence::Listening
    }

    /// Whether every open flow of the target is in the table: the agent has
    /// run since the target began, or for longer than a flow lives.
    fn knows_all_flows(&self, now: Instant) -> bool {
        let complete_since = self.flows.overflowed_at().unwrap_or(self.started_at);
        let has_seen_all = now.since(complete_since) >= self.options.flow_lifetime;
        has_seen_all || (self.target.began_later && self.flows.overflowed_at().is_none())
    }

    /// The flow may be open at the target, which alone can tell.
    fn try_target(&mut self, from: NodeAddress, packet: &FlowPacket, now: Instant) -> Delivery {
        if packet.kind == PacketKind::Open {
            return Delivery::Drop;
        }
        let flow = HeldFlow {
            state: FlowState::Unconfirmed,
            is_expected: false,
            balancer: from,
            since: now,
            busy_since: None,
            caller_next: packet.sequence.wrapping_add(packet.payload.into()),
            request_start: 0,
            awaits_outcome: false,
        };
        self.forget_flow(&packet.key);
        self.flows.insert(packet.key, flow, now);
        Delivery::plain()
    }

    /// Counts what a packet on its way to the target means for its load; says
    /// whether a request's first byte is in it. Packets overtake each other, so
    /// a request can be load before that one comes.
    fn count_delivery(&mut self, from: NodeAddress, packet: &FlowPacket, now: Instant) -> bool {
        self.counters.delivered += 1;
        let Some(flow) = self.flows.use_flow(&packet.key) else {
            return false;
        };
        flow.balancer = from;
        if matches!(flow.state, FlowState::Offered | FlowState::Accepted) {
            flow.state = FlowState::Open;
            flow.since = now;
            self.load.flows += 1;
            self.stop_expecting(&packet.key);
        }
        let Some(flow) = self.flows.use_flow(&packet.key) else {
            return false;
        };
        let end = packet.sequence.wrapping_add(packet.payload.into());
        let is_new = packet.payload > 0 && is_after(end, flow.caller_next);
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
            if self.load.busy == 0 {
                self.progress_at = now;
            }
            self.load.busy += 1;
        }
        match packet.kind {
            PacketKind::Reset => {
                self.count_abandoned(&packet.key, now);
                self.forget_flow(&packet.key);
            }
            PacketKind::Finish => self.close_flow(&packet.key),
            _ => {}
        }
        is_head && packet.payload > 0
    }

    /// Decides about a packet that the target sent. `returned_to` is the
    /// balancer that the packet names when the target gave it back.
    pub fn departing(
        &mut self,
        packet: &FlowPacket,
        returned_to: Option<NodeAddress>,
        now: Instant,
    ) -> Departure {
        self.target.sent_at = Some(now);
        self.target.unanswered_since = None;
        if self.target.state == TargetState::Unresponsive {
            self.set_state(TargetState::Ready);
        }
        match returned_to {
            Some(balancer) => self.given_back(packet, balancer),
            None => self.send_to_caller(packet, now),
        }
    }

    fn given_back(&mut self, packet: &FlowPacket, balancer: NodeAddress) -> Departure {
        self.counters.returned_by_target += 1;
        let state = self.flows.peek(&packet.key).map(|flow| flow.state);
        self.forget_flow(&packet.key);
        if packet.kind != PacketKind::Open && state == Some(FlowState::Unconfirmed) {
            return Departure::Returned {
                to: balancer,
                message: not_held(packet.key),
                body: AnswerBody::Nothing,
            };
        }
        let reason = if packet.kind == PacketKind::Open {
            ReturnReason::RefusedByTarget
        } else {
            ReturnReason::NotHeld
        };
        Departure::Returned {
            to: balancer,
            message: self.returned(reason),
            body: AnswerBody::Packet,
        }
    }

    fn send_to_caller(&mut self, packet: &FlowPacket, now: Instant) -> Departure {
        self.counters.to_callers += 1;
        if packet.kind == PacketKind::Reset {
            if self.take_awaited(&packet.key) {
                self.count_outcome(false, now);
            }
            self.forget_flow(&packet.key);
            return Departure::ToCaller(None);
        }
        if self.flows.use_flow(&packet.key).is_none() {
            self.learn_flow(packet, now);
        }
        let Some(flow) = self.flows.use_flow(&packet.key) else {
            return Departure::ToCaller(None);
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
        if packet.payload > 0 {
            self.answered(&packet.key, now);
        }
        if packet.kind == PacketKind::Finish {
            self.end_request(&packet.key);
            self.close_flow(&packet.key);
        }
        Departure::ToCaller(message.map(|message| (balancer, message)))
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

    /// Takes in how the answer of a flow's request begins. To be called before
    /// [`Self::departing`] is given the packet.
    pub fn answer_begins(&mut self, key: &FlowKey, kind: AnswerKind, now: Instant) {
        if !self.take_awaited(key) {
            return;
        }
        match kind {
            AnswerKind::Success => self.count_outcome(true, now),
            AnswerKind::Failure => self.count_outcome(false, now),
            // With no more requests than slots, a target has no cause to.
            AnswerKind::TurnedAway if self.load.busy <= self.target.capacity => {
                self.count_outcome(false, now);
            }
            AnswerKind::TurnedAway => {}
        }
    }

    /// Whether the outcome of a flow's request was still awaited; it is not any
    /// more.
    fn take_awaited(&mut self, key: &FlowKey) -> bool {
        self.flows
            .use_flow(key)
            .is_some_and(|flow| std::mem::take(&mut flow.awaits_outcome))
    }

    fn count_outcome(&mut self, succeeded: bool, now: Instant) {
        self.outcomes.count(succeeded, now);
        self.load.failed_percent = self.outcomes.failed_percent();
        self.counters.failed += u64::from(!succeeded);
    }

    /// The caller gave a request up; when it has waited for far longer than
    /// requests take, the target has failed it.
    fn count_abandoned(&mut self, key: &FlowKey, now: Instant) {
        let usual = Duration::from_micros(self.load.service_time_us.into());
        let patience = (usual * ABANDONED_AFTER).max(LEAST_PATIENCE);
        let since = self.flows.peek(key).and_then(|flow| flow.busy_since);
        if since.is_some_and(|since| now.since(since) >= patience) {
            self.count_outcome(false, now);
        }
    }

    /// Lets evidence of failures fade.
    pub(super) fn watch_outcomes(&mut self, now: Instant) {
        let suspicion = self.outcomes.tick(now);
        self.load.failed_percent = self.outcomes.failed_percent();
        if let Some(suspicion) = suspicion {
            self.notes.add(Note::TargetSuspicion {
                is_suspect: suspicion == Suspicion::Begun,
                failed_percent: self.load.failed_percent,
                incarnation: self.target.incarnation,
            });
        }
    }

    fn answered(&mut self, key: &FlowKey, now: Instant) {
        let Some(flow) = self.flows.use_flow(key) else {
            return;
        };
        let Some(since) = flow.busy_since.take() else {
            return;
        };
        let service_time = now.since(since);
        self.progress_at = now;
        self.load.busy = self.load.busy.saturating_sub(1);
        self.counters.answered += 1;
        let sample = u32::try_from(service_time.as_micros()).unwrap_or(u32::MAX);
        let mean = self.load.service_time_us;
        self.load.service_time_us = match mean {
            0 => sample,
            _ => mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR,
        };
        self.notes.add(Note::RequestAnswered {
            key: *key,
            service_time,
        });
    }

    /// The target closes its side, so it answers no request any more.
    fn end_request(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.use_flow(key)
            && flow.busy_since.take().is_some()
        {
            self.load.busy = self.load.busy.saturating_sub(1);
        }
    }

    /// One end closes its side: the flow is no longer open, and stays in the
    /// table for its last packets.
    fn close_flow(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.use_flow(key)
            && flow.state == FlowState::Open
        {
            flow.state = FlowState::Closing;
            self.load.flows = self.load.flows.saturating_sub(1);
        }
    }

    pub(super) fn forget_flow(&mut self, key: &FlowKey) {
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

    /// A flow no longer counts as an opening that will become a request.
    pub(super) fn stop_expecting(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.use_flow(key)
            && flow.is_expected
        {
            flow.is_expected = false;
            self.load.opening = self.load.opening.saturating_sub(1);
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
        self.outcomes = Outcomes::new(now);
        self.load.failed_percent = 0;
        self.count_load(now);
    }

    /// Counts the load anew from the table, leaving out what has waited too
    /// long to be true.
    pub(super) fn count_load(&mut self, now: Instant) {
        let mut busy = 0u16;
        let mut opening = 0u16;
        let mut flows = 0u32;
        for (_, flow) in self.flows.iter_mut() {
            let waited = flow.busy_since.map(|since| now.since(since));
            if waited.is_some_and(|waited| waited >= BUSY_AT_MOST) {
                flow.busy_since = None;
            }
            busy += u16::from(flow.busy_since.is_some());
            flow.is_expected &= now.since(flow.since) < OPENING_AT_MOST;
            opening += u16::from(flow.is_expected);
            flows += u32::from(flow.state == FlowState::Open);
        }
        self.load.busy = busy;
        self.load.opening = opening;
        self.load.flows = flows;
    }
}

/// Whether one number of a wrapping sequence lies after another.
fn is_after(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
