//! What an agent decides, for the shell to carry out.

use super::super::identity::{FlowKey, NodeAddress};
use super::super::message::{PeerMessage, SnapshotRequest};

/// What happens to a packet that a balancer sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Delivery {
    /// It goes to the target, marked so that the target's return of it names
    /// the balancer.
    Deliver {
        /// What the balancer is told.
        tell: Option<PeerMessage>,
        /// Whether a request begins with it.
        begins_request: bool,
    },
    /// It waits in the agent's queue; the balancer is told.
    Queued(PeerMessage),
    /// It does not; the balancer is told.
    Answer(PeerMessage, AnswerBody),
    /// It does not, or waits in the agent's queue; nobody is told.
    Drop,
}

impl Delivery {
    pub(super) fn plain() -> Self {
        Self::Deliver {
            tell: None,
            begins_request: false,
        }
    }
}

/// What follows an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerBody {
    /// The packet.
    Packet,
    /// Nothing.
    Nothing,
}

/// What happens to a packet of the target.
#[derive(Clone, Debug, PartialEq)]
pub enum Departure {
    /// It goes to the caller, and a balancer may be told something.
    ToCaller(Option<(NodeAddress, PeerMessage)>),
    /// The target gave it back; a balancer is told.
    Returned {
        /// The balancer, as the packet names it.
        to: NodeAddress,
        /// What it is told.
        message: PeerMessage,
        /// What follows.
        body: AnswerBody,
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
    /// Ask a node for a snapshot and pass it to [`Agent::snapshot`].
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
    pub packets: u64,
    /// Openings handed to the target.
    pub offered: u64,
    /// Openings given back to their balancer.
    pub declined: u64,
    /// Openings that have waited in the agent's queue.
    pub queued: u64,
    /// Openings given back because the target may be cold and has had its share.
    pub held_cold: u64,
    /// Openings given back because the target's zone is excluded.
    pub held_excluded: u64,
    /// Openings that have waited there for too long.
    pub expired: u64,
    /// Openings given back because they would have been answered too late.
    pub refused_hopeless: u64,
    /// Requests of open flows that have waited.
    pub requests_held: u64,
    /// Repetitions of packets that waited, dropped.
    pub held_copies: u64,
    /// Requests of open flows dropped because their callers have left.
    pub held_hopeless: u64,
    /// Requests of open flows handed to a target that was not heard, stuck or replaced.
    pub held_released: u64,
    /// Packets of open flows handed to the target.
    pub delivered: u64,
    /// Searches that were denied.
    pub denied: u64,
    /// Packets that the target gave back.
    pub returned_by_target: u64,
    /// Packets of the target sent to callers.
    pub to_callers: u64,
    /// Requests that the target answered.
    pub answered: u64,
    /// Requests that the target failed.
    pub failed: u64,
    /// Packets dropped.
    pub dropped: u64,
    /// Heartbeats taken.
    pub heartbeats: u64,
    /// Heartbeats of starts that a later one has replaced.
    pub heartbeats_replaced: u64,
    /// Heartbeats of starts that may be older than the known one.
    pub heartbeats_unproven: u64,
    /// Deregistrations that may be of a former start.
    pub deregistrations_ignored: u64,
    /// Parts of lists of flows sent to balancers.
    pub list_parts: u64,
}
