//! The operators' configuration as balancers use it: routes by address.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use rustc_hash::FxHashMap;

use super::identity::ServiceKey;
use super::route_history::RouteHistory;
use crate::clock::Instant;

/// A service that receives part of a route's new flows.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceKey,
    /// Weight relative to the other parts of the route.
    pub weight: u32,
}

/// The operators' requirements for the requests of a route.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteTerms {
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Time within which a request should be answered, in milliseconds.
    pub aim_ms: u32,
    /// Time after which an answer is useless to the caller, in milliseconds.
    pub timeout_ms: u32,
    /// Whether a request can safely be sent again after a target may already have
    /// processed it.
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

/// The services that receive new flows to one address.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Address and port that callers send to.
    pub address: SocketAddrV4,
    /// Weighted services; usually a single one.
    pub parts: Vec<RoutePart>,
    /// Requirements for the route's requests.
    pub terms: RouteTerms,
}

impl Route {
    /// Whether new flows to the route may go to a service. The weight of an only part does
    /// not matter.
    #[must_use]
    pub fn leads_to(&self, service: ServiceKey) -> bool {
        let is_only = self.parts.len() == 1;
        let mut parts = self.parts.iter();
        parts.any(|part| part.service == service && (is_only || part.weight > 0))
    }
}

/// The operators' settings for the targets of a service.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceTerms {
    /// The service.
    pub service: ServiceKey,
    /// Time for which a target is cold after its start, in milliseconds.
    pub warm_up_ms: u32,
    /// Requests per 1,000 seconds that a cold target can handle; zero when not specified.
    pub warm_up_rate: u32,
}

/// One version of the configuration.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that have settings.
    pub services: Vec<ServiceTerms>,
    /// Time after which an idle flow may be forgotten, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Routes of the greatest configuration version seen, by address. The version never
/// decreases.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    current: Option<Arc<Configuration>>,
    routes: FxHashMap<SocketAddrV4, usize>,
    history: RouteHistory,
    /// For each service, the greatest priority number (the lowest priority) among its
    /// routes.
    lowest_priorities: FxHashMap<ServiceKey, u8>,
}

impl RouteTable {
    /// The active version; zero while there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// The active configuration.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Activates a configuration if its version is greater than the active one; returns
    /// whether it did.
    pub fn adopt(&mut self, next: Arc<Configuration>) -> bool {
        if next.version <= self.version() {
            return false;
        }
        self.record_replaced_routes(&next);
        self.routes = next
            .routes
            .iter()
            .enumerate()
            .map(|(index, route)| (route.address, index))
            .collect();
        self.lowest_priorities = lowest_priorities(&next);
        self.current = Some(next);
        true
    }

    /// The requirements of an address's requests, and whether another route of the same
    /// service has a lower priority.
    #[must_use]
    pub fn terms(&self, address: SocketAddrV4, service: ServiceKey) -> (RouteTerms, bool) {
        let terms = self
            .route(address)
            .map_or_else(RouteTerms::default, |route| route.terms);
        let lowest_priority = self.lowest_priorities.get(&service).copied();
        let is_urgent =
            lowest_priority.is_some_and(|lowest_priority| terms.priority < lowest_priority);
        (terms, is_urgent)
    }

    /// Requests per 1,000 seconds that a cold target of a service can handle; zero when
    /// not specified.
    #[must_use]
    pub fn warm_up_rate(&self, service: ServiceKey) -> u32 {
        self.service_terms(service)
            .map_or(0, |terms| terms.warm_up_rate)
    }

    /// Time for which a target of a service is cold after its start.
    #[must_use]
    pub fn warm_up_time(&self, service: ServiceKey) -> Duration {
        self.service_terms(service).map_or(Duration::ZERO, |terms| {
            Duration::from_millis(terms.warm_up_ms.into())
        })
    }

    /// Longest time for which a flow may rest and be used again: the idle timeout of the
    /// active configuration, but no longer than the lifetime of a flow. It is the lifetime
    /// while no configuration is active, and where it states no idle timeout.
    #[must_use]
    pub fn idle_limit(&self, flow_lifetime: Duration) -> Duration {
        let idle_timeout_ms = self.current.as_ref().map_or(0, |it| it.idle_timeout_ms);
        match idle_timeout_ms {
            0 => flow_lifetime,
            idle_timeout_ms => flow_lifetime.min(Duration::from_millis(idle_timeout_ms)),
        }
    }

    fn service_terms(&self, service: ServiceKey) -> Option<&ServiceTerms> {
        let services = &self.current.as_ref()?.services;
        services.iter().find(|terms| terms.service == service)
    }

    /// The route of an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        let index = *self.routes.get(&address)?;
        self.current.as_ref()?.routes.get(index)
    }

    /// The services that addresses led to under earlier versions.
    #[must_use]
    pub fn history(&self) -> &RouteHistory {
        &self.history
    }

    /// The same, to take over what another node knows.
    pub(crate) fn history_mut(&mut self) -> &mut RouteHistory {
        &mut self.history
    }

    /// Drops former services of which every flow has ended, and counts the time for which
    /// all services are known.
    pub(crate) fn tick(&mut self, flow_lifetime: Duration, now: Instant) {
        if self.current.is_some() {
            self.history.tick(flow_lifetime, now);
        }
    }

    fn record_replaced_routes(&mut self, next: &Configuration) {
        let Some(current) = self.current.take() else {
            return;
        };
        let next_routes: FxHashMap<SocketAddrV4, &Route> = next
            .routes
            .iter()
            .map(|route| (route.address, route))
            .collect();
        for route in &current.routes {
            let is_unchanged = next_routes
                .get(&route.address)
                .is_some_and(|next_route| next_route.parts == route.parts);
            if !is_unchanged {
                let services = route.parts.iter().map(|part| part.service);
                self.history.record_replaced(route.address, services);
            }
        }
    }
}

/// For each service, the greatest priority number among its routes. Zero is the highest
/// priority, so this number is the service's lowest priority.
fn lowest_priorities(configuration: &Configuration) -> FxHashMap<ServiceKey, u8> {
    let mut greatest_numbers = FxHashMap::default();
    for route in &configuration.routes {
        for part in &route.parts {
            let greatest = greatest_numbers.entry(part.service).or_insert(0);
            *greatest = route.terms.priority.max(*greatest);
        }
    }
    greatest_numbers
}
