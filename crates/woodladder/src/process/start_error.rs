//! Why a daemon cannot start.

use std::fmt;
use std::net::SocketAddr;

use crate::agent::{self, CertificateError};
use crate::store::ServiceError;

/// Why a daemon cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// Address that cannot be listened on.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// Signal handlers cannot be installed.
    Signals(std::io::Error),
    /// A client of the platform's services cannot be built.
    PlatformClient(ServiceError),
    /// The certificate or its key cannot be used.
    Certificate(CertificateError),
    /// The agent's data path cannot start.
    Agent(agent::AgentStartError),
}

impl StartError {
    /// The error for an address that cannot be listened on.
    #[must_use]
    pub fn listen(setting: &'static str, address: SocketAddr, error: std::io::Error) -> Self {
        Self::Listen {
            setting,
            address,
            error,
        }
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                setting,
                address,
                error,
            } => write!(formatter, "{setting}: cannot listen on {address}: {error}"),
            Self::Signals(error) => write!(formatter, "cannot handle signals: {error}"),
            Self::PlatformClient(error) => write!(
                formatter,
                "cannot build a client of the platform's services: {error}"
            ),
            Self::Agent(error) => write!(formatter, "cannot start the agent: {error}"),
            Self::Certificate(error) => write!(formatter, "cannot use the certificate: {error}"),
        }
    }
}

impl std::error::Error for StartError {}
