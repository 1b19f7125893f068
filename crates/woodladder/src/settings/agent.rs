//! Settings of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use woodladder_core::configuration::snapshot::DEFAULT_LINGER;
use woodladder_core::finding::Findings;
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::target::drain::MAXIMUM_DRAIN_GRACE;

use super::layer::SettingsLayers;
use super::node::NodeSettings;
use super::reader::SettingsReader;
use super::value;
use crate::agent::{self, CertificateError, Limits};

const DEFAULT_WORKER_THREADS: usize = 2;
/// Default of `drain_timeout`: 8 days, the default time for which a removed target
/// stays in snapshots. A stream may last a week: for that long, nodes must be able to
/// route its flow to a removed target, and a planned stop must not close it while it
/// is still open.
const DEFAULT_DRAIN_TIMEOUT: Duration = DEFAULT_LINGER;

const RULE_DRAIN_GRACE: &str = "a leaving target accepts requests for at most 4 seconds";
const RULE_CERTIFICATE: &str =
    "either tls_certificate and tls_key are both set, or server_names has an entry";

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings shared with balancers.
    pub node: NodeSettings,
    /// Listen address for enveloped datagrams from balancers and other agents.
    pub data_listen: SocketAddr,
    /// Target that the agent serves.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address of the back end, which speaks HTTP/1.1.
    pub back_end: SocketAddr,
    /// Path of the back end's health endpoint; absent when the agent does
    /// not poll one.
    pub health_path: Option<String>,
    /// Addresses of the network fabric that datagrams to callers are sent to.
    pub fabric_egress: Vec<SocketAddr>,
    /// Source of the certificate that the agent presents to callers.
    pub certificate: CertificateSource,
    /// Limits on requests, connections and times.
    pub limits: Limits,
    /// Number of threads for the data path and the control plane together.
    pub worker_threads: usize,
    /// Longest time for which a planned stop waits for open streams to end.
    pub drain_timeout: Duration,
}

/// Source of the certificate that the agent presents to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CertificateSource {
    /// PEM files.
    Files {
        /// File with the certificate chain.
        chain: PathBuf,
        /// File with the certificate's private key.
        key: PathBuf,
    },
    /// A self-signed certificate that the agent creates for these names.
    SelfSigned(Vec<String>),
}

impl CertificateSource {
    /// Reads the files or creates the self-signed certificate.
    ///
    /// # Errors
    /// [`CertificateError`] when a file cannot be read or a name is invalid.
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
    /// `findings` when a layer could not be read, otherwise all findings.
    pub fn read(layers: &SettingsLayers, findings: Findings) -> Result<Self, Findings> {
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut reader = SettingsReader::new(layers);
        let node = NodeSettings::read(&mut reader);
        let data_listen = reader.required("data_listen", value::parse_listen_address);
        let target = reader.required("target", value::parse_identifier);
        let service = reader.required("service", value::parse_identifier);
        let back_end = reader.required("back_end", value::parse_peer_address);
        let health_path = reader.optional("health_path", value::parse_url_path);
        let fabric_egress = reader.required_list("fabric_egress", value::parse_peer_address);
        let certificate = read_certificate(&mut reader);
        let limits = read_limits(&mut reader);
        let worker_threads =
            reader.optional_or("worker_threads", DEFAULT_WORKER_THREADS, value::parse_count);
        let drain_timeout = reader.optional_or(
            "drain_timeout",
            DEFAULT_DRAIN_TIMEOUT,
            value::parse_duration,
        );
        let findings = reader.finish();
        let settings = (|| {
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
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }
}

fn read_certificate(reader: &mut SettingsReader<'_>) -> Option<CertificateSource> {
    let chain = reader.optional("tls_certificate", value::parse_path);
    let key = reader.optional("tls_key", value::parse_path);
    let names = reader.list("server_names", value::parse_server_name);
    match (chain, key) {
        (Some(chain), Some(key)) if names.is_empty() => {
            Some(CertificateSource::Files { chain, key })
        }
        (None, None) if !names.is_empty() => Some(CertificateSource::SelfSigned(names)),
        _ => {
            let problem = "does not determine the certificate".to_owned();
            reader.add_finding("tls_certificate", problem, RULE_CERTIFICATE);
            None
        }
    }
}

fn read_limits(reader: &mut SettingsReader<'_>) -> Limits {
    let default = Limits::default();
    let slots = reader.optional_or("slots", default.slots, value::parse_count);
    let queue = reader.optional_or("queue", default.queue, value::parse_count);
    let connections = reader.optional_or("connections", default.connections, value::parse_count);
    let streams_per_connection = reader.optional_or(
        "streams_per_connection",
        default.streams_per_connection,
        value::parse_count,
    );
    let slow_start = reader.optional_or("slow_start", true, value::parse_boolean);
    let mut duration = |key, default| reader.optional_or(key, default, value::parse_duration);
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
        reader.add_finding("drain_grace", problem, RULE_DRAIN_GRACE);
    }
    limits
}
