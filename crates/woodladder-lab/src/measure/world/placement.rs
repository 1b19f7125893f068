//! Where packets go: first packets by each way, later ones by token or hash.

use rand::Rng as _;
use woodladder_core::identifier::ServiceId;
use woodladder_core::packets::hop_list::{FULL_LOAD, choose_candidate};
use woodladder_core::packets::quic_header;
use woodladder_core::packets::router::{Forward, InboundDatagram};
use woodladder_core::packets::token::TOKEN_LENGTH;

use super::World;
use super::event::{BalancerIndex, FlowIndex, TargetIndex, VersionIndex};
use super::flow::{address_hash, caller_address, client_id};
use crate::measure::deployment::service_address;
use crate::measure::way::Way;
use woodladder_core::target::admission::Verdict;

/// Where a packet of an established flow ends up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Arrival {
    /// At the flow's target, by way of another agent or straight.
    Owner { relay: Option<TargetIndex> },
    /// At a dead balancer, or at an agent that does not know the flow.
    Lost,
}

impl World<'_> {
    /// The product's routing of a first packet.
    pub(super) fn route_first(
        &mut self,
        flow: FlowIndex,
        balancer: BalancerIndex,
    ) -> Option<Forward> {
        let version = self.balancers[balancer].version;
        let datagram = self.writer.initial(client_id(flow, self.salt));
        let inbound = InboundDatagram {
            caller: caller_address(flow),
            service_address: service_address(self.flows[flow].service),
            datagram,
        };
        self.versions[version].router.route(&inbound).ok()
    }

    /// A baseline's placement of a first packet.
    pub(super) fn place_first(
        &mut self,
        flow: FlowIndex,
        balancer: BalancerIndex,
    ) -> Option<TargetIndex> {
        let service = self.flows[flow].service;
        match self.run.way {
            Way::Chosen => None,
            Way::Hash | Way::HashWithPrevious => {
                self.hashed(flow, self.balancers[balancer].version)
            }
            Way::PolledLeastLoad => self.least_polled(service, balancer),
            Way::RandomTwoStale => self.better_of_two(service, balancer),
            Way::Omniscient => self.flows[flow].assigned,
        }
    }

    fn hashed(&self, flow: FlowIndex, version: VersionIndex) -> Option<TargetIndex> {
        let service = self.flows[flow].service;
        let candidates = self.versions[version].candidates(service);
        let chosen = choose_candidate(candidates, address_hash(flow, service, self.salt))?;
        self.by_address.get(&chosen.address).copied()
    }

    fn known_to(&self, balancer: BalancerIndex, service: ServiceId) -> Vec<TargetIndex> {
        let version = &self.versions[self.balancers[balancer].version];
        let candidates = version.candidates(service).iter();
        candidates
            .filter_map(|candidate| self.by_address.get(&candidate.address).copied())
            .collect()
    }

    /// Ties are broken at random, so that balancers do not follow one order.
    fn least_polled(&mut self, service: ServiceId, balancer: BalancerIndex) -> Option<TargetIndex> {
        let mut known = self.known_to(balancer, service);
        let start = self.random.random_range(0..known.len().max(1));
        known.rotate_left(start);
        let chosen = known
            .into_iter()
            .min_by_key(|target| self.estimated(balancer, *target))?;
        self.balancers[balancer].sent_since_poll[chosen] += 1;
        Some(chosen)
    }

    fn estimated(&self, balancer: BalancerIndex, target: TargetIndex) -> u32 {
        let model = &self.balancers[balancer];
        let slots = u32::from(self.targets[target].slots).max(1);
        let sent = model.sent_since_poll[target] * FULL_LOAD / slots;
        model.polled[target].0.saturating_add(sent)
    }

    fn better_of_two(
        &mut self,
        service: ServiceId,
        balancer: BalancerIndex,
    ) -> Option<TargetIndex> {
        let mut known = self.known_to(balancer, service);
        let first = draw(&mut known, &mut self.random)?;
        let second = draw(&mut known, &mut self.random).unwrap_or(first);
        let polled = &self.balancers[balancer].polled;
        let better = if polled[second] < polled[first] {
            second
        } else {
            first
        };
        Some(better)
    }

    /// The target with the least load of all that truly take new flows.
    pub(super) fn least_loaded(&mut self, service: ServiceId) -> Option<TargetIndex> {
        let now = self.queue.now();
        let version = &self.versions[self.current];
        let targets = self.targets.iter_mut().enumerate();
        let active = targets
            .filter(|(_, target)| target.service == service && version.is_active(target.id))
            .filter(|(_, target)| target.drain.takes_new_flows());
        let loads = active.map(|(index, target)| (target.true_load(now), index));
        loads.min().map(|(_, index)| index)
    }

    /// Where a packet of an established flow ends up through a balancer.
    pub(super) fn follow_packet(
        &mut self,
        flow: FlowIndex,
        owner: TargetIndex,
        balancer: BalancerIndex,
    ) -> Arrival {
        if !self.balancers[balancer].alive {
            return Arrival::Lost;
        }
        if self.run.way.hashes_established() {
            self.follow_hash(flow, owner, balancer)
        } else {
            self.follow_token(flow, owner, balancer)
        }
    }

    fn follow_hash(&self, flow: FlowIndex, owner: TargetIndex, balancer: BalancerIndex) -> Arrival {
        let Some(reached) = self.hashed(flow, self.balancers[balancer].version) else {
            return Arrival::Lost;
        };
        if reached == owner {
            return Arrival::Owner { relay: None };
        }
        let previous = self.targets[reached].version.checked_sub(1);
        let fallback = previous
            .filter(|_| self.run.way == Way::HashWithPrevious)
            .and_then(|version| self.hashed(flow, version));
        if fallback == Some(owner) {
            Arrival::Owner {
                relay: Some(reached),
            }
        } else {
            Arrival::Lost
        }
    }

    fn follow_token(
        &mut self,
        flow: FlowIndex,
        owner: TargetIndex,
        balancer: BalancerIndex,
    ) -> Arrival {
        let version = self.balancers[balancer].version;
        let token = self.flows[flow].token;
        let inbound = InboundDatagram {
            caller: caller_address(flow),
            service_address: service_address(self.flows[flow].service),
            datagram: self.writer.established(&token),
        };
        let Ok(forward) = self.versions[version].router.route(&inbound) else {
            return Arrival::Lost;
        };
        self.deliver(forward, &token, owner, None)
    }

    /// Gives an enveloped packet to the agent that it is sent to.
    fn deliver(
        &mut self,
        forward: Forward,
        token: &[u8; TOKEN_LENGTH],
        owner: TargetIndex,
        relay: Option<TargetIndex>,
    ) -> Arrival {
        let now = self.queue.now();
        let Some(reached) = self.by_address.get(&forward.to).copied() else {
            return Arrival::Lost;
        };
        let datagram = self.writer.established(token);
        let Ok(packet) = quic_header::parse_header(datagram, TOKEN_LENGTH) else {
            return Arrival::Lost;
        };
        let target = &mut self.targets[reached];
        let conditions = target.conditions(now);
        let decision = target
            .admission
            .handle(forward.envelope, &packet, &conditions, now);
        match decision.verdict {
            Verdict::Deliver if reached == owner => Arrival::Owner { relay },
            Verdict::Relay(next) if relay.is_none() => {
                self.deliver(next, token, owner, Some(reached))
            }
            _ => Arrival::Lost,
        }
    }
}

fn draw(known: &mut Vec<TargetIndex>, random: &mut impl rand::Rng) -> Option<TargetIndex> {
    if known.is_empty() {
        return None;
    }
    let position = random.random_range(0..known.len());
    Some(known.swap_remove(position))
}
