//! Configuration of the QUIC endpoint.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicServerConfig};
use quinn::{
    ConnectionId, ConnectionIdGenerator, EndpointConfig, IdleTimeout, MtuDiscoveryConfig,
    ServerConfig, TransportConfig, VarInt,
};
use rand::Rng as _;
use ring::hmac;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::token::{TOKEN_LENGTH, TOKEN_NONCE_LENGTH, TokenKeys};

use super::config::{Certificate, Limits};
use super::socket::MAXIMUM_DATAGRAM_LENGTH;

/// Protocol identifier of HTTP/3 (RFC 9114, section 3.1).
pub(super) const ALPN_HTTP3: &[u8] = b"h3";

/// Longest UDP payload that path MTU discovery tries, in bytes. On links with an
/// MTU of 1500 bytes the rest is left to the headers that nodes add to a
/// datagram, such as the PROXY header and the envelope.
const MAXIMUM_UDP_PAYLOAD_LENGTH: u16 = 1350;
/// Unidirectional streams that a caller may open: the control stream, two of
/// QPACK, and spare ones.
const MAXIMUM_UNIDIRECTIONAL_STREAMS: u32 = 8;
/// Bytes that a caller may send on one stream before the agent reads them.
const STREAM_RECEIVE_WINDOW: u32 = 128 * 1024;
/// Bytes that a caller may send on all streams of a connection before the agent
/// reads them.
const CONNECTION_RECEIVE_WINDOW: u32 = 512 * 1024;
/// Unacknowledged bytes that the agent may send on one connection.
const SEND_WINDOW: u64 = 512 * 1024;
/// Shortest time between stateless resets. 100 us allows 10 000 resets a second,
/// so that a restarted agent resets within a second all flows that it lost (by
/// default at most 2000, see [`Limits::connections`]). So short an interval is
/// safe because only packets with a valid token are answered with a reset.
const RESET_INTERVAL: Duration = Duration::from_micros(100);
const RESET_LABEL: &[u8] = b"stateless reset";

/// Why the endpoint's configuration cannot be built.
#[derive(Debug)]
pub enum QuicConfigError {
    /// The certificate or its key is not usable.
    Certificate(rustls::Error),
    /// The TLS provider lacks the cipher suite that Initial packets need.
    CipherSuite(NoInitialCipherSuite),
    /// The idle timeout is longer than QUIC can express.
    IdleTimeout(Duration),
    /// The QUIC library rejects a value.
    Transport(quinn::ConfigError),
}

/// Configuration of the endpoint: connection identifiers are routing tokens of
/// the target, and stateless resets still work after a restart.
pub(super) fn endpoint_config(
    target: TargetId,
    tokens: TokenKeys,
    reset: TagKey,
) -> Result<EndpointConfig, QuicConfigError> {
    let mut config = EndpointConfig::new(Arc::new(reset_key(target, reset)));
    config
        .max_udp_payload_size(MAXIMUM_DATAGRAM_LENGTH)
        .map_err(QuicConfigError::Transport)?;
    config.min_reset_interval(RESET_INTERVAL);
    config.cid_generator(move || Box::new(TokenGenerator { target, tokens }));
    Ok(config)
}

/// Configuration for accepting connections.
pub(super) fn server_config(
    certificate: &Certificate,
    limits: &Limits,
) -> Result<ServerConfig, QuicConfigError> {
    let mut config = ServerConfig::with_crypto(Arc::new(crypto_config(certificate)?));
    config.transport_config(Arc::new(transport_config(limits)?));
    config.migration(true);
    Ok(config)
}

fn crypto_config(certificate: &Certificate) -> Result<QuicServerConfig, QuicConfigError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(QuicConfigError::Certificate)?
        .with_no_client_auth()
        .with_single_cert(certificate.chain.clone(), certificate.key.clone_key())
        .map_err(QuicConfigError::Certificate)?;
    tls.alpn_protocols = vec![ALPN_HTTP3.to_vec()];
    // No request byte may be read before the handshake has decided which agent
    // serves the flow, so early data stays off.
    tls.max_early_data_size = 0;
    QuicServerConfig::try_from(tls).map_err(QuicConfigError::CipherSuite)
}

fn transport_config(limits: &Limits) -> Result<TransportConfig, QuicConfigError> {
    let idle = IdleTimeout::try_from(limits.idle_timeout)
        .map_err(|_| QuicConfigError::IdleTimeout(limits.idle_timeout))?;
    let mut mtu_discovery = MtuDiscoveryConfig::default();
    mtu_discovery.upper_bound(MAXIMUM_UDP_PAYLOAD_LENGTH);
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(idle))
        .keep_alive_interval(Some(limits.keep_alive_interval))
        .max_concurrent_bidi_streams(VarInt::from_u32(limits.streams_per_connection))
        .max_concurrent_uni_streams(VarInt::from_u32(MAXIMUM_UNIDIRECTIONAL_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_RECEIVE_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_RECEIVE_WINDOW))
        .send_window(SEND_WINDOW)
        .mtu_discovery_config(Some(mtu_discovery))
        .enable_segmentation_offload(false);
    Ok(config)
}

fn reset_key(target: TargetId, root: TagKey) -> hmac::Key {
    let root = hmac::Key::new(hmac::HMAC_SHA256, root.secret());
    let mut context = hmac::Context::with_key(&root);
    context.update(RESET_LABEL);
    context.update(&target.0.to_be_bytes());
    hmac::Key::new(hmac::HMAC_SHA256, context.sign().as_ref())
}

/// Generates connection identifiers that are routing tokens.
struct TokenGenerator {
    target: TargetId,
    tokens: TokenKeys,
}

impl ConnectionIdGenerator for TokenGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut nonce = [0; TOKEN_NONCE_LENGTH];
        rand::rng().fill(&mut nonce);
        ConnectionId::new(&self.tokens.issue(self.target, nonce))
    }

    fn cid_len(&self) -> usize {
        TOKEN_LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

impl fmt::Display for QuicConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Certificate(error) => write!(formatter, "the certificate is not usable: {error}"),
            Self::CipherSuite(error) => write!(formatter, "{error}"),
            Self::IdleTimeout(value) => {
                write!(formatter, "the idle timeout {value:?} is too long")
            }
            Self::Transport(error) => write!(formatter, "{error}"),
        }
    }
}

impl std::error::Error for QuicConfigError {}
