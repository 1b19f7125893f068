//! Builders for the tests of routing and admission: two services with targets,
//! keys and datagrams.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod request_monitor;
pub mod target_model;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::{Bundle, Service, SignedBundle, Target, TargetState};
use woodladder_core::configuration::snapshot::{DEFAULT_LINGER, Snapshot};
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::OperatorKey;

pub const ORDERS: ServiceId = ServiceId(1);
pub const ARCHIVE: ServiceId = ServiceId(2);

pub fn at(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

pub fn keys(number: u8) -> TokenKeys {
    let key = TagKey::new([number; 16]);
    TokenKeys {
        current: TokenKey { number, key },
        previous: None,
    }
}

pub fn service_address(service: ServiceId) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], port(4000, service.0)))
}

pub fn target_address(target: TargetId) -> SocketAddr {
    SocketAddr::from(([198, 51, 100, 1], port(5000, target.0)))
}

pub fn caller() -> SocketAddr {
    SocketAddr::from(([203, 0, 113, 9], 6000))
}

pub fn target(id: u32, service: ServiceId, state: TargetState) -> Target {
    let id = TargetId(id);
    Target {
        id,
        service,
        address: target_address(id),
        zone: ZoneIndex(0),
        slots: 7,
        connections: 2000,
        state,
    }
}

pub fn active(ids: impl IntoIterator<Item = u32>, service: ServiceId) -> Vec<Target> {
    let ids = ids.into_iter();
    ids.map(|id| target(id, service, TargetState::Active))
        .collect()
}

pub fn snapshot(previous: Option<&Snapshot>, targets: Vec<Target>) -> Snapshot {
    let services = [ORDERS, ARCHIVE].map(|id| Service {
        id,
        name: format!("service-{id}"),
        addresses: vec![service_address(id)],
    });
    let bundle = Bundle {
        version: 1,
        deployment: "test".to_owned(),
        zones: Vec::new(),
        services: services.to_vec(),
        targets,
    };
    let signed = SignedBundle::sign(bundle.canonical(), &OperatorKey::from_bytes([1; 32]));
    Snapshot::following(previous, signed, 0, DEFAULT_LINGER).expect("targets keep their service")
}

pub fn routing_table(sequence: u64, targets: Vec<Target>) -> Arc<RoutingTable> {
    let snapshot = snapshot(None, targets);
    Arc::new(RoutingTable::new(Sequence(sequence), &snapshot))
}

/// A datagram that opens a flow (an Initial of QUIC version 1).
pub fn first_datagram(connection_id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![0xc0, 0, 0, 0, 1];
    datagram.push(u8::try_from(connection_id.len()).expect("a short identifier"));
    datagram.extend_from_slice(connection_id);
    datagram.resize(1200, 0);
    datagram
}

/// A datagram with a short header.
pub fn short_datagram(connection_id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(connection_id);
    datagram.resize(64, 0);
    datagram
}

fn port(base: u16, number: u32) -> u16 {
    base + u16::try_from(number).expect("a small number")
}
