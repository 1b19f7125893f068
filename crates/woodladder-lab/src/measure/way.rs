//! The ways of placing flows that are compared.

use std::fmt;

use serde::Serialize;

/// A way of placing new flows and of finding the target of established ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Hop list at the balancer, admission by fresh load at the agents, tokens
    /// for established flows: the product's own code.
    Chosen,
    /// Rendezvous hash of the addresses over the balancer's table, for first
    /// and for later packets.
    Hash,
    /// The same; an agent passes packets of flows that it does not know to the
    /// choice of the table before its own.
    HashWithPrevious,
    /// The balancer takes the target with the least polled load plus what it
    /// sent there since the poll; tokens for established flows.
    PolledLeastLoad,
    /// The balancer draws two targets and takes the one with the lesser polled
    /// load; tokens for established flows.
    RandomTwoStale,
    /// The least loaded target at that instant, as nobody can know it; tokens
    /// for established flows. The bound.
    Omniscient,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Chosen,
        Self::Hash,
        Self::HashWithPrevious,
        Self::PolledLeastLoad,
        Self::RandomTwoStale,
        Self::Omniscient,
    ];

    /// Whether packets of established flows are placed by hash.
    #[must_use]
    pub fn hashes_established(self) -> bool {
        matches!(self, Self::Hash | Self::HashWithPrevious)
    }

    /// Whether balancers poll the targets' loads.
    #[must_use]
    pub fn polls(self) -> bool {
        matches!(self, Self::PolledLeastLoad | Self::RandomTwoStale)
    }
}

impl fmt::Display for Way {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Chosen => "chosen",
            Self::Hash => "hash",
            Self::HashWithPrevious => "hash+previous",
            Self::PolledLeastLoad => "polled-least-load",
            Self::RandomTwoStale => "random-two-stale",
            Self::Omniscient => "omniscient",
        })
    }
}
