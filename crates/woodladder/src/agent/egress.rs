//! Builds the datagrams that the fabric delivers to callers: a PROXY protocol
//! v2 header, followed by the QUIC datagram.
//!
//! The header's source is the service address that the caller sent to, its
//! destination is the caller.

use std::io;
use std::net::SocketAddr;

use ppp::v2::{Builder, Command, Protocol, Version};

/// Length in bytes of a header with two IPv6 addresses, the longest one.
const MAXIMUM_HEADER_LENGTH: usize = 52;

/// Fabric addresses that datagrams to callers are sent to.
#[derive(Debug)]
pub(super) struct Egress {
    addresses: Vec<SocketAddr>,
}

impl Egress {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// The fabric address for a caller. It is the same for all datagrams to one
    /// caller port, so the fabric can keep the datagrams of a flow in order.
    pub(super) fn address_for(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let count = self.addresses.len().max(1);
        let index = usize::from(caller.port()) % count;
        self.addresses.get(index).copied()
    }
}

/// Puts the PROXY header for a caller before the payload.
pub(super) fn add_proxy_header(
    service_address: SocketAddr,
    caller: SocketAddr,
    payload: &[u8],
) -> io::Result<Vec<u8>> {
    let mut datagram = Builder::with_addresses(
        Version::Two | Command::Proxy,
        Protocol::Datagram,
        (service_address, caller),
    )
    .build()?;
    debug_assert!(
        datagram.len() <= MAXIMUM_HEADER_LENGTH,
        "PROXY header longer than one with two IPv6 addresses"
    );
    datagram.reserve_exact(payload.len());
    datagram.extend_from_slice(payload);
    Ok(datagram)
}
