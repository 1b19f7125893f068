//! The operators' configuration as balancers use it: routes by address.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use rustc_hash::FxHashMap;

use super::identity::ServiceKey;

/// Configurations whose services are remembered for flows that were opened
/// under them.
const REMEMBERED_CHANGES: usize = 8;

/// One share of a route's new flows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoutePart {
    /// Service that takes the share.
    pub service: ServiceKey,
    /// Weight against the route's other parts.
    pub weight: u32,
}

/// What the operators expect of the requests of a route.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteTerms {
    /// Importance; zero is the highest.
    pub priority: u8,
    /// Time in which a request should be answered, in milliseconds.
    pub aim_ms: u32,
    /// Time after which an answer is of no use any more, in milliseconds.
    pub timeout_ms: u32,
    /// Whether a request that may have run can be sent again.
    pub is_repeatable: bool,
}

impl Default for RouteTerms {
    fn default() -> Self {
        Self {
            priority: u8::MAX,
            aim_ms: 300,
            timeout_ms: u32::MAX,
            is_repeatable: false,
        }
    }
}

/// Where new flows to one address go.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Address and port that callers send to.
    pub address: SocketAddrV4,
    /// Services by weight; one with the whole weight as a rule.
    pub parts: Vec<RoutePart>,
    /// What is expected of its requests.
    pub terms: RouteTerms,
}

/// What the operators state of a service's targets.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceTerms {
    /// The service.
    pub service: ServiceKey,
    /// Time for which a target is cold after its start, in milliseconds.
    pub warm_up_ms: u32,
    /// Requests a second that a cold target bears, in thousandths; zero when
    /// nothing is stated.
    pub warm_up_rate: u32,
}

/// One version of the configuration.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services of which something is stated.
    pub services: Vec<ServiceTerms>,
    /// Time after which a flow at rest may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Routes of the greatest version seen, by address. Never goes back.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    current: Option<Arc<Configuration>>,
    routes: FxHashMap<SocketAddrV4, usize>,
    former: FxHashMap<SocketAddrV4, Vec<ServiceKey>>,
    /// The lowest importance, that is the greatest priority number, of the
    /// routes that lead to a service.
    lowest_importance: FxHashMap<ServiceKey, u8>,
}

impl RouteTable {
    /// The version in force; zero when there is none yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Takes a configuration when its version is greater than the one in
    /// force; says whether it did.
    pub fn adopt(&mut self, next: Arc<Configuration>) -> bool {
        if next.version <= self.version() {
            return false;
        }
        self.remember_services(&next);
        self.routes = next
            .routes
            .iter()
            .enumerate()
            .map(|(index, route)| (route.address, index))
            .collect();
        self.lowest_importance = lowest_importance(&next);
        self.current = Some(next);
        true
    }

    /// Whether an address's requests matter more than others of the same
    /// service, and what is expected of them.
    #[must_use]
    pub fn terms(&self, address: SocketAddrV4, service: ServiceKey) -> (RouteTerms, bool) {
        let terms = self
            .route(address)
            .map_or_else(RouteTerms::default, |route| route.terms);
        let lowest = self.lowest_importance.get(&service).copied();
        let is_urgent = lowest.is_some_and(|lowest| terms.priority < lowest);
        (terms, is_urgent)
    }

    /// Requests a second that a cold target of a service bears, in thousandths;
    /// zero when nothing is stated.
    #[must_use]
    pub fn warm_up_rate(&self, service: ServiceKey) -> u32 {
        self.service(service).map_or(0, |terms| terms.warm_up_rate)
    }

    /// Time for which a target of a service is cold after its start.
    #[must_use]
    pub fn warm_up_time(&self, service: ServiceKey) -> Duration {
        self.service(service).map_or(Duration::ZERO, |terms| {
            Duration::from_millis(terms.warm_up_ms.into())
        })
    }

    fn service(&self, service: ServiceKey) -> Option<&ServiceTerms> {
        let services = &self.current.as_ref()?.services;
        services.iter().find(|terms| terms.service == service)
    }

    /// The route of an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let index = *self.routes.get(&address)?;
        self.current.as_ref()?.routes.get(index)
    }

    /// Services that an address led to under earlier versions.
    #[must_use]
    pub fn former_services(&self, address: SocketAddrV4) -> &[ServiceKey] {
        self.former.get(&address).map_or(&[], Vec::as_slice)
    }

    fn remember_services(&mut self, next: &Configuration) {
        let Some(current) = self.current.take() else {
            return;
        };
        let next_routes: FxHashMap<SocketAddrV4, &Route> = next
            .routes
            .iter()
            .map(|route| (route.address, route))
            .collect();
        for route in &current.routes {
            let same = next_routes
                .get(&route.address)
                .is_some_and(|later| later.parts == route.parts);
            if !same {
                self.remember(route);
            }
        }
    }

    fn remember(&mut self, route: &Route) {
        let services = self.former.entry(route.address).or_default();
        for part in &route.parts {
            if !services.contains(&part.service) {
                services.push(part.service);
            }
        }
        let surplus = services.len().saturating_sub(REMEMBERED_CHANGES);
        services.drain(..surplus);
    }
}

fn lowest_importance(configuration: &Configuration) -> FxHashMap<ServiceKey, u8> {
    let mut lowest = FxHashMap::default();
    for route in &configuration.routes {
        for part in &route.parts {
            let known = lowest.entry(part.service).or_insert(0);
            *known = route.terms.priority.max(*known);
        }
    }
    lowest
}
