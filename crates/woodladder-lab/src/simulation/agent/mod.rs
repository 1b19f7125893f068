//! The modelled agent process: the core's admission, request table, drain and
//! replica beside one back end.

mod leaving;

use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::control::membership::Role;
use woodladder_core::control::replica::ReplicaEvent;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::hop_list::flow_hash;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::quic_header;
use woodladder_core::packets::router::Forward;
use woodladder_core::packets::token::{TOKEN_LENGTH, TokenKeys};
use woodladder_core::target::admission::{
    Admission, AdmissionOptions, SequenceHint, TargetConditions, TargetIdentity, Verdict,
};
use woodladder_core::target::drain::{DEFAULT_DRAIN_GRACE, Drain, DrainEvent, DrainReason};
use woodladder_core::target::load::Usage;
use woodladder_core::target::request::RequestEvent;
use woodladder_core::target::slow_start::{EffectiveSlots, SlowStart, SlowStartOptions};

use crate::simulation::agent_flows::AgentFlows;
use crate::simulation::agent_means::Means;
use crate::simulation::agent_requests::AgentRequests;
use crate::simulation::back_end::{BackEnd, BackEndStep, ConnectionId};
use crate::simulation::frame::{Content, FirstIdentifier, Frame, Payload};
use crate::simulation::log::Entry;
use crate::simulation::mutation::Mutation;
use crate::simulation::node::{Node, Start, Surroundings};
use crate::simulation::output::Output;
use crate::simulation::random::Random;
use crate::simulation::seen::Seen;

/// Time between two looks at the transport's timers.
const TRANSPORT_TICK: Duration = Duration::from_millis(25);
const CONNECTION_LIMIT: u32 = 2000;
const FLOW_RETRY: Duration = Duration::from_secs(1);
/// Bad reports of health in a row after which a back end counts as leaving.
const BAD_REPORTS: u32 = 2;

/// An agent process.
#[derive(Debug)]
pub struct Agent {
    identity: TargetIdentity,
    node: Node,
    tokens: TokenKeys,
    envelope_key: TagKey,
    admission: Admission,
    drain: Drain,
    slow_start: SlowStart,
    slots: EffectiveSlots,
    slot_count: u16,
    flows: AgentFlows,
    requests: AgentRequests,
    random: Random,
    told: bool,
    bad_reports: u32,
    closing_since: Option<Instant>,
}

impl Agent {
    /// An agent that has just started.
    #[must_use]
    pub fn new(identity: TargetIdentity, slots: u16, start: &mut Start<'_>) -> Self {
        let options = AdmissionOptions::default();
        let mut slow_start = SlowStart::new(SlowStartOptions::default(), start.now);
        let effective = slow_start.effective_slots(slots, start.now);
        Self {
            identity,
            node: Node::new(start, Role::Agent, Some(identity.target)),
            tokens: start.secrets.tokens,
            envelope_key: start.secrets.envelope,
            admission: Admission::new(identity, start.secrets.tokens, options),
            drain: Drain::new(DEFAULT_DRAIN_GRACE),
            slow_start,
            slots: effective,
            slot_count: slots,
            flows: AgentFlows::new(identity.service),
            requests: AgentRequests::new(effective.whole(), &mut start.random),
            random: start.random.fork(),
            told: false,
            bad_reports: 0,
            closing_since: None,
        }
    }

    /// Its replica.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Who its back end is.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        self.identity
    }

    /// When it wants to be called again.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Instant {
        let transport = (!self.flows.is_empty()).then(|| now + TRANSPORT_TICK);
        let optional = [
            transport,
            self.requests.next_wake(),
            self.drain.next_wakeup(),
        ];
        let optional = optional.into_iter().flatten();
        optional.fold(self.node.next_wake(), Instant::min)
    }

    /// Takes a control datagram in.
    pub fn receive_control(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        if self.node.receive(from, bytes, around) {
            self.adopt(back_end, around);
        }
    }

    /// Takes an event for the replica in.
    pub fn handle(
        &mut self,
        event: ReplicaEvent,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        if self.node.handle(event, around) {
            self.adopt(back_end, around);
        }
    }

    /// Sees to everything that is due.
    pub fn tick(&mut self, back_end: &mut BackEnd, around: &mut Surroundings<'_>) {
        self.handle(ReplicaEvent::Tick, back_end, around);
        self.update_slots(back_end, around);
        self.requests
            .tick(&mut means(&mut self.flows, back_end, around));
        self.flows.resend(around);
        for silent in self.flows.silent(around.now) {
            self.end_flow(&silent, back_end, around);
        }
        self.drain(DrainEvent::Tick, back_end, around);
        self.activity_changed(back_end, around);
        self.end_if_closed(around);
    }

    /// Takes a datagram in that a balancer or another agent sent.
    pub fn datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        let Ok((envelope, datagram)) = Envelope::decode(&self.envelope_key, bytes) else {
            around.log.see(Seen::BadEnvelope);
            return;
        };
        let Ok(packet) = quic_header::parse_header(datagram, TOKEN_LENGTH) else {
            return;
        };
        let Some(payload) = Payload::read(datagram) else {
            return;
        };
        let conditions = self.conditions(around);
        let hash = flow_hash(packet.destination_connection_id);
        let caller = envelope.caller;
        let decision = self
            .admission
            .handle(envelope, &packet, &conditions, around.now);
        if let Some(SequenceHint::AgentIsBehind(sequence)) = decision.hint {
            self.handle(ReplicaEvent::SequenceSeen(sequence), back_end, around);
        }
        around.log.see(situation(&decision.verdict));
        match decision.verdict {
            Verdict::Deliver => self.deliver(&payload, from, back_end, around),
            Verdict::Accept => self.accept(&payload, caller, hash, around),
            Verdict::AcceptToDecline | Verdict::Refuse(_) => {
                self.flows.refuse(payload.flow, caller, FLOW_RETRY, around);
            }
            Verdict::HandOn(forward) | Verdict::Relay(forward) => {
                self.pass_on(&forward, datagram, around);
            }
            Verdict::Drop(_) if around.mutation == Some(Mutation::IgnoreService) => {
                self.accept(&payload, caller, hash, around);
            }
            Verdict::Drop(_) => {}
        }
        self.activity_changed(back_end, around);
    }

    /// Takes a step of the back end in.
    pub fn step(
        &mut self,
        connection: ConnectionId,
        step: BackEndStep,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        let mut means = means(&mut self.flows, back_end, around);
        self.requests.step(connection, step, &mut means);
        self.activity_changed(back_end, around);
    }

    /// Takes a report of the back end's health in.
    pub fn health(&mut self, healthy: bool, back_end: &mut BackEnd, around: &mut Surroundings<'_>) {
        if healthy {
            if self.bad_reports >= BAD_REPORTS {
                self.slow_start.restart(around.now);
            }
            self.bad_reports = 0;
            let event = DrainEvent::RemoveReason(DrainReason::BackEndHealth);
            self.drain(event, back_end, around);
            return;
        }
        self.bad_reports += 1;
        if self.bad_reports >= BAD_REPORTS {
            let event = DrainEvent::AddReason(DrainReason::BackEndHealth);
            self.drain(event, back_end, around);
        }
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, back_end: &mut BackEnd, around: &mut Surroundings<'_>) {
        self.set_told(true, around);
        if around.mutation == Some(Mutation::StopAtOnce) {
            around.outputs.push(Output::Ended);
            return;
        }
        self.handle(ReplicaEvent::Leaving, back_end, around);
        self.drain(DrainEvent::AddReason(DrainReason::Signal), back_end, around);
    }

    /// The mutation that ends the flows which a stopped balancer carried.
    pub fn balancer_stopped(
        &mut self,
        balancer: SocketAddr,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        for identifier in self.flows.identifiers() {
            let flow = self.flows.get(&identifier);
            if flow.is_some_and(|flow| flow.carried_by.ip() == balancer.ip()) {
                let last_taken = u64::MAX;
                let close = Frame::Close { last_taken };
                self.flows.send(&identifier, close, around);
                self.end_flow(&identifier, back_end, around);
            }
        }
    }

    fn accept(
        &mut self,
        payload: &Payload,
        caller: SocketAddr,
        hash: u64,
        around: &mut Surroundings<'_>,
    ) {
        self.log_packet(payload, around);
        if payload.content != Content::Open {
            return;
        }
        let identifier = payload.flow;
        if self.flows.get(&identifier).is_none() {
            let token = self.tokens.issue(self.identity.target, self.random.bytes());
            self.flows.add(identifier, caller, hash, token, around.now);
            self.admission.connection_opened(hash);
            let target = self.identity.target;
            around.log.add(around.now, Entry::FlowAccepted { target });
        }
        self.flows.welcome(&identifier, around);
    }

    fn deliver(
        &mut self,
        payload: &Payload,
        from: SocketAddr,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        self.log_packet(payload, around);
        let Content::Frames(datagram) = &payload.content else {
            return;
        };
        let frames = self.flows.receive(&payload.flow, datagram, from, around);
        for frame in frames {
            self.frame(&payload.flow, frame, back_end, around);
        }
    }

    fn frame(
        &mut self,
        flow: &FirstIdentifier,
        frame: Frame,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        match frame {
            Frame::Request(request) => {
                if let Some(known) = self.flows.get(flow) {
                    self.admission.request_arrived(known.hash);
                }
                let mut means = means(&mut self.flows, back_end, around);
                self.requests.arrived(*flow, request, &mut means);
            }
            Frame::Cancel { attempt } => {
                let mut means = means(&mut self.flows, back_end, around);
                self.requests.cancel(attempt, &mut means);
            }
            Frame::Close { .. } => self.end_flow(flow, back_end, around),
            _ => {}
        }
    }

    fn end_flow(
        &mut self,
        flow: &FirstIdentifier,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        let mut means = means(&mut self.flows, back_end, around);
        self.requests.flow_ended(flow, &mut means);
        if let Some(ended) = self.flows.remove(flow) {
            self.admission.connection_closed(ended.hash);
        }
    }

    fn pass_on(&self, forward: &Forward, datagram: &[u8], around: &mut Surroundings<'_>) {
        let mut bytes = Vec::new();
        forward
            .envelope
            .encode_into(&self.envelope_key, datagram, &mut bytes);
        let to = forward.to;
        around.outputs.push(Output::ToAgent { to, bytes });
    }

    fn log_packet(&self, payload: &Payload, around: &mut Surroundings<'_>) {
        let entry = Entry::PacketTaken {
            target: self.identity.target,
            service: self.identity.service,
            meant: payload.service,
        };
        around.log.add(around.now, entry);
    }

    fn update_slots(&mut self, back_end: &mut BackEnd, around: &mut Surroundings<'_>) {
        let slots = self.slow_start.effective_slots(self.slot_count, around.now);
        if slots.whole() != self.slots.whole() {
            let event = RequestEvent::SlotsChanged(slots.whole());
            self.request_event(event, back_end, around);
        }
        self.slots = slots;
    }

    fn conditions(&self, around: &Surroundings<'_>) -> TargetConditions {
        let counts = self.requests.counts();
        let keeps = around.mutation == Some(Mutation::KeepTakingWork);
        TargetConditions {
            usage: Usage {
                busy_slots: counts.busy,
                queued: counts.queued,
                slots: self.slots,
                open_connections: count(self.flows.len()),
                connection_limit: CONNECTION_LIMIT,
            },
            takes_new_flows: keeps || self.drain.takes_new_flows(),
        }
    }
}

fn situation(verdict: &Verdict) -> Option<Seen> {
    match verdict {
        Verdict::Deliver | Verdict::Accept => None,
        Verdict::AcceptToDecline | Verdict::Refuse(_) => Some(Seen::FlowRefused),
        Verdict::HandOn(_) => Some(Seen::HandedOn),
        Verdict::Relay(_) => Some(Seen::Relayed),
        Verdict::Drop(reason) => Seen::agent_drop(*reason),
    }
}

fn means<'a, 'b>(
    flows: &'a mut AgentFlows,
    back_end: &'a mut BackEnd,
    around: &'a mut Surroundings<'b>,
) -> Means<'a, 'b> {
    Means {
        around,
        flows,
        back_end,
    }
}

fn count(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
