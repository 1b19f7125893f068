//! Encodes service addresses as local IP addresses for the transport.
//!
//! The transport keeps one local IP address for each connection: the
//! destination of a flow's first datagram, which it returns as the source of
//! each datagram that it sends. A service may have several addresses that
//! differ only in their port, so an IP address alone does not identify a
//! service address. The agent therefore numbers the service addresses and
//! passes the number as an address in the discard-only block `100::/64` (RFC
//! 6666). Datagrams can then be sent from the address that the caller used,
//! without a table of flows.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::RwLock;

/// Most service addresses that one agent can send from.
pub(super) const MAXIMUM_ADDRESSES: usize = 256;

const DISCARD_PREFIX: u16 = 0x0100;

/// The service addresses seen so far; the index of an address is its number.
#[derive(Debug, Default)]
pub(super) struct AddressBook {
    addresses: RwLock<Vec<SocketAddr>>,
}

impl AddressBook {
    /// The local address that stands for a service address, or `None` when
    /// there are already [`MAXIMUM_ADDRESSES`] others.
    pub(super) fn local_address(&self, service_address: SocketAddr) -> Option<IpAddr> {
        let number = self
            .find(service_address)
            .or_else(|| self.insert(service_address))?;
        let number = u16::try_from(number).ok()?;
        Some(Ipv6Addr::new(DISCARD_PREFIX, 0, 0, 0, 0, 0, 0, number).into())
    }

    /// The service address that a local address stands for.
    pub(super) fn service_address(&self, local_address: IpAddr) -> Option<SocketAddr> {
        let IpAddr::V6(address) = local_address else {
            return None;
        };
        let [prefix, .., number] = address.segments();
        if prefix != DISCARD_PREFIX {
            return None;
        }
        let addresses = self.addresses.read().ok()?;
        addresses.get(usize::from(number)).copied()
    }

    fn find(&self, service_address: SocketAddr) -> Option<usize> {
        let addresses = self.addresses.read().ok()?;
        addresses.iter().position(|known| *known == service_address)
    }

    fn insert(&self, service_address: SocketAddr) -> Option<usize> {
        let mut addresses = self.addresses.write().ok()?;
        let known = addresses.iter().position(|known| *known == service_address);
        if known.is_some() {
            return known;
        }
        if addresses.len() >= MAXIMUM_ADDRESSES {
            return None;
        }
        addresses.push(service_address);
        Some(addresses.len() - 1)
    }
}
