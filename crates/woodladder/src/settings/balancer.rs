//! Settings of a balancer.

use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::finding::Findings;
use woodladder_core::packets::hop_list::MAXIMUM_HOPS;
use woodladder_core::packets::router::DEFAULT_HOPS;

use super::layer::SettingsLayers;
use super::node::NodeSettings;
use super::reader::SettingsReader;
use super::value;

const DEFAULT_WORKER_THREADS: usize = 1;
const DEFAULT_SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(2);
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(30);

const RULE_HOPS: &str = "a flow has 1 to 4 candidate targets";

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Settings shared with agents.
    pub node: NodeSettings,
    /// Listen address for datagrams from the network fabric.
    pub data_listen: SocketAddr,
    /// Number of threads that forward datagrams, each with a socket of its own.
    pub worker_threads: usize,
    /// Size in bytes that is requested for the receive buffer and for the send
    /// buffer of each data socket.
    pub socket_buffer: usize,
    /// Number of candidate targets to which a new flow is offered, one after another.
    pub hops: usize,
    /// Shortest time for which forwarding continues after a stop is requested.
    pub stop_grace: Duration,
    /// Longest time for which a planned stop waits for traffic to cease.
    pub stop_timeout: Duration,
}

impl BalancerSettings {
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
        let worker_threads =
            reader.optional_or("worker_threads", DEFAULT_WORKER_THREADS, value::parse_count);
        let socket_buffer = reader.optional_or(
            "socket_buffer",
            DEFAULT_SOCKET_BUFFER_BYTES,
            value::parse_count,
        );
        let hops = reader.optional_or("hops", DEFAULT_HOPS, value::parse_count);
        let stop_grace =
            reader.optional_or("stop_grace", DEFAULT_STOP_GRACE, value::parse_duration);
        let stop_timeout =
            reader.optional_or("stop_timeout", DEFAULT_STOP_TIMEOUT, value::parse_duration);
        if hops > MAXIMUM_HOPS {
            reader.add_finding("hops", format!("`{hops}` is not accepted"), RULE_HOPS);
        }
        let findings = reader.finish();
        let (Some(node), Some(data_listen), true) = (node, data_listen, findings.is_empty()) else {
            return Err(findings);
        };
        Ok(Self {
            node,
            data_listen,
            worker_threads,
            socket_buffer,
            hops,
            stop_grace,
            stop_timeout,
        })
    }
}
