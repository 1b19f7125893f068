//! The two deployments at their sizes, and the bundles over them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::configuration::snapshot::{DEFAULT_LINGER, Snapshot};
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::signature::{KEY_LENGTH, OperatorKey};

/// Port of every service address and agent.
const PORT: u16 = 4433;
/// Network of service addresses.
const SERVICE_NETWORK: [u8; 3] = [203, 0, 113];
/// First octet of agents' addresses.
const AGENT_NETWORK: u8 = 10;
/// Operator key of laboratory bundles.
const LABORATORY_KEY: [u8; KEY_LENGTH] = [7; KEY_LENGTH];

/// A service at its size.
#[derive(Clone, Copy, Debug)]
pub struct ServicePlan {
    /// Identifier in bundles.
    pub id: ServiceId,
    /// Name in reports.
    pub name: &'static str,
    /// Targets at the start.
    pub targets: u16,
    /// Slots of each target.
    pub slots: u16,
    /// Connections of each target.
    pub connections: u32,
}

/// A deployment at its size.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in reports.
    pub name: &'static str,
    /// Number of zones.
    pub zones: u16,
    /// Delay between two zones, one way.
    pub zone_delay: Duration,
    /// Delay between callers and any zone, one way.
    pub client_delay: Duration,
    /// Balancers at the start.
    pub balancers: usize,
    /// The service that holds feeds, then the one that does not.
    pub services: [ServicePlan; 2],
}

/// Taiwan: the kitchen service and the print service.
pub const TAIWAN: Deployment = Deployment {
    name: "taiwan",
    zones: 3,
    zone_delay: Duration::from_micros(1400),
    client_delay: Duration::from_millis(1),
    balancers: 6,
    services: [
        ServicePlan {
            id: ServiceId(1),
            name: "kitchen",
            targets: 7,
            slots: 7,
            connections: 2000,
        },
        ServicePlan {
            id: ServiceId(2),
            name: "print",
            targets: 3,
            slots: 7,
            connections: 2000,
        },
    ],
};

/// Almaty: the donation desk and the receipt archive.
pub const ALMATY: Deployment = Deployment {
    name: "almaty",
    zones: 4,
    zone_delay: Duration::from_micros(500),
    client_delay: Duration::from_millis(3),
    balancers: 8,
    services: [
        ServicePlan {
            id: ServiceId(1),
            name: "donation-desk",
            targets: 7,
            slots: 5,
            connections: 2000,
        },
        ServicePlan {
            id: ServiceId(2),
            name: "receipt-archive",
            targets: 4,
            slots: 5,
            connections: 2000,
        },
    ],
};

impl Deployment {
    /// The bundle's targets at the start.
    #[must_use]
    pub fn initial_targets(&self) -> Vec<Target> {
        let services = self.services.iter();
        services
            .flat_map(|service| (0..service.targets).map(|index| self.target(service, index)))
            .collect()
    }

    /// The target of a service at this position; positions beyond the initial
    /// number name targets that rolls add.
    #[must_use]
    pub fn target(&self, service: &ServicePlan, index: u16) -> Target {
        let id = TargetId(service.id.0 * 100 + u32::from(index));
        let [_, _, high, low] = id.0.to_be_bytes();
        Target {
            id,
            service: service.id,
            address: SocketAddr::from((Ipv4Addr::new(AGENT_NETWORK, 0, high, low), PORT)),
            zone: ZoneIndex(index % self.zones),
            slots: service.slots,
            connections: service.connections,
            state: TargetState::Active,
        }
    }

    /// The signed bundle with these targets.
    #[must_use]
    pub fn bundle(&self, version: u64, targets: Vec<Target>) -> SignedBundle {
        let zones = (0..self.zones).map(|index| Zone {
            name: format!("zone-{index}"),
            region: self.name.to_owned(),
        });
        let services = self.services.iter().map(|service| Service {
            id: service.id,
            name: service.name.to_owned(),
            addresses: vec![service_address(service.id)],
        });
        let bundle = Bundle {
            version,
            deployment: self.name.to_owned(),
            zones: zones.collect(),
            services: services.collect(),
            targets,
        };
        let key = OperatorKey::from_bytes(LABORATORY_KEY);
        SignedBundle::sign(bundle.canonical(), &key)
    }
}

/// Address that callers of a service send to.
#[must_use]
pub fn service_address(service: ServiceId) -> SocketAddr {
    let [a, b, c] = SERVICE_NETWORK;
    let [.., last] = service.0.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(a, b, c, last), PORT))
}

/// The directory that follows `previous` when a bundle is rolled.
///
/// Laboratory bundles never move a target to another service, so that the
/// snapshot always follows.
pub fn follow(
    previous: Option<&Snapshot>,
    signed: SignedBundle,
    sequence: Sequence,
) -> Option<(Snapshot, Arc<RoutingTable>)> {
    let snapshot = Snapshot::following(previous, signed, 0, DEFAULT_LINGER).ok()?;
    let directory = Arc::new(RoutingTable::new(sequence, &snapshot));
    Some((snapshot, directory))
}
