//! Command-line flags that override settings. Every setting has a flag. Values
//! are checked together with those of the other layers.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

/// Flags of the log.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct LogFlags {
    /// Minimum severity of log records: trace, debug, info, warning, error
    #[arg(long, value_name = "LEVEL")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_level: Option<String>,
    /// Output format of log records: terminal, json
    #[arg(long, value_name = "FORMAT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_format: Option<String>,
}

/// Flags for the addresses of the platform's services and of other nodes.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct PlatformFlags {
    /// Address of the key-value service; may be given several times
    #[arg(long = "store", value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub stores: Vec<String>,
    /// Address of the machine list
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machine_list: Option<String>,
    /// Control address of a node to contact first; may be given several times
    #[arg(long = "seed", value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<String>,
}

/// Flags that balancers and agents share.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct NodeFlags {
    /// Settings file
    #[arg(long, value_name = "FILE", env = "WOODLADDER_SETTINGS")]
    #[serde(skip)]
    pub settings: Option<PathBuf>,
    /// Listen address for control datagrams from other nodes
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_listen: Option<String>,
    /// Address that other nodes send control datagrams to, when it is not the listen address
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_advertise: Option<String>,
    /// Listen address of the HTTP server for status, health and metrics
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http_listen: Option<String>,
    /// Listen address for callers' datagrams
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_listen: Option<String>,
    /// Zone that the node is in
    #[arg(long, value_name = "NAME")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Region of the zone; defaults to the zone's name
    #[arg(long, value_name = "NAME")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Platform flags.
    #[command(flatten)]
    #[serde(flatten)]
    pub platform: PlatformFlags,
    /// Public key of an operator to trust; may be given several times
    #[arg(long = "trusted-key", value_name = "HEX")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub trusted_keys: Vec<String>,
    /// Key shared by all nodes
    #[arg(long, value_name = "HEX")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cluster_key: Option<String>,
    /// Key for issuing and accepting routing tokens
    #[arg(long, value_name = "NUMBER:HEX")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_key_current: Option<String>,
    /// Previous key, for which routing tokens are still accepted
    #[arg(long, value_name = "NUMBER:HEX")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_key_previous: Option<String>,
    /// Log flags.
    #[command(flatten)]
    #[serde(flatten)]
    pub log: LogFlags,
}

/// Flags of a balancer.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct BalancerFlags {
    /// Flags shared with agents.
    #[command(flatten)]
    #[serde(flatten)]
    pub node: NodeFlags,
    /// Number of threads that forward datagrams
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker_threads: Option<String>,
    /// Size in bytes to request for each buffer of a data socket
    #[arg(long, value_name = "BYTES")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub socket_buffer: Option<String>,
    /// Number of candidate targets to which a new flow is offered, one after another
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hops: Option<String>,
    /// Shortest time for which forwarding continues after a stop is requested
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop_grace: Option<String>,
    /// Longest time for which a planned stop waits for traffic to cease
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop_timeout: Option<String>,
}

/// Flags of an agent.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct AgentFlags {
    /// Flags shared with balancers.
    #[command(flatten)]
    #[serde(flatten)]
    pub node: NodeFlags,
    /// Number of threads for the data path and the control plane together
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker_threads: Option<String>,
    /// Identifier of the target that the agent serves
    #[arg(long, value_name = "ID")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Identifier of the target's service
    #[arg(long, value_name = "ID")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Address of the back end
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub back_end: Option<String>,
    /// Path of the back end's health endpoint; status 503 means that the target is leaving
    #[arg(long, value_name = "PATH")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Address of the network fabric to send datagrams for callers to; may be given several times
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub fabric_egress: Vec<String>,
    /// PEM file with the certificate chain
    #[arg(long, value_name = "FILE")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_certificate: Option<String>,
    /// PEM file with the certificate's private key
    #[arg(long, value_name = "FILE")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_key: Option<String>,
    /// Server name for a self-signed certificate; may be given several times
    #[arg(long = "server-name", value_name = "NAME")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub server_names: Vec<String>,
    /// Number of slots: requests that the back end runs at the same time
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<String>,
    /// Maximum number of requests queued for a slot
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<String>,
    /// Maximum number of callers' connections, and separately of connections to the back end
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<String>,
    /// Maximum number of open requests on one caller's connection
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub streams_per_connection: Option<String>,
    /// Time without packets after which a caller's connection is closed
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_timeout: Option<String>,
    /// Interval of keep-alive packets towards callers
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keep_alive: Option<String>,
    /// Longest time for a complete answer when the caller gives no deadline
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_timeout: Option<String>,
    /// Shortest time after which a caller may retry a request that was not run
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_retry_after: Option<String>,
    /// Whether the number of usable slots grows step by step after the agent starts or the back end accepts connections again
    #[arg(long, value_name = "BOOL")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_start: Option<String>,
    /// Time for which requests on open connections are accepted after the target begins to leave
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain_grace: Option<String>,
    /// Longest time for which a planned stop waits for open streams to end
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain_timeout: Option<String>,
}

/// Flags of the operator's commands.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct OperatorFlags {
    /// Settings file
    #[arg(long, value_name = "FILE", env = "WOODLADDER_SETTINGS")]
    #[serde(skip)]
    pub settings: Option<PathBuf>,
    /// Platform flags.
    #[command(flatten)]
    #[serde(flatten)]
    pub platform: PlatformFlags,
    /// Public key of an operator to trust; may be given several times
    #[arg(long = "trusted-key", value_name = "HEX")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub trusted_keys: Vec<String>,
    /// Key shared by all nodes
    #[arg(long, value_name = "HEX")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cluster_key: Option<String>,
    /// File with the operator's secret key
    #[arg(long, value_name = "FILE")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub signing_key: Option<String>,
    /// Name of the operator, shown to other operators
    #[arg(long, value_name = "NAME")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator: Option<String>,
    /// Interval between status requests to the nodes
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub poll: Option<String>,
    /// Longest time to wait until all nodes have a bundle in force
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<String>,
    /// Log flags.
    #[command(flatten)]
    #[serde(flatten)]
    pub log: LogFlags,
}
