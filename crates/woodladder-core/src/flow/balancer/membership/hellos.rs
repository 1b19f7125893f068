//! Hellos to agents and to other balancers, and the handling of hellos from other
//! balancers.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::membership::hello_periods::{PEER_HELLO_INTERVAL, PEERS_PER_ROUND};
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;
use crate::flow::message::{BalancerHello, MAXIMUM_NAMED_BALANCERS, PeerMessage, TargetReport};
use crate::flow::message_timing::milliseconds;
use crate::flow::zone_members::ZoneMember;

/// An agent that reports more than this many times as often as requested is sent a
/// hello at once.
const EXCESSIVE_REPORT_FACTOR: u32 = 2;

impl Balancer {
    pub(crate) fn handle_hello(
        &mut self,
        from: NodeAddress,
        hello: &BalancerHello,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if from == self.options.address {
            return;
        }
        if hello.is_leaving {
            self.update_member(from, hello, now);
            self.peers.remove(from);
            self.request_snapshot_of_leaving_balancer(from, now, actions);
            return;
        }
        let next_hello_within = Duration::from_millis(hello.next_hello_within_ms.into());
        let is_new = self
            .peers
            .record_hello(from, hello.version, next_hello_within, now);
        self.update_member(from, hello, now);
        if is_new {
            self.log_events
                .add(LogEvent::BalancerFound { balancer: from });
            self.send_hello(from, now, actions);
            self.request_snapshot_of_found_balancer(from, now, actions);
        }
        if hello.version == 0 && self.routes.version() > 0 {
            // The sender has just started and needs the version and the addresses that
            // this balancer has.
            self.send_hello(from, now, actions);
        }
        if !hello.has_agent_contact {
            self.peer_without_agents_at = Some(now);
        }
        for balancer in &hello.balancers {
            self.add_named_peer(*balancer, now, actions);
        }
        self.adopt_excluded_zones(&hello.excluded_zones, Some(from));
        self.apply_heard_confirmation(hello, now);
        self.handle_version(from, hello.zone, hello.version, now, actions);
    }

    pub(crate) fn update_member(&mut self, from: NodeAddress, hello: &BalancerHello, now: Instant) {
        let member = ZoneMember {
            cpu_millicores: hello.cpu_millicores,
            link_rate_kbps: hello.link_rate_kbps,
            can_serve: hello.can_serve && !hello.is_leaving,
        };
        if hello.zone == self.options.zone {
            let next_hello_within = Duration::from_millis(hello.next_hello_within_ms.into());
            self.zone_members
                .record_hello(from, member, next_hello_within, now);
        }
        self.peers.set_member(from, member);
    }

    pub(crate) fn add_named_peer(
        &mut self,
        balancer: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if balancer != self.options.address && self.peers.learn_address(balancer, now) {
            self.send_hello(balancer, now, actions);
        }
    }

    pub(crate) fn send_hello(
        &self,
        to: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let message = PeerMessage::Hello(self.build_hello(to, now));
        actions.push(BalancerAction::Send { to, message });
    }

    fn build_hello(&self, to: NodeAddress, now: Instant) -> BalancerHello {
        BalancerHello {
            version: self.routes.version(),
            report_interval_ms: milliseconds(self.report_interval()),
            requests_report: self.named_agents.contains_key(&to),
            next_hello_within_ms: milliseconds(self.hello_period(to)),
            confirmed_ago_ms: self.confirmation_age(now).map(milliseconds),
            excluded_zones: self.excluded_zones.clone(),
            is_leaving: self.is_leaving,
            has_agent_contact: self.hears_agents(now),
            zone: self.options.zone,
            cpu_millicores: self.options.cpu_millicores,
            link_rate_kbps: self.options.link_rate_kbps,
            can_serve: self.check_can_serve(now).is_ok(),
            balancers: self.balancers_in_hellos.clone(),
        }
    }

    /// Number of the current round of hellos to other balancers.
    fn peer_round(&self) -> usize {
        usize::try_from(self.peer_hello_round).unwrap_or(0)
    }

    /// Sends a hello to an agent at once if the agent reports much more often than this
    /// balancer needs. The interval requested in the last hello is outdated then, and
    /// the next regular hello may be a minute away. Each of these hellos answers a
    /// report, so the rate of the reports limits their rate.
    pub(crate) fn correct_report_interval(
        &mut self,
        agent: NodeAddress,
        report: &TargetReport,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let stated = Duration::from_millis(report.interval_ms.into());
        if stated.saturating_mul(EXCESSIVE_REPORT_FACTOR) < self.report_interval() {
            self.send_hello_to_agent(agent, now, actions);
        }
    }

    /// Sends a hello to an agent and records when the next one is due, within the time
    /// that the hello states. The due time is kept even if the fleet grows meanwhile,
    /// because agents drop a balancer whose hello is late and stop reporting to it.
    pub(crate) fn send_hello_to_agent(
        &mut self,
        agent: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let next_hello_at = now + self.next_hello_delay(agent);
        self.directory.set_next_hello(agent, next_hello_at);
        self.send_hello(agent, now, actions);
    }

    /// Sends a hello to the agents for which one is due.
    pub(crate) fn send_due_agent_hellos(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if std::mem::take(&mut self.must_send_excluded_zones) {
            self.send_hello_to_all(now, actions);
        }
        let limit = usize::try_from(self.maximum_agent_hellos_per_tick()).unwrap_or(usize::MAX);
        for agent in self.directory.due_for_hello(limit, now) {
            self.send_hello_to_agent(agent, now, actions);
        }
    }

    /// Sends a hello, when one is due, to the balancers of the zone that relay their
    /// packets to this one. They must notice quickly when this balancer ends.
    fn send_due_relaying_member_hellos(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        if now.since(self.relaying_member_hellos_sent_at) < self.relaying_hello_period() {
            return;
        }
        self.relaying_member_hellos_sent_at = now;
        for member in &self.relaying_members {
            self.send_hello(*member, now, actions);
        }
    }

    fn send_hello_to_all(&self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let agents = self.directory.agents().map(|record| record.address);
        for node in agents.chain(self.peers.addresses()) {
            self.send_hello(node, now, actions);
        }
    }

    /// Sends a hello to the other balancers for which one is due, and to the nodes of
    /// the zone after a configuration was adopted.
    pub(crate) fn send_due_peer_hellos(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.send_due_relaying_member_hellos(now, actions);
        if std::mem::take(&mut self.must_inform_zone) {
            self.inform_zone(now, actions);
        }
        if now.since(self.peer_hellos_sent_at) < PEER_HELLO_INTERVAL {
            return;
        }
        self.peer_hellos_sent_at = now;
        self.peer_hello_round += 1;
        let round = self.peer_round();
        self.balancers_in_hellos = self
            .peers
            .take_cyclic(round * MAXIMUM_NAMED_BALANCERS, MAXIMUM_NAMED_BALANCERS);
        let members = self.members_per_round();
        let mut due: BTreeSet<NodeAddress> = self
            .zone_members
            .take_cyclic(round * members, members)
            .into_iter()
            .collect();
        due.extend(
            self.peers
                .take_cyclic(round * PEERS_PER_ROUND, PEERS_PER_ROUND),
        );
        if std::mem::take(&mut self.must_inform_outdated_peers) {
            due.extend(self.peers.with_older_configuration(self.routes.version()));
        }
        for peer in due {
            self.send_hello(peer, now, actions);
        }
    }
}
