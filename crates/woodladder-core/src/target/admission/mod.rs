//! Admission: what the agent beside a back end does with an enveloped datagram.
//!
//! The agent has the last word on new flows because it alone knows its load
//! as it is now. It takes a flow, hands it on to the next target that the
//! balancer named, or, when it is the last to be asked, declines it at once.
//! Nothing that is meant for another service or target reaches the transport.
//!
//! Source: Mitzenmacher, "The power of two choices in randomized load
//! balancing", 2001; here the load is fresh and travels with the flow.

mod choice;
mod fence;
mod flow_memory;
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

use choice::{Choice, Position};
use fence::Fence;
use flow_memory::{FlowMemory, Remembered};
use pending_flows::{DeclineWindow, PendingFlows};

pub use fence::FENCE_GRACE;
pub use options::AdmissionOptions;
pub use verdict::{AdmissionDropReason, Decision, RefuseReason, SequenceHint, Verdict};

/// Who the agent's back end is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetIdentity {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: ServiceId,
}

/// State of the target when a datagram arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetConditions {
    /// What is in use, without flows whose first request is still to come.
    pub usage: Usage,
    /// Whether the target's drain lets new flows in.
    pub takes_new_flows: bool,
}

/// Admission at one target.
#[derive(Clone, Debug)]
pub struct Admission {
    identity: TargetIdentity,
    keys: TokenKeys,
    options: AdmissionOptions,
    directory: Arc<RoutingTable>,
    fence: Fence,
    memory: FlowMemory,
    pending: PendingFlows,
    declines: DeclineWindow,
    reluctant: bool,
}

/// Load added to that of a reluctant target: more than any real one.
const RELUCTANT_LOAD: u32 = 1_000_000;

impl Admission {
    /// Admission of a target that knows no directory yet.
    #[must_use]
    pub fn new(identity: TargetIdentity, keys: TokenKeys, options: AdmissionOptions) -> Self {
        Self {
            identity,
            keys,
            options,
            directory: Arc::new(RoutingTable::default()),
            fence: Fence::default(),
            memory: FlowMemory::new(options.memory_time, options.memory_limit),
            pending: PendingFlows::new(options.pending_window),
            declines: DeclineWindow::new(options.decline_window),
            reluctant: false,
        }
    }

    /// Sets whether new flows are to go to other targets as long as one takes
    /// them. Unlike a drain it refuses nothing, so a false alarm on every
    /// target of a service costs no flow.
    pub fn set_last_resort(&mut self, reluctant: bool) {
        self.reluctant = reluctant;
    }

    /// Takes a directory in; one that is not later than the one in force is
    /// ignored.
    pub fn adopt(&mut self, directory: Arc<RoutingTable>, now: Instant) {
        if directory.sequence() > self.directory.sequence() {
            self.fence.adopt(directory.sequence(), now);
            self.directory = directory;
        }
    }

    /// Takes a directory in that may be of the sequence in force, with other
    /// targets available.
    pub fn refresh(&mut self, directory: Arc<RoutingTable>, now: Instant) {
        if directory.sequence() == self.directory.sequence() {
            self.directory = directory;
        } else {
            self.adopt(directory, now);
        }
    }

    /// The directory in force.
    #[must_use]
    pub fn routing_table(&self) -> &Arc<RoutingTable> {
        &self.directory
    }

    /// Load of the target, flows whose first request is still to come included.
    pub fn load(&mut self, usage: &Usage, now: Instant) -> Load {
        let pending = self.pending.waiting(now);
        let load = usage.load(pending, self.options.connection_weight);
        if self.reluctant {
            Load(load.0.saturating_add(RELUCTANT_LOAD))
        } else {
            load
        }
    }

    /// The transport has opened the flow's connection, and the usage counts it.
    pub fn connection_opened(&mut self, flow: u64) {
        self.pending.opened(flow);
    }

    /// The first request of a flow has arrived, and the usage counts it.
    pub fn request_arrived(&mut self, flow: u64) {
        self.pending.remove(flow);
    }

    /// The flow has ended.
    pub fn connection_closed(&mut self, flow: u64) {
        self.pending.remove(flow);
    }

    /// Decides on a datagram that came in an envelope.
    pub fn handle(
        &mut self,
        envelope: Envelope,
        packet: &Packet<'_>,
        conditions: &TargetConditions,
        now: Instant,
    ) -> Decision {
        let hint = self.hint(&envelope, now);
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
            Route::Established(target) => self.established(target, token),
            Route::Relay(target) => self.relay(envelope, target, token),
            Route::NewFlow(first) => {
                self.check_target(first.current().map(|hop| hop.target))?;
                match token {
                    Some(target) => self.established(target, token),
                    None => self.first(envelope, &first, packet, conditions, now),
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

    fn established(
        &self,
        target: TargetId,
        token: Option<TargetId>,
    ) -> Result<Verdict, AdmissionDropReason> {
        Self::check_token(token, self.identity.target)?;
        self.check_target(Some(target))?;
        Ok(Verdict::Deliver)
    }

    fn relay(
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
            .directory
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

    fn first(
        &mut self,
        envelope: Envelope,
        first: &NewFlowRoute,
        packet: &Packet<'_>,
        conditions: &TargetConditions,
        now: Instant,
    ) -> Result<Verdict, AdmissionDropReason> {
        if !packet.may_open_flow {
            return Err(AdmissionDropReason::InvalidToken);
        }
        self.check_service_address(&envelope)?;
        let flow = flow_hash(packet.destination_connection_id);
        let load = self.load(&conditions.usage, now);
        let obstacle = self.obstacle(&envelope, conditions, load);
        let directory = Arc::clone(&self.directory);
        let position = Position::new(first, flow, load, obstacle, &directory, &envelope);
        if let Some(verdict) = self.remembered(flow, &position, &envelope, now) {
            return Ok(verdict);
        }
        if self.fence.is_stale(envelope.sequence, now) {
            return Err(AdmissionDropReason::StaleSequence);
        }
        let choice = position.choose(&self.options);
        Ok(self.carry_out(choice, flow, &envelope, now))
    }

    /// A service address that the directory gives to another service means
    /// that the balancer has not heard of the move.
    fn check_service_address(&self, envelope: &Envelope) -> Result<(), AdmissionDropReason> {
        let own = self.directory.service_at(&envelope.service_address);
        let moved = own.is_some_and(|service| service != self.identity.service);
        if moved && self.directory.sequence() >= envelope.sequence {
            Err(AdmissionDropReason::WrongService)
        } else {
            Ok(())
        }
    }

    /// What keeps the target from taking a new flow, if anything does.
    fn obstacle(
        &self,
        envelope: &Envelope,
        conditions: &TargetConditions,
        load: Load,
    ) -> Option<RefuseReason> {
        if !conditions.takes_new_flows || !self.stands(envelope) {
            return Some(RefuseReason::Leaving);
        }
        let usage = &conditions.usage;
        let connections = usage
            .open_connections
            .saturating_add(self.pending.unopened());
        if connections >= usage.connection_limit {
            return Some(RefuseReason::ConnectionLimit);
        }
        let overloaded = self.options.refuse_above.is_some_and(|limit| load > limit);
        overloaded.then_some(RefuseReason::Overloaded)
    }

    /// Whether the target takes new flows by the directory. A target that the
    /// directory does not hold does when the balancer has a later one.
    fn stands(&self, envelope: &Envelope) -> bool {
        match self.directory.target(self.identity.target) {
            Some(entry) if entry.service != self.identity.service => false,
            Some(entry) => entry.status.takes_new_flows(),
            None => envelope.sequence > self.directory.sequence(),
        }
    }

    fn remembered(
        &self,
        flow: u64,
        position: &Position<'_>,
        envelope: &Envelope,
        now: Instant,
    ) -> Option<Verdict> {
        match self.memory.recall(flow, now)? {
            Remembered::Accepted => Some(Verdict::Accept),
            Remembered::Declined => Some(Verdict::AcceptToDecline),
            Remembered::Refused(reason) => Some(Verdict::Refuse(reason)),
            Remembered::HandedOn { to, .. } if self.is_unavailable(to.target) => None,
            Remembered::HandedOn { to, last } => {
                let route = position.repeat(&to, last)?;
                Some(hand_on(envelope, to.address, route))
            }
        }
    }

    /// Whether a target is known to take no new flows at the moment. A flow
    /// that was handed on to it goes elsewhere when its packets come again.
    fn is_unavailable(&self, target: TargetId) -> bool {
        let entry = self.directory.target(target);
        entry.is_some_and(|entry| matches!(entry.status, TargetStatus::Unavailable(_)))
    }

    fn carry_out(
        &mut self,
        choice: Choice,
        flow: u64,
        envelope: &Envelope,
        now: Instant,
    ) -> Verdict {
        match choice {
            Choice::Take => {
                self.pending.add(flow, now);
                self.memory.remember(flow, Remembered::Accepted, now);
                Verdict::Accept
            }
            Choice::HandOn { to, route } => {
                let last = route.must_decide;
                self.memory
                    .remember(flow, Remembered::HandedOn { to, last }, now);
                hand_on(envelope, to.address, route)
            }
            Choice::Decline(reason) => self.decline(flow, reason, now),
        }
    }

    fn decline(&mut self, flow: u64, reason: RefuseReason, now: Instant) -> Verdict {
        if self.declines.take(self.options.decline_allowance, now) {
            self.memory.remember(flow, Remembered::Declined, now);
            return Verdict::AcceptToDecline;
        }
        self.memory.remember(flow, Remembered::Refused(reason), now);
        Verdict::Refuse(reason)
    }

    fn hint(&self, envelope: &Envelope, now: Instant) -> Option<SequenceHint> {
        if envelope.sequence > self.directory.sequence() {
            return Some(SequenceHint::AgentIsBehind(envelope.sequence));
        }
        self.fence
            .is_stale(envelope.sequence, now)
            .then_some(SequenceHint::SenderIsBehind(envelope.sequence))
    }
}

fn hand_on(envelope: &Envelope, to: std::net::SocketAddr, route: NewFlowRoute) -> Verdict {
    Verdict::HandOn(Forward {
        to,
        envelope: Envelope {
            route: Route::NewFlow(route),
            ..envelope.clone()
        },
    })
}
