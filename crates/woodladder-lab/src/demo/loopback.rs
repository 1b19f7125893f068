//! Moves the example deployments' addresses onto the loopback network.
//!
//! The examples use addresses in `10.0.0.0/16`. The demo keeps their last two
//! numbers and replaces the first two by `127.N`, where N is drawn at random,
//! so that two demos rarely meet and none meets a service of the machine.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use rand::Rng;

/// First two numbers of the examples' addresses, as written in their files.
const EXAMPLE_PREFIX: &str = "\"10.0.";
const LEAST_SECOND: u8 = 16;
const GREATEST_SECOND: u8 = 250;
/// Draws before giving up on finding a free network.
const ATTEMPTS: u32 = 64;

/// A part of the loopback network that one demo uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoopbackNetwork {
    second: u8,
}

impl LoopbackNetwork {
    /// Draws a network on which this service address is free.
    #[must_use]
    pub fn draw(random: &mut impl Rng, service_address: SocketAddr) -> Option<Self> {
        for _ in 0..ATTEMPTS {
            let network = Self {
                second: random.random_range(LEAST_SECOND..=GREATEST_SECOND),
            };
            if UdpSocket::bind(network.address(service_address)).is_ok() {
                return Some(network);
            }
        }
        None
    }

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
