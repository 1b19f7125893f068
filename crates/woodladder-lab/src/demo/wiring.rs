//! Paths of a deployment that lie behind fault proxies.
//!
//! A process behind a proxy listens on a port of its own; the proxy takes its
//! usual port, so settings, bundles and the machine list stay as they are.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::plan::{
    CONTROL_PORT, DATA_PORT, Deployment, EGRESS_PORT, MACHINE_LIST_PORT, Machine, STORE_PORT,
};
use crate::fault_proxy::{FaultProxy, FaultProxyConfig, FaultRule, Route};
use crate::stand_in::error::StandInError;

/// Distance between the usual port and that of a process behind a proxy.
const PORT_SHIFT: u16 = 50;

/// A path on which faults can be brought about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultPath {
    /// Between callers and the fabric, both ways, over UDP.
    Callers,
    /// From the fabric to balancers, over UDP.
    Balancers,
    /// From balancers and agents to agents, over UDP.
    Agents,
    /// From agents to the fabric, over UDP.
    Answers,
    /// Among nodes and operators, over UDP.
    Control,
    /// Between nodes or operators and the store, over TCP.
    Store,
    /// Between nodes or operators and the machine list, over TCP.
    MachineList,
}

/// Which paths lie behind fault proxies.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wiring {
    proxied: Vec<FaultPath>,
}

/// Running fault proxies of a deployment, one for each path.
#[derive(Debug, Default)]
pub struct FaultProxies {
    proxies: BTreeMap<FaultPath, FaultProxy>,
}

impl Wiring {
    /// Puts these paths behind fault proxies.
    #[must_use]
    pub fn through(proxied: &[FaultPath]) -> Self {
        Self {
            proxied: proxied.to_vec(),
        }
    }

    /// Whether a path lies behind a proxy.
    #[must_use]
    pub fn is_proxied(&self, path: FaultPath) -> bool {
        self.proxied.contains(&path)
    }

    /// Where the process at the end of a path listens on a machine.
    #[must_use]
    pub fn listen(&self, path: FaultPath, machine: Machine) -> SocketAddr {
        let shift = u16::from(self.is_proxied(path)) * PORT_SHIFT;
        machine.at(usual_port(path) + shift)
    }

    /// Where callers reach a service.
    #[must_use]
    pub fn caller_entry(&self, service: SocketAddr) -> SocketAddr {
        let shift = u16::from(self.is_proxied(FaultPath::Callers)) * PORT_SHIFT;
        SocketAddr::new(service.ip(), service.port() + shift)
    }

    fn routes(&self, path: FaultPath, deployment: &Deployment) -> Vec<Route> {
        if path == FaultPath::Callers {
            return self.caller_routes(deployment);
        }
        let machines = match path {
            FaultPath::Balancers => deployment.balancers(),
            FaultPath::Agents => deployment.agents(),
            FaultPath::Control => [deployment.balancers(), deployment.agents()].concat(),
            _ => vec![deployment.platform()],
        };
        let route = |machine: Machine| Route {
            listen: machine.at(usual_port(path)),
            upstream: self.listen(path, machine),
        };
        machines.into_iter().map(route).collect()
    }

    fn caller_routes(&self, deployment: &Deployment) -> Vec<Route> {
        let services = deployment.bundle.services.iter();
        let addresses = services.flat_map(|service| &service.addresses);
        let route = |address: &SocketAddr| Route {
            listen: self.caller_entry(*address),
            upstream: *address,
        };
        addresses.map(route).collect()
    }
}

impl FaultProxies {
    /// Starts the proxies of a deployment, without faults.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(
        wiring: &Wiring,
        deployment: &Deployment,
        seed: u64,
    ) -> Result<Self, StandInError> {
        let mut proxies = BTreeMap::new();
        for (path, stream) in wiring.proxied.iter().zip(0..) {
            let routes = wiring.routes(*path, deployment);
            let mut config = FaultProxyConfig {
                seed: seed + stream,
                ..FaultProxyConfig::default()
            };
            match path {
                FaultPath::Store | FaultPath::MachineList => config.tcp = routes,
                _ => config.udp = routes,
            }
            proxies.insert(*path, FaultProxy::start(config).await?);
        }
        Ok(Self { proxies })
    }

    /// Replaces the faults of a path; nothing happens when it has no proxy.
    pub fn set_rule(&self, path: FaultPath, rule: FaultRule) {
        if let Some(proxy) = self.proxies.get(&path) {
            proxy.set_rule(rule);
        }
    }

    /// Connections of a path that are open now carry nothing any more and are not closed. New
    /// ones work.
    pub fn silence_open_connections(&self, path: FaultPath) {
        if let Some(proxy) = self.proxies.get(&path) {
            proxy.silence_open_connections();
        }
    }

    /// Datagrams lost on purpose so far, on all paths.
    #[must_use]
    pub fn lost_datagrams(&self) -> u64 {
        self.proxies.values().map(FaultProxy::lost_datagrams).sum()
    }
}

fn usual_port(path: FaultPath) -> u16 {
    match path {
        FaultPath::Callers | FaultPath::Balancers | FaultPath::Agents => DATA_PORT,
        FaultPath::Answers => EGRESS_PORT,
        FaultPath::Control => CONTROL_PORT,
        FaultPath::Store => STORE_PORT,
        FaultPath::MachineList => MACHINE_LIST_PORT,
    }
}
