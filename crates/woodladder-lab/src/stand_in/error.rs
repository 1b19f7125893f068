//! Errors of starting a stand-in.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a stand-in could not be started.
#[derive(Debug)]
pub enum StandInError {
    /// An address could not be bound.
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The HTTP client could not be built.
    HttpClient {
        /// What the library said.
        reason: String,
    },
    /// The certificate to trust, or the cipher set-up, was refused.
    Tls {
        /// What the library said.
        reason: String,
    },
}

impl fmt::Display for StandInError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, source } => write!(formatter, "cannot bind {address}: {source}"),
            Self::HttpClient { reason } => write!(formatter, "cannot build HTTP client: {reason}"),
            Self::Tls { reason } => write!(formatter, "cannot set up TLS: {reason}"),
        }
    }
}

impl std::error::Error for StandInError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } => Some(source),
            Self::HttpClient { .. } | Self::Tls { .. } => None,
        }
    }
}
