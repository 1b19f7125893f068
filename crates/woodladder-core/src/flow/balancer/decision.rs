//! What a balancer is set up with, what it decides for the shell to carry out,
//! and its running totals.

use std::time::Duration;

use super::super::activation::usable_capacity;
use super::super::identity::{NodeAddress, ZoneKey};
use super::super::message::{ForwardHeader, PeerMessage, SnapshotRequest};
use super::super::packet::CallerReset;

/// Settings of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerOptions {
    /// Its address for other nodes.
    pub address: NodeAddress,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Processor that it may use, in thousandths of a core.
    pub capacity: u32,
    /// Rate of its machine's link in each direction, in kilobits a second; `None`
    /// when it is not known.
    pub link_rate: Option<u32>,
    /// Most flows in the table.
    pub flow_capacity: usize,
    /// Least time that a flow at rest stays in the table.
    pub flow_retention: Duration,
}

impl BalancerOptions {
    /// Processor that it can use for forwarding, in thousandths of a core.
    #[must_use]
    pub fn usable_capacity(&self) -> u32 {
        usable_capacity(self.capacity, self.link_rate)
    }
}

/// What the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Send a message.
    Send {
        /// Receiver.
        to: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Send a packet to an agent.
    Forward {
        /// The agent.
        to: NodeAddress,
        /// What goes before the packet.
        header: ForwardHeader,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Hand a caller's packet to a larger balancer.
    Relay {
        /// The balancer.
        to: NodeAddress,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Reset a flow towards its caller.
    Reset(CallerReset),
    /// Ask a node for a snapshot and pass it to [`Balancer::snapshot`].
    FetchSnapshot {
        /// The node.
        from: NodeAddress,
        /// The request.
        request: SnapshotRequest,
    },
}

/// Running totals.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BalancerCounters {
    /// Packets from callers.
    pub packets: u64,
    /// Openings sent to a target for the first time.
    pub opened: u64,
    /// Openings sent to a further target.
    pub reopened: u64,
    /// Packets of flows that were in the table.
    pub established: u64,
    /// Packets of flows that were searched for.
    pub searched: u64,
    /// Packets that agents gave back.
    pub returned: u64,
    /// Resets without a route.
    pub reset_no_route: u64,
    /// Resets without a target.
    pub reset_no_target: u64,
    /// Resets because the target has ended.
    pub reset_target_ended: u64,
    /// Resets because no target holds the flow.
    pub reset_held_nowhere: u64,
    /// Packets handed to larger balancers.
    pub relayed: u64,
    /// Packets that smaller balancers have handed on.
    pub taken_over: u64,
    /// Agents asked whether they live.
    pub probes: u64,
    /// Packets of searches handed to agents that could not tell without one.
    pub search_packets: u64,
    /// Openings that had to wait because the link was shared by enough flows.
    pub put_off_for_link: u64,
    /// Openings refused because their turn on the link came too late.
    pub refused_for_link: u64,
    /// Packets dropped.
    pub dropped: u64,
}
