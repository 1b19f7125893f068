//! The faults in force on a proxied path.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Direction of what is relayed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
}

/// Which directions carry nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// None: all is carried.
    #[default]
    None,
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    ToClient,
    /// Both.
    Both,
}

impl Cut {
    /// Whether this direction carries nothing.
    #[must_use]
    pub fn covers(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::Both => true,
            Self::ToUpstream => direction == Direction::ToUpstream,
            Self::ToClient => direction == Direction::ToClient,
        }
    }
}

/// Faults in force. The default is none. Chances are from zero to one.
///
/// Over TCP, which repeats what the network loses, `loss` and `duplicate` do nothing, jitter
/// never changes the order, and a cut holds bytes back until it is over.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// Chance that a datagram is lost.
    pub loss: f64,
    /// Chance that a datagram is delivered twice.
    pub duplicate: f64,
    /// Delay of everything, in microseconds.
    pub delay_us: u64,
    /// Further delay drawn evenly up to this, in microseconds. It changes the order of datagrams.
    pub jitter_us: u64,
    /// Which directions carry nothing.
    pub cut: Cut,
    /// Everything is held, as by a stopped process, and delivered once the freeze is over.
    pub frozen: bool,
    /// TCP connections are closed, and new ones are not accepted.
    pub refuse: bool,
}

impl FaultRule {
    /// The delay of everything.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us)
    }
}
