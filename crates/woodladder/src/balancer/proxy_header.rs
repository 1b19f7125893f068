//! The PROXY protocol header (version 2) that the fabric puts before each
//! datagram.
//!
//! Specification: HAProxy Technologies, "The PROXY protocol, versions 1 & 2",
//! section 2.2. The `ppp` library parses the header without copying.

use std::fmt;
use std::net::SocketAddr;

use ppp::v2::{Addresses, Command, Header, Protocol};
use woodladder_core::packets::router::InboundDatagram;

/// Why a datagram's PROXY header is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyHeaderError {
    /// It is no header of version 2, or it is truncated.
    Malformed,
    /// It does not describe a datagram between two IP addresses.
    NotProxied,
}

/// Parses the header and returns the addresses in it and the caller's datagram
/// that follows it.
///
/// # Errors
/// [`ProxyHeaderError`] when the header is rejected.
pub fn parse_proxy_header(bytes: &[u8]) -> Result<InboundDatagram<'_>, ProxyHeaderError> {
    let header = Header::try_from(bytes).map_err(|_| ProxyHeaderError::Malformed)?;
    if header.command != Command::Proxy || header.protocol != Protocol::Datagram {
        return Err(ProxyHeaderError::NotProxied);
    }
    let (caller, service_address) =
        addresses(&header.addresses).ok_or(ProxyHeaderError::NotProxied)?;
    let datagram = bytes
        .get(header.len()..)
        .ok_or(ProxyHeaderError::Malformed)?;
    Ok(InboundDatagram {
        caller,
        service_address,
        datagram,
    })
}

fn addresses(addresses: &Addresses) -> Option<(SocketAddr, SocketAddr)> {
    match addresses {
        Addresses::IPv4(ip) => Some((
            SocketAddr::from((ip.source_address, ip.source_port)),
            SocketAddr::from((ip.destination_address, ip.destination_port)),
        )),
        Addresses::IPv6(ip) => Some((
            SocketAddr::from((ip.source_address, ip.source_port)),
            SocketAddr::from((ip.destination_address, ip.destination_port)),
        )),
        Addresses::Unspecified | Addresses::Unix(_) => None,
    }
}

impl fmt::Display for ProxyHeaderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "the PROXY header is malformed",
            Self::NotProxied => {
                "the PROXY header does not describe a datagram between two IP addresses"
            }
        })
    }
}

impl std::error::Error for ProxyHeaderError {}
