//! Flows that a modelled agent holds, with the transport's bookkeeping.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::ServiceId;

use super::channel::Channel;
use super::frame::{Content, FirstIdentifier, Frame, FrameDatagram, Payload, Token};
use super::node::Surroundings;
use super::output::Output;

/// Silence after which a flow counts as ended.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Silence after which a flow that was never used counts as ended.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// One flow.
#[derive(Clone, Debug)]
pub struct AgentFlow {
    /// Hash under which admission knows it.
    pub hash: u64,
    /// Token of its packets.
    pub token: Token,
    /// Balancer that carried its last packet.
    pub carried_by: SocketAddr,
    caller: SocketAddr,
    channel: Channel,
    last_heard: Instant,
    confirmed: bool,
    last_taken: u64,
}

/// All flows of an agent.
#[derive(Clone, Debug)]
pub struct AgentFlows {
    service: ServiceId,
    flows: BTreeMap<FirstIdentifier, AgentFlow>,
}

impl AgentFlows {
    /// No flows yet.
    #[must_use]
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            flows: BTreeMap::new(),
        }
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Flows with frames that the caller has not acknowledged; their answers
    /// have not ended until it has.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        let flows = self.flows.values();
        flows.filter(|flow| !flow.channel.is_settled()).count()
    }

    /// Identifiers of all flows.
    #[must_use]
    pub fn identifiers(&self) -> Vec<FirstIdentifier> {
        self.flows.keys().copied().collect()
    }

    /// A flow.
    #[must_use]
    pub fn get(&self, identifier: &FirstIdentifier) -> Option<&AgentFlow> {
        self.flows.get(identifier)
    }

    /// Adds a flow.
    pub fn add(
        &mut self,
        identifier: FirstIdentifier,
        caller: SocketAddr,
        hash: u64,
        token: Token,
        now: Instant,
    ) {
        let flow = AgentFlow {
            hash,
            token,
            carried_by: caller,
            caller,
            channel: Channel::default(),
            last_heard: now,
            confirmed: false,
            last_taken: 0,
        };
        self.flows.insert(identifier, flow);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, identifier: &FirstIdentifier) -> Option<AgentFlow> {
        self.flows.remove(identifier)
    }

    /// Repeats that a flow was accepted.
    pub fn welcome(&self, identifier: &FirstIdentifier, around: &mut Surroundings<'_>) {
        if let Some(flow) = self.flows.get(identifier) {
            let token = flow.token;
            self.reply(flow.caller, *identifier, Content::Welcome { token }, around);
        }
    }

    /// Refuses a flow.
    pub fn refuse(
        &self,
        identifier: FirstIdentifier,
        caller: SocketAddr,
        retry_after: Duration,
        around: &mut Surroundings<'_>,
    ) {
        let retry_after = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        self.reply(caller, identifier, Content::Refused { retry_after }, around);
    }

    /// Takes frames in, and gives those that are next in order.
    pub fn receive(
        &mut self,
        identifier: &FirstIdentifier,
        datagram: &FrameDatagram,
        carried_by: SocketAddr,
        around: &mut Surroundings<'_>,
    ) -> Vec<Frame> {
        let Some(flow) = self.flows.get_mut(identifier) else {
            return Vec::new();
        };
        flow.last_heard = around.now;
        flow.confirmed = true;
        flow.carried_by = carried_by;
        let frames = flow.channel.receive(datagram);
        for frame in &frames {
            if let Frame::Request(request) = frame {
                flow.last_taken = flow.last_taken.max(request.attempt);
            }
        }
        if datagram.frame.is_some() {
            let content = Content::Frames(flow.channel.acknowledgement());
            let caller = flow.caller;
            self.reply(caller, *identifier, content, around);
        }
        frames
    }

    /// Sends a frame on a flow.
    pub fn send(
        &mut self,
        identifier: &FirstIdentifier,
        frame: Frame,
        around: &mut Surroundings<'_>,
    ) {
        let Some(flow) = self.flows.get_mut(identifier) else {
            return;
        };
        let content = Content::Frames(flow.channel.send(frame, around.now));
        let caller = flow.caller;
        self.reply(caller, *identifier, content, around);
    }

    /// Tells the caller that the flow ends, and what was taken on it.
    pub fn close(&mut self, identifier: &FirstIdentifier, around: &mut Surroundings<'_>) {
        if let Some(flow) = self.flows.get(identifier) {
            let last_taken = flow.last_taken;
            self.send(identifier, Frame::Close { last_taken }, around);
        }
    }

    /// Sends lost frames again.
    pub fn resend(&mut self, around: &mut Surroundings<'_>) {
        let mut again = Vec::new();
        for (identifier, flow) in &mut self.flows {
            for datagram in flow.channel.resend(around.now) {
                again.push((flow.caller, *identifier, datagram));
            }
        }
        for (caller, identifier, datagram) in again {
            self.reply(caller, identifier, Content::Frames(datagram), around);
        }
    }

    /// Flows that have been silent for too long.
    #[must_use]
    pub fn silent(&self, now: Instant) -> Vec<FirstIdentifier> {
        let silent = |flow: &AgentFlow| {
            let limit = if flow.confirmed {
                IDLE_TIMEOUT
            } else {
                HANDSHAKE_TIMEOUT
            };
            now.since(flow.last_heard) > limit
        };
        let flows = self.flows.iter().filter(|(_, flow)| silent(flow));
        flows.map(|(identifier, _)| *identifier).collect()
    }

    fn reply(
        &self,
        to: SocketAddr,
        flow: FirstIdentifier,
        content: Content,
        around: &mut Surroundings<'_>,
    ) {
        let payload = Payload {
            service: self.service,
            flow,
            content,
        };
        around.outputs.push(Output::ToCaller { to, payload });
    }
}
