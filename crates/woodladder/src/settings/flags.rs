//! Flags that override settings. Every setting has one; values are checked
//! together with those of the other layers.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

/// Flags of the log.
#[derive(Args, Clone, Debug, Default, Serialize)]
pub struct LogFlags {
    /// Least severe log records to write: trace, debug, info, warning, error
    #[arg(long, value_name = "LEVEL")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_level: Option<String>,
    /// Form of log records: terminal, json
    #[arg(long, value_name = "FORMAT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_format: Option<String>,
}

/// Flags that name the platform's services and other nodes.
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
    /// Control address of a node to ask first; may be given several times
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
    /// Address for control datagrams among nodes
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_listen: Option<String>,
    /// Address that other nodes send control datagrams to, when it is another
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_advertise: Option<String>,
    /// Address for status, health and metrics over HTTP
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http_listen: Option<String>,
    /// Address for datagrams of callers
    #[arg(long, value_name = "IP:PORT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_listen: Option<String>,
    /// Zone that the node is in
    #[arg(long, value_name = "NAME")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Region of the zone; the zone's name when not set
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
    /// Key that routing tokens are issued under
    #[arg(long, value_name = "NUMBER:HEX")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token_key_current: Option<String>,
    /// Key that routing tokens are still accepted under
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
    /// Threads that forward datagrams
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker_threads: Option<String>,
    /// Bytes asked for as each data socket's buffers
    #[arg(long, value_name = "BYTES")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub socket_buffer: Option<String>,
    /// Candidates named for each new flow
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hops: Option<String>,
    /// Least time that forwarding goes on after a stop is asked for
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop_grace: Option<String>,
    /// Longest time that a planned stop waits for traffic to cease
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
    /// Threads of the data path and control together
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worker_threads: Option<String>,
    /// Identifier of the target that the agent stands before
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
    /// Path of the back end's health endpoint; 503 there means leaving
    #[arg(long, value_name = "PATH")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Address of the fabric towards callers; may be given several times
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
    /// Name for a self-signed certificate; may be given several times
    #[arg(long = "server-name", value_name = "NAME")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub server_names: Vec<String>,
    /// Requests that the back end runs at the same time
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<String>,
    /// Requests that may wait for a slot
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<String>,
    /// Connections of callers, and connections to the back end, each
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connections: Option<String>,
    /// Requests that one caller's connection may have open
    #[arg(long, value_name = "COUNT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub streams_per_connection: Option<String>,
    /// Time without any packet after which a caller's connection ends
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_timeout: Option<String>,
    /// Interval of keep-alive packets towards callers
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keep_alive: Option<String>,
    /// Longest time for a whole answer when the caller names no deadline
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_timeout: Option<String>,
    /// Shortest time after which a caller whose request was not run may ask again
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_retry_after: Option<String>,
    /// Whether slots come into use one after another after a start
    #[arg(long, value_name = "BOOL")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_start: Option<String>,
    /// How long requests on open connections are taken after leaving begins
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drain_grace: Option<String>,
    /// Longest time that a planned stop waits for open streams
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
    /// Name of the operator, shown to others
    #[arg(long, value_name = "NAME")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator: Option<String>,
    /// Time between two looks at the nodes
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub poll: Option<String>,
    /// Longest time to wait for the nodes
    #[arg(long, value_name = "DURATION")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<String>,
    /// Log flags.
    #[command(flatten)]
    #[serde(flatten)]
    pub log: LogFlags,
}
