//! The modelled balancer process: the core's router over the core's replica.

use std::net::SocketAddr;
use std::sync::Arc;

use woodladder_core::clock::Instant;
use woodladder_core::control::membership::Role;
use woodladder_core::control::replica::ReplicaEvent;
use woodladder_core::packets::envelope::{Envelope, Route};
use woodladder_core::packets::hop_list::{choose_candidate, flow_hash};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::quic_header;
use woodladder_core::packets::router::{DEFAULT_HOPS, Forward, InboundDatagram, Router};
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::{TOKEN_LENGTH, TokenKeys};

use super::frame::Payload;
use super::mutation::Mutation;
use super::node::{Node, Start, Surroundings};
use super::output::Output;
use super::seen::Seen;

/// A balancer process.
#[derive(Debug)]
pub struct Balancer {
    node: Node,
    tokens: TokenKeys,
    envelope_key: TagKey,
    router: Option<Router>,
    leaving: bool,
}

impl Balancer {
    /// A balancer that has just started.
    #[must_use]
    pub fn new(start: &mut Start<'_>) -> Self {
        Self {
            node: Node::new(start, Role::Balancer, None),
            tokens: start.secrets.tokens,
            envelope_key: start.secrets.envelope,
            router: None,
            leaving: false,
        }
    }

    /// Its replica.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Whether the fabric's health check gets a good answer.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.node.is_ready() && !self.leaving
    }

    /// When it wants to be called again.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        self.node.next_wake()
    }

    /// Begins a planned stop.
    pub fn leave(&mut self, around: &mut Surroundings<'_>) {
        self.leaving = true;
        self.handle(ReplicaEvent::Leaving, around);
    }

    /// Takes a control datagram in.
    pub fn receive_control(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        around: &mut Surroundings<'_>,
    ) {
        if self.node.receive(from, bytes, around) {
            self.adopt();
        }
    }

    /// Takes an event for the replica in.
    pub fn handle(&mut self, event: ReplicaEvent, around: &mut Surroundings<'_>) {
        if self.node.handle(event, around) {
            self.adopt();
        }
    }

    /// Sends a caller's datagram on its way.
    pub fn route(
        &mut self,
        caller: SocketAddr,
        service_address: SocketAddr,
        datagram: &[u8],
        around: &mut Surroundings<'_>,
    ) {
        let inbound = InboundDatagram {
            caller,
            service_address,
            datagram,
        };
        let Some(forward) = self.forward(&inbound, around) else {
            return;
        };
        let mut bytes = Vec::new();
        forward
            .envelope
            .encode_into(&self.envelope_key, datagram, &mut bytes);
        let to = forward.to;
        around.outputs.push(Output::ToAgent { to, bytes });
    }

    fn forward(
        &self,
        inbound: &InboundDatagram<'_>,
        around: &mut Surroundings<'_>,
    ) -> Option<Forward> {
        let router = self.router.as_ref()?;
        let packet = quic_header::parse_header(inbound.datagram, TOKEN_LENGTH).ok()?;
        if packet.may_open_flow && self.node.is_suspect(around.now) {
            around.log.see(Seen::SuspectBalancer);
            return None;
        }
        let forward = match router.route(inbound) {
            Ok(forward) => forward,
            Err(reason) => {
                around.log.see(Seen::balancer_drop(reason));
                return None;
            }
        };
        if around.mutation == Some(Mutation::RouteByHash) && !packet.may_open_flow {
            return hashed(router.routing_table(), inbound, forward);
        }
        Some(forward)
    }

    fn adopt(&mut self) {
        if let Some(directory) = self.node.directory() {
            let directory = Arc::clone(directory);
            self.router = Some(Router::new(directory, self.tokens, DEFAULT_HOPS));
        }
    }
}

/// The mutation that hashes each packet's flow over the present targets.
fn hashed(
    directory: &RoutingTable,
    inbound: &InboundDatagram<'_>,
    forward: Forward,
) -> Option<Forward> {
    let payload = Payload::read(inbound.datagram)?;
    let service = directory.service(forward.envelope.service)?;
    let choice = choose_candidate(&service.candidates, flow_hash(&payload.flow))?;
    Some(Forward {
        to: choice.address,
        envelope: Envelope {
            route: Route::Established(choice.target),
            ..forward.envelope
        },
    })
}
