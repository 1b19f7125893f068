//! Settings of a balancer.

use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::finding::Findings;
use woodladder_core::packets::hop_list::MAXIMUM_HOPS;
use woodladder_core::packets::router::DEFAULT_HOPS;

use super::layer::Layers;
use super::node::NodeSettings;
use super::reader::Reader;
use super::value;

const DEFAULT_WORKERS: usize = 1;
const DEFAULT_SOCKET_BUFFER: usize = 4 * 1024 * 1024;
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(2);
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(30);

const RULE_HOPS: &str = "a flow has 1 to 4 candidates";

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Settings shared with agents.
    pub node: NodeSettings,
    /// Address for datagrams from the fabric.
    pub data_listen: SocketAddr,
    /// Threads that forward datagrams, each with a socket of its own.
    pub worker_threads: usize,
    /// Bytes asked for as each data socket's receive and send buffer.
    pub socket_buffer: usize,
    /// Candidates named for each new flow.
    pub hops: usize,
    /// Least time that forwarding goes on after a stop is asked for.
    pub stop_grace: Duration,
    /// Longest time that a planned stop waits for traffic to cease.
    pub stop_timeout: Duration,
}

impl BalancerSettings {
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
        let worker_threads = reader.defaulted("worker_threads", DEFAULT_WORKERS, value::count);
        let socket_buffer = reader.defaulted("socket_buffer", DEFAULT_SOCKET_BUFFER, value::count);
        let hops = reader.defaulted("hops", DEFAULT_HOPS, value::count);
        let stop_grace = reader.defaulted("stop_grace", DEFAULT_STOP_GRACE, value::duration);
        let stop_timeout = reader.defaulted("stop_timeout", DEFAULT_STOP_TIMEOUT, value::duration);
        if hops > MAXIMUM_HOPS {
            reader.fault("hops", format!("`{hops}` is not accepted"), RULE_HOPS);
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
