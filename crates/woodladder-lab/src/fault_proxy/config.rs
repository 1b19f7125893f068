//! Settings of the fault proxy.

use std::net::SocketAddr;

use super::rule::FaultRule;

/// One relayed address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Where clients send. Port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where it is relayed to.
    pub upstream: SocketAddr,
}

/// How a fault proxy is set up.
#[derive(Clone, Debug)]
pub struct FaultProxyConfig {
    /// Relayed UDP addresses.
    pub udp: Vec<Route>,
    /// Relayed TCP addresses.
    pub tcp: Vec<Route>,
    /// Where the administrative interface listens.
    pub admin_address: SocketAddr,
    /// Faults at the start.
    pub rule: FaultRule,
    /// Seed of the faults drawn at random.
    pub seed: u64,
}

impl Default for FaultProxyConfig {
    fn default() -> Self {
        Self {
            udp: Vec::new(),
            tcp: Vec::new(),
            admin_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            rule: FaultRule::default(),
            seed: 0,
        }
    }
}
