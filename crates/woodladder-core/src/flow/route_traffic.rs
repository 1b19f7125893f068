//! Bytes per flow of each route, as a balancer observes them.
//!
//! Keeping a flow in its zone pays more the more bytes it carries. Older flows count for
//! less: the totals of a route are halved whenever its flow count reaches `WINDOW_FLOWS`.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

/// Number of counted flows at which the totals of a route are halved.
const WINDOW_FLOWS: u64 = 128;

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    flows: u64,
    bytes: u64,
}

/// Running totals by route.
#[derive(Clone, Debug, Default)]
pub struct RouteTraffic {
    routes: FxHashMap<SocketAddrV4, Totals>,
}

impl RouteTraffic {
    /// Counts a new flow.
    pub fn count_flow(&mut self, route: SocketAddrV4) {
        let totals = self.routes.entry(route).or_default();
        if totals.flows >= WINDOW_FLOWS {
            totals.flows /= 2;
            totals.bytes /= 2;
        }
        totals.flows += 1;
    }

    /// Counts bytes of a route; ignored until the route has a flow.
    pub fn count_bytes(&mut self, route: SocketAddrV4, length: usize) {
        if let Some(totals) = self.routes.get_mut(&route) {
            totals.bytes += u64::try_from(length).unwrap_or(0);
        }
    }

    /// Mean bytes per flow; zero before any flow is known.
    #[must_use]
    pub fn bytes_per_flow(&self, route: SocketAddrV4) -> u64 {
        self.routes
            .get(&route)
            .map_or(0, |totals| totals.bytes / totals.flows.max(1))
    }

    /// Drops the totals of routes that no longer exist.
    pub fn retain(&mut self, mut exists: impl FnMut(SocketAddrV4) -> bool) {
        self.routes.retain(|address, _| exists(*address));
    }
}
