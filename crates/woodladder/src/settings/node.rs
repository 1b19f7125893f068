//! Settings that balancers and agents share.

use std::net::SocketAddr;

use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::TrustedKeys;

use super::reader::SettingsReader;
use super::value;
use crate::log::{LogFormat, LogLevel, LogSettings};

const RULE_TOKEN_KEYS: &str = "the current and the previous token key have different numbers";

/// Addresses of the platform's services and of other nodes.
#[derive(Clone, Debug, Default)]
pub struct PlatformSettings {
    /// Addresses of the key-value service. The first request tries them in this order.
    /// A later request starts with the address that was reached last, or with the
    /// address after it if that one gave no complete response.
    pub stores: Vec<SocketAddr>,
    /// Address of the machine list.
    pub machine_list: Option<SocketAddr>,
    /// Control addresses of the nodes to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of a node: a balancer or an agent.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Listen address for control datagrams from other nodes.
    pub control_listen: SocketAddr,
    /// Address that other nodes send control datagrams to; absent when it is
    /// `control_listen`. It differs when the node is behind a relay.
    pub control_advertise: Option<SocketAddr>,
    /// Listen address of the HTTP server for status, health and metrics.
    pub http_listen: SocketAddr,
    /// Zone that the node is in.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Addresses of the platform's services and of other nodes.
    pub platform: PlatformSettings,
    /// Public keys of the operators whose signatures are accepted.
    pub trusted_keys: TrustedKeys,
    /// Key that all nodes share. The keys for control messages, envelopes and
    /// stateless resets are derived from it.
    pub cluster_key: TagKey,
    /// Keys for routing tokens.
    pub token_keys: TokenKeys,
    /// Settings of the log.
    pub log: LogSettings,
}

impl PlatformSettings {
    pub(super) fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            stores: reader.required_list("stores", value::parse_peer_address),
            machine_list: reader.optional("machine_list", value::parse_peer_address),
            seeds: reader.list("seeds", value::parse_peer_address),
        }
    }
}

/// Keys derived from the cluster key, one for each purpose.
#[derive(Clone, Copy, Debug)]
pub struct ClusterKeys {
    /// Authenticates control messages.
    pub control: TagKey,
    /// Authenticates envelopes.
    pub envelope: TagKey,
    /// Key that each agent derives its QUIC stateless reset key from.
    pub reset: TagKey,
}

impl ClusterKeys {
    /// Derives the keys from a cluster key.
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

    pub(super) fn read(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let control_listen =
            reader.required("control_listen", value::parse_reachable_listen_address);
        let control_advertise = reader.optional("control_advertise", value::parse_peer_address);
        let http_listen = reader.required("http_listen", value::parse_listen_address);
        let zone = reader.required("zone", value::parse_name);
        let region = reader.optional("region", value::parse_name);
        let platform = PlatformSettings::read(reader);
        let trusted_keys = reader.required_list("trusted_keys", value::parse_public_key);
        let cluster_key = reader.required("cluster_key", value::parse_tag_key);
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

/// Reads the settings of the log; `default_level` applies when no level is set.
pub(super) fn read_log(reader: &mut SettingsReader<'_>, default_level: LogLevel) -> LogSettings {
    LogSettings {
        level: reader.optional_or("log_level", default_level, value::parse_log_level),
        format: reader.optional_or("log_format", LogFormat::default(), value::parse_log_format),
    }
}

fn read_token_keys(reader: &mut SettingsReader<'_>) -> Option<TokenKeys> {
    let current: Option<TokenKey> = reader.required("token_key_current", value::parse_token_key);
    let previous: Option<TokenKey> = reader.optional("token_key_previous", value::parse_token_key);
    let current = current?;
    if previous.is_some_and(|previous| previous.number == current.number) {
        let problem = format!("has the same number {} as the current key", current.number);
        reader.add_finding("token_key_previous", problem, RULE_TOKEN_KEYS);
    }
    Some(TokenKeys { current, previous })
}
