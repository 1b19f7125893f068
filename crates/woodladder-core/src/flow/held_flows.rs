//! What an agent tells balancers of the flows that its target holds.
//!
//! A flow is named by a fingerprint of 32 bits: of two million flows at all agents
//! together, one search in 2,000 is sent to an agent that does not hold the flow, and
//! goes on after its denial. What is told here only says whom to ask first: that a flow
//! is gone is never concluded from it.

use borsh::{BorshDeserialize, BorshSerialize};

use super::identity::FlowKey;

/// Most flows of one agent that are told. An agent with more is asked like one that
/// tells nothing: its list would cost more than the questions that it saves.
pub const MAXIMUM_ANNOUNCED_FLOWS: usize = 4096;
/// Most fingerprints in one datagram, which stays below 1,200 bytes.
pub const MAXIMUM_FINGERPRINTS: usize = 256;

/// The low bits of a flow's hash.
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

/// How much of the agent's flows a statement covers.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementCoverage {
    /// What has changed after the change numbered `base_change`.
    Changes,
    /// All flows that are told; nothing else is open for longer than a moment.
    Complete,
    /// Nothing: the agent holds more than [`MAXIMUM_ANNOUNCED_FLOWS`].
    Nothing,
}

/// What an agent adds to a report.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct FlowAnnouncement {
    /// How much it covers.
    pub coverage: AnnouncementCoverage,
    /// Number of the last change before those that are stated.
    pub base_change: u32,
    /// Number of the last change that is stated.
    pub last_change: u32,
    /// Flows that are open as of `last_change`.
    pub open: Vec<FlowFingerprint>,
    /// Flows that have closed between the two.
    pub closed: Vec<FlowFingerprint>,
}

/// One datagram of an agent's complete list.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct FlowListPart {
    /// The agent's start.
    pub epoch: u64,
    /// Number of the last change that the list contains.
    pub last_change: u32,
    /// Place of this part, from zero.
    pub part_index: u8,
    /// Parts of the list.
    pub part_count: u8,
    /// Flows that are open.
    pub open: Vec<FlowFingerprint>,
}
