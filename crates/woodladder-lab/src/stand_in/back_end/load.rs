//! What the load endpoint tells: the truth, an old truth or a made-up number.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use woodladder_core::clock::Instant;

use super::fault::LoadFault;

/// Samples kept for lagging reports.
const HISTORY_LIMIT: usize = 65_536;

/// Body of the load endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: usize,
    /// All slots.
    pub slots: usize,
    /// Requests and feeds open.
    pub connections: usize,
    /// Most requests and feeds at one time.
    pub connection_limit: usize,
}

#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<(Instant, usize)>,
}

impl LoadHistory {
    pub(super) fn record(&mut self, busy: usize, now: Instant) {
        if self.samples.len() == HISTORY_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back((now, busy));
    }

    /// The number of busy slots to tell, when the true one is `busy`.
    pub(super) fn told(&self, fault: LoadFault, busy: usize, now: Instant) -> usize {
        match fault {
            LoadFault::Honest => busy,
            LoadFault::Lying { busy } => busy,
            LoadFault::Lagging { lag_ms } => self.busy_before(Duration::from_millis(lag_ms), now),
        }
    }

    fn busy_before(&self, lag: Duration, now: Instant) -> usize {
        self.samples
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= lag)
            .map_or(0, |(_, busy)| *busy)
    }
}
