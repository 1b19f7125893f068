//! Shares of a route's new flows among its parts, by smooth weighted round
//! robin: after any number of flows each part is less than one flow off its
//! weight.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use super::configuration::{Route, RoutePart};
use super::identity::ServiceKey;

#[derive(Clone, Debug)]
struct Credits {
    parts: Vec<RoutePart>,
    credit: Vec<i64>,
}

/// Credits of all routes that have several parts.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    routes: FxHashMap<SocketAddrV4, Credits>,
}

impl WeightedRoundRobin {
    /// The service of the route's next new flow; `None` when no part has any
    /// weight.
    pub fn next_service(&mut self, route: &Route) -> Option<ServiceKey> {
        if let [only] = route.parts.as_slice() {
            return Some(only.service);
        }
        let credits = self
            .routes
            .entry(route.address)
            .or_insert_with(|| Credits::new(route));
        if credits.parts != route.parts {
            *credits = Credits::new(route);
        }
        credits.next()
    }

    /// Forgets routes that no longer exist.
    pub fn retain(&mut self, mut exists: impl FnMut(SocketAddrV4) -> bool) {
        self.routes.retain(|address, _| exists(*address));
    }
}

impl Credits {
    fn new(route: &Route) -> Self {
        Self {
            parts: route.parts.clone(),
            credit: vec![0; route.parts.len()],
        }
    }

    fn next(&mut self) -> Option<ServiceKey> {
        let total: i64 = self.parts.iter().map(|part| i64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, part) in self.credit.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
        }
        let (index, credit) = self
            .credit
            .iter_mut()
            .enumerate()
            .max_by_key(|(_, credit)| **credit)?;
        *credit -= total;
        self.parts.get(index).map(|part| part.service)
    }
}
