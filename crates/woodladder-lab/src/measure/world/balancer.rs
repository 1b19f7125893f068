//! One balancer of the model.

use woodladder_core::packets::hop_list::Load;

use super::event::VersionIndex;

/// What a balancer holds.
pub(super) struct BalancerModel {
    pub(super) zone: u16,
    /// The last roll in force here.
    pub(super) version: VersionIndex,
    pub(super) alive: bool,
    /// Load of each target by the last poll; only some ways look at it.
    pub(super) polled: Vec<Load>,
    /// Flows sent to each target since the last poll.
    pub(super) sent_since_poll: Vec<u32>,
}

impl BalancerModel {
    pub(super) fn new(zone: u16, version: VersionIndex, targets: usize) -> Self {
        Self {
            zone,
            version,
            alive: true,
            polled: vec![Load::default(); targets],
            sent_since_poll: vec![0; targets],
        }
    }
}
