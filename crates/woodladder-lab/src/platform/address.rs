//! Addresses and ports of the stand-in's machines.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicU8, Ordering};

/// Port of packets: balancers take callers' there, and callers take theirs.
pub const DATAGRAM_PORT: u16 = 18_172;
/// Port of readiness.
pub const READY_PORT: u16 = 18_167;
/// Port of heartbeats.
pub const CONTROL_PORT: u16 = 18_166;
/// Port that targets send their packets to.
pub const OUTBOUND_PORT: u16 = 18_162;
/// Port that targets take packets at.
pub const TARGET_PORT: u16 = 18_165;
/// First port between nodes.
pub const PEER_PORT: u16 = 17_720;
/// Port of metrics.
pub const METRICS_PORT: u16 = 18_190;
/// Port of the store.
pub const STORE_PORT: u16 = 18_169;

/// Number of the store's machine.
pub const STORE: u8 = 1;

/// The ends of a flow: caller, then service.
pub type Ends = (SocketAddrV4, SocketAddrV4);

/// Distance of a node's own address from its machine's, where a proxy stands
/// between nodes.
const NODE_OFFSET: u8 = 128;

/// Days that have run in this process.
static DAYS: AtomicU8 = AtomicU8::new(0);

/// A loopback network of its own for one day of one process.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// A network that no other day of this machine uses at the same time: it is
    /// named by the process and by the day within it.
    #[must_use]
    pub fn take() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let day = DAYS.fetch_add(1, Ordering::Relaxed);
        Self {
            second: high.wrapping_add(day).max(1),
            third: low,
        }
    }

    /// The machine with this number.
    #[must_use]
    pub fn machine(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, number)
    }

    /// A port on a machine.
    #[must_use]
    pub fn at(&self, number: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.machine(number), port)
    }

    /// The address that a node itself uses where a proxy stands on its
    /// machine's.
    #[must_use]
    pub fn node_at(&self, number: u8, port: u16) -> SocketAddrV4 {
        self.at(number + NODE_OFFSET, port)
    }

    /// The machine of a node behind a proxy.
    #[must_use]
    pub fn machine_of_node(&self, address: Ipv4Addr) -> Option<u8> {
        address.octets()[3].checked_sub(NODE_OFFSET)
    }
}
