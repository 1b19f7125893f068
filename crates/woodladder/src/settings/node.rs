//! Settings that balancers and agents share.

use std::net::SocketAddr;

use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::TrustedKeys;

use super::reader::Reader;
use super::value;
use crate::log::{LogFormat, LogLevel, LogSettings};

const RULE_TOKEN_KEYS: &str = "the current and the previous token key have different numbers";

/// Where the platform's services and other nodes are.
#[derive(Clone, Debug, Default)]
pub struct PlatformSettings {
    /// Addresses of the key-value service, in the order of asking.
    pub stores: Vec<SocketAddr>,
    /// Address of the machine list.
    pub machine_list: Option<SocketAddr>,
    /// Control addresses of nodes to ask first.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of a node: a balancer or an agent.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Address for control datagrams among nodes.
    pub control_listen: SocketAddr,
    /// Address that other nodes send control datagrams to, when it is another
    /// than `control_listen`, as behind a relay.
    pub control_advertise: Option<SocketAddr>,
    /// Address for status, health and metrics over HTTP.
    pub http_listen: SocketAddr,
    /// Zone that the node is in.
    pub zone: String,
    /// Region that the zone lies in.
    pub region: String,
    /// The platform's services and other nodes.
    pub platform: PlatformSettings,
    /// Operators whose signatures are accepted.
    pub trusted_keys: TrustedKeys,
    /// Key shared by all nodes, for control messages and envelopes.
    pub cluster_key: TagKey,
    /// Keys for routing tokens.
    pub token_keys: TokenKeys,
    /// What is logged.
    pub log: LogSettings,
}

impl PlatformSettings {
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            stores: reader.required_list("stores", value::peer_address),
            machine_list: reader.optional("machine_list", value::peer_address),
            seeds: reader.list("seeds", value::peer_address),
        }
    }
}

/// Keys derived from the cluster key, one for each use.
#[derive(Clone, Copy, Debug)]
pub struct ClusterKeys {
    /// Authenticates control messages.
    pub control: TagKey,
    /// Authenticates envelopes.
    pub envelope: TagKey,
    /// Root of the agents' stateless reset keys.
    pub reset: TagKey,
}

impl ClusterKeys {
    /// The keys derived from a cluster key.
    #[must_use]
    pub fn derived_from(cluster_key: &TagKey) -> Self {
        Self {
            control: cluster_key.derive(b"control"),
            envelope: cluster_key.derive(b"envelope"),
            reset: cluster_key.derive(b"reset"),
        }
    }
}

impl NodeSettings {
    /// Keys derived from the cluster key.
    #[must_use]
    pub fn derived_keys(&self) -> ClusterKeys {
        ClusterKeys::derived_from(&self.cluster_key)
    }

    pub(super) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let control_listen = reader.required("control_listen", value::reachable_listen_address);
        let control_advertise = reader.optional("control_advertise", value::peer_address);
        let http_listen = reader.required("http_listen", value::listen_address);
        let zone = reader.required("zone", value::name);
        let region = reader.optional("region", value::name);
        let platform = PlatformSettings::read(reader);
        let trusted_keys = reader.required_list("trusted_keys", value::public_key);
        let cluster_key = reader.required("cluster_key", value::tag_key);
        let token_keys = read_token_keys(reader);
        let log = read_log(reader, LogLevel::default());
        Some(Self {
            control_listen: control_listen?,
            control_advertise,
            http_listen: http_listen?,
            region: region.or_else(|| zone.clone())?,
            zone: zone?,
            platform,
            trusted_keys: TrustedKeys::new(trusted_keys),
            cluster_key: cluster_key?,
            token_keys: token_keys?,
            log,
        })
    }
}

/// Reads the settings of the log; `level` counts when none is set.
pub(super) fn read_log(reader: &mut Reader<'_>, level: LogLevel) -> LogSettings {
    LogSettings {
        level: reader.defaulted("log_level", level, value::log_level),
        format: reader.defaulted("log_format", LogFormat::default(), value::log_format),
    }
}

fn read_token_keys(reader: &mut Reader<'_>) -> Option<TokenKeys> {
    let current: Option<TokenKey> = reader.required("token_key_current", value::token_key);
    let previous: Option<TokenKey> = reader.optional("token_key_previous", value::token_key);
    let current = current?;
    if previous.is_some_and(|previous| previous.number == current.number) {
        let problem = format!("has the number {} as well", current.number);
        reader.fault("token_key_previous", problem, RULE_TOKEN_KEYS);
    }
    Some(TokenKeys { current, previous })
}
