//! Greetings to agents and to other balancers, and what theirs teach.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::membership::greeting_periods::{GREETED_PEERS, PEER_GREETING_INTERVAL};
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;
use crate::flow::message::{BalancerHello, MAXIMUM_NAMED_BALANCERS, PeerMessage, TargetReport};
use crate::flow::message_timing::milliseconds;
use crate::flow::zone_members::ZoneMember;

/// An agent that reports this many times as often as asked is greeted at once.
const MUCH_TOO_OFTEN: u32 = 2;

impl Balancer {
    pub(crate) fn greeted(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerHello,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if from == self.options.address {
            return;
        }
        if greeting.is_leaving {
            self.member_greeted(from, greeting, now);
            self.peers.remove(from);
            return;
        }
        let greets_within = Duration::from_millis(greeting.next_hello_within_ms.into());
        let is_new = self
            .peers
            .record_hello(from, greeting.version, greets_within, now);
        self.member_greeted(from, greeting, now);
        if is_new {
            self.notes.add(LogEvent::BalancerFound { balancer: from });
            self.greet(from, now, actions);
            self.ask_found_balancer(from, now, actions);
        }
        if greeting.version == 0 && self.routes.version() > 0 {
            // It has just started and can do with what this one knows.
            self.greet(from, now, actions);
        }
        if !greeting.has_agent_contact {
            self.peer_without_agents = Some(now);
        }
        for balancer in &greeting.balancers {
            self.name_peer(*balancer, now, actions);
        }
        self.adopt_zones(&greeting.excluded_zones, Some(from));
        self.confirmation_heard(greeting, now);
        self.learn_version(from, greeting.zone, greeting.version, now, actions);
    }

    pub(crate) fn member_greeted(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerHello,
        now: Instant,
    ) {
        let member = ZoneMember {
            cpu_millicores: greeting.cpu_millicores,
            link_rate_kbps: greeting.link_rate_kbps,
            can_serve: greeting.can_serve && !greeting.is_leaving,
        };
        if greeting.zone == self.options.zone {
            let greets_within = Duration::from_millis(greeting.next_hello_within_ms.into());
            self.zone_members
                .record_hello(from, member, greets_within, now);
        }
        self.peers.set_member(from, member);
    }

    pub(crate) fn name_peer(
        &mut self,
        balancer: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if balancer != self.options.address && self.peers.learn_address(balancer, now) {
            self.greet(balancer, now, actions);
        }
    }

    pub(crate) fn greet(&self, to: NodeAddress, now: Instant, actions: &mut Vec<BalancerAction>) {
        let message = PeerMessage::Hello(self.greeting(to, now));
        actions.push(BalancerAction::Send { to, message });
    }

    fn greeting(&self, to: NodeAddress, now: Instant) -> BalancerHello {
        BalancerHello {
            version: self.routes.version(),
            report_interval_ms: milliseconds(self.report_interval()),
            requests_report: self.named_agents.contains_key(&to),
            next_hello_within_ms: milliseconds(self.greeting_period(to)),
            confirmed_ago_ms: self.confirmation_age(now).map(milliseconds),
            excluded_zones: self.excluded_zones.clone(),
            is_leaving: self.leaving,
            has_agent_contact: self.hears_agents(now),
            zone: self.options.zone,
            cpu_millicores: self.options.cpu_millicores,
            link_rate_kbps: self.options.link_rate_kbps,
            can_serve: self.able(now).is_ok(),
            balancers: self.named_in_greetings.clone(),
        }
    }

    /// The number of the present round of greetings to other balancers.
    fn peer_round(&self) -> usize {
        usize::try_from(self.peer_round).unwrap_or(0)
    }

    /// Tells an agent that reports much more often than asked for what is asked:
    /// what this balancer needs has changed since it last greeted that agent, and
    /// the next greeting may be a minute away. The agent's reports bound the rate.
    pub(crate) fn correct_report_interval(
        &mut self,
        agent: NodeAddress,
        report: &TargetReport,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let stated = Duration::from_millis(report.interval_ms.into());
        if stated.saturating_mul(MUCH_TOO_OFTEN) < self.report_interval() {
            self.greet_agent(agent, now, actions);
        }
    }

    /// Greets an agent and promises it the next greeting. What was promised is kept
    /// when the fleet has grown meanwhile, because agents forget a balancer that
    /// breaks it and cease to report.
    pub(crate) fn greet_agent(
        &mut self,
        agent: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let again_at = now + self.next_greeting_after(agent);
        self.directory.set_next_hello(agent, again_at);
        self.greet(agent, now, actions);
    }

    /// Greets the agents that are due.
    pub(crate) fn greet_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if std::mem::take(&mut self.tells_zones) {
            self.greet_everyone(now, actions);
        }
        let most = usize::try_from(self.agents_greeted_a_tick()).unwrap_or(usize::MAX);
        for agent in self.directory.due_for_hello(most, now) {
            self.greet_agent(agent, now, actions);
        }
    }

    /// Those that hand their packets to this balancer must notice its end soon.
    fn greet_relaying_members(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if now.since(self.greeted_relaying_at) < self.relaying_greeting_period() {
            return;
        }
        self.greeted_relaying_at = now;
        for member in &self.relaying_members {
            self.greet(*member, now, actions);
        }
    }

    fn greet_everyone(&self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let agents = self.directory.agents().map(|record| record.address);
        for node in agents.chain(self.peers.addresses()) {
            self.greet(node, now, actions);
        }
    }

    /// Greets balancers that are due, and tells of a configuration just adopted.
    pub(crate) fn greet_peers(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.greet_relaying_members(now, actions);
        if std::mem::take(&mut self.tells_zone) {
            self.tell_zone(now, actions);
        }
        if now.since(self.greeted_peers_at) < PEER_GREETING_INTERVAL {
            return;
        }
        self.greeted_peers_at = now;
        self.peer_round += 1;
        let round = self.peer_round();
        self.named_in_greetings = self
            .peers
            .take_cyclic(round * MAXIMUM_NAMED_BALANCERS, MAXIMUM_NAMED_BALANCERS);
        let members = self.greeted_members();
        let mut due: BTreeSet<NodeAddress> = self
            .zone_members
            .take_cyclic(round * members, members)
            .into_iter()
            .collect();
        due.extend(self.peers.take_cyclic(round * GREETED_PEERS, GREETED_PEERS));
        if std::mem::take(&mut self.tells_all) {
            due.extend(self.peers.with_older_configuration(self.routes.version()));
        }
        for peer in due {
            self.greet(peer, now, actions);
        }
    }
}
