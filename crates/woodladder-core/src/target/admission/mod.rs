//! Admission: decides what an agent does with each enveloped datagram that
//! arrives for its back end.
//!
//! The agent makes the final decision on a new flow because only the agent
//! has the current load of its target. The agent accepts the flow, hands it on
//! to another target, or declines it at once when no target can accept it. A
//! datagram for another service or target never reaches the transport.
//!
//! Source: Mitzenmacher, "The power of two choices in randomized load
//! balancing", 2001. Here each target states its current load, not one from an
//! earlier report, and the stated loads travel with the flow.

mod choice;
mod decision_cache;
mod fence;
mod options;
mod pending_flows;
mod verdict;

use std::sync::Arc;

use crate::clock::Instant;
use crate::identifier::{ServiceId, TargetId};
use crate::packets::envelope::{Envelope, NewFlowRoute, Route};
use crate::packets::hop_list::{Load, flow_hash};
use crate::packets::quic_header::Packet;
use crate::packets::router::Forward;
use crate::packets::routing_table::{RoutingTable, TargetStatus};
use crate::packets::token::TokenKeys;
use crate::target::load::Usage;

use choice::{Choice, ChoiceContext};
use decision_cache::{CachedDecision, DecisionCache};
use fence::Fence;
use pending_flows::{DeclineLimiter, PendingFlows};

pub use fence::FENCE_GRACE;
pub use options::AdmissionOptions;
pub use verdict::{AdmissionDropReason, Decision, FlowRefusalReason, SequenceHint, Verdict};

/// The target that an agent serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetIdentity {
    /// Identifier of the target.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
}

/// State of the target when a datagram arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetConditions {
    /// Slots and connections in use; accepted flows whose first request has not
    /// arrived yet are not counted.
    pub usage: Usage,
    /// Whether the target's drain state allows new flows.
    pub takes_new_flows: bool,
}

/// Decides which datagrams one target accepts.
#[derive(Clone, Debug)]
pub struct Admission {
    identity: TargetIdentity,
    keys: TokenKeys,
    options: AdmissionOptions,
    routing_table: Arc<RoutingTable>,
    fence: Fence,
    decisions: DecisionCache,
    pending: PendingFlows,
    declines: DeclineLimiter,
    last_resort: bool,
}

/// Load added to that of a target of last resort, in thousandths; greater than
/// the loads expected of targets with usable slots.
const LAST_RESORT_LOAD: u32 = 1_000_000;

impl Admission {
    /// Admission at a target that has not received a routing table yet.
    #[must_use]
    pub fn new(identity: TargetIdentity, keys: TokenKeys, options: AdmissionOptions) -> Self {
        Self {
            identity,
            keys,
            options,
            routing_table: Arc::new(RoutingTable::default()),
            fence: Fence::default(),
            decisions: DecisionCache::new(
                options.decision_retention,
                options.maximum_cached_decisions,
            ),
            pending: PendingFlows::new(options.pending_window),
            declines: DeclineLimiter::new(options.decline_window),
            last_resort: false,
        }
    }

    /// Sets whether this target accepts new flows only when no other target
    /// does. Unlike a drain this refuses nothing, so setting it wrongly at every
    /// target of a service loses no flow.
    pub fn set_last_resort(&mut self, last_resort: bool) {
        self.last_resort = last_resort;
    }

    /// Replaces the routing table; one that is not later than the current one
    /// is ignored.
    pub fn adopt(&mut self, routing_table: Arc<RoutingTable>, now: Instant) {
        if routing_table.sequence() > self.routing_table.sequence() {
            self.fence.adopt(routing_table.sequence(), now);
            self.routing_table = routing_table;
        }
    }

    /// Replaces the routing table by a later one, or by one of the same sequence
    /// in which other targets are marked as unavailable.
    pub fn refresh(&mut self, routing_table: Arc<RoutingTable>, now: Instant) {
        if routing_table.sequence() == self.routing_table.sequence() {
            self.routing_table = routing_table;
        } else {
            self.adopt(routing_table, now);
        }
    }

    /// The current routing table.
    #[must_use]
    pub fn routing_table(&self) -> &Arc<RoutingTable> {
        &self.routing_table
    }

    /// Load of the target, including accepted flows whose first request has not
    /// arrived yet.
    pub fn load(&mut self, usage: &Usage, now: Instant) -> Load {
        let pending = self.pending.count(now);
        let load = usage.load(pending, self.options.connection_weight);
        if self.last_resort {
            Load(load.0.saturating_add(LAST_RESORT_LOAD))
        } else {
            load
        }
    }

    /// Records that the transport has opened the flow's connection, which the
    /// usage counts from now on.
    pub fn connection_opened(&mut self, flow_hash: u64) {
        self.pending.mark_connection_opened(flow_hash);
    }

    /// Records that the first request of a flow has arrived, which the usage
    /// counts from now on.
    pub fn request_arrived(&mut self, flow_hash: u64) {
        self.pending.remove(flow_hash);
    }

    /// Records that the flow has ended.
    pub fn connection_closed(&mut self, flow_hash: u64) {
        self.pending.remove(flow_hash);
    }

    /// Decides what happens to a datagram that arrived in an envelope.
    pub fn handle(
        &mut self,
        envelope: Envelope,
        packet: &Packet<'_>,
        conditions: &TargetConditions,
        now: Instant,
    ) -> Decision {
        let hint = self.sequence_hint(&envelope, now);
        let verdict = self
            .decide(envelope, packet, conditions, now)
            .unwrap_or_else(Verdict::Drop);
        Decision { verdict, hint }
    }

    fn decide(
        &mut self,
        envelope: Envelope,
        packet: &Packet<'_>,
        conditions: &TargetConditions,
        now: Instant,
    ) -> Result<Verdict, AdmissionDropReason> {
        if envelope.service != self.identity.service {
            return Err(AdmissionDropReason::WrongService);
        }
        let token = self.keys.verify(packet.destination_connection_id);
        match envelope.route.clone() {
            Route::Established(target) => self.decide_established(target, token),
            Route::Relay(target) => self.decide_relay(envelope, target, token),
            Route::NewFlow(new_flow) => {
                self.check_target(new_flow.current_hop().map(|hop| hop.target))?;
                match token {
                    Some(target) => self.decide_established(target, token),
                    None => self.decide_new_flow(envelope, &new_flow, packet, conditions, now),
                }
            }
        }
    }

    fn check_target(&self, target: Option<TargetId>) -> Result<(), AdmissionDropReason> {
        if target == Some(self.identity.target) {
            Ok(())
        } else {
            Err(AdmissionDropReason::WrongTarget)
        }
    }

    fn check_token(token: Option<TargetId>, target: TargetId) -> Result<(), AdmissionDropReason> {
        match token {
            None => Err(AdmissionDropReason::InvalidToken),
            Some(named) if named != target => Err(AdmissionDropReason::ForeignToken),
            Some(_) => Ok(()),
        }
    }

    fn decide_established(
        &self,
        target: TargetId,
        token: Option<TargetId>,
    ) -> Result<Verdict, AdmissionDropReason> {
        Self::check_token(token, self.identity.target)?;
        self.check_target(Some(target))?;
        Ok(Verdict::Deliver)
    }

    fn decide_relay(
        &self,
        envelope: Envelope,
        target: TargetId,
        token: Option<TargetId>,
    ) -> Result<Verdict, AdmissionDropReason> {
        Self::check_token(token, target)?;
        if target == self.identity.target {
            return Ok(Verdict::Deliver);
        }
        let entry = self
            .routing_table
            .target(target)
            .ok_or(AdmissionDropReason::UnknownRelayTarget)?;
        if entry.service != envelope.service {
            return Err(AdmissionDropReason::WrongService);
        }
        Ok(Verdict::Relay(Forward {
            to: entry.address,
            envelope: Envelope {
                route: Route::Established(target),
                ..envelope
            },
        }))
    }

    fn decide_new_flow(
        &mut self,
        envelope: Envelope,
        new_flow: &NewFlowRoute,
        packet: &Packet<'_>,
        conditions: &TargetConditions,
        now: Instant,
    ) -> Result<Verdict, AdmissionDropReason> {
        if !packet.may_open_flow {
            return Err(AdmissionDropReason::InvalidToken);
        }
        self.check_service_address(&envelope)?;
        let flow_hash = flow_hash(packet.destination_connection_id);
        let load = self.load(&conditions.usage, now);
        let refusal_reason = self.refusal_reason(&envelope, conditions, load);
        let routing_table = Arc::clone(&self.routing_table);
        let context = ChoiceContext::new(
            new_flow,
            flow_hash,
            load,
            refusal_reason,
            &routing_table,
            &envelope,
        );
        if let Some(verdict) = self.repeat_decision(flow_hash, &context, &envelope, now) {
            return Ok(verdict);
        }
        if self.fence.is_stale(envelope.sequence, now) {
            return Err(AdmissionDropReason::StaleSequence);
        }
        let choice = context.choose(&self.options);
        Ok(self.apply_choice(choice, flow_hash, &envelope, now))
    }

    /// Rejects a service address that belongs to another service by the routing
    /// table, unless the balancer's table is later: then this agent's table may
    /// lack a move of the address to this agent's service.
    fn check_service_address(&self, envelope: &Envelope) -> Result<(), AdmissionDropReason> {
        let own = self.routing_table.service_at(&envelope.service_address);
        let moved = own.is_some_and(|service| service != self.identity.service);
        if moved && self.routing_table.sequence() >= envelope.sequence {
            Err(AdmissionDropReason::WrongService)
        } else {
            Ok(())
        }
    }

    /// Why the target cannot accept a new flow, or `None` when it can.
    fn refusal_reason(
        &self,
        envelope: &Envelope,
        conditions: &TargetConditions,
        load: Load,
    ) -> Option<FlowRefusalReason> {
        if !conditions.takes_new_flows || !self.is_listed_as_accepting(envelope) {
            return Some(FlowRefusalReason::Leaving);
        }
        let usage = &conditions.usage;
        let connections = usage
            .open_connections
            .saturating_add(self.pending.unopened_connections());
        if connections >= usage.connection_limit {
            return Some(FlowRefusalReason::ConnectionLimit);
        }
        let overloaded = self.options.refuse_above.is_some_and(|limit| load > limit);
        overloaded.then_some(FlowRefusalReason::Overloaded)
    }

    /// Whether this agent's own target accepts new flows by the routing table. When
    /// the table does not list the target, it accepts them only when the balancer's
    /// table is later.
    fn is_listed_as_accepting(&self, envelope: &Envelope) -> bool {
        match self.routing_table.target(self.identity.target) {
            Some(entry) if entry.service != self.identity.service => false,
            Some(entry) => entry.status.takes_new_flows(),
            None => envelope.sequence > self.routing_table.sequence(),
        }
    }

    fn repeat_decision(
        &self,
        flow_hash: u64,
        context: &ChoiceContext<'_>,
        envelope: &Envelope,
        now: Instant,
    ) -> Option<Verdict> {
        match self.decisions.get(flow_hash, now)? {
            CachedDecision::Accepted => Some(Verdict::Accept),
            CachedDecision::Declined => Some(Verdict::AcceptToDecline),
            CachedDecision::Refused(reason) => Some(Verdict::Refuse(reason)),
            CachedDecision::HandedOn { to, .. } if self.is_unavailable(to.target) => None,
            CachedDecision::HandedOn { to, must_decide } => {
                let route = context.repeat(&to, must_decide)?;
                Some(hand_on_verdict(envelope, to.address, route))
            }
        }
    }

    /// Whether a target is marked as unavailable for new flows. A flow that was
    /// handed on to it goes to another target when its packets are repeated.
    fn is_unavailable(&self, target: TargetId) -> bool {
        let entry = self.routing_table.target(target);
        entry.is_some_and(|entry| matches!(entry.status, TargetStatus::Unavailable(_)))
    }

    fn apply_choice(
        &mut self,
        choice: Choice,
        flow_hash: u64,
        envelope: &Envelope,
        now: Instant,
    ) -> Verdict {
        match choice {
            Choice::Accept => {
                self.pending.add(flow_hash, now);
                self.decisions
                    .insert(flow_hash, CachedDecision::Accepted, now);
                Verdict::Accept
            }
            Choice::HandOn { to, route } => {
                let must_decide = route.must_decide;
                self.decisions
                    .insert(flow_hash, CachedDecision::HandedOn { to, must_decide }, now);
                hand_on_verdict(envelope, to.address, route)
            }
            Choice::Decline(reason) => self.decline(flow_hash, reason, now),
        }
    }

    fn decline(&mut self, flow_hash: u64, reason: FlowRefusalReason, now: Instant) -> Verdict {
        if self.declines.try_take(self.options.decline_allowance, now) {
            self.decisions
                .insert(flow_hash, CachedDecision::Declined, now);
            return Verdict::AcceptToDecline;
        }
        self.decisions
            .insert(flow_hash, CachedDecision::Refused(reason), now);
        Verdict::Refuse(reason)
    }

    fn sequence_hint(&self, envelope: &Envelope, now: Instant) -> Option<SequenceHint> {
        if envelope.sequence > self.routing_table.sequence() {
            return Some(SequenceHint::AgentIsBehind(envelope.sequence));
        }
        self.fence
            .is_stale(envelope.sequence, now)
            .then_some(SequenceHint::BalancerIsBehind(envelope.sequence))
    }
}

fn hand_on_verdict(envelope: &Envelope, to: std::net::SocketAddr, route: NewFlowRoute) -> Verdict {
    Verdict::HandOn(Forward {
        to,
        envelope: Envelope {
            route: Route::NewFlow(route),
            ..envelope.clone()
        },
    })
}
