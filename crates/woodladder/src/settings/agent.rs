//! Settings of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use woodladder_core::finding::Findings;
use woodladder_core::identifier::{ServiceId, TargetId};

use super::layer::Layers;
use super::node::NodeSettings;
use super::reader::Reader;
use super::value;

const DEFAULT_SLOTS: usize = 7;
const DEFAULT_QUEUE: usize = 32;
const DEFAULT_CONNECTIONS: usize = 2000;
const DEFAULT_STREAMS_PER_CONNECTION: usize = 100;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(10);
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(3600);

const RULE_CERTIFICATE: &str =
    "either tls_certificate and tls_key are both set, or server_names has an entry";

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings shared with balancers.
    pub node: NodeSettings,
    /// Address for envelopes from balancers and other agents.
    pub data_listen: SocketAddr,
    /// Target that the agent stands before.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address of the back end, for HTTP/1.1.
    pub back_end: SocketAddr,
    /// Addresses of the fabric that take datagrams towards callers.
    pub fabric_egress: Vec<SocketAddr>,
    /// What callers are shown as certificate.
    pub certificate: Certificate,
    /// Bounds on work.
    pub limits: AgentLimits,
}

/// Certificate that callers are shown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Certificate {
    /// PEM files of the certificate chain and its private key.
    Files {
        /// Certificate chain.
        chain: PathBuf,
        /// Private key.
        key: PathBuf,
    },
    /// A certificate for these names, made and signed by the agent itself.
    SelfSigned(Vec<String>),
}

/// Bounds on the work that an agent takes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentLimits {
    /// Requests that the back end runs at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Connections of callers, and connections to the back end, each.
    pub connections: usize,
    /// Requests that one caller's connection may have open.
    pub streams_per_connection: usize,
    /// Time without any packet after which a caller's connection ends.
    pub idle_timeout: Duration,
    /// Interval of keep-alive packets towards callers.
    pub keep_alive: Duration,
    /// Longest time for a whole answer, when the caller names no deadline.
    pub request_timeout: Duration,
    /// When a caller whose request was not run may ask again.
    pub retry_after: Duration,
    /// Longest time that a planned stop waits for open streams.
    pub drain_timeout: Duration,
}

impl AgentSettings {
    /// Reads the settings from the layers.
    ///
    /// # Errors
    /// `findings` when a layer could not be read, otherwise every fault.
    pub fn read(layers: &Layers, findings: Findings) -> Result<Self, Findings> {
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut reader = Reader::new(layers);
        let node = NodeSettings::read(&mut reader);
        let data_listen = reader.required("data_listen", value::listen_address);
        let target = reader.required("target", value::identifier);
        let service = reader.required("service", value::identifier);
        let back_end = reader.required("back_end", value::peer_address);
        let fabric_egress = reader.required_list("fabric_egress", value::peer_address);
        let certificate = read_certificate(&mut reader);
        let limits = read_limits(&mut reader);
        let findings = reader.finish();
        let complete = (|| {
            Some(Self {
                node: node?,
                data_listen: data_listen?,
                target: TargetId(target?),
                service: ServiceId(service?),
                back_end: back_end?,
                fabric_egress,
                certificate: certificate?,
                limits,
            })
        })();
        match complete {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }
}

fn read_certificate(reader: &mut Reader<'_>) -> Option<Certificate> {
    let chain = reader.optional("tls_certificate", value::path);
    let key = reader.optional("tls_key", value::path);
    let names = reader.list("server_names", value::server_name);
    match (chain, key) {
        (Some(chain), Some(key)) if names.is_empty() => Some(Certificate::Files { chain, key }),
        (None, None) if !names.is_empty() => Some(Certificate::SelfSigned(names)),
        _ => {
            let problem = "leaves the certificate unclear".to_owned();
            reader.fault("tls_certificate", problem, RULE_CERTIFICATE);
            None
        }
    }
}

fn read_limits(reader: &mut Reader<'_>) -> AgentLimits {
    let mut count = |key, default| reader.defaulted(key, default, value::count);
    let slots = count("slots", DEFAULT_SLOTS);
    let queue = count("queue", DEFAULT_QUEUE);
    let connections = count("connections", DEFAULT_CONNECTIONS);
    let streams_per_connection = count("streams_per_connection", DEFAULT_STREAMS_PER_CONNECTION);
    let mut duration = |key, default| reader.defaulted(key, default, value::duration);
    AgentLimits {
        slots,
        queue,
        connections,
        streams_per_connection,
        idle_timeout: duration("idle_timeout", DEFAULT_IDLE_TIMEOUT),
        keep_alive: duration("keep_alive", DEFAULT_KEEP_ALIVE),
        request_timeout: duration("request_timeout", DEFAULT_REQUEST_TIMEOUT),
        retry_after: duration("retry_after", DEFAULT_RETRY_AFTER),
        drain_timeout: duration("drain_timeout", DEFAULT_DRAIN_TIMEOUT),
    }
}
