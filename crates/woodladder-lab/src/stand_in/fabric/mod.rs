//! Fabric: carries callers' datagrams to balancers chosen at random, and agents' answers back.

mod admin;
mod balancers;
mod counters;
mod delay_line;
mod egress;
mod health;
mod ingress;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

pub use balancers::BalancerEndpoint;
pub use counters::{BalancerCount, FabricCounters};

use self::balancers::BalancerSet;
use self::counters::Counters;
use self::delay_line::DelayLine;
use super::error::StandInError;
use super::gate::Gate;
use super::http_server::HttpServer;
use super::socket::{bind_udp, bound_address};

/// How the fabric is set up.
#[derive(Clone, Debug)]
pub struct FabricConfig {
    /// Addresses which callers connect to, one a service. Port 0 takes a free one.
    pub service_addresses: Vec<SocketAddr>,
    /// Where agents send answers.
    pub egress_address: SocketAddr,
    /// Where the administrative HTTP interface listens.
    pub admin_address: SocketAddr,
    /// Balancers at the start.
    pub balancers: Vec<BalancerEndpoint>,
    /// Delay of each datagram in each direction.
    pub one_way_delay: Duration,
    /// Time between health checks of a balancer, also the limit for one.
    pub health_interval: Duration,
    /// Seed of the choice among balancers.
    pub seed: u64,
}

impl Default for FabricConfig {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            service_addresses: vec![any],
            egress_address: any,
            admin_address: any,
            balancers: Vec::new(),
            one_way_delay: Duration::ZERO,
            health_interval: Duration::from_millis(200),
            seed: 0,
        }
    }
}

/// A running fabric. Dropping it stops it.
#[derive(Debug)]
pub struct Fabric {
    service_addresses: Vec<SocketAddr>,
    egress_address: SocketAddr,
    admin: HttpServer,
    balancers: Arc<BalancerSet>,
    counters: Arc<Counters>,
    tasks: JoinSet<()>,
}

impl Fabric {
    /// Binds all sockets and starts to carry datagrams.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(config: FabricConfig) -> Result<Self, StandInError> {
        let services = bind_services(&config.service_addresses)?;
        let egress_socket = bind_udp(config.egress_address)?;
        let egress_address = bound_address(&egress_socket, config.egress_address)?;
        let mut fabric = Running {
            balancers: Arc::new(BalancerSet::new(&config.balancers)),
            counters: Arc::default(),
            tasks: JoinSet::new(),
        };
        fabric.carry_inward(&config, &services)?;
        fabric.carry_outward(&config, &services, egress_socket);
        fabric.check_health(&config)?;

        let Running {
            balancers,
            counters,
            tasks,
        } = fabric;
        let router = admin::router(Arc::clone(&balancers), Arc::clone(&counters));
        let admin = HttpServer::start(config.admin_address, router, Gate::default()).await?;
        Ok(Self {
            service_addresses: services.iter().map(|service| service.address).collect(),
            egress_address,
            admin,
            balancers,
            counters,
            tasks,
        })
    }

    /// The bound service addresses, in the order of the configuration.
    #[must_use]
    pub fn service_addresses(&self) -> &[SocketAddr] {
        &self.service_addresses
    }

    /// Where agents send answers.
    #[must_use]
    pub fn egress_address(&self) -> SocketAddr {
        self.egress_address
    }

    /// Address of the administrative interface.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Replaces the balancers.
    pub fn set_balancers(&self, endpoints: &[BalancerEndpoint]) {
        self.balancers.replace(endpoints);
    }

    /// What was carried and dropped so far.
    #[must_use]
    pub fn counters(&self) -> FabricCounters {
        self.counters.snapshot()
    }

    /// Stops carrying datagrams and closes the sockets.
    pub async fn shutdown(mut self) {
        self.admin.shutdown();
        self.tasks.shutdown().await;
    }
}

/// Socket which callers of one service send to and hear from.
struct ServiceSocket {
    address: SocketAddr,
    socket: Arc<UdpSocket>,
}

fn bind_services(addresses: &[SocketAddr]) -> Result<Vec<ServiceSocket>, StandInError> {
    addresses
        .iter()
        .map(|asked| {
            let socket = bind_udp(*asked)?;
            Ok(ServiceSocket {
                address: bound_address(&socket, *asked)?,
                socket: Arc::new(socket),
            })
        })
        .collect()
}

/// The tasks of a fabric and what they share.
struct Running {
    balancers: Arc<BalancerSet>,
    counters: Arc<Counters>,
    tasks: JoinSet<()>,
}

impl Running {
    /// From callers to balancers.
    fn carry_inward(
        &mut self,
        config: &FabricConfig,
        services: &[ServiceSocket],
    ) -> Result<(), StandInError> {
        let any_port = SocketAddr::new(config.egress_address.ip(), 0);
        let outlet = Arc::new(bind_udp(any_port)?);
        let line = DelayLine::start(config.one_way_delay, &self.counters, &mut self.tasks);
        for (service, stream) in services.iter().zip(0..) {
            let mut generator = ChaCha8Rng::seed_from_u64(config.seed);
            generator.set_stream(stream);
            self.tasks.spawn(ingress::run(ingress::Ingress {
                service_address: service.address,
                service_socket: Arc::clone(&service.socket),
                outlet: Arc::clone(&outlet),
                line: line.clone(),
                balancers: self.balancers.subscribe(),
                counters: Arc::clone(&self.counters),
                generator,
            }));
        }
        Ok(())
    }

    /// From agents to callers.
    fn carry_outward(
        &mut self,
        config: &FabricConfig,
        services: &[ServiceSocket],
        socket: UdpSocket,
    ) {
        let line = DelayLine::start(config.one_way_delay, &self.counters, &mut self.tasks);
        let service_sockets = services
            .iter()
            .map(|service| (service.address, Arc::clone(&service.socket)))
            .collect();
        self.tasks.spawn(egress::run(egress::Egress {
            socket,
            service_sockets,
            line,
            counters: Arc::clone(&self.counters),
        }));
    }

    fn check_health(&mut self, config: &FabricConfig) -> Result<(), StandInError> {
        let checks = health::run(Arc::clone(&self.balancers), config.health_interval)?;
        self.tasks.spawn(checks);
        Ok(())
    }
}
