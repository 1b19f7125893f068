//! Reports about a target's agent and their order.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::bundle::encode;
use crate::identifier::TargetId;

/// Tells runs of an agent's process apart; a later start has a greater number.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct RunNumber(pub u64);

/// Version of a report within a run; only the agent itself raises it.
#[derive(
    BorshDeserialize,
    BorshSerialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub struct ReportVersion(pub u32);

/// Whether a target's agent takes new flows. At equal versions the later
/// variant overrides the earlier.
#[derive(
    BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub enum Availability {
    /// It does.
    Serving,
    /// It said that it does not.
    Leaving,
    /// It answered none of several probes.
    Unreachable,
}

/// What is said of one target's agent.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AvailabilityReport {
    /// The target.
    pub target: TargetId,
    /// Control address of its agent.
    pub control_address: SocketAddr,
    /// Run of the agent's process.
    pub run: RunNumber,
    /// Version within the run.
    pub version: ReportVersion,
    /// Whether it takes new flows.
    pub availability: Availability,
}

impl Availability {
    /// Whether new flows are to go elsewhere.
    #[must_use]
    pub fn diverts(self) -> bool {
        self != Self::Serving
    }
}

impl AvailabilityReport {
    /// Whether this report replaces `other`, which is about the same target.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether the two say the same.
    #[must_use]
    pub fn repeats(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }

    /// Hash of a report that turns new flows away; zero for others. The
    /// exclusive or over all targets tells whether two nodes agree.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        match self.availability {
            Availability::Serving => 0,
            Availability::Leaving | Availability::Unreachable => xxh3_64(&encode(self)),
        }
    }

    fn rank(&self) -> (RunNumber, ReportVersion, Availability) {
        (self.run, self.version, self.availability)
    }
}
