//! Decisions of an agent, which the node that runs it carries out.

use super::super::identity::{FlowKey, NodeAddress};
use super::super::message::{PeerMessage, SnapshotRequest};
use super::super::target_status::SuccessionEvidence;

/// What happens to a packet that a balancer sent.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardDecision {
    /// The packet goes to the target. It is marked so that the target, if it returns the
    /// packet, names the balancer.
    Deliver {
        /// Message to the balancer.
        reply: Option<PeerMessage>,
        /// Whether the packet contains the first byte of a request.
        begins_request: bool,
    },
    /// The packet is queued at the agent; the message goes to the balancer.
    Queued(PeerMessage),
    /// The packet is not delivered; the message goes to the balancer.
    Reply(PeerMessage, ReplyBody),
    /// The packet is dropped, or is queued at the agent; no message is sent.
    NoReply,
}

impl ForwardDecision {
    pub(super) fn plain() -> Self {
        Self::Deliver {
            reply: None,
            begins_request: false,
        }
    }
}

/// What follows the message of a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyBody {
    /// The packet that the reply is about.
    Packet,
    /// No packet.
    Empty,
}

/// What happens to a packet that the target sent.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetPacketDecision {
    /// The packet goes to the caller; a message may go to a balancer.
    ToCaller(Option<(NodeAddress, PeerMessage)>),
    /// The target returned the packet; a message goes to a balancer.
    Returned {
        /// The balancer that the packet names.
        to: NodeAddress,
        /// Message to the balancer.
        message: PeerMessage,
        /// What follows the message.
        body: ReplyBody,
    },
}

/// An action that the node that runs the agent carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Sends a message.
    Send {
        /// Receiver.
        to: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Delivers a packet that was queued to the target. It is marked so that the target,
    /// if it returns the packet, names the balancer.
    Deliver {
        /// The balancer that sent the packet.
        balancer: NodeAddress,
        /// The packet.
        packet: Vec<u8>,
        /// The flow whose request begins with the packet, if any.
        begins_request: Option<FlowKey>,
    },
    /// Returns a queued opening to its balancer.
    Return {
        /// The balancer that sent the opening.
        to: NodeAddress,
        /// Message with the reason.
        message: PeerMessage,
        /// The opening.
        packet: Vec<u8>,
    },
    /// Requests a snapshot from a node and passes the snapshot to
    /// [`Agent::apply_snapshot`].
    FetchSnapshot {
        /// The node.
        from: NodeAddress,
        /// The request.
        request: SnapshotRequest,
    },
}

/// Counters of an agent since the start of its process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AgentCounters {
    /// Packets received from balancers.
    pub packets_received: u64,
    /// Openings delivered to the target.
    pub openings_offered: u64,
    /// Openings returned to their balancer.
    pub openings_returned: u64,
    /// Openings that were queued at the agent.
    pub openings_queued: u64,
    /// Openings returned because the target may be cold and has reached its limit of
    /// requests.
    pub openings_returned_cold: u64,
    /// Openings returned because the target's zone is excluded.
    pub openings_returned_excluded: u64,
    /// Queued openings that were returned because they had reached the maximum age of an
    /// opening or could no longer be answered before their timeout.
    pub openings_expired: u64,
    /// Openings returned on arrival because they would have been answered too late.
    pub openings_returned_late: u64,
    /// Requests of open flows that were queued at the agent.
    pub requests_queued: u64,
    /// Retransmissions of queued packets, dropped.
    pub duplicate_packets_dropped: u64,
    /// Queued requests of open flows that were dropped because their timeout had passed,
    /// so that their callers have left.
    pub requests_given_up: u64,
    /// Queued requests of open flows that were delivered early because the target was
    /// silent, stuck or replaced, or the agent was stopping.
    pub requests_delivered_early: u64,
    /// Packets of open flows delivered to the target.
    pub packets_delivered: u64,
    /// Searches that were answered with a denial.
    pub searches_denied: u64,
    /// Packets that the target returned.
    pub packets_returned_by_target: u64,
    /// Packets of the target sent to callers.
    pub packets_sent_to_callers: u64,
    /// Requests that the target answered.
    pub requests_answered: u64,
    /// Requests that the target failed.
    pub requests_failed: u64,
    /// Messages dropped because agents do not handle their kind, and packets of open
    /// flows dropped because the request queue had no room. Packets counted by
    /// `duplicate_packets_dropped` and requests counted by `requests_given_up` are not
    /// included.
    pub messages_and_packets_dropped: u64,
    /// Heartbeats accepted.
    pub heartbeats: u64,
    /// Heartbeats accepted that were not newer than the last one of their incarnation.
    pub heartbeats_outdated: u64,
    /// Heartbeats rejected because a later incarnation has replaced theirs.
    pub heartbeats_replaced: u64,
    /// Heartbeats rejected because their incarnation may be older than the known one.
    pub heartbeats_unproven: u64,
    /// Deregistrations that were ignored because they may concern a former incarnation.
    pub deregistrations_ignored: u64,
    /// Leavings acknowledged for the first time.
    pub leavings_acknowledged: u64,
    /// Starts of the target that became the present one, by evidence, in the order of
    /// [`SuccessionEvidence::ALL`].
    pub successions: [u64; SuccessionEvidence::ALL.len()],
    /// Parts of flow lists sent to balancers.
    pub flow_list_parts_sent: u64,
}
