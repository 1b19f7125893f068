//! Datagrams to callers: a PROXY protocol v2 header, then the datagram.
//!
//! The header's source is the service address that the caller sent to and its
//! destination the caller, so that the fabric can deliver it.

use std::io;
use std::net::SocketAddr;

use ppp::v2::{Builder, Command, Protocol, Version};

/// Longest header: two IPv6 addresses.
const MAXIMUM_HEADER: usize = 52;

/// The fabric's addresses that take datagrams for callers.
#[derive(Debug)]
pub(super) struct Egress {
    addresses: Vec<SocketAddr>,
}

impl Egress {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// The fabric's address for a caller: always the same one, so that the
    /// datagrams of a flow keep their order where the fabric keeps it.
    pub(super) fn address_for(&self, caller: SocketAddr) -> Option<SocketAddr> {
        let count = self.addresses.len().max(1);
        let index = usize::from(caller.port()) % count;
        self.addresses.get(index).copied()
    }
}

/// The datagram that the fabric gets for a caller.
pub(super) fn wrap(
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
    debug_assert!(datagram.len() <= MAXIMUM_HEADER, "header of two addresses");
    datagram.reserve_exact(payload.len());
    datagram.extend_from_slice(payload);
    Ok(datagram)
}
