//! Parameters of admission, kept apart so that they can be measured.

use std::time::Duration;

use crate::packets::hop_list::Load;
use crate::target::load::DEFAULT_CONNECTION_WEIGHT;

/// Parameters of admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionOptions {
    /// A target with a load below this takes a flow without asking another.
    pub accept_below: Load,
    /// How much less loaded another target must have been for the flow to go
    /// back to it; covers the age of the load that it stated.
    pub return_margin: Load,
    /// Load above which no new flow is taken; without it, requests alone are
    /// refused when too many wait.
    pub refuse_above: Option<Load>,
    /// Load of all connections in use, in thousandths.
    pub connection_weight: u32,
    /// How long a flow counts as load while its first request is to come.
    pub pending_window: Duration,
    /// How long the decision on a flow is remembered for its further first
    /// packets.
    pub memory_time: Duration,
    /// Most flows remembered; the oldest are forgotten first.
    pub memory_limit: usize,
    /// Flows per window that are taken only to answer their requests with a
    /// refusal.
    pub decline_allowance: u32,
    /// Window of the allowance.
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
            memory_time: Duration::from_secs(8),
            memory_limit: 1 << 16,
            decline_allowance: 100,
            decline_window: Duration::from_secs(1),
        }
    }
}
