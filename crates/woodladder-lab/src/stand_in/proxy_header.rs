//! PROXY protocol version 2 header before each datagram between fabric, balancers and agents.

use std::net::{IpAddr, SocketAddr};

use ppp::v2::{Addresses, Builder, Command, Header, Protocol, Version};

/// Source and destination carried by a header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProxiedAddresses {
    /// Who sent the payload.
    pub source: SocketAddr,
    /// To whom the payload was sent.
    pub destination: SocketAddr,
}

/// Puts a header before the payload, in `datagram`, which is cleared first.
///
/// Returns false when the addresses are of two families and cannot be described.
pub fn encode(addresses: ProxiedAddresses, payload: &[u8], datagram: &mut Vec<u8>) -> bool {
    if addresses.source.is_ipv4() != addresses.destination.is_ipv4() {
        return false;
    }
    let header = Builder::with_addresses(
        Version::Two | Command::Proxy,
        Protocol::Datagram,
        (addresses.source, addresses.destination),
    )
    .build();
    let Ok(header) = header else {
        return false;
    };
    datagram.clear();
    datagram.extend_from_slice(&header);
    datagram.extend_from_slice(payload);
    true
}

/// Splits a datagram into the addresses of its header and its payload.
///
/// `None` for anything but a well-formed header of a proxied datagram over IPv4 or IPv6.
#[must_use]
pub fn decode(datagram: &[u8]) -> Option<(ProxiedAddresses, &[u8])> {
    let header = Header::try_from(datagram).ok()?;
    if header.command != Command::Proxy || header.protocol != Protocol::Datagram {
        return None;
    }
    let addresses = match header.addresses {
        Addresses::IPv4(pair) => ProxiedAddresses {
            source: SocketAddr::new(IpAddr::V4(pair.source_address), pair.source_port),
            destination: SocketAddr::new(
                IpAddr::V4(pair.destination_address),
                pair.destination_port,
            ),
        },
        Addresses::IPv6(pair) => ProxiedAddresses {
            source: SocketAddr::new(IpAddr::V6(pair.source_address), pair.source_port),
            destination: SocketAddr::new(
                IpAddr::V6(pair.destination_address),
                pair.destination_port,
            ),
        },
        Addresses::Unspecified | Addresses::Unix(_) => return None,
    };
    let payload = datagram.get(header.len()..)?;
    Some((addresses, payload))
}
