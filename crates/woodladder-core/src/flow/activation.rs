//! Decides which optional mechanisms are active, from the operators' configuration and
//! the machine's settings.
//!
//! Each mechanism states its condition here, in terms that an operator can look up. Nodes
//! log every change ([`super::log_event::LogEvent::MechanismsChanged`]) and export the
//! current state as metrics.

use super::configuration::{Configuration, RouteTerms};
use super::identity::ServiceKey;

/// Time, in milliseconds, from the first transmission of an unacknowledged packet to its
/// last useful retransmission. The caller's request is likely to be over before a later one.
/// A timeout of at most this length leaves a caller at most one retransmission after an
/// outage.
const LAST_USEFUL_RETRANSMISSION_MS: u32 = 3000;
/// Throughput that a balancer reaches with one whole core, in kilobits per second.
const FORWARDED_KBPS_PER_CORE: u64 = 320_000;
const MILLICORES_PER_CORE: u64 = 1000;

/// The optional mechanisms that are active at one node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ActiveMechanisms {
    /// Agents announce to balancers which flows their targets hold, and balancers record
    /// their known flows in the store. Active when the timeout of some route leaves a
    /// caller at most one retransmission after an outage.
    pub locates_flows: bool,
    /// Requests on open flows queue for a slot together with new flows. Active when
    /// routes of different priority share a service.
    pub orders_requests: bool,
    /// The balancer schedules outgoing packets itself, at the rate of the link. Active
    /// when the link saturates before the processor does.
    pub paces_link: bool,
}

impl ActiveMechanisms {
    /// The mechanisms that are active at a balancer under a configuration. `cpu_millicores` is
    /// the machine's processor in thousandths of a core; `link_rate_kbps` is its link rate in
    /// kilobits per second, if known.
    #[must_use]
    pub fn at_balancer(
        configuration: &Configuration,
        cpu_millicores: u32,
        link_rate_kbps: Option<u32>,
    ) -> Self {
        let has_short_timeout = configuration
            .routes
            .iter()
            .any(|route| times_out_early(&route.terms));
        Self {
            locates_flows: has_short_timeout,
            orders_requests: priorities_share_a_service(configuration, |_| true),
            paces_link: link_rate_kbps
                .is_some_and(|rate| link_saturates_first(cpu_millicores, rate)),
        }
    }

    /// The mechanisms that are active at an agent. An agent never paces the link of its
    /// machine, and orders requests only if routes of different priority share its own
    /// target's service.
    #[must_use]
    pub fn at_agent(configuration: &Configuration, service: ServiceKey) -> Self {
        Self {
            orders_requests: priorities_share_a_service(configuration, |other| other == service),
            ..Self::at_balancer(configuration, 0, None)
        }
    }
}

/// Whether the flows of a route are worth recording while
/// [`ActiveMechanisms::locates_flows`] is active: a request fails if the target of its
/// flow is gone, because it must not be sent again or no time is left to do so.
#[must_use]
pub fn is_worth_recording(terms: &RouteTerms) -> bool {
    !terms.is_repeatable || times_out_early(terms)
}

/// Whether a request times out before, or when, its caller sends the last useful
/// retransmission.
fn times_out_early(terms: &RouteTerms) -> bool {
    terms.timeout_ms <= LAST_USEFUL_RETRANSMISSION_MS
}

/// Whether routes of different priority lead to the same service, among the services that
/// `is_relevant` accepts.
fn priorities_share_a_service(
    configuration: &Configuration,
    is_relevant: impl Fn(ServiceKey) -> bool,
) -> bool {
    let mut priorities = std::collections::BTreeMap::new();
    configuration.routes.iter().any(|route| {
        let parts = route.parts.iter().filter(|part| is_relevant(part.service));
        parts.into_iter().any(|part| {
            let first_priority = *priorities
                .entry(part.service)
                .or_insert(route.terms.priority);
            first_priority != route.terms.priority
        })
    })
}

fn link_saturates_first(cpu_millicores: u32, link_rate_kbps: u32) -> bool {
    usable_capacity(cpu_millicores, Some(link_rate_kbps)) < cpu_millicores
}

/// Processor that a machine can use for forwarding, in thousandths of a core: all it has,
/// or as much as its link (in kilobits per second) can carry traffic for, if that is
/// less.
#[must_use]
pub fn usable_capacity(cpu_millicores: u32, link_rate_kbps: Option<u32>) -> u32 {
    let millicores_for =
        |rate: u32| u64::from(rate) * MILLICORES_PER_CORE / FORWARDED_KBPS_PER_CORE;
    let link_limit = link_rate_kbps.map_or(u64::MAX, millicores_for);
    cpu_millicores.min(u32::try_from(link_limit).unwrap_or(u32::MAX))
}
