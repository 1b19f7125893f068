//! Admission at one target under conditions that a test sets.

use std::sync::Arc;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};
use woodladder_core::packets::envelope::{Envelope, NewFlowRoute, Route};
use woodladder_core::packets::hop_list::Hop;
use woodladder_core::packets::quic_header::parse_header;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::TOKEN_LENGTH;
use woodladder_core::target::admission::{
    Admission, AdmissionOptions, Decision, TargetConditions, TargetIdentity,
};
use woodladder_core::target::load::Usage;
use woodladder_core::target::slow_start::EffectiveSlots;

use super::{ORDERS, caller, keys, service_address, target_address};

pub const SLOTS: u16 = 10;

pub struct TargetModel {
    pub admission: Admission,
    pub conditions: TargetConditions,
}

impl TargetModel {
    pub fn new(id: u32, routing_table: &Arc<RoutingTable>, options: AdmissionOptions) -> Self {
        let identity = TargetIdentity {
            target: TargetId(id),
            service: ORDERS,
        };
        let mut admission = Admission::new(identity, keys(1), options);
        admission.adopt(Arc::clone(routing_table), Instant::ORIGIN);
        let usage = Usage {
            busy_slots: 0,
            queued: 0,
            slots: EffectiveSlots::all(SLOTS),
            open_connections: 0,
            connection_limit: 2000,
        };
        let conditions = TargetConditions {
            usage,
            takes_new_flows: true,
        };
        Self {
            admission,
            conditions,
        }
    }

    pub fn with_busy(mut self, busy: u32) -> Self {
        self.conditions.usage.busy_slots = busy;
        self
    }

    pub fn handle(&mut self, envelope: Envelope, datagram: &[u8], now: Instant) -> Decision {
        let packet = parse_header(datagram, TOKEN_LENGTH).expect("a packet");
        let conditions = self.conditions;
        self.admission.handle(envelope, &packet, &conditions, now)
    }
}

pub fn envelope(service: ServiceId, sequence: u64, route: Route) -> Envelope {
    Envelope {
        service,
        sequence: Sequence(sequence),
        caller: caller(),
        service_address: service_address(service),
        route,
    }
}

pub fn new_flow_route(targets: &[u32], position: u8, must_decide: bool) -> NewFlowRoute {
    let hops = targets.iter().map(|id| Hop {
        target: TargetId(*id),
        address: target_address(TargetId(*id)),
        load: None,
    });
    NewFlowRoute {
        hops: hops.collect(),
        position,
        must_decide,
    }
}

/// The envelope of a flow's first packet to the first of these targets.
pub fn first_envelope(sequence: u64, targets: &[u32]) -> Envelope {
    let route = new_flow_route(targets, 0, targets.len() == 1);
    envelope(ORDERS, sequence, Route::NewFlow(route))
}
