//! A caller, a fabric with one balancer, and a scripted back end round one
//! real agent.
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
use woodladder_core::bundle::{Bundle, Service, SignedBundle, Target, TargetState, Zone};
use woodladder_core::directory::Directory;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::keyed_tag::TagKey;
use woodladder_core::signature::OperatorKey;
use woodladder_core::snapshot::Snapshot;
use woodladder_core::token::{TokenKey, TokenKeys};

use back_end::BackEnd;
use caller::Caller;
use fabric::Fabric;

pub const LOCALHOST: &str = "localhost";
pub const SERVICE: ServiceId = ServiceId(1);
pub const TARGET: TargetId = TargetId(11);

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const PATIENCE: Duration = Duration::from_secs(20);

/// One agent with all that is round it.
pub struct World {
    pub agent: AgentHandle,
    pub back_end: BackEnd,
    pub fabric: Fabric,
    pub directory: Arc<ArcSwap<Directory>>,
    pub chain: Vec<rustls::pki_types::CertificateDer<'static>>,
}

impl World {
    pub async fn start(limits: Limits) -> Self {
        let back_end = BackEnd::start().await;
        Self::with_back_end(limits, back_end).await
    }

    pub async fn with_back_end(limits: Limits, back_end: BackEnd) -> Self {
        let socket = UdpSocket::bind(ANY_PORT).unwrap();
        let agent_address = socket.local_addr().unwrap();
        let fabric = Fabric::start(keys()).await;
        let layout = directory(Sequence(1), fabric.service_address, agent_address);
        let directory = Arc::new(ArcSwap::from_pointee(layout));
        fabric.route_by(&directory);
        let certificate = Certificate::self_signed(&[LOCALHOST.to_owned()]).unwrap();
        let chain = certificate.chain.clone();
        let config = AgentConfig {
            socket,
            target: TARGET,
            service: SERVICE,
            back_end: back_end.address,
            egress: vec![fabric.egress_address],
            keys: keys(),
            certificate,
            limits,
            directory: Arc::clone(&directory),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        };
        Self {
            agent: Agent::start(config).unwrap(),
            back_end,
            fabric,
            directory,
            chain,
        }
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.fabric.service_address, &self.chain)
            .await
            .unwrap()
    }
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

/// A directory of one service with one target.
pub fn directory(sequence: Sequence, service: SocketAddr, agent: SocketAddr) -> Directory {
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
        targets: vec![Target {
            id: TARGET,
            service: SERVICE,
            address: agent,
            zone: ZoneIndex(0),
            slots: 7,
            connections: 2000,
            state: TargetState::Active,
        }],
    };
    let signed = SignedBundle::sign(bundle.canonical(), &OperatorKey::from_bytes([1; 32]));
    let snapshot = Snapshot::following(None, signed, 0, Duration::from_secs(60)).unwrap();
    Directory::new(sequence, &snapshot)
}

/// Waits until a condition holds; fails the test when it never does.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "never came true: {what}");
}

/// Waits for a future; fails the test when it never ends.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let waited = tokio::time::timeout(PATIENCE, future).await;
    waited.unwrap_or_else(|_| panic!("never ended: {what}"))
}
