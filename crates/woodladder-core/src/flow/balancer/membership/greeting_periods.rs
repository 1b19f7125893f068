//! How often a balancer greets each kind of receiver.
//!
//! Every kind has a bounded rate, so the time between two greetings to one
//! receiver follows from how many receivers there are; each greeting states it
//! ([`crate::flow::message_timing`]). At 304 balancers and 682 agents a balancer of an eighth
//! of a core sends some 80 greetings a second; when each agent was greeted every
//! ten seconds and each zone member every half second it sent some 220.

use std::time::Duration;

use crate::flow::balancer::Balancer;
use crate::flow::identity::{NodeAddress, address_hash};
use crate::flow::message_timing::round_time;

/// Reports of all agents to a small balancer are at least this far apart, which
/// bounds what they cost it: about a hundredth of an eighth of a core.
const REPORT_SPACING: Duration = Duration::from_millis(12);
/// The same for a balancer of at least [`LARGE`].
const LARGE_REPORT_SPACING: Duration = Duration::from_millis(6);
/// The same for a balancer that hands its packets to others: it needs to know
/// that there are agents, and who they are when it has to decide itself.
const RELAYING_REPORT_SPACING: Duration = Duration::from_millis(24);
/// Processor from which a balancer can afford more reports, in thousandths of a
/// core.
const LARGE: u32 = 250;
/// Least time between two reports of an agent to one balancer.
const MINIMUM_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Reports that an agent sends between two greetings to it.
const REPORTS_A_GREETING: u32 = 4;
/// Time between greetings to other balancers.
pub(crate) const PEER_GREETING_INTERVAL: Duration = Duration::from_millis(250);
/// Balancers of any zone greeted at a time.
pub(crate) const GREETED_PEERS: usize = 6;
/// Least number of balancers of the own zone greeted at a time.
const LEAST_GREETED_MEMBERS: usize = 6;
/// Most balancers of the own zone greeted at a time: 40 a second, where half of a
/// zone of 63 would be 126.
const MOST_GREETED_MEMBERS: usize = 10;
/// Rounds in which each balancer of a zone of up to twice
/// [`MOST_GREETED_MEMBERS`] is greeted.
const MEMBER_ROUNDS: usize = 2;
/// Least time between the greetings of a balancer to those that hand it their
/// packets: they must notice its end soon.
const LEAST_RELAYING_INTERVAL: Duration = Duration::from_millis(150);
/// Least time between two greetings to any of them, which bounds what they cost a
/// balancer of half a core to about a hundredth of it.
const RELAYING_GREETING_SPACING: Duration = Duration::from_micros(2500);

impl Balancer {
    /// Time between two reports of an agent that this balancer asks for. Agents that
    /// it was only named count too: at a start it would else ask each for many
    /// reports until it knows all of them, half a million in a fleet of 986.
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
        } else if self.options.cpu_millicores >= LARGE {
            LARGE_REPORT_SPACING
        } else {
            REPORT_SPACING
        }
    }

    /// Time in which each agent is greeted once.
    pub(crate) fn agent_greeting_period(&self) -> Duration {
        self.report_interval().saturating_mul(REPORTS_A_GREETING)
    }

    /// Time until an agent is greeted again: a part of the period stated to it that
    /// differs by agent, so that agents greeted together at a start are not ever after.
    pub(crate) fn next_greeting_after(&self, agent: NodeAddress) -> Duration {
        let part = u32::try_from(address_hash(agent) % 1000).unwrap_or(0);
        let period = self.agent_greeting_period();
        period / 2 + period * part / 2000
    }

    /// Balancers of the own zone greeted at a time.
    pub(crate) fn greeted_members(&self) -> usize {
        self.zone_members
            .len()
            .div_ceil(MEMBER_ROUNDS)
            .clamp(LEAST_GREETED_MEMBERS, MOST_GREETED_MEMBERS)
    }

    /// Time between two greetings to each balancer that hands its packets to this
    /// one.
    pub(crate) fn relaying_greeting_period(&self) -> Duration {
        let relaying = u32::try_from(self.relaying_members.len()).unwrap_or(u32::MAX);
        LEAST_RELAYING_INTERVAL.max(RELAYING_GREETING_SPACING.saturating_mul(relaying))
    }

    /// Time until a node is greeted again, whatever else it is told.
    pub(crate) fn greeting_period(&self, to: NodeAddress) -> Duration {
        if !self.peers.knows(to) {
            return self.agent_greeting_period();
        }
        match self.zone_members.capacity_of(to) {
            Some(capacity) if self.is_much_larger_than(capacity) => self.relaying_greeting_period(),
            Some(_) => round_time(
                self.zone_members.len(),
                self.greeted_members(),
                PEER_GREETING_INTERVAL,
            ),
            None => round_time(self.peers.len(), GREETED_PEERS, PEER_GREETING_INTERVAL),
        }
    }
}
