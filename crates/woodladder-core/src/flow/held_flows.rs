//! Messages in which an agent announces to balancers the flows that its target holds.
//!
//! A flow is identified by a fingerprint of 32 bits. With two million flows at all agents
//! together, one search in 2,000 goes first to an agent that does not hold the flow, and
//! continues after that agent's denial. An announcement only decides which agent is asked
//! first; a balancer never concludes from it that a flow is gone.

use borsh::{BorshDeserialize, BorshSerialize};

use super::identity::FlowKey;

/// Most flows that one agent announces. An agent with more is searched like one that
/// announces nothing: its list would cost more than the queries that it saves.
pub const MAXIMUM_ANNOUNCED_FLOWS: usize = 4096;
/// Most fingerprints in one datagram, which keeps it below 1,200 bytes.
pub const MAXIMUM_FINGERPRINTS: usize = 256;

/// The low 32 bits of a flow's hash.
#[derive(
    BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct FlowFingerprint(pub u32);

impl FlowFingerprint {
    /// The fingerprint of a flow.
    #[must_use]
    pub fn of(key: &FlowKey) -> Self {
        Self((key.hash() & u64::from(u32::MAX)) as u32)
    }
}

/// Which of the agent's flows an announcement covers.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementCoverage {
    /// The changes after the change numbered `base_change`.
    Changes,
    /// All announced flows. A flow that is not listed has been open only for a moment, if
    /// at all.
    Complete,
    /// None: the agent holds more than [`MAXIMUM_ANNOUNCED_FLOWS`].
    Nothing,
}

/// The announcement that an agent attaches to a report.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct FlowAnnouncement {
    /// Which flows the announcement covers.
    pub coverage: AnnouncementCoverage,
    /// Number of the change just before the first announced one.
    pub base_change: u32,
    /// Number of the last announced change.
    pub last_change: u32,
    /// Flows that are open as of `last_change`: with [`AnnouncementCoverage::Complete`] all
    /// of them, with [`AnnouncementCoverage::Changes`] those that opened after
    /// `base_change`.
    pub open: Vec<FlowFingerprint>,
    /// Flows that have closed after `base_change`, up to `last_change`.
    pub closed: Vec<FlowFingerprint>,
}

/// One datagram of an agent's complete list.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct FlowListPart {
    /// Epoch of the agent: identifies its current start.
    pub epoch: u64,
    /// Number of the last change that the list includes.
    pub last_change: u32,
    /// Index of this part, from zero.
    pub part_index: u8,
    /// Number of parts in the list.
    pub part_count: u8,
    /// Open flows.
    pub open: Vec<FlowFingerprint>,
}
