//! Greetings to agents and to other balancers, and what theirs teach.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::identity::NodeAddress;
use super::super::message::{
    BalancerGreeting, MAXIMUM_NAMED_BALANCERS, PeerMessage, SnapshotRequest,
};
use super::super::note::Note;
use super::super::zone_members::{Member, RELAYING_GREETING_INTERVAL};
use super::{Balancer, BalancerAction};
use crate::clock::Instant;

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
/// Longest time between two reports of an agent to one balancer.
const MAXIMUM_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Rounds of greetings in which each agent is greeted once.
const GREETING_ROUNDS: u64 = 4;
/// Longest time between two such rounds.
const LONGEST_GREETING_ROUND: Duration = Duration::from_millis(2500);
/// Time between greetings to other balancers.
const PEER_GREETING_INTERVAL: Duration = Duration::from_millis(250);
/// Balancers greeted at a time.
const GREETED_PEERS: usize = 6;
/// Least number of balancers of the own zone greeted at a time.
const GREETED_MEMBERS: usize = 6;
/// Rounds in which each balancer of the own zone is greeted: two of them fit into
/// the silence after which it counts as gone.
const MEMBER_ROUNDS: usize = 2;
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
        self.adopt_zones(&greeting.excluded_zones, Some(from));
        self.confirmation_heard(greeting, now);
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
            confirmed_ago_ms: self
                .confirmed_ago(now)
                .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
            excluded_zones: self.excluded_zones.clone(),
            leaving: self.leaving,
            hears_agents: self.hears_agents(now),
            zone: self.options.zone,
            capacity: self.options.capacity,
            is_able: self.able(now).is_ok(),
            balancers: self.peers.some_from(
                self.peer_round() * MAXIMUM_NAMED_BALANCERS,
                MAXIMUM_NAMED_BALANCERS,
            ),
        }
    }

    /// The number of the present round of greetings to other balancers.
    fn peer_round(&self) -> usize {
        usize::try_from(self.peer_round).unwrap_or(0)
    }

    pub(super) fn report_interval(&self) -> Duration {
        let agents = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        let spacing = if !self.relay_receivers.is_empty() {
            RELAYING_REPORT_SPACING
        } else if self.options.capacity >= LARGE {
            LARGE_REPORT_SPACING
        } else {
            REPORT_SPACING
        };
        spacing
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

    /// Asks a node for a snapshot unless another is awaited; says whether it
    /// does.
    pub(super) fn fetch_from(
        &mut self,
        from: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) -> bool {
        let pending = self
            .fetch
            .is_some_and(|(_, since)| now.since(since) < FETCH_TIMEOUT);
        if pending {
            return false;
        }
        self.fetch = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
        };
        actions.push(BalancerAction::FetchSnapshot { from, request });
        true
    }

    pub(super) fn greet_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let pause = self.report_interval().min(LONGEST_GREETING_ROUND);
        if std::mem::take(&mut self.tells_zones) {
            self.greet_everyone(now, actions);
        }
        if now.since(self.greeted_agents_at) < pause {
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

    /// Those that hand their packets to this balancer must notice its end soon.
    fn greet_relaying_members(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if now.since(self.greeted_relaying_at) < RELAYING_GREETING_INTERVAL {
            return;
        }
        self.greeted_relaying_at = now;
        for member in self.relaying_members() {
            self.greet(member, now, actions);
        }
    }

    fn greet_everyone(&self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let agents = self.directory.agents().map(|record| record.address);
        for node in agents.chain(self.peers.addresses()) {
            self.greet(node, now, actions);
        }
    }

    pub(super) fn greet_peers(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.greet_relaying_members(now, actions);
        if now.since(self.greeted_peers_at) < PEER_GREETING_INTERVAL {
            return;
        }
        self.greeted_peers_at = now;
        self.peer_round += 1;
        let round = self.peer_round();
        let members = GREETED_MEMBERS.max(self.zone_members.len().div_ceil(MEMBER_ROUNDS));
        let mut due: BTreeSet<NodeAddress> = self
            .zone_members
            .some_from(round * members, members)
            .into_iter()
            .collect();
        due.extend(self.peers.some_from(round * GREETED_PEERS, GREETED_PEERS));
        if std::mem::take(&mut self.tells_all) {
            due.extend(self.peers.behind(self.routes.version()));
        }
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
