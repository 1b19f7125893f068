//! Caller, fabric, two balancers, two agents and two back ends in one process, judged by the oracle.

mod support;

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use support::eventually;
use woodladder::agent::{Agent, AgentConfig, AgentHandle, AgentKeys, Certificate, Limits};
use woodladder::balancer::{PacketPath, PacketPathConfig};
use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::configuration::snapshot::Snapshot;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::router::Router;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::OperatorKey;
use woodladder_core::target::drain::DrainReason;
use woodladder_lab::stand_in::back_end::{BackEnd, BackEndConfig};
use woodladder_lab::stand_in::caller::{
    Caller, CallerConfig, CallerEndpoints, EndpointsConfig, Operation, Outcome, OutcomeRecorder,
};
use woodladder_lab::stand_in::fabric::{BalancerEndpoint, Fabric, FabricConfig};
use woodladder_lab::stand_in::oracle::{Evidence, OracleSettings, judge};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SERVICE: ServiceId = ServiceId(1);
const SERVICE_NAME: &str = "orders";
const SERVER_NAME: &str = "woodladder.test";

fn keys() -> AgentKeys {
    let key = |label: &[u8]| TagKey::new([7; 16]).derive(label);
    let current = TokenKey {
        number: 1,
        key: key(b"token"),
    };
    AgentKeys {
        envelope: key(b"envelope"),
        token: TokenKeys {
            current,
            previous: None,
        },
        reset: key(b"reset"),
    }
}

fn directory(service_address: SocketAddr, targets: &[SocketAddr]) -> Arc<RoutingTable> {
    let target = |(position, address): (usize, &SocketAddr)| Target {
        id: target_id(position),
        service: SERVICE,
        address: *address,
        zone: ZoneIndex(0),
        slots: 7,
        connections: 2_000,
        state: TargetState::Active,
    };
    let bundle = Bundle {
        version: 1,
        deployment: "test".to_owned(),
        zones: vec![Zone {
            name: "zone".to_owned(),
            region: "region".to_owned(),
        }],
        services: vec![Service {
            id: SERVICE,
            name: SERVICE_NAME.to_owned(),
            addresses: vec![service_address],
        }],
        targets: targets.iter().enumerate().map(target).collect(),
    };
    let signed = SignedBundle::sign(bundle.canonical(), &OperatorKey::from_bytes([1; 32]));
    let snapshot = Snapshot::following(None, signed, 0, Duration::ZERO).expect("snapshot");
    Arc::new(RoutingTable::new(Sequence(1), &snapshot))
}

fn target_id(position: usize) -> TargetId {
    TargetId(10 + u32::try_from(position).expect("few targets"))
}

fn balancer(directory: &Arc<RoutingTable>) -> PacketPath {
    let router = Router::new(Arc::clone(directory), keys().token, 2);
    PacketPath::start(&PacketPathConfig {
        listen: ANY,
        workers: 1,
        socket_buffer_bytes: 1 << 20,
        router: Arc::new(ArcSwapOption::from_pointee(router)),
        envelope_key: keys().envelope,
        logger: woodladder::log::discarding_logger(),
    })
    .expect("balancer")
}

struct World {
    fabric: Fabric,
    _balancers: Vec<PacketPath>,
    agents: Vec<AgentHandle>,
    back_ends: Vec<BackEnd>,
    certificate: Certificate,
}

impl World {
    async fn start() -> Self {
        let fabric = Fabric::start(FabricConfig::default())
            .await
            .expect("fabric");
        let sockets = [0, 1].map(|_| UdpSocket::bind(ANY).expect("bind"));
        let addresses = [0, 1].map(|index: usize| sockets[index].local_addr().expect("address"));
        let directory = directory(fabric.service_addresses()[0], &addresses);
        let balancers = vec![balancer(&directory), balancer(&directory)];
        let endpoint = |path: &PacketPath| BalancerEndpoint {
            address: path.address(),
            health: None,
        };
        fabric.set_balancers(&balancers.iter().map(endpoint).collect::<Vec<_>>());

        let certificate = Certificate::self_signed(&[SERVER_NAME.to_owned()]).expect("certificate");
        let mut world = Self {
            fabric,
            _balancers: balancers,
            agents: Vec::new(),
            back_ends: Vec::new(),
            certificate,
        };
        for (position, socket) in sockets.into_iter().enumerate() {
            world.add_target(position, socket, &directory).await;
        }
        world
    }

    async fn add_target(&mut self, position: usize, socket: UdpSocket, layout: &Arc<RoutingTable>) {
        let back_end = BackEnd::start(BackEndConfig {
            service: SERVICE_NAME.to_owned(),
            name: format!("{SERVICE_NAME}-{position}"),
            service_time: Duration::from_millis(1),
            feed_interval: Duration::from_millis(5),
            ..BackEndConfig::default()
        })
        .await
        .expect("back end");
        let agent = Agent::start(AgentConfig {
            socket,
            target: target_id(position),
            service: SERVICE,
            back_end: back_end.address(),
            health_path: Some("/health".to_owned()),
            fabric_egress: vec![self.fabric.egress_address()],
            keys: keys(),
            certificate: Certificate {
                chain: self.certificate.chain.clone(),
                key: self.certificate.key.clone_key(),
            },
            limits: Limits::default(),
            routing_table: Arc::new(ArcSwap::new(Arc::clone(layout))),
            logger: woodladder::log::discarding_logger(),
        })
        .expect("agent");
        self.agents.push(agent);
        self.back_ends.push(back_end);
    }
}

#[tokio::test]
async fn serves_requests_and_moves_feeds_off_a_leaving_target() {
    let world = World::start().await;
    let trust = EndpointsConfig::new(world.certificate.chain[0].clone());
    let endpoints = CallerEndpoints::open(&trust).expect("endpoints");
    let recorder = Arc::new(OutcomeRecorder::default());
    let config = CallerConfig::new(world.fabric.service_addresses()[0], SERVICE_NAME);
    let callers: Vec<Caller> = (0..8)
        .map(|_| Caller::new(config.clone(), endpoints.clone(), Arc::clone(&recorder)))
        .collect();

    let feeds: Vec<_> = callers.iter().map(Caller::watch_feed).collect();
    eventually("all feeds tick", || {
        feeds.iter().all(|feed| feed.ticks() > 0)
    })
    .await;
    for (caller, id) in callers.iter().zip(1..) {
        for operation in [Operation::change(id), Operation::sheet(100 + id)] {
            assert_eq!(
                caller.ask(operation).await,
                Outcome::Answered { defect: None }
            );
        }
    }

    let opened = |target: usize| world.back_ends[target].execution_log().feed_openings.len();
    let leaving = if opened(0) > 0 { 0 } else { 1 };
    let to_move = opened(leaving);
    world.back_ends[leaving].drain();
    world.agents[leaving].begin_drain(DrainReason::Signal);
    let moved = || feeds.iter().filter(|feed| feed.moves() > 0).count();
    eventually("feeds of the leaving target moved", || moved() >= to_move).await;
    assert_eq!(
        callers[0].ask(Operation::change(50)).await,
        Outcome::Answered { defect: None }
    );
    for feed in feeds {
        feed.end().await.expect("record");
    }

    let evidence = Evidence {
        back_ends: world.back_ends.iter().map(BackEnd::execution_log).collect(),
        callers: recorder.snapshot(),
    };
    let settings = OracleSettings {
        planned_changes_only: true,
        ..OracleSettings::default()
    };
    let report = judge(&evidence, &settings);
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

/// New flows in a row that must go to the other back end.
const STEADY_FLOWS: u64 = 24;
/// New flows after which the test gives up.
const MOST_FLOWS: u64 = 2_000;

#[tokio::test]
async fn new_flows_leave_a_back_end_whose_health_says_that_it_leaves() {
    let world = World::start().await;
    let trust = EndpointsConfig::new(world.certificate.chain[0].clone());
    let endpoints = CallerEndpoints::open(&trust).expect("endpoints");
    let recorder = Arc::new(OutcomeRecorder::default());
    let config = CallerConfig::new(world.fabric.service_addresses()[0], SERVICE_NAME);
    world.back_ends[0].drain();

    let ran_there = || world.back_ends[0].execution_log().executions.len();
    let mut elsewhere = 0;
    for id in 1..MOST_FLOWS {
        let before = ran_there();
        let caller = Caller::new(config.clone(), endpoints.clone(), Arc::clone(&recorder));
        let outcome = caller.ask_once(Operation::change(id), 1).await;
        assert_eq!(outcome, Outcome::Answered { defect: None });
        elsewhere = if ran_there() == before {
            elsewhere + 1
        } else {
            0
        };
        if elsewhere == STEADY_FLOWS {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("new flows kept going to the back end that leaves");
}
