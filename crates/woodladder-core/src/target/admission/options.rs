//! Parameters of admission, in a type of their own so that measurements can vary
//! them.

use std::time::Duration;

use crate::packets::hop_list::Load;
use crate::target::load::DEFAULT_CONNECTION_WEIGHT;

/// Parameters of admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionOptions {
    /// A target with less load than this accepts a flow at once instead of handing
    /// it on.
    pub accept_below: Load,
    /// How much less load an earlier target must have stated for the flow to go
    /// back to it; allows for the age of the stated load.
    pub return_margin: Load,
    /// Load above which no new flow is accepted. When `None`, no flow is refused
    /// because of load; requests are refused once too many are queued.
    pub refuse_above: Option<Load>,
    /// Weight of open connections in the load of a target: the load, in
    /// thousandths, when all connections are in use and all slots are free.
    pub connection_weight: u32,
    /// Longest time for which an accepted flow counts as load before its first
    /// request arrives.
    pub pending_window: Duration,
    /// How long the decision on a flow is kept for repeated first packets.
    pub decision_retention: Duration,
    /// Most decisions kept; the oldest are dropped first.
    pub maximum_cached_decisions: usize,
    /// Most flows per `decline_window` that are accepted only so that their
    /// requests can be answered with a refusal; further flows are refused.
    pub decline_allowance: u32,
    /// Length of the sliding window in which `decline_allowance` is counted.
    pub decline_window: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            accept_below: Load(200),
            return_margin: Load(0),
            refuse_above: None,
            connection_weight: DEFAULT_CONNECTION_WEIGHT,
            pending_window: Duration::from_millis(500),
            decision_retention: Duration::from_secs(8),
            maximum_cached_decisions: 1 << 16,
            decline_allowance: 100,
            decline_window: Duration::from_secs(1),
        }
    }
}
