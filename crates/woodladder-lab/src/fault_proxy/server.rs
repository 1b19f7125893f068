//! Start and stop of the fault proxy.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::admin;
use super::config::{FaultProxyConfig, Route};
use super::rule::FaultRule;
use super::switch::RuleSwitch;
use super::tcp::TcpRelay;
use super::udp::UdpRelay;
use crate::stand_in::error::StandInError;
use crate::stand_in::gate::Gate;
use crate::stand_in::http_server::HttpServer;
use crate::stand_in::socket::{bind_udp, bound_address};

/// Streams of the generator between two routes, so that their draws never meet.
const STREAMS_PER_ROUTE: u64 = 1 << 32;

/// A running fault proxy. Dropping it stops it.
#[derive(Debug)]
pub struct FaultProxy {
    udp_addresses: Vec<SocketAddr>,
    tcp_addresses: Vec<SocketAddr>,
    admin: HttpServer,
    switch: RuleSwitch,
    tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Binds all routes and starts to relay.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(config: FaultProxyConfig) -> Result<Self, StandInError> {
        let switch = RuleSwitch::new(config.rule);
        let admin_router = admin::router(switch.clone());
        let admin = HttpServer::start(config.admin_address, admin_router, Gate::default()).await?;
        let mut proxy = Self {
            udp_addresses: Vec::new(),
            tcp_addresses: Vec::new(),
            admin,
            switch,
            tasks: JoinSet::new(),
        };
        let mut stream = 0;
        for route in &config.udp {
            proxy.relay_udp(*route, config.seed, stream)?;
            stream += STREAMS_PER_ROUTE;
        }
        for route in &config.tcp {
            proxy.relay_tcp(*route, config.seed, stream).await?;
            stream += STREAMS_PER_ROUTE;
        }
        Ok(proxy)
    }

    fn relay_udp(&mut self, route: Route, seed: u64, stream: u64) -> Result<(), StandInError> {
        let listener = bind_udp(route.listen)?;
        self.udp_addresses
            .push(bound_address(&listener, route.listen)?);
        let relay = UdpRelay {
            listener: Arc::new(listener),
            upstream: route.upstream,
            switch: self.switch.clone(),
            seed,
            stream,
        };
        self.tasks.spawn(relay.run());
        Ok(())
    }

    async fn relay_tcp(
        &mut self,
        route: Route,
        seed: u64,
        stream: u64,
    ) -> Result<(), StandInError> {
        let bind_error = |source| StandInError::Bind {
            address: route.listen,
            source,
        };
        let listener = TcpListener::bind(route.listen).await.map_err(bind_error)?;
        self.tcp_addresses
            .push(listener.local_addr().map_err(bind_error)?);
        let relay = TcpRelay {
            listener,
            upstream: route.upstream,
            switch: self.switch.clone(),
            seed,
            stream,
        };
        self.tasks.spawn(relay.run());
        Ok(())
    }

    /// The bound UDP addresses, in the order of the routes.
    #[must_use]
    pub fn udp_addresses(&self) -> &[SocketAddr] {
        &self.udp_addresses
    }

    /// The bound TCP addresses, in the order of the routes.
    #[must_use]
    pub fn tcp_addresses(&self) -> &[SocketAddr] {
        &self.tcp_addresses
    }

    /// Address of the administrative interface.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Replaces the faults in force.
    pub fn set_rule(&self, rule: FaultRule) {
        self.switch.set(rule);
    }

    /// The TCP connections that are open now carry nothing more, in either direction, and are
    /// not closed; new ones are relayed.
    pub fn silence_open_connections(&self) {
        self.switch.silence_open_connections();
    }

    /// Datagrams lost on purpose so far.
    #[must_use]
    pub fn lost_datagrams(&self) -> u64 {
        self.switch.lost()
    }

    /// Stops relaying and closes all sockets.
    pub async fn shutdown(mut self) {
        self.admin.shutdown();
        self.tasks.shutdown().await;
    }
}
