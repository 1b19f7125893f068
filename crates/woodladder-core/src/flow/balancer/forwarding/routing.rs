//! What happens to a packet of a caller.

use crate::flow::identity::NodeAddress;
use crate::flow::message::ForwardHeader;
use crate::flow::packet::CallerReset;

/// Where a packet goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Routing {
    /// To one agent.
    One {
        /// The agent.
        to: NodeAddress,
        /// What goes before the packet.
        header: ForwardHeader,
    },
    /// To several agents, with a header for each.
    Several(Vec<(NodeAddress, ForwardHeader)>),
    /// To a larger balancer, which decides.
    Relay(NodeAddress),
    /// Nowhere; the caller is told.
    Reset(CallerReset),
    /// Nowhere.
    Drop(DropReason),
}

/// Why a packet is dropped without an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The packet is not one that a caller sends.
    Forged,
    /// No configuration is known yet.
    NoConfiguration,
    /// No target takes flows now; a later copy of the packet may find one.
    NoTargetYet,
    /// It cannot be known yet who holds the flow.
    HolderUnknown,
    /// More flows are searched for than is allowed at a time.
    TooManySearches,
    /// The link is shared by enough flows; the opening waits for one of them to end.
    LinkShared,
    /// The flow is reset or has ended already.
    Ended,
}
