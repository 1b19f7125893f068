//! Configuration of an agent as plain data, already validated by the settings
//! layer.

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

/// Configuration of the agent of one back end.
pub struct AgentConfig {
    /// Bound UDP socket that receives envelopes from balancers and other
    /// agents.
    pub socket: UdpSocket,
    /// Identifier of the back end's target in the bundle.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address where the back end answers HTTP/1.1.
    pub back_end: SocketAddr,
    /// Path of the back end's health endpoint, where status 503 means that the
    /// back end is leaving. Health is not polled when there is none.
    pub health_path: Option<String>,
    /// Fabric addresses that datagrams to callers are sent to; not empty.
    pub fabric_egress: Vec<SocketAddr>,
    /// Secrets shared with the other nodes.
    pub keys: AgentKeys,
    /// Certificate for the TLS handshake with callers.
    pub certificate: Certificate,
    /// Limits on concurrency and waiting times.
    pub limits: Limits,
    /// Routing table of the roll in force. The control plane replaces the table
    /// when a roll comes into force or targets become available or unavailable.
    pub routing_table: Arc<ArcSwap<RoutingTable>>,
    /// Logger of the process.
    pub logger: slog::Logger,
}

/// Secrets of an agent.
#[derive(Clone, Debug)]
pub struct AgentKeys {
    /// Key that authenticates envelopes.
    pub envelope: TagKey,
    /// Keys that issue and verify the routing tokens in connection identifiers.
    pub token: TokenKeys,
    /// Root key from which each target's own stateless reset key is derived. An
    /// agent that has lost all state in a restart derives the same key, and can
    /// still reset its old flows.
    pub reset: TagKey,
}

/// A certificate chain with its private key.
#[derive(Debug)]
pub struct Certificate {
    /// Certificates, leaf first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of the leaf.
    pub key: PrivateKeyDer<'static>,
}

/// Limits on concurrency and waiting times of one agent.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that the back end runs at the same time.
    pub slots: u16,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Most connections that callers may have open, and most that may be open
    /// to the back end; counted separately.
    pub connections: u32,
    /// Requests that may be open on one caller's connection.
    pub streams_per_connection: u32,
    /// Time without any packet after which a caller's connection ends.
    pub idle_timeout: Duration,
    /// Interval of keep-alive packets to callers.
    pub keep_alive_interval: Duration,
    /// Time for the whole answer when the request states no deadline. For
    /// a feed (an event stream without a foreseen end), only the beginning has to
    /// arrive within this time.
    pub default_deadline: Duration,
    /// Shortest `retry-after` in answers that say that a request was not run.
    pub minimum_retry_after: Duration,
    /// How the slots become usable after a start; `None` makes all usable at
    /// once.
    pub slow_start: Option<SlowStartOptions>,
    /// How long new requests on open connections are accepted after a drain
    /// begins.
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
