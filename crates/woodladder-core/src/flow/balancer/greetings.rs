//! Greetings to agents and to other balancers, and what theirs teach.

use std::time::Duration;

use super::super::identity::NodeAddress;
use super::super::message::{
    BalancerGreeting, MAXIMUM_NAMED_BALANCERS, PeerMessage, SnapshotRequest,
};
use super::super::note::Note;
use super::super::zone_members::Member;
use super::{Balancer, BalancerAction};
use crate::clock::Instant;

/// Reports of one agent to all balancers, or of all agents to one balancer,
/// are at least this far apart, which bounds both ends' control traffic.
const REPORT_SPACING: Duration = Duration::from_millis(12);
/// Least time between two reports of an agent to one balancer.
const MINIMUM_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two reports of an agent to one balancer.
const MAXIMUM_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Rounds of greetings in which each agent is greeted once.
const GREETING_ROUNDS: u64 = 4;
/// Time between greetings to other balancers.
const PEER_GREETING_INTERVAL: Duration = Duration::from_millis(250);
/// Balancers greeted at a time.
const GREETED_PEERS: usize = 6;
/// Balancers of the own zone greeted at a time.
const GREETED_MEMBERS: usize = 6;
/// Time after which a request for a snapshot counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

impl Balancer {
    pub(super) fn greeted(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerGreeting,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if from == self.options.address {
            return;
        }
        if greeting.leaving {
            self.member_greeted(from, greeting, now);
            self.peers.remove(from);
            return;
        }
        let is_new = self.peers.heard(from, greeting.version, now);
        self.member_greeted(from, greeting, now);
        if is_new {
            self.notes.add(Note::BalancerFound { balancer: from });
            self.greet(from, now, actions);
            self.fetch_from(from, now, actions);
        }
        if greeting.version == 0 && self.routes.version() > 0 {
            // It has just started and can do with what this one knows.
            self.greet(from, now, actions);
        }
        if !greeting.hears_agents {
            self.peer_without_agents = Some(now);
        }
        for balancer in &greeting.balancers {
            self.name_peer(*balancer, now, actions);
        }
        self.learn_version(from, greeting.version, now, actions);
    }

    pub(super) fn member_greeted(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerGreeting,
        now: Instant,
    ) {
        let member = Member {
            capacity: greeting.capacity,
            is_able: greeting.is_able && !greeting.leaving,
        };
        if greeting.zone == self.options.zone {
            self.zone_members.heard(from, member, now);
        }
        self.peers.stated(from, member);
    }

    pub(super) fn name_peer(
        &mut self,
        balancer: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if balancer != self.options.address && self.peers.named(balancer, now) {
            self.greet(balancer, now, actions);
        }
    }

    pub(super) fn greet(&self, to: NodeAddress, now: Instant, actions: &mut Vec<BalancerAction>) {
        let message = PeerMessage::Greeting(self.greeting(now));
        actions.push(BalancerAction::Send { to, message });
    }

    pub(super) fn greeting(&self, now: Instant) -> BalancerGreeting {
        BalancerGreeting {
            version: self.routes.version(),
            report_interval_ms: u32::try_from(self.report_interval().as_millis())
                .unwrap_or(u32::MAX),
            leaving: self.leaving,
            hears_agents: self.hears_agents(now),
            zone: self.options.zone,
            capacity: self.options.capacity,
            is_able: self.able(now).is_ok(),
            balancers: self.peers.some_from(
                self.round() * MAXIMUM_NAMED_BALANCERS,
                MAXIMUM_NAMED_BALANCERS,
            ),
        }
    }

    pub(super) fn round(&self) -> usize {
        usize::try_from(self.greeting_round).unwrap_or(0)
    }

    pub(super) fn report_interval(&self) -> Duration {
        let agents = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        REPORT_SPACING
            .saturating_mul(agents)
            .clamp(MINIMUM_REPORT_INTERVAL, MAXIMUM_REPORT_INTERVAL)
    }

    pub(super) fn learn_version(
        &mut self,
        from: NodeAddress,
        version: u64,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if version > self.routes.version() {
            self.fetch_from(from, now, actions);
        }
    }

    pub(super) fn fetch_from(
        &mut self,
        from: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let pending = self
            .fetch
            .is_some_and(|(_, since)| now.since(since) < FETCH_TIMEOUT);
        if pending {
            return;
        }
        self.fetch = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
        };
        actions.push(BalancerAction::FetchSnapshot { from, request });
    }

    pub(super) fn greet_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if now.since(self.greeted_agents_at) < self.report_interval() {
            return;
        }
        self.greeted_agents_at = now;
        self.greeting_round += 1;
        let round = self.greeting_round % GREETING_ROUNDS;
        let due: Vec<NodeAddress> = self
            .directory
            .agents()
            .map(|record| record.address)
            .filter(|address| greeting_group(*address) == round)
            .collect();
        for agent in due {
            self.greet(agent, now, actions);
        }
    }

    pub(super) fn greet_peers(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if now.since(self.greeted_peers_at) < PEER_GREETING_INTERVAL {
            return;
        }
        self.greeted_peers_at = now;
        let mut due = self
            .zone_members
            .some_from(self.round() * GREETED_MEMBERS, GREETED_MEMBERS);
        let others = self
            .peers
            .some_from(self.round() * GREETED_PEERS, GREETED_PEERS);
        due.extend(
            others
                .into_iter()
                .filter(|peer| !due.contains(peer))
                .collect::<Vec<_>>(),
        );
        for peer in due {
            self.greet(peer, now, actions);
        }
    }
}

/// The round in which an agent is greeted.
fn greeting_group(agent: NodeAddress) -> u64 {
    let number = u64::from(agent.ip().octets()[3]) + u64::from(agent.port());
    number % GREETING_ROUNDS
}
