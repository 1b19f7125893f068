//! Settings of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use woodladder_core::configuration::snapshot::DEFAULT_LINGER;
use woodladder_core::finding::Findings;
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::target::drain::MAXIMUM_DRAIN_GRACE;

use super::layer::Layers;
use super::node::NodeSettings;
use super::reader::Reader;
use super::value;
use crate::agent::{self, CertificateError, Limits};

const DEFAULT_WORKERS: usize = 2;
/// As long as a removed target stays resolvable: a stream may last a week, and
/// a planned stop must not cut it.
const DEFAULT_DRAIN_TIMEOUT: Duration = DEFAULT_LINGER;

const RULE_DRAIN_GRACE: &str = "a leaving target takes no request after 4 seconds";
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
    /// Path of the back end's health endpoint, if it is to be asked.
    pub health_path: Option<String>,
    /// Addresses of the fabric that take datagrams towards callers.
    pub fabric_egress: Vec<SocketAddr>,
    /// What callers are shown as certificate.
    pub certificate: Certificate,
    /// Bounds on work.
    pub limits: Limits,
    /// Threads of the data path and control together.
    pub worker_threads: usize,
    /// Longest time that a planned stop waits for open streams.
    pub drain_timeout: Duration,
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

impl Certificate {
    /// Reads the files, or makes the certificate.
    ///
    /// # Errors
    /// [`CertificateError`] when a file or a name cannot be used.
    pub fn load(&self) -> Result<agent::Certificate, CertificateError> {
        match self {
            Self::Files { chain, key } => agent::Certificate::from_pem_files(chain, key),
            Self::SelfSigned(names) => agent::Certificate::self_signed(names),
        }
    }
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
        let health_path = reader.optional("health_path", value::url_path);
        let fabric_egress = reader.required_list("fabric_egress", value::peer_address);
        let certificate = read_certificate(&mut reader);
        let limits = read_limits(&mut reader);
        let worker_threads = reader.defaulted("worker_threads", DEFAULT_WORKERS, value::count);
        let drain_timeout =
            reader.defaulted("drain_timeout", DEFAULT_DRAIN_TIMEOUT, value::duration);
        let findings = reader.finish();
        let complete = (|| {
            Some(Self {
                node: node?,
                data_listen: data_listen?,
                target: TargetId(target?),
                service: ServiceId(service?),
                back_end: back_end?,
                health_path,
                fabric_egress,
                certificate: certificate?,
                limits,
                worker_threads,
                drain_timeout,
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

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let default = Limits::default();
    let slots = reader.defaulted("slots", default.slots, value::count);
    let queue = reader.defaulted("queue", default.queue, value::count);
    let connections = reader.defaulted("connections", default.connections, value::count);
    let streams_per_connection = reader.defaulted(
        "streams_per_connection",
        default.streams_per_connection,
        value::count,
    );
    let slow_start = reader.defaulted("slow_start", true, value::switch);
    let mut duration = |key, default| reader.defaulted(key, default, value::duration);
    let limits = Limits {
        slots,
        queue,
        connections,
        streams_per_connection,
        idle_timeout: duration("idle_timeout", default.idle_timeout),
        keep_alive_interval: duration("keep_alive", default.keep_alive_interval),
        default_deadline: duration("request_timeout", default.default_deadline),
        minimum_retry_after: duration("minimum_retry_after", default.minimum_retry_after),
        slow_start: default.slow_start.filter(|_| slow_start),
        drain_grace: duration("drain_grace", default.drain_grace),
    };
    if limits.drain_grace > MAXIMUM_DRAIN_GRACE {
        let problem = format!("{:?} is not accepted", limits.drain_grace);
        reader.fault("drain_grace", problem, RULE_DRAIN_GRACE);
    }
    limits
}
