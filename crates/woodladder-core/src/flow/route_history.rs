//! The services that routes led to under earlier configurations.
//!
//! A flow stays at its target when its route is moved to another service. So a node that has
//! started after the move must learn of it, or it can neither find the flow nor tell which
//! targets may hold it. Nodes pass this knowledge on in snapshots, with the time that it
//! covers. An entry is dropped once every flow that was opened under it has ended.

use std::net::SocketAddrV4;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use rustc_hash::FxHashMap;

use super::identity::ServiceKey;
use super::message_timing::milliseconds;
use crate::clock::Instant;

/// Most former services that are remembered per route.
const MAXIMUM_FORMER_SERVICES: usize = 8;

/// A span of time up to now, as known at one moment. It may have begun before the node's
/// clock.
#[derive(Clone, Copy, Debug)]
struct Span {
    length: Duration,
    as_of: Instant,
}

impl Span {
    fn at(self, now: Instant) -> Duration {
        self.length.saturating_add(now.since(self.as_of))
    }
}

#[derive(Clone, Copy, Debug)]
struct FormerService {
    service: ServiceKey,
    /// Time since the route led to the service; `None` until the first tick after the
    /// change.
    replaced_for: Option<Span>,
}

/// The services that routes led to under earlier configurations, as far as one node knows.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    former: FxHashMap<SocketAddrV4, Vec<FormerService>>,
    /// Time for which every service of every route is known; `None` before the first
    /// configuration.
    covered: Option<Span>,
}

/// What a node tells another one of its route history.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteHistorySummary {
    /// Time for which the history is complete, in milliseconds.
    pub covered_ms: u32,
    /// Services that routes no longer lead to.
    pub former_services: Vec<FormerRouteService>,
}

/// A service that a route no longer leads to.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct FormerRouteService {
    /// Address of the route.
    pub address: SocketAddrV4,
    /// The service.
    pub service: ServiceKey,
    /// Time since the route led to the service, in milliseconds.
    pub replaced_for_ms: u32,
}

impl RouteHistory {
    /// Services that an address led to under earlier configurations.
    pub fn former_services(&self, address: SocketAddrV4) -> impl Iterator<Item = ServiceKey> {
        let services = self.former.get(&address).map_or(&[][..], Vec::as_slice);
        services.iter().map(|former| former.service)
    }

    /// Whether every service that a route has led to within this time is known.
    #[must_use]
    pub fn covers(&self, time: Duration, now: Instant) -> bool {
        self.covered.is_some_and(|covered| covered.at(now) >= time)
    }

    /// Records the services of a route that the next configuration changes or drops.
    pub(crate) fn record_replaced(
        &mut self,
        address: SocketAddrV4,
        services: impl Iterator<Item = ServiceKey>,
    ) {
        for service in services {
            self.record_service(address, service, None);
        }
    }

    /// Drops what is older than the lifetime of flows. The history covers the time from the
    /// first call on, which must not be made before the first configuration is known, but
    /// only the time since the replacement of each service that was dropped: the lifetime
    /// may become longer.
    pub(crate) fn tick(&mut self, flow_lifetime: Duration, now: Instant) {
        let begins_now = Span {
            length: Duration::ZERO,
            as_of: now,
        };
        let covered = self.covered.get_or_insert(begins_now);
        self.former.retain(|_, services| {
            services.retain_mut(|former| {
                let replaced_for = *former.replaced_for.get_or_insert(begins_now);
                let is_kept = replaced_for.at(now) < flow_lifetime;
                if !is_kept && replaced_for.at(now) < covered.at(now) {
                    *covered = replaced_for;
                }
                is_kept
            });
            !services.is_empty()
        });
    }

    /// What another node is told.
    #[must_use]
    pub fn summary(&self, now: Instant) -> RouteHistorySummary {
        let age = |span: Option<Span>| milliseconds(span.map_or(Duration::ZERO, |it| it.at(now)));
        let former = self.former.iter().flat_map(|(address, services)| {
            services.iter().map(|former| FormerRouteService {
                address: *address,
                service: former.service,
                replaced_for_ms: age(former.replaced_for),
            })
        });
        RouteHistorySummary {
            covered_ms: age(self.covered),
            former_services: former.collect(),
        }
    }

    /// Takes over what another node has told.
    pub(crate) fn merge(&mut self, summary: &RouteHistorySummary, now: Instant) {
        let span = |length_ms: u32| Span {
            length: Duration::from_millis(length_ms.into()),
            as_of: now,
        };
        for former in &summary.former_services {
            let replaced_for = Some(span(former.replaced_for_ms));
            self.record_service(former.address, former.service, replaced_for);
        }
        let told = span(summary.covered_ms);
        let is_longer = |known: Span| told.at(now) > known.at(now);
        if self.covered.is_none_or(is_longer) {
            self.covered = Some(told);
        }
    }

    /// Records a service that a route no longer leads to. If it is known, the shorter time
    /// since then counts.
    fn record_service(
        &mut self,
        address: SocketAddrV4,
        service: ServiceKey,
        replaced_for: Option<Span>,
    ) {
        let services = self.former.entry(address).or_default();
        let known = services.iter_mut().find(|former| former.service == service);
        match (known, replaced_for) {
            (Some(known), None) => known.replaced_for = None,
            (Some(known), Some(told)) => {
                known.replaced_for = known.replaced_for.map(|own| {
                    if told.at(told.as_of) < own.at(told.as_of) {
                        told
                    } else {
                        own
                    }
                });
            }
            (None, _) => services.push(FormerService {
                service,
                replaced_for,
            }),
        }
        let surplus = services.len().saturating_sub(MAXIMUM_FORMER_SERVICES);
        services.drain(..surplus);
    }
}
