//! Load of one target, as computed by the agent of its back end.
//!
//! The main term is work divided by slots; work is the running requests, the
//! queued requests, and the accepted flows whose first request has not arrived
//! yet. A smaller term is open connections divided by their limit, so that
//! long-lived streams, which hold no slot, count as well.

use crate::packets::hop_list::{FULL_LOAD, Load};
use crate::target::slow_start::EffectiveSlots;

/// Default load of a target whose connections are all in use and whose slots
/// are all free, in thousandths.
pub const DEFAULT_CONNECTION_WEIGHT: u32 = 100;

/// Slots and connections of a target: how many are in use and how many exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Requests that hold a slot of the back end.
    pub busy_slots: u32,
    /// Requests queued for a slot.
    pub queued: u32,
    /// Slots that may be used now.
    pub slots: EffectiveSlots,
    /// Callers' connections that are open, handshakes included.
    pub open_connections: u32,
    /// Most connections that may be open.
    pub connection_limit: u32,
}

impl Usage {
    /// Load of the target. `pending` is the number of accepted flows whose first
    /// request has not arrived yet; `connection_weight` is the load of a target
    /// whose connections are all in use, in thousandths.
    #[must_use]
    pub fn load(&self, pending: u32, connection_weight: u32) -> Load {
        let work = u64::from(self.busy_slots) + u64::from(self.queued) + u64::from(pending);
        let work_load = ratio(work * u64::from(FULL_LOAD) * 1000, self.slots.thousandths());
        let connections = u64::from(self.open_connections) * u64::from(connection_weight);
        let connection_load = ratio(connections, self.connection_limit);
        Load(saturate(work_load.saturating_add(connection_load)))
    }
}

/// `numerator / denominator`. Division by zero gives zero for a zero numerator and
/// [`u64::MAX`] for any other.
fn ratio(numerator: u64, denominator: u32) -> u64 {
    if numerator == 0 {
        return 0;
    }
    numerator
        .checked_div(u64::from(denominator))
        .unwrap_or(u64::MAX)
}

fn saturate(load: u64) -> u32 {
    u32::try_from(load).unwrap_or(u32::MAX)
}
