//! Moves the example deployments' addresses onto the loopback network.
//!
//! The examples use addresses in `10.0.0.0/16`. The demo keeps their last two
//! numbers and replaces the first two by `127.N`, where N is drawn at random
//! and reserved: one address of the network stays bound as long as it is used.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use rand::Rng;

/// First two numbers of the examples' addresses, as written in their files.
const EXAMPLE_PREFIX: &str = "\"10.0.";
const LEAST_SECOND: u8 = 16;
const GREATEST_SECOND: u8 = 250;
/// Draws before giving up on finding a free network.
const ATTEMPTS: u32 = 64;

/// Address whose socket reserves a network; no example uses it.
const RESERVED_ADDRESS: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 255, 254)), 7000);

/// A part of the loopback network that one demo uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoopbackNetwork {
    second: u8,
}

/// A network that no other deployment uses, until this is dropped.
#[derive(Debug)]
pub struct NetworkReservation {
    network: LoopbackNetwork,
    _holder: UdpSocket,
}

impl NetworkReservation {
    /// Draws a network that is not in use and reserves it.
    #[must_use]
    pub fn draw(random: &mut impl Rng) -> Option<Self> {
        for _ in 0..ATTEMPTS {
            let network = LoopbackNetwork {
                second: random.random_range(LEAST_SECOND..=GREATEST_SECOND),
            };
            if let Ok(holder) = UdpSocket::bind(network.address(RESERVED_ADDRESS)) {
                return Some(Self {
                    network,
                    _holder: holder,
                });
            }
        }
        None
    }

    /// The network.
    #[must_use]
    pub fn network(&self) -> LoopbackNetwork {
        self.network
    }
}

impl LoopbackNetwork {
    /// An example's text with its addresses on this network.
    #[must_use]
    pub fn text(&self, example: &str) -> String {
        let prefix = format!("\"127.{}.", self.second);
        example.replace(EXAMPLE_PREFIX, &prefix)
    }

    /// An example's address on this network.
    #[must_use]
    pub fn address(&self, example: SocketAddr) -> SocketAddr {
        let IpAddr::V4(ip) = example.ip() else {
            return example;
        };
        let [_, _, third, fourth] = ip.octets();
        let moved = Ipv4Addr::new(127, self.second, third, fourth);
        SocketAddr::new(IpAddr::V4(moved), example.port())
    }
}
