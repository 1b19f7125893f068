//! Options of a balancer, the actions that its shell carries out, and its counters.

use std::time::Duration;

use super::super::absence::AbsenceEvidence;
use super::super::activation::usable_capacity;
use super::super::identity::{NodeAddress, ZoneKey};
use super::super::message::{ForwardHeader, PeerMessage, SnapshotRequest};
use super::super::packet::CallerReset;

/// Settings of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerOptions {
    /// Address at which other nodes reach the balancer.
    pub address: NodeAddress,
    /// Zone of the balancer's machine.
    pub zone: ZoneKey,
    /// CPU that the balancer may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Rate of the machine's network link in each direction, in kilobits a second;
    /// `None` when it is not known.
    pub link_rate_kbps: Option<u32>,
    /// Maximum number of flows in the table.
    pub flow_capacity: usize,
    /// Minimum time that an idle flow stays in the table, also under a configuration with a
    /// shorter idle timeout.
    pub flow_retention: Duration,
    /// Longest life of a flow.
    pub flow_lifetime: Duration,
    /// Time within which a change of the configuration must be in force at this balancer.
    pub change_bound: Duration,
}

impl BalancerOptions {
    /// CPU that the balancer can use for forwarding, in thousandths of a core: at most
    /// the CPU that it takes to forward at the rate of the link.
    #[must_use]
    pub fn usable_cpu_millicores(&self) -> u32 {
        usable_capacity(self.cpu_millicores, self.link_rate_kbps)
    }
}

/// An action that the shell has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Send a message to another node.
    Send {
        /// Node that receives the message.
        to: NodeAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Forward a caller's packet to an agent.
    Forward {
        /// Agent that receives the packet.
        to: NodeAddress,
        /// Header that precedes the packet.
        header: ForwardHeader,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Relay a caller's packet to a larger balancer, which decides about it.
    Relay {
        /// Balancer that receives the packet.
        to: NodeAddress,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Send the caller a reset of its flow.
    Reset(CallerReset),
    /// Request a snapshot from a node and pass the answer to
    /// [`super::Balancer::handle_snapshot`].
    FetchSnapshot {
        /// Node to request it from.
        from: NodeAddress,
        /// The request.
        request: SnapshotRequest,
    },
}

/// Counters since the balancer's start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BalancerCounters {
    /// Packets received from callers.
    pub caller_packets: u64,
    /// Flows whose opening was sent to a first target.
    pub flows_opened: u64,
    /// Openings that were sent to another target after the first.
    pub flows_reopened: u64,
    /// Packets of open flows that the table listed with their target.
    pub established_packets: u64,
    /// Packets of flows whose target had to be searched for.
    pub searched_packets: u64,
    /// Packets that agents returned.
    pub returned_packets: u64,
    /// Resets because the address has no route.
    pub reset_no_route: u64,
    /// Resets because no target could take the flow.
    pub reset_no_target: u64,
    /// Resets because the target has ended.
    pub reset_target_ended: u64,
    /// Resets because every agent denied that its target holds the flow.
    pub reset_held_nowhere: u64,
    /// Resets because the agent that the flow record names as the holder denied the
    /// flow.
    pub reset_holder_denied: u64,
    /// Resets of flows that may have been open, by [`AbsenceEvidence::kind_index`].
    pub resets_by_evidence: [u64; AbsenceEvidence::KINDS.len()],
    /// Watches of the store that were given up without an answer.
    pub store_watches_abandoned: u64,
    /// Packets relayed to larger balancers.
    pub relayed_packets: u64,
    /// Packets relayed here by smaller balancers.
    pub relayed_packets_received: u64,
    /// Probes sent to agents to learn whether they are alive.
    pub agent_probes: u64,
    /// Packets sent to agents that need a packet to decide whether their target holds
    /// the flow.
    pub search_packets: u64,
    /// Openings that were deferred because enough flows already shared the link.
    pub openings_deferred_for_link: u64,
    /// Openings refused because the link stayed busy until it was too late for them.
    pub openings_refused_for_link: u64,
    /// Packets dropped without an answer, and messages that a balancer does not handle.
    pub dropped_packets: u64,
    /// Searches that could begin with agents that had announced the flow.
    pub searches_by_list: u64,
    /// Flows located at an agent that had announced them.
    pub flows_located_by_list: u64,
    /// Flows located by querying all agents.
    pub flows_located_by_query: u64,
    /// Queries about unknown flows sent to agents.
    pub search_queries: u64,
    /// Queries about a flow that were deferred to limit the load on CPU and link.
    pub search_queries_deferred: u64,
    /// Requests for an agent's list of flows.
    pub flow_lists_requested: u64,
}
