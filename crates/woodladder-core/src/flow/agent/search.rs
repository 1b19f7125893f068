//! Answers to balancers that search for the target that holds a flow.

use super::super::identity::{FlowKey, Incarnation, NodeAddress};
use super::super::message::{MAXIMUM_FLOWS_PER_QUERY, PeerMessage, TargetState};
use super::super::packet::{FlowPacket, PacketKind};
use super::{
    Agent, AgentAction, FlowState, ForwardDecision, ListenState, ReplyBody, TargetFlow,
    not_held_message,
};
use crate::clock::Instant;

impl Agent {
    pub(super) fn handle_search(
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
                    return self.deliver_unconfirmed(from, packet, now);
                }
                FlowState::Open | FlowState::Closing => {}
            }
            if self.queue_if_full(from, packet, bytes, now) {
                let located = self.located_message(&packet.key);
                return located.map_or(ForwardDecision::NoReply, ForwardDecision::Queued);
            }
            let begins_request = self.record_delivery(from, packet, now);
            let reply = self.located_message(&packet.key);
            return ForwardDecision::Deliver {
                reply,
                begins_request,
            };
        }
        let knows_all = self.has_all_flows_in_table(now);
        if !knows_all && !self.is_target_known_to_run() {
            return ForwardDecision::NoReply;
        }
        if knows_all {
            self.counters.searches_denied += 1;
            return ForwardDecision::Reply(not_held_message(packet.key), ReplyBody::Empty);
        }
        self.deliver_unconfirmed(from, packet, now)
    }

    /// The answer to a balancer that searched for a flow; `None` unless the target holds
    /// the flow.
    pub(super) fn located_message(&self, key: &FlowKey) -> Option<PeerMessage> {
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

    /// Answers a query for flows. If `recorded` names an incarnation, the query is about
    /// flows that this incarnation held.
    pub(super) fn answer_locate(
        &mut self,
        from: NodeAddress,
        keys: &[FlowKey],
        recorded: Option<Incarnation>,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let accounts_for_recorded =
            recorded.is_some_and(|incarnation| self.accounts_for_flows_of(incarnation));
        let knows_all = accounts_for_recorded || self.has_all_flows_in_table(now);
        let mut denied = Vec::new();
        let mut undecided = Vec::new();
        for key in keys.iter().take(MAXIMUM_FLOWS_PER_QUERY) {
            if let Some(message) = self.located_message(key) {
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

    /// Whether the target is known to run. The machine of a target that has not started
    /// yet answers a packet with a reset, which would end a flow that another target
    /// holds.
    pub(super) fn is_target_known_to_run(&self) -> bool {
        let had_heartbeat =
            self.target.incarnation.is_some() || self.target.state != TargetState::Unknown;
        had_heartbeat
            || self.target.last_packet_at.is_some()
            || self.target.listen_state == ListenState::Listening
    }

    /// Whether every open flow of the target is in the table. This holds if the agent has
    /// run since the target started and the table has never overflowed, or if the longest
    /// life of a flow has passed since the table last overflowed or, if it never has,
    /// since the agent started.
    pub(super) fn has_all_flows_in_table(&self, now: Instant) -> bool {
        let complete_since = self.flows.overflowed_at().unwrap_or(self.started_at);
        let has_seen_all = now.since(complete_since) >= self.options.flow_lifetime;
        has_seen_all || (self.target.started_after_agent && self.flows.overflowed_at().is_none())
    }

    /// Whether each flow of the queried `incarnation` is known to be in the table or to
    /// have ended. This holds if the table has never overflowed and the agent has received
    /// a heartbeat of another incarnation, the present one. If the present incarnation
    /// started later than the queried one, the flows of the queried one have ended. If the
    /// present incarnation started earlier, it was alive after the agent started, so the
    /// queried one started later than the agent, whose table has each of its flows.
    pub(super) fn accounts_for_flows_of(&self, incarnation: Incarnation) -> bool {
        let has_heard = self.target.last_heartbeat_at.is_some();
        let is_another = self.target.incarnation.is_some_and(|it| it != incarnation);
        has_heard && is_another && self.flows.overflowed_at().is_none()
    }

    /// Delivers a packet of a flow that only the target can confirm or deny.
    pub(super) fn deliver_unconfirmed(
        &mut self,
        from: NodeAddress,
        packet: &FlowPacket,
        now: Instant,
    ) -> ForwardDecision {
        if packet.kind == PacketKind::Open {
            return ForwardDecision::NoReply;
        }
        let flow = TargetFlow {
            state: FlowState::Unconfirmed,
            counts_as_opening: false,
            has_answered: false,
            balancer: from,
            state_since: now,
            opened_at: None,
            busy_since: None,
            caller_next_sequence: packet.sequence.wrapping_add(packet.payload_length.into()),
            request_start_sequence: 0,
            awaits_outcome: false,
        };
        self.remove_flow(&packet.key);
        self.flows.insert(packet.key, flow, now);
        ForwardDecision::plain()
    }
}
