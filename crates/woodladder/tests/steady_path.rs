//! A balancer must not allocate memory while it forwards a packet of an
//! established flow: parsing the PROXY header, choosing the agent, and writing
//! the envelope.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ppp::v2::{Builder, Command, Protocol, Version};
use woodladder::balancer::parse_proxy_header;
use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::configuration::snapshot::Snapshot;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::router::Router;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::{TOKEN_NONCE_LENGTH, TokenKey, TokenKeys};
use woodladder_core::signature::OperatorKey;

const PACKETS: u32 = 1000;
const BUFFER_LENGTH: usize = 4096;

fn keys() -> TokenKeys {
    TokenKeys {
        current: TokenKey {
            number: 1,
            key: TagKey::new([9; 16]),
        },
        previous: None,
    }
}

fn router(service_address: SocketAddr) -> Result<Router, Box<dyn std::error::Error>> {
    let bundle = Bundle {
        version: 1,
        deployment: "test".to_owned(),
        zones: vec![Zone {
            name: "a".to_owned(),
            region: "a".to_owned(),
        }],
        services: vec![Service {
            id: ServiceId(1),
            name: "kitchen".to_owned(),
            addresses: vec![service_address],
        }],
        targets: vec![Target {
            id: TargetId(1),
            service: ServiceId(1),
            address: "10.0.1.1:7001".parse()?,
            zone: ZoneIndex(0),
            slots: 7,
            connections: 100,
            state: TargetState::Active,
        }],
    };
    let signed = SignedBundle::sign(bundle, &OperatorKey::from_bytes([3; 32]));
    let snapshot = Snapshot::following(None, signed, 0, Duration::ZERO)?;
    let routing_table = Arc::new(RoutingTable::new(Sequence(1), &snapshot));
    Ok(Router::new(routing_table, keys(), 2))
}

fn established_packet(service_address: SocketAddr) -> Result<Vec<u8>, Box<dyn std::error::Error>> {
    let caller: SocketAddr = "10.1.0.9:5555".parse()?;
    let mut bytes = Builder::with_addresses(
        Version::Two | Command::Proxy,
        Protocol::Datagram,
        (caller, service_address),
    )
    .build()?;
    bytes.push(0x40);
    bytes.extend_from_slice(&keys().issue(TargetId(1), [1; TOKEN_NONCE_LENGTH]));
    bytes.extend_from_slice(&[7; 1100]);
    Ok(bytes)
}

#[test]
fn established_packets_are_forwarded_without_allocations() -> Result<(), Box<dyn std::error::Error>>
{
    let service_address: SocketAddr = "10.0.0.1:4433".parse()?;
    let router = router(service_address)?;
    let packet = established_packet(service_address)?;
    let envelope_key = TagKey::new([7; 16]);
    let mut buffer = Vec::with_capacity(BUFFER_LENGTH);
    let mut forwarded = 0;
    let allocations = allocation_counter::measure(|| {
        for _ in 0..PACKETS {
            let Ok(inbound) = parse_proxy_header(&packet) else {
                return;
            };
            let Ok(forward) = router.route(&inbound) else {
                return;
            };
            let envelope = &forward.envelope;
            envelope.encode_into(&envelope_key, inbound.datagram, &mut buffer);
            forwarded += 1;
        }
    });
    assert_eq!(forwarded, PACKETS);
    assert_eq!(allocations.count_total, 0);
    Ok(())
}
