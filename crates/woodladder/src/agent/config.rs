//! What an agent is started with: plain data, checked by the settings layer.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::TokenKeys;
use woodladder_core::target::drain::DEFAULT_DRAIN_GRACE;
use woodladder_core::target::slow_start::SlowStartOptions;

/// All that an agent needs to run beside one back end.
pub struct AgentConfig {
    /// Bound UDP socket that balancers and other agents send envelopes to.
    pub socket: UdpSocket,
    /// Target that this agent stands for.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address where the back end answers HTTP/1.1.
    pub back_end: SocketAddr,
    /// Path of the back end's health endpoint, where 503 means that it is
    /// leaving; not asked when there is none.
    pub health_path: Option<String>,
    /// Addresses of the fabric that take datagrams for callers; not empty.
    pub fabric_egress: Vec<SocketAddr>,
    /// Secrets shared with the other nodes.
    pub keys: AgentKeys,
    /// What the agent shows to callers in the TLS handshake.
    pub certificate: Certificate,
    /// Bounds on what the agent holds and how long it waits.
    pub limits: Limits,
    /// Configuration in force; the owner stores a later one at each roll.
    pub directory: Arc<ArcSwap<RoutingTable>>,
    /// Logger of the process.
    pub logger: slog::Logger,
}

/// Secrets of an agent.
#[derive(Clone, Debug)]
pub struct AgentKeys {
    /// Authenticates envelopes.
    pub envelope: TagKey,
    /// Issue and verify the tokens in connection identifiers.
    pub token: TokenKeys,
    /// Root of the stateless reset key; the target's own key is derived from
    /// it, so an agent that restarts with nothing still ends old flows.
    pub reset: TagKey,
}

/// A certificate chain with its private key.
#[derive(Debug)]
pub struct Certificate {
    /// Chain, leaf first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of the leaf.
    pub key: PrivateKeyDer<'static>,
}

/// Bounds of one agent.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests dispatched to the back end at the same time.
    pub slots: u16,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Connections that callers may hold, and connections that the back end
    /// holds, each.
    pub connections: u32,
    /// Requests that one caller's connection may have open.
    pub streams_per_connection: u32,
    /// Time without any packet after which a caller's connection ends.
    pub idle_timeout: Duration,
    /// Interval of keep-alive packets towards callers.
    pub keep_alive_interval: Duration,
    /// Time for a whole answer when the request states no deadline. A feed
    /// must only begin within it.
    pub default_deadline: Duration,
    /// Shortest time after which a caller that got "not run" may ask again.
    pub minimum_retry_after: Duration,
    /// How slots come into use after a start; without it, all at once.
    pub slow_start: Option<SlowStartOptions>,
    /// How long requests on open connections are taken after leaving begins.
    pub drain_grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 7,
            queue: 32,
            connections: 2000,
            streams_per_connection: 100,
            idle_timeout: Duration::from_secs(30),
            keep_alive_interval: Duration::from_secs(10),
            default_deadline: Duration::from_secs(30),
            minimum_retry_after: Duration::from_secs(1),
            slow_start: Some(SlowStartOptions::default()),
            drain_grace: DEFAULT_DRAIN_GRACE,
        }
    }
}
