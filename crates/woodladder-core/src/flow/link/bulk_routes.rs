//! Which routes bring many bytes at a time.
//!
//! What counts for a link is what a flow brings soon after its opening: a flow that
//! lives for long may bring as much in small parts, which burdens no link.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::identity::FlowKey;

/// Time from a flow's opening in which its bytes are counted.
const OBSERVED_FOR: Duration = Duration::from_millis(1000);
/// Most flows that are observed at a time.
const MOST_OBSERVED: usize = 512;
/// Weight of the flows before against the next one.
const FORMER_WEIGHT: u64 = 7;
/// Mean bytes from which a route counts as bulk: the packets that a sender may have
/// under way.
pub const BULK_FROM: u64 = super::WINDOW;

/// Mean bytes that flows bring soon after their opening, by route.
#[derive(Clone, Debug, Default)]
pub struct BulkRoutes {
    observed: FxHashMap<FlowKey, u64>,
    begun: VecDeque<(Instant, FlowKey)>,
    means: FxHashMap<SocketAddrV4, u64>,
}

impl BulkRoutes {
    /// Counts a new flow.
    pub fn opened(&mut self, key: FlowKey, now: Instant) {
        self.fold(now);
        if self.observed.len() < MOST_OBSERVED && self.observed.insert(key, 0).is_none() {
            self.begun.push_back((now, key));
        }
    }

    /// Counts bytes of a flow.
    pub fn brought(&mut self, key: &FlowKey, payload: u16, now: Instant) {
        self.fold(now);
        if let Some(bytes) = self.observed.get_mut(key) {
            *bytes += u64::from(payload);
        }
    }

    /// Mean bytes that a flow of the route brings; zero before any is known.
    #[must_use]
    pub fn mean(&self, route: SocketAddrV4) -> u64 {
        self.means.get(&route).copied().unwrap_or(0)
    }

    /// Whether the route's flows bring many bytes.
    #[must_use]
    pub fn is_bulk(&self, route: SocketAddrV4) -> bool {
        self.mean(route) >= BULK_FROM
    }

    /// Forgets routes that no longer exist.
    pub fn retain(&mut self, mut exists: impl FnMut(SocketAddrV4) -> bool) {
        self.means.retain(|address, _| exists(*address));
    }

    fn fold(&mut self, now: Instant) {
        while let Some((since, key)) = self.begun.front().copied()
            && now.since(since) >= OBSERVED_FOR
        {
            self.begun.pop_front();
            let bytes = self.observed.remove(&key).unwrap_or(0);
            if bytes > 0 {
                let mean = self.means.entry(key.service).or_insert(bytes);
                *mean = (*mean * FORMER_WEIGHT + bytes) / (FORMER_WEIGHT + 1);
            }
        }
    }
}
