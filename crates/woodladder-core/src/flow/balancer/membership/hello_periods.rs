//! How often a balancer sends a hello to each kind of receiver.
//!
//! The total rate of hellos to each kind of receiver is limited, so the time between
//! two hellos to one receiver follows from the number of receivers. Each hello states
//! when the next one will follow ([`crate::flow::message_timing`]). With 304 balancers
//! and 682 agents, a balancer with an eighth of a core sends some 80 hellos a second.
//! With a hello to each agent every ten seconds and to each zone member every half
//! second, it would send some 220 hellos a second.

use std::time::Duration;

use crate::flow::balancer::Balancer;
use crate::flow::identity::{NodeAddress, address_hash};
use crate::flow::message_timing::round_time;

/// Minimum time between reports, over all agents, to a balancer with less than
/// [`LARGE_BALANCER_MILLICORES`] of CPU. This time limits the cost of reports to about
/// 1.25 thousandths of a core, which is 15 microseconds of CPU time a report: a
/// hundredth of the CPU of a balancer with an eighth of a core.
const REPORT_SPACING: Duration = Duration::from_millis(12);
/// Minimum time between reports, over all agents, to a balancer with at least
/// [`LARGE_BALANCER_MILLICORES`] of CPU.
const LARGE_REPORT_SPACING: Duration = Duration::from_millis(6);
/// Minimum time between reports, over all agents, to a balancer that relays its packets
/// to others. Such a balancer needs only a list of the agents, in case it has to route
/// packets itself.
const RELAYING_REPORT_SPACING: Duration = Duration::from_millis(24);
/// CPU from which on a balancer can afford more frequent reports, in thousandths of a
/// core.
const LARGE_BALANCER_MILLICORES: u32 = 250;
/// Minimum time between two reports of one agent to one balancer.
const MINIMUM_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of reports that an agent sends between two hellos to it.
const REPORTS_PER_HELLO: u32 = 4;
/// Time between two rounds of hellos to other balancers.
pub(crate) const PEER_HELLO_INTERVAL: Duration = Duration::from_millis(250);
/// Number of balancers of any zone that are sent a hello in a round.
pub(crate) const PEERS_PER_ROUND: usize = 6;
/// Minimum number of balancers of the own zone that are sent a hello in a round.
const MINIMUM_MEMBERS_PER_ROUND: usize = 6;
/// Maximum number of balancers of the own zone that are sent a hello in a round, which
/// makes 40 hellos a second. Sending one to half of a zone of 63 balancers in each
/// round would make 126 hellos a second.
const MAXIMUM_MEMBERS_PER_ROUND: usize = 10;
/// Number of rounds after which each balancer of the own zone has been sent a hello, in
/// a zone of up to twice [`MAXIMUM_MEMBERS_PER_ROUND`].
const MEMBER_ROUNDS: usize = 2;
/// Minimum time between two hellos to a balancer that relays its packets to this one.
/// The relaying balancer must notice the end of this one quickly.
const MINIMUM_RELAYING_HELLO_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time between hellos, over all balancers that relay their packets to this
/// one. This time limits the cost of these hellos to about 5 thousandths of a core, which
/// is 12.5 microseconds of CPU time a hello: a hundredth of the CPU of a balancer with
/// half a core.
const RELAYING_HELLO_SPACING: Duration = Duration::from_micros(2500);

impl Balancer {
    /// Interval of reports that this balancer requests from each agent. Agents that
    /// were only named by other nodes count too. Otherwise a starting balancer would
    /// request frequent reports from each agent until all agents have reported, which
    /// would cause half a million reports in a fleet of 986 nodes.
    pub(crate) fn report_interval(&self) -> Duration {
        let agents = self.directory.len() + self.named_agents.len();
        let agents = u32::try_from(agents).unwrap_or(u32::MAX);
        self.report_spacing()
            .saturating_mul(agents)
            .max(MINIMUM_REPORT_INTERVAL)
    }

    fn report_spacing(&self) -> Duration {
        if !self.relay_receivers.is_empty() {
            RELAYING_REPORT_SPACING
        } else if self.options.cpu_millicores >= LARGE_BALANCER_MILLICORES {
            LARGE_REPORT_SPACING
        } else {
            REPORT_SPACING
        }
    }

    /// Hello interval of agents: the time in which each agent is sent one hello.
    pub(crate) fn agent_hello_period(&self) -> Duration {
        self.report_interval().saturating_mul(REPORTS_PER_HELLO)
    }

    /// Time until an agent is sent the next hello: between half and the whole of the
    /// hello interval stated to the agent, by a hash of its address. Agents that are sent
    /// a hello at the same time after a start are therefore sent later ones at different
    /// times.
    pub(crate) fn next_hello_delay(&self, agent: NodeAddress) -> Duration {
        let part = u32::try_from(address_hash(agent) % 1000).unwrap_or(0);
        let period = self.agent_hello_period();
        period / 2 + period * part / 2000
    }

    /// Number of balancers of the own zone that are sent a hello in a round.
    pub(crate) fn members_per_round(&self) -> usize {
        self.zone_members
            .len()
            .div_ceil(MEMBER_ROUNDS)
            .clamp(MINIMUM_MEMBERS_PER_ROUND, MAXIMUM_MEMBERS_PER_ROUND)
    }

    /// Hello interval of each balancer that relays its packets to this one.
    pub(crate) fn relaying_hello_period(&self) -> Duration {
        let relaying = u32::try_from(self.relaying_members.len()).unwrap_or(u32::MAX);
        MINIMUM_RELAYING_HELLO_INTERVAL.max(RELAYING_HELLO_SPACING.saturating_mul(relaying))
    }

    /// Hello interval of a node: the time within which the node is sent the next hello
    /// that does not depend on other events. Hellos sent because of a change do not count.
    pub(crate) fn hello_period(&self, to: NodeAddress) -> Duration {
        if !self.peers.knows(to) {
            return self.agent_hello_period();
        }
        match self.zone_members.capacity_of(to) {
            Some(capacity) if self.is_much_larger_than(capacity) => self.relaying_hello_period(),
            Some(_) => round_time(
                self.zone_members.len(),
                self.members_per_round(),
                PEER_HELLO_INTERVAL,
            ),
            None => round_time(self.peers.len(), PEERS_PER_ROUND, PEER_HELLO_INTERVAL),
        }
    }
}
