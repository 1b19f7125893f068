//! Availability reports about targets, and their order.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::bundle::encode;
use crate::identifier::TargetId;

/// Number of a run of an agent's process; a run that starts later has a greater
/// number.
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

/// Whether a target's agent accepts new flows. Between reports with the same
/// run and version, the later variant supersedes the earlier one.
#[derive(
    BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub enum Availability {
    /// The agent accepts new flows.
    Serving,
    /// The agent announced that it accepts no new flows.
    Leaving,
    /// The agent left several probes in a row unanswered.
    Unreachable,
}

/// A report about the availability of one target.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AvailabilityReport {
    /// Identifier of the target.
    pub target: TargetId,
    /// Control address of the target's agent.
    pub control_address: SocketAddr,
    /// Number of the run of the agent's process.
    pub run: RunNumber,
    /// Version of the report within the run.
    pub version: ReportVersion,
    /// Whether the agent accepts new flows.
    pub availability: Availability,
}

impl Availability {
    /// Whether new flows are to be sent to other targets.
    #[must_use]
    pub fn is_unavailable(self) -> bool {
        self != Self::Serving
    }
}

impl AvailabilityReport {
    /// Whether this report supersedes `other`, a report about the same target.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether this report and `other`, a report about the same target, have the
    /// same run, version and availability. Control addresses are not compared.
    #[must_use]
    pub fn is_same_as(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }

    /// Hash of the whole report, or zero if the target is available. The
    /// exclusive or over all targets is equal at two nodes that hold the same
    /// reports about unavailable targets.
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
