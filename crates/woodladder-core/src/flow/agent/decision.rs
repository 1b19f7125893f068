//! What an agent decides, for the shell to carry out.

use super::super::identity::{FlowKey, NodeAddress};
use super::super::message::{PeerMessage, SnapshotRequest};

/// What happens to a packet that a balancer sent.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardDecision {
    /// It goes to the target, marked so that the target's return of it names
    /// the balancer.
    Deliver {
        /// What the balancer is told.
        reply: Option<PeerMessage>,
        /// Whether a request begins with it.
        begins_request: bool,
    },
    /// It waits in the agent's queue; the balancer is told.
    Queued(PeerMessage),
    /// It does not; the balancer is told.
    Reply(PeerMessage, ReplyBody),
    /// It does not, or waits in the agent's queue; nobody is told.
    Drop,
}

impl ForwardDecision {
    pub(super) fn plain() -> Self {
        Self::Deliver {
            reply: None,
            begins_request: false,
        }
    }
}

/// What follows an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyBody {
    /// The packet.
    Packet,
    /// Nothing.
    Empty,
}

/// What happens to a packet of the target.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetPacketDecision {
    /// It goes to the caller, and a balancer may be told something.
    ToCaller(Option<(NodeAddress, PeerMessage)>),
    /// The target gave it back; a balancer is told.
    Returned {
        /// The balancer, as the packet names it.
        to: NodeAddress,
        /// What it is told.
        message: PeerMessage,
        /// What follows.
        body: ReplyBody,
    },
}

/// What the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message.
    Send {
        /// Receiver.
        to: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Hand a packet that has waited to the target, marked so that the target's return
    /// of it names the balancer.
    Deliver {
        /// The balancer that sent it.
        balancer: NodeAddress,
        /// The packet.
        packet: Vec<u8>,
        /// The flow whose request begins with it, if one does.
        begins_request: Option<FlowKey>,
    },
    /// Give an opening back.
    Return {
        /// The balancer that sent it.
        to: NodeAddress,
        /// Why.
        message: PeerMessage,
        /// The opening.
        packet: Vec<u8>,
    },
    /// Ask a node for a snapshot and pass it to [`Agent::apply_snapshot`].
    FetchSnapshot {
        /// The node.
        from: NodeAddress,
        /// The request.
        request: SnapshotRequest,
    },
}

/// Running totals.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AgentCounters {
    /// Packets from balancers.
    pub packets_received: u64,
    /// Openings handed to the target.
    pub openings_offered: u64,
    /// Openings given back to their balancer.
    pub openings_declined: u64,
    /// Openings that have waited in the agent's queue.
    pub openings_queued: u64,
    /// Openings given back because the target may be cold and has had its share.
    pub openings_declined_cold: u64,
    /// Openings given back because the target's zone is excluded.
    pub openings_declined_excluded: u64,
    /// Openings that have waited there for too long.
    pub openings_expired: u64,
    /// Openings given back because they would have been answered too late.
    pub openings_declined_late: u64,
    /// Requests of open flows that have waited.
    pub requests_queued: u64,
    /// Repetitions of packets that waited, dropped.
    pub duplicate_packets_dropped: u64,
    /// Requests of open flows dropped because their callers have left.
    pub requests_given_up: u64,
    /// Requests of open flows handed to a target that was not heard, stuck or replaced.
    pub requests_released_early: u64,
    /// Packets of open flows handed to the target.
    pub packets_delivered: u64,
    /// Searches that were denied.
    pub searches_denied: u64,
    /// Packets that the target gave back.
    pub packets_returned_by_target: u64,
    /// Packets of the target sent to callers.
    pub packets_sent_to_callers: u64,
    /// Requests that the target answered.
    pub requests_answered: u64,
    /// Requests that the target failed.
    pub requests_failed: u64,
    /// Packets dropped.
    pub packets_dropped: u64,
    /// Heartbeats taken.
    pub heartbeats: u64,
    /// Heartbeats of starts that a later one has replaced.
    pub heartbeats_replaced: u64,
    /// Heartbeats of starts that may be older than the known one.
    pub heartbeats_unproven: u64,
    /// Deregistrations that may be of a former start.
    pub deregistrations_ignored: u64,
    /// Parts of lists of flows sent to balancers.
    pub flow_list_parts_sent: u64,
}
