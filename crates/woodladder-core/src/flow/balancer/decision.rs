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
    pub cpu_millicores: u32,
    /// Rate of its machine's link in each direction, in kilobits a second; `None`
    /// when it is not known.
    pub link_rate_kbps: Option<u32>,
    /// Most flows in the table.
    pub flow_capacity: usize,
    /// Least time that a flow at rest stays in the table.
    pub flow_retention: Duration,
}

impl BalancerOptions {
    /// Processor that it can use for forwarding, in thousandths of a core.
    #[must_use]
    pub fn usable_cpu_millicores(&self) -> u32 {
        usable_capacity(self.cpu_millicores, self.link_rate_kbps)
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
    /// Ask a node for a snapshot and pass it to [`Balancer::handle_snapshot`].
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
    pub caller_packets: u64,
    /// Openings sent to a target for the first time.
    pub flows_opened: u64,
    /// Openings sent to a further target.
    pub flows_reopened: u64,
    /// Packets of flows that were in the table.
    pub established_packets: u64,
    /// Packets of flows that were searched for.
    pub searched_packets: u64,
    /// Packets that agents gave back.
    pub returned_packets: u64,
    /// Resets without a route.
    pub reset_no_route: u64,
    /// Resets without a target.
    pub reset_no_target: u64,
    /// Resets because the target has ended.
    pub reset_target_ended: u64,
    /// Resets because no target holds the flow.
    pub reset_held_nowhere: u64,
    /// Resets because the target that held the flow, as was recorded, does not.
    pub reset_holder_denied: u64,
    /// Packets handed to larger balancers.
    pub relayed_packets: u64,
    /// Packets that smaller balancers have handed on.
    pub relayed_packets_received: u64,
    /// Agents asked whether they live.
    pub agent_probes: u64,
    /// Packets of searches handed to agents that could not tell without one.
    pub search_packets: u64,
    /// Openings that had to wait because the link was shared by enough flows.
    pub openings_deferred_for_link: u64,
    /// Openings refused because their turn on the link came too late.
    pub openings_refused_for_link: u64,
    /// Packets dropped.
    pub dropped_packets: u64,
    /// Searches that began with agents that tell the flow.
    pub searches_by_list: u64,
    /// Flows found at an agent that had told them.
    pub flows_located_by_list: u64,
    /// Flows found by questions to all agents.
    pub flows_located_by_query: u64,
    /// Questions about unknown flows sent to agents.
    pub search_queries: u64,
    /// Questions about one flow that were put off to spare the processor.
    pub search_queries_deferred: u64,
    /// Lists of flows asked for.
    pub flow_lists_requested: u64,
}
