//! Distributes a route's new flows over its parts by smooth weighted round robin: after
//! any number of flows, each part is less than one flow away from its exact share.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use super::configuration::{Route, RoutePart};
use super::identity::ServiceKey;

#[derive(Clone, Debug)]
struct CurrentWeights {
    parts: Vec<RoutePart>,
    current: Vec<i64>,
}

/// The round-robin state of all routes that have several parts.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    routes: FxHashMap<SocketAddrV4, CurrentWeights>,
}

impl WeightedRoundRobin {
    /// The service for the route's next new flow; `None` if all weights are zero.
    pub fn next_service(&mut self, route: &Route) -> Option<ServiceKey> {
        if let [only] = route.parts.as_slice() {
            return Some(only.service);
        }
        let state = self
            .routes
            .entry(route.address)
            .or_insert_with(|| CurrentWeights::new(route));
        if state.parts != route.parts {
            *state = CurrentWeights::new(route);
        }
        state.next()
    }

    /// Drops the state of routes that no longer exist.
    pub fn retain(&mut self, mut exists: impl FnMut(SocketAddrV4) -> bool) {
        self.routes.retain(|address, _| exists(*address));
    }
}

impl CurrentWeights {
    fn new(route: &Route) -> Self {
        Self {
            parts: route.parts.clone(),
            current: vec![0; route.parts.len()],
        }
    }

    fn next(&mut self) -> Option<ServiceKey> {
        let total: i64 = self.parts.iter().map(|part| i64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        for (current, part) in self.current.iter_mut().zip(&self.parts) {
            *current += i64::from(part.weight);
        }
        let (index, current) = self
            .current
            .iter_mut()
            .enumerate()
            .max_by_key(|(_, current)| **current)?;
        *current -= total;
        self.parts.get(index).map(|part| part.service)
    }
}
