//! Test bed around real agents: HTTP/3 callers, a fabric with one balancer, and
//! scripted back ends.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod back_end;
pub mod caller;
pub mod fabric;

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use woodladder::agent::{Agent, AgentConfig, AgentHandle, AgentKeys, Certificate, Limits};
use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::configuration::snapshot::Snapshot;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::OperatorKey;

use back_end::BackEnd;
use caller::Caller;
use fabric::Fabric;

pub const LOCALHOST: &str = "localhost";
pub const SERVICE: ServiceId = ServiceId(1);

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SLOTS: u16 = 7;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Agents of one service with their back ends, fabric and configuration.
pub struct TestBed {
    pub nodes: Vec<AgentNode>,
    pub fabric: Fabric,
    pub routing_table: Arc<ArcSwap<RoutingTable>>,
    pub certificate: Certificate,
}

/// An agent and its back end.
pub struct AgentNode {
    pub agent: AgentHandle,
    pub back_end: BackEnd,
    pub address: SocketAddr,
}

impl TestBed {
    pub async fn start(limits: Limits) -> Self {
        Self::with_back_ends(limits, vec![BackEnd::start().await]).await
    }

    pub async fn with_back_ends(limits: Limits, back_ends: Vec<BackEnd>) -> Self {
        let (mut test_bed, sockets) = Self::without_agents(back_ends.len()).await;
        let addresses = sockets.iter().map(|socket| socket.local_addr().unwrap());
        test_bed.roll(targets(addresses, limits.slots));
        for (back_end, socket) in back_ends.into_iter().zip(sockets) {
            let address = socket.local_addr().unwrap();
            let config = test_bed.config(test_bed.nodes.len(), back_end.address, socket, limits);
            test_bed.nodes.push(AgentNode {
                agent: Agent::start(config).unwrap(),
                back_end,
                address,
            });
        }
        test_bed
    }

    /// A test bed with bound sockets for `count` agents, none of which runs.
    pub async fn without_agents(count: usize) -> (Self, Vec<UdpSocket>) {
        let bind = |_| UdpSocket::bind(ANY_PORT).unwrap();
        let sockets: Vec<UdpSocket> = (0..count).map(bind).collect();
        let addresses = sockets.iter().map(|socket| socket.local_addr().unwrap());
        let targets = targets(addresses, SLOTS);
        let fabric = Fabric::start(keys()).await;
        let routing_table = routing_table(Sequence(1), fabric.service_address, targets);
        let test_bed = Self {
            nodes: Vec::new(),
            routing_table: Arc::new(ArcSwap::from_pointee(routing_table)),
            certificate: Certificate::self_signed(&[LOCALHOST.to_owned()]).unwrap(),
            fabric,
        };
        test_bed.fabric.set_routing_table(&test_bed.routing_table);
        (test_bed, sockets)
    }

    /// Configuration of the agent of the target at this position.
    pub fn config(
        &self,
        position: usize,
        back_end: SocketAddr,
        socket: UdpSocket,
        limits: Limits,
    ) -> AgentConfig {
        AgentConfig {
            socket,
            target: target_id(position),
            service: SERVICE,
            back_end,
            health_path: None,
            fabric_egress: vec![self.fabric.egress_address],
            keys: keys(),
            certificate: Certificate {
                chain: self.certificate.chain.clone(),
                key: self.certificate.key.clone_key(),
            },
            limits,
            routing_table: Arc::clone(&self.routing_table),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        }
    }

    pub fn agent(&self) -> &AgentHandle {
        &self.nodes[0].agent
    }

    pub fn back_end(&mut self) -> &mut BackEnd {
        &mut self.nodes[0].back_end
    }

    pub async fn caller(&self) -> Caller {
        self.try_caller().await.unwrap()
    }

    pub async fn try_caller(&self) -> Result<Caller, quinn::ConnectionError> {
        Caller::connect(self.fabric.service_address, &self.certificate.chain).await
    }

    /// Routing table of a balancer whose bundle holds only the target at
    /// `position`.
    pub fn routing_table_with_only(&self, position: usize) -> Arc<ArcSwap<RoutingTable>> {
        let mut targets = targets(self.addresses(), SLOTS);
        let target = targets.swap_remove(position);
        let routing_table = routing_table(Sequence(1), self.fabric.service_address, vec![target]);
        Arc::new(ArcSwap::from_pointee(routing_table))
    }

    /// Puts a bundle in force that lists the first target as leaving.
    pub fn roll_first_target_leaving(&self) {
        let mut targets = targets(self.addresses(), SLOTS);
        targets[0].state = TargetState::Leaving;
        self.roll(targets);
    }

    /// Puts a bundle in force whose targets have `slots` slots each.
    pub fn roll_with_slots(&self, slots: u16) {
        self.roll(targets(self.addresses(), slots));
    }

    fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.nodes.iter().map(|node| node.address)
    }

    fn roll(&self, targets: Vec<Target>) {
        let sequence = self.routing_table.load().sequence().next();
        let routing_table = routing_table(sequence, self.fabric.service_address, targets);
        self.routing_table.store(Arc::new(routing_table));
    }
}

pub fn target_id(position: usize) -> TargetId {
    TargetId(11 + u32::try_from(position).unwrap())
}

fn targets(addresses: impl Iterator<Item = SocketAddr>, slots: u16) -> Vec<Target> {
    let target = |(position, address)| Target {
        id: target_id(position),
        service: SERVICE,
        address,
        zone: ZoneIndex(0),
        slots,
        connections: 2000,
        state: TargetState::Active,
    };
    addresses.enumerate().map(target).collect()
}

pub fn keys() -> AgentKeys {
    let key = |label: &[u8]| TagKey::new([7; 16]).derive(label);
    AgentKeys {
        envelope: key(b"envelope"),
        token: TokenKeys {
            current: TokenKey {
                number: 1,
                key: key(b"token"),
            },
            previous: None,
        },
        reset: key(b"reset"),
    }
}

/// A directory of one service with these targets.
fn routing_table(sequence: Sequence, service: SocketAddr, targets: Vec<Target>) -> RoutingTable {
    let bundle = Bundle {
        version: sequence.0,
        deployment: "test".to_owned(),
        zones: vec![Zone {
            name: "one".to_owned(),
            region: "region".to_owned(),
        }],
        services: vec![Service {
            id: SERVICE,
            name: "service".to_owned(),
            addresses: vec![service],
        }],
        targets,
    };
    let signed = SignedBundle::sign(bundle.canonical(), &OperatorKey::from_bytes([1; 32]));
    let snapshot = Snapshot::following(None, signed, 0, Duration::from_secs(60)).unwrap();
    RoutingTable::new(sequence, &snapshot)
}

/// Waits until a condition holds; panics after [`TIMEOUT`].
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(
        waited.is_ok(),
        "condition not met within {TIMEOUT:?}: {what}"
    );
}

/// Waits for a future; panics after [`TIMEOUT`].
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let waited = tokio::time::timeout(TIMEOUT, future).await;
    waited.unwrap_or_else(|_| panic!("not finished within {TIMEOUT:?}: {what}"))
}
