//! What faults do on the paths between nodes, and between nodes and the store.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use super::address::{Network, STORE_PORT};
use super::links::LinkRule;
use super::site::SiteError;
use crate::fault_proxy::{Cut, FaultProxy, FaultProxyConfig, FaultRule, Route};

/// Chance that a link loses a datagram.
const LOSS: f64 = 0.15;
/// Chance that a link repeats a datagram.
const REPEAT: f64 = 0.1;
/// Longest delay of a slow link.
const SLOW_LINK: Duration = Duration::from_millis(60);
/// Delay of a slow path to the store.
const SLOW_STORE_US: u64 = 800_000;

/// A link that carries nothing.
pub const CUT: LinkRule = LinkRule {
    is_cut: true,
    loss: 0.0,
    repeat: 0.0,
    delay: Duration::ZERO,
};

/// A link that loses and repeats datagrams.
pub const LOSSY: LinkRule = LinkRule {
    is_cut: false,
    loss: LOSS,
    repeat: REPEAT,
    delay: Duration::ZERO,
};

/// A link that delays datagrams.
pub const SLOW: LinkRule = LinkRule {
    is_cut: false,
    loss: 0.0,
    repeat: 0.0,
    delay: SLOW_LINK,
};

/// A path to the store on which connections are closed.
pub fn refusing() -> FaultRule {
    FaultRule {
        refuse: true,
        ..FaultRule::default()
    }
}

/// A path to the store that carries nothing back.
pub fn silent_to_node() -> FaultRule {
    FaultRule {
        cut: Cut::ToClient,
        ..FaultRule::default()
    }
}

/// A slow path to the store.
pub fn slow() -> FaultRule {
    FaultRule {
        delay_us: SLOW_STORE_US,
        ..FaultRule::default()
    }
}

/// Opens a path to the store on which faults can be set.
///
/// # Errors
/// [`SiteError`] when the system refuses it.
pub async fn store_proxy(network: Network, seed: u64) -> Result<FaultProxy, SiteError> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let config = FaultProxyConfig {
        tcp: vec![Route {
            listen: any.into(),
            upstream: network.at(1, STORE_PORT).into(),
        }],
        seed,
        ..FaultProxyConfig::default()
    };
    FaultProxy::start(config)
        .await
        .map_err(|error| SiteError::System(std::io::Error::other(error.to_string())))
}
