//! The decision about a packet of a caller.

use crate::flow::identity::NodeAddress;
use crate::flow::message::ForwardHeader;
use crate::flow::packet::CallerReset;

/// Where a packet goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Routing {
    /// To one agent.
    One {
        /// Agent that receives the packet.
        to: NodeAddress,
        /// Header that precedes the packet.
        header: ForwardHeader,
    },
    /// To several agents, with a header for each.
    Several(Vec<(NodeAddress, ForwardHeader)>),
    /// To a larger balancer, which decides.
    Relay(NodeAddress),
    /// To no node; the caller is sent a reset.
    Reset(CallerReset),
    /// To no node; the caller gets no answer.
    Drop(DropReason),
}

/// Why a packet is dropped without an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The packet is not one that a caller sends.
    Forged,
    /// No configuration is known yet.
    NoConfiguration,
    /// No target takes flows now; a later copy of the opening may find one.
    NoTargetYet,
    /// The holder of the flow is not known yet.
    HolderUnknown,
    /// The limit of new searches between two full rounds of queries is reached.
    TooManySearches,
    /// Enough flows share the link. The opening waits in the link's queue, or is a late
    /// copy of an opening whose flow is open or being opened.
    LinkShared,
    /// The flow has ended or been reset already.
    Ended,
}
