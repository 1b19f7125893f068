//! Messages of agents and balancers, and what is due with time.

use std::time::Duration;

use super::super::directory::DirectoryChange;
use super::super::identity::NodeAddress;
use super::super::message::{
    BalancerGreeting, MAXIMUM_NAMED_BALANCERS, PeerMessage, ReturnReason, SnapshotRequest,
};
use super::super::note::Note;
use super::super::packet::{FlowPacket, PacketKind};
use super::super::zone_members::Member;
use super::{Acceptance, Balancer, BalancerAction, STALL, Stage};
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
/// Time between ticks while something waits for one.
const SHORT_TICK: Duration = Duration::from_millis(25);
/// Time between ticks while nothing does.
const LONG_TICK: Duration = Duration::from_millis(50);
/// Time after which a request for a snapshot counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that an agent which others have named has to be heard.
const NAMED_FOR: Duration = Duration::from_secs(5);
/// Acceptances remembered for one opening.
const MAXIMUM_ACCEPTANCES: usize = 4;

impl Balancer {
    /// Takes a message in. `packet` is the packet behind it as the shell read
    /// it, with its bytes.
    pub fn message(
        &mut self,
        from: NodeAddress,
        message: PeerMessage,
        packet: Option<(&FlowPacket, &[u8])>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        match message {
            PeerMessage::Report(report) => {
                let mut changes = Vec::new();
                self.directory.report(from, &report, now, &mut changes);
                self.last_agent_heard = Some(now);
                self.apply(changes, now, actions);
                self.learn_version(from, report.version, now, actions);
            }
            PeerMessage::Returned {
                reason,
                load,
                version,
            } => {
                self.directory.loaded(from, load, now);
                self.learn_version(from, version, now, actions);
                if let Some((packet, bytes)) = packet {
                    self.returned(from, reason, packet, bytes, now, actions);
                }
            }
            PeerMessage::NotHeld { keys } => self.denied(from, &keys, now, actions),
            PeerMessage::MayBeHeld { keys } => self.undecided(from, &keys, now, actions),
            PeerMessage::Accepted {
                key,
                sequence,
                incarnation,
                load,
            } => {
                self.directory.loaded(from, load, now);
                let acceptance = Acceptance {
                    agent: from,
                    sequence,
                    incarnation,
                };
                self.accepted(key, acceptance);
            }
            PeerMessage::Queued { key, load } => {
                self.directory.loaded(from, load, now);
                self.opening_queued(from, &key);
            }
            PeerMessage::Located { key, incarnation } => {
                self.located(from, key, incarnation, now);
            }
            PeerMessage::Relay => {
                if let Some((packet, bytes)) = packet {
                    self.counters.taken_over += 1;
                    self.relayed(packet, bytes, now, actions);
                }
            }
            PeerMessage::Farewell => self.agent_ended(from, actions),
            PeerMessage::Greeting(greeting) => self.greeted(from, &greeting, now, actions),
            PeerMessage::Forward(_) | PeerMessage::Locate { .. } => self.counters.dropped += 1,
        }
    }

    fn agent_ended(&mut self, agent: NodeAddress, actions: &mut Vec<BalancerAction>) {
        self.named_agents.remove(&agent);
        if self.directory.remove(agent) {
            let flows = self.reset_flows_of(agent, None, actions);
            self.notes.add(Note::AgentStopped { agent, flows });
        }
    }

    fn returned(
        &mut self,
        from: NodeAddress,
        reason: ReturnReason,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.counters.returned += 1;
        self.notes.add(Note::PacketReturned {
            key: packet.key,
            agent: from,
            reason,
        });
        if packet.kind == PacketKind::Open {
            self.opening_returned(from, packet, bytes, reason, now, actions);
        } else {
            self.held_elsewhere(from, packet, bytes, now, actions);
        }
    }

    fn accepted(&mut self, key: super::FlowKey, acceptance: Acceptance) {
        let Some(entry) = self.flows.use_flow(&key) else {
            return;
        };
        match &mut entry.stage {
            Stage::Opening { accepted, .. } => {
                accepted.retain(|known| known.agent != acceptance.agent);
                if accepted.len() < MAXIMUM_ACCEPTANCES {
                    accepted.push(acceptance);
                }
            }
            Stage::Held {
                agent, incarnation, ..
            } if *agent == acceptance.agent => {
                *incarnation = acceptance.incarnation;
            }
            _ => {}
        }
    }

    fn greeted(
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

    fn member_greeted(&mut self, from: NodeAddress, greeting: &BalancerGreeting, now: Instant) {
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

    fn greeting(&self, now: Instant) -> BalancerGreeting {
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

    fn round(&self) -> usize {
        usize::try_from(self.greeting_round).unwrap_or(0)
    }

    pub(super) fn report_interval(&self) -> Duration {
        let agents = u32::try_from(self.directory.len()).unwrap_or(u32::MAX);
        REPORT_SPACING
            .saturating_mul(agents)
            .clamp(MINIMUM_REPORT_INTERVAL, MAXIMUM_REPORT_INTERVAL)
    }

    fn learn_version(
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

    fn fetch_from(&mut self, from: NodeAddress, now: Instant, actions: &mut Vec<BalancerAction>) {
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

    /// Longest time from one tick to the next as things stand. Events may
    /// shorten it.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        let is_waited_for =
            !self.waiting.is_empty() || !self.searching.is_empty() || !self.named_agents.is_empty();
        if is_waited_for { SHORT_TICK } else { LONG_TICK }
    }

    /// Does what is due; to be called again after [`Self::tick_interval`].
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.notice_stall(now);
        self.flows.tick(now);
        let mut changes = Vec::new();
        self.directory.tick(now, &mut changes);
        self.apply(changes, now, actions);
        self.zone_members.tick(now);
        self.choose_relay_receivers(now);
        for balancer in self.peers.tick(now) {
            self.notes.add(Note::BalancerLost { balancer });
        }
        self.named_agents
            .retain(|_, named_at| now.since(*named_at) < NAMED_FOR);
        self.serve_waiting(now, actions);
        self.pursue_searches(now, actions);
        self.greet_agents(now, actions);
        self.greet_peers(now, actions);
    }

    fn notice_stall(&mut self, now: Instant) {
        let pause = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if pause >= STALL {
            self.directory.forgive_silence(now);
            self.peers.forgive_silence(now);
            self.zone_members.forgive_silence(now);
            self.notes.add(Note::Stalled { duration: pause });
        }
    }

    fn greet_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
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

    fn greet_peers(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
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

    fn apply(
        &mut self,
        changes: Vec<DirectoryChange>,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        for change in changes {
            match change {
                DirectoryChange::Found(agent) => {
                    self.agent_found_at = now;
                    self.named_agents.remove(&agent);
                    self.notes.add(Note::AgentFound { agent });
                    self.greet(agent, now, actions);
                }
                DirectoryChange::Replaced {
                    agent,
                    ended,
                    last_heard,
                } => {
                    let flows = self.reset_flows_of(agent, Some((ended, last_heard)), actions);
                    self.notes.add(Note::TargetReplaced {
                        agent,
                        ended,
                        flows,
                    });
                }
                DirectoryChange::Lost(agent) => {
                    let silence = self
                        .directory
                        .agent(agent)
                        .map_or(Duration::ZERO, |record| now.since(record.heard_at));
                    let flows = self.reset_flows_of(agent, None, actions);
                    self.notes.add(Note::AgentLost {
                        agent,
                        silence,
                        flows,
                    });
                }
                DirectoryChange::Forgotten(_) => {}
            }
        }
    }
}

/// The round in which an agent is greeted.
fn greeting_group(agent: NodeAddress) -> u64 {
    let number = u64::from(agent.ip().octets()[3]) + u64::from(agent.port());
    number % GREETING_ROUNDS
}
