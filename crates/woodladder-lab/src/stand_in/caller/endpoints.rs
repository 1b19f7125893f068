//! The QUIC endpoints which callers share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Endpoint, EndpointConfig, IdleTimeout, TokioRuntime, TransportConfig};
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;

use crate::stand_in::error::StandInError;
use crate::stand_in::socket::bind_std_udp;

/// Protocol name of HTTP/3 in the handshake.
const HTTP3: &[u8] = b"h3";

/// How the endpoints are set up.
#[derive(Clone, Debug)]
pub struct EndpointsConfig {
    /// Number of endpoints, each with a socket of its own.
    pub count: usize,
    /// Address which the sockets are bound to; its port must be 0 when there are several.
    pub local_address: SocketAddr,
    /// Certificate that is trusted, in DER.
    pub trusted_certificate: CertificateDer<'static>,
    /// Time between packets that keep a silent connection open.
    pub keep_alive: Duration,
    /// Silence after which a connection counts as lost.
    pub idle_timeout: Duration,
}

impl EndpointsConfig {
    /// A few endpoints on loopback which trust this certificate.
    #[must_use]
    pub fn new(trusted_certificate: CertificateDer<'static>) -> Self {
        Self {
            count: 4,
            local_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            trusted_certificate,
            keep_alive: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
        }
    }
}

/// QUIC endpoints used in turn. Clones share them.
#[derive(Clone, Debug)]
pub struct CallerEndpoints {
    endpoints: Arc<[Endpoint]>,
    next: Arc<AtomicUsize>,
}

impl CallerEndpoints {
    /// Binds the endpoints. Must be called within a runtime.
    ///
    /// # Errors
    /// When a socket cannot be bound or the certificate is refused.
    pub fn open(config: &EndpointsConfig) -> Result<Self, StandInError> {
        let client = client_config(config)?;
        let mut endpoints = Vec::with_capacity(config.count);
        for _ in 0..config.count.max(1) {
            endpoints.push(open_endpoint(config.local_address, client.clone())?);
        }
        Ok(Self {
            endpoints: endpoints.into(),
            next: Arc::default(),
        })
    }

    pub(super) fn next(&self) -> &Endpoint {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        &self.endpoints[number % self.endpoints.len()]
    }
}

fn open_endpoint(address: SocketAddr, client: ClientConfig) -> Result<Endpoint, StandInError> {
    let socket = bind_std_udp(address)?;
    let runtime = Arc::new(TokioRuntime);
    let mut endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime)
        .map_err(|source| StandInError::Bind { address, source })?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

fn client_config(config: &EndpointsConfig) -> Result<ClientConfig, StandInError> {
    let mut roots = RootCertStore::empty();
    roots
        .add(config.trusted_certificate.clone())
        .map_err(|error| tls_error(&error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| tls_error(&error))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![HTTP3.to_vec()];
    let tls = QuicClientConfig::try_from(tls).map_err(|error| tls_error(&error))?;

    let mut transport = TransportConfig::default();
    let idle_timeout = IdleTimeout::try_from(config.idle_timeout).map_err(|e| tls_error(&e))?;
    transport.max_idle_timeout(Some(idle_timeout));
    transport.keep_alive_interval(Some(config.keep_alive));
    let mut client = ClientConfig::new(Arc::new(tls));
    client.transport_config(Arc::new(transport));
    Ok(client)
}

fn tls_error(error: &dyn std::error::Error) -> StandInError {
    StandInError::Tls {
        reason: error.to_string(),
    }
}
