//! The balancer's routing decision for one datagram.
//!
//! The router keeps no state per flow: packets of an established flow name their
//! target in their token, and for a flow's first packets the candidates follow
//! from a hash.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::identifier::{ServiceId, TargetId};
use crate::packets::envelope::{Envelope, NewFlowRoute, Route};
use crate::packets::hop_list;
use crate::packets::quic_header;
use crate::packets::routing_table::RoutingTable;
use crate::packets::token::{TOKEN_LENGTH, TokenKeys};

/// Default number of candidates on the hop list of a new flow.
pub const DEFAULT_HOPS: usize = 3;

/// A caller's datagram as received from the network.
#[derive(Clone, Copy, Debug)]
pub struct InboundDatagram<'a> {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Service address that the caller sent to.
    pub service_address: SocketAddr,
    /// The caller's datagram.
    pub datagram: &'a [u8],
}

/// Where a datagram is forwarded to, and in which envelope.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forward {
    /// Data address of the agent.
    pub to: SocketAddr,
    /// Header of the envelope around the datagram.
    pub envelope: Envelope,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The datagram has no valid QUIC header.
    Malformed,
    /// No service has the address.
    UnknownService,
    /// The token is not valid, and the packet cannot open a flow.
    InvalidToken,
    /// The token names a target of another service.
    WrongService,
    /// The service has no target.
    NoTarget,
}

/// Routes datagrams by one routing table.
#[derive(Clone, Debug)]
pub struct Router {
    routing_table: Arc<RoutingTable>,
    keys: TokenKeys,
    hop_count: usize,
}

impl Router {
    /// A router that puts `hop_count` candidates on the hop list of a new flow.
    #[must_use]
    pub fn new(routing_table: Arc<RoutingTable>, keys: TokenKeys, hop_count: usize) -> Self {
        Self {
            routing_table,
            keys,
            hop_count,
        }
    }

    /// The routing table that decisions are based on.
    #[must_use]
    pub fn routing_table(&self) -> &Arc<RoutingTable> {
        &self.routing_table
    }

    /// Decides where a datagram goes.
    ///
    /// # Errors
    /// [`DropReason`] when the datagram must be dropped.
    pub fn route(&self, inbound: &InboundDatagram<'_>) -> Result<Forward, DropReason> {
        let service = self
            .routing_table
            .service_at(&inbound.service_address)
            .ok_or(DropReason::UnknownService)?;
        let packet = quic_header::parse_header(inbound.datagram, TOKEN_LENGTH)
            .map_err(|_| DropReason::Malformed)?;
        match self.keys.verify(packet.destination_connection_id) {
            Some(target) => self.route_established(inbound, service, target),
            None if packet.may_open_flow => {
                self.route_new_flow(inbound, service, packet.destination_connection_id)
            }
            None => Err(DropReason::InvalidToken),
        }
    }

    fn route_established(
        &self,
        inbound: &InboundDatagram<'_>,
        service: ServiceId,
        target: TargetId,
    ) -> Result<Forward, DropReason> {
        let Some(entry) = self.routing_table.target(target) else {
            return self.route_relay(inbound, service, target);
        };
        if entry.service != service {
            return Err(DropReason::WrongService);
        }
        Ok(Forward {
            to: entry.address,
            envelope: self.envelope(inbound, service, Route::Established(target)),
        })
    }

    /// Routes a packet of a target that the routing table does not list yet. It
    /// goes to another agent of the service, which may have a later table.
    fn route_relay(
        &self,
        inbound: &InboundDatagram<'_>,
        service: ServiceId,
        target: TargetId,
    ) -> Result<Forward, DropReason> {
        let candidates = self.candidates(service)?;
        let hash = hop_list::flow_hash(&target.0.to_be_bytes());
        let relay = hop_list::choose_candidate(candidates, hash).ok_or(DropReason::NoTarget)?;
        Ok(Forward {
            to: relay.address,
            envelope: self.envelope(inbound, service, Route::Relay(target)),
        })
    }

    fn route_new_flow(
        &self,
        inbound: &InboundDatagram<'_>,
        service: ServiceId,
        flow_bytes: &[u8],
    ) -> Result<Forward, DropReason> {
        let candidates = self.candidates(service)?;
        let hops =
            hop_list::choose_hops(candidates, hop_list::flow_hash(flow_bytes), self.hop_count);
        let to = hops.first().ok_or(DropReason::NoTarget)?.address;
        let new_flow = NewFlowRoute {
            must_decide: hops.len() == 1,
            hops,
            position: 0,
        };
        Ok(Forward {
            to,
            envelope: self.envelope(inbound, service, Route::NewFlow(new_flow)),
        })
    }

    fn candidates(&self, service: ServiceId) -> Result<&[hop_list::Candidate], DropReason> {
        let entry = self
            .routing_table
            .service(service)
            .ok_or(DropReason::UnknownService)?;
        Ok(&entry.candidates)
    }

    fn envelope(
        &self,
        inbound: &InboundDatagram<'_>,
        service: ServiceId,
        route: Route,
    ) -> Envelope {
        Envelope {
            service,
            sequence: self.routing_table.sequence(),
            caller: inbound.caller,
            service_address: inbound.service_address,
            route,
        }
    }
}
