//! The balancer's decision: where one datagram goes.
//!
//! It keeps no state per flow: an established flow's packets name their target
//! in their token, and a flow's first packets name its candidates by hash.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::identifier::{ServiceId, TargetId};
use crate::packets::envelope::{Envelope, NewFlowRoute, Route};
use crate::packets::hop_list;
use crate::packets::quic_header;
use crate::packets::routing_table::RoutingTable;
use crate::packets::token::{TOKEN_LENGTH, TokenKeys};

/// Candidates asked about a new flow, unless set otherwise.
pub const DEFAULT_HOPS: usize = 3;

/// A caller's datagram as the fabric delivered it.
#[derive(Clone, Copy, Debug)]
pub struct InboundDatagram<'a> {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address of the service that the caller sent to.
    pub service_address: SocketAddr,
    /// The caller's datagram.
    pub datagram: &'a [u8],
}

/// Where a datagram goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forward {
    /// Data address of the agent.
    pub to: SocketAddr,
    /// Header of the envelope round the datagram.
    pub envelope: Envelope,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// Not a packet of the transport.
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

/// Routes datagrams by one directory.
#[derive(Clone, Debug)]
pub struct Router {
    directory: Arc<RoutingTable>,
    keys: TokenKeys,
    hops: usize,
}

impl Router {
    /// A router over a directory that names `hops` candidates for new flows.
    #[must_use]
    pub fn new(directory: Arc<RoutingTable>, keys: TokenKeys, hops: usize) -> Self {
        Self {
            directory,
            keys,
            hops,
        }
    }

    /// The directory that decisions come from.
    #[must_use]
    pub fn routing_table(&self) -> &Arc<RoutingTable> {
        &self.directory
    }

    /// Decides where a datagram goes.
    ///
    /// # Errors
    /// [`DropReason`] when it goes nowhere.
    pub fn route(&self, inbound: &InboundDatagram<'_>) -> Result<Forward, DropReason> {
        let service = self
            .directory
            .service_at(&inbound.service_address)
            .ok_or(DropReason::UnknownService)?;
        let packet = quic_header::parse_header(inbound.datagram, TOKEN_LENGTH)
            .map_err(|_| DropReason::Malformed)?;
        match self.keys.verify(packet.destination_connection_id) {
            Some(target) => self.route_established(inbound, service, target),
            None if packet.may_open_flow => {
                self.route_first(inbound, service, packet.destination_connection_id)
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
        let Some(entry) = self.directory.target(target) else {
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

    /// Sends a packet of a target that this directory does not hold yet by way
    /// of another agent of the service, which may hold a later one.
    fn route_relay(
        &self,
        inbound: &InboundDatagram<'_>,
        service: ServiceId,
        target: TargetId,
    ) -> Result<Forward, DropReason> {
        let candidates = self.candidates(service)?;
        let flow = hop_list::flow_hash(&target.0.to_be_bytes());
        let relay = hop_list::choose_candidate(candidates, flow).ok_or(DropReason::NoTarget)?;
        Ok(Forward {
            to: relay.address,
            envelope: self.envelope(inbound, service, Route::Relay(target)),
        })
    }

    fn route_first(
        &self,
        inbound: &InboundDatagram<'_>,
        service: ServiceId,
        flow: &[u8],
    ) -> Result<Forward, DropReason> {
        let candidates = self.candidates(service)?;
        let hops = hop_list::choose(candidates, hop_list::flow_hash(flow), self.hops);
        let to = hops.first().ok_or(DropReason::NoTarget)?.address;
        let first = NewFlowRoute {
            must_decide: hops.len() == 1,
            hops,
            position: 0,
        };
        Ok(Forward {
            to,
            envelope: self.envelope(inbound, service, Route::NewFlow(first)),
        })
    }

    fn candidates(&self, service: ServiceId) -> Result<&[hop_list::Candidate], DropReason> {
        let entry = self
            .directory
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
            sequence: self.directory.sequence(),
            caller: inbound.caller,
            service_address: inbound.service_address,
            route,
        }
    }
}
