//! Load of one target, as the agent beside its back end works it out.
//!
//! The dominant term is work against slots: requests that run, requests that
//! wait, and flows just admitted whose first request is still to come. Open
//! connections against their limit are a lesser term, so that long-lived
//! streams, which hold no slot, still count a little.

use crate::packets::hop_list::{FULL_LOAD, Load};
use crate::target::slow_start::EffectiveSlots;

/// Load of a target whose connections are all in use and whose slots are all
/// free, unless set otherwise; in thousandths.
pub const DEFAULT_CONNECTION_WEIGHT: u32 = 100;

/// What a target has in use and what it has room for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Requests that hold a slot of the back end.
    pub busy_slots: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots that may be used now.
    pub slots: EffectiveSlots,
    /// Callers' connections that are open, handshakes included.
    pub open_connections: u32,
    /// Most connections that may be open.
    pub connection_limit: u32,
}

impl Usage {
    /// Load with `pending` flows whose first request is still to come;
    /// `connection_weight` is the load of all connections in use, in
    /// thousandths.
    #[must_use]
    pub fn load(&self, pending: u32, connection_weight: u32) -> Load {
        let work = u64::from(self.busy_slots) + u64::from(self.queued) + u64::from(pending);
        let work_load = ratio(work * u64::from(FULL_LOAD) * 1000, self.slots.thousandths());
        let connections = u64::from(self.open_connections) * u64::from(connection_weight);
        let connection_load = ratio(connections, self.connection_limit);
        Load(saturate(work_load.saturating_add(connection_load)))
    }
}

/// The quotient, or the greatest number when nothing can be divided by.
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
