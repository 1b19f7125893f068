//! Detection of bulk routes: routes whose flows send many bytes soon after their opening.
//!
//! Only the bytes soon after the opening matter for a link. A long-lived flow may send as
//! many bytes in small parts, which does not congest a link.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::identity::FlowKey;

/// Time from a flow's opening during which its bytes are counted.
const OBSERVATION_TIME: Duration = Duration::from_millis(1000);
/// Maximum number of flows that are observed at the same time.
const MAXIMUM_OBSERVED_FLOWS: usize = 512;
/// Weight of the mean over all earlier flows when the bytes of a new flow, which has a
/// weight of 1, are averaged in.
const EARLIER_FLOWS_WEIGHT: u64 = 7;
/// Mean number of bytes from which a route counts as bulk: as much as a sender may have
/// in flight.
pub const BULK_THRESHOLD_BYTES: u64 = super::SEND_WINDOW_BYTES;

/// Mean number of bytes that flows send soon after their opening, by route.
#[derive(Clone, Debug, Default)]
pub struct BulkRoutes {
    observed_bytes: FxHashMap<FlowKey, u64>,
    observed_since: VecDeque<(Instant, FlowKey)>,
    mean_bytes: FxHashMap<SocketAddrV4, u64>,
}

impl BulkRoutes {
    /// Starts to observe a new flow.
    pub fn observe(&mut self, key: FlowKey, now: Instant) {
        self.finish_observations(now);
        if self.observed_bytes.len() < MAXIMUM_OBSERVED_FLOWS
            && self.observed_bytes.insert(key, 0).is_none()
        {
            self.observed_since.push_back((now, key));
        }
    }

    /// Counts bytes of a flow.
    pub fn count_bytes(&mut self, key: &FlowKey, payload: u16, now: Instant) {
        self.finish_observations(now);
        if let Some(bytes) = self.observed_bytes.get_mut(key) {
            *bytes += u64::from(payload);
        }
    }

    /// Mean number of bytes that a flow of the route sends soon after its opening; zero
    /// before any is known.
    #[must_use]
    pub fn mean_bytes(&self, route: SocketAddrV4) -> u64 {
        self.mean_bytes.get(&route).copied().unwrap_or(0)
    }

    /// Whether the route is a bulk route.
    #[must_use]
    pub fn is_bulk(&self, route: SocketAddrV4) -> bool {
        self.mean_bytes(route) >= BULK_THRESHOLD_BYTES
    }

    /// Removes routes that no longer exist.
    pub fn retain(&mut self, mut exists: impl FnMut(SocketAddrV4) -> bool) {
        self.mean_bytes.retain(|address, _| exists(*address));
    }

    fn finish_observations(&mut self, now: Instant) {
        while let Some((since, key)) = self.observed_since.front().copied()
            && now.since(since) >= OBSERVATION_TIME
        {
            self.observed_since.pop_front();
            let bytes = self.observed_bytes.remove(&key).unwrap_or(0);
            if bytes > 0 {
                let mean = self.mean_bytes.entry(key.service).or_insert(bytes);
                *mean = (*mean * EARLIER_FLOWS_WEIGHT + bytes) / (EARLIER_FLOWS_WEIGHT + 1);
            }
        }
    }
}
