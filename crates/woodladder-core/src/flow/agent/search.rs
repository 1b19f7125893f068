//! Searches of balancers: whether the target holds a flow.

use super::super::identity::{FlowKey, Incarnation, NodeAddress};
use super::super::message::{MAXIMUM_KEYS, PeerMessage, TargetState};
use super::super::packet::{FlowPacket, PacketKind};
use super::{
    Agent, AgentAction, FlowState, ForwardDecision, HeldFlow, ListenState, ReplyBody, not_held,
};
use crate::clock::Instant;

impl Agent {
    pub(super) fn search(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
    ) -> ForwardDecision {
        if let Some(flow) = self.flows.touch(&packet.key) {
            match flow.state {
                FlowState::Unconfirmed => return ForwardDecision::plain(),
                FlowState::Offered | FlowState::Accepted => {
                    return self.try_target(from, packet, now);
                }
                FlowState::Open | FlowState::Closing => {}
            }
            if self.waits(from, packet, bytes, now) {
                let located = self.located(&packet.key);
                return located.map_or(ForwardDecision::Drop, ForwardDecision::Queued);
            }
            let begins_request = self.count_delivery(from, packet, now);
            let reply = self.located(&packet.key);
            return ForwardDecision::Deliver {
                reply,
                begins_request,
            };
        }
        let knows_all = self.knows_all_flows(now);
        if !knows_all && !self.has_heard_target() {
            return ForwardDecision::Drop;
        }
        if knows_all {
            self.counters.searches_denied += 1;
            return ForwardDecision::Reply(not_held(packet.key), ReplyBody::Empty);
        }
        self.try_target(from, packet, now)
    }

    /// What a balancer that searched is told when the flow is held here.
    pub(super) fn located(&self, key: &FlowKey) -> Option<PeerMessage> {
        let flow = self.flows.peek(key)?;
        if !matches!(flow.state, FlowState::Open | FlowState::Closing) {
            return None;
        }
        Some(PeerMessage::Located {
            key: *key,
            incarnation: self.target.incarnation,
            heartbeat: self.load.last_heartbeat,
        })
    }

    /// Answers a query for flows, which an incarnation held if `recorded` names one.
    pub(super) fn locate(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        recorded: Option<Incarnation>,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let has_ended = recorded.is_some_and(|incarnation| self.has_ended(incarnation));
        let knows_all = has_ended || self.knows_all_flows(now);
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
            self.counters.searches_denied += 1;
            let message = match recorded {
                Some(incarnation) => PeerMessage::RecordedNotHeld {
                    incarnation,
                    keys: denied,
                },
                None => PeerMessage::NotHeld { keys: denied },
            };
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
    pub(super) fn has_heard_target(&self) -> bool {
        let has_beaten = self.target.state != TargetState::Unknown;
        has_beaten
            || self.target.sent_at.is_some()
            || self.target.presence == ListenState::Listening
    }

    /// Whether every open flow of the target is in the table: the agent has
    /// run since the target began, or for longer than a flow lives.
    pub(super) fn knows_all_flows(&self, now: Instant) -> bool {
        let complete_since = self.flows.overflowed_at().unwrap_or(self.started_at);
        let has_seen_all = now.since(complete_since) >= self.options.flow_lifetime;
        has_seen_all || (self.target.began_later && self.flows.overflowed_at().is_none())
    }

    /// Whether each flow of an incarnation is in the table or has ended with it: the
    /// target has sent this process a heartbeat as another one. If that began later, the
    /// flows have ended; if it began earlier, it lived after this process had started,
    /// which has then seen each flow of the later one.
    pub(super) fn has_ended(&self, incarnation: Incarnation) -> bool {
        let has_heard = self.target.beat_at.is_some();
        let is_another = self.target.incarnation.is_some_and(|it| it != incarnation);
        has_heard && is_another && self.flows.overflowed_at().is_none()
    }

    /// The flow may be open at the target, which alone can tell.
    pub(super) fn try_target(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        now: Instant,
    ) -> ForwardDecision {
        if packet.kind == PacketKind::Open {
            return ForwardDecision::Drop;
        }
        let flow = HeldFlow {
            state: FlowState::Unconfirmed,
            is_expected: false,
            has_answered: false,
            balancer: from,
            since: now,
            busy_since: None,
            caller_next: packet.sequence.wrapping_add(packet.payload_length.into()),
            request_start: 0,
            awaits_outcome: false,
        };
        self.forget_flow(&packet.key);
        self.flows.insert(packet.key, flow, now);
        ForwardDecision::plain()
    }
}
