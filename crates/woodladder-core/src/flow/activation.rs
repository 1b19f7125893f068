//! Which optional mechanisms act, by what the operators' configuration and the
//! machine's settings state.
//!
//! Each mechanism names its condition here, in terms that an operator can look up.
//! Nodes log the outcome at each change ([`super::log_event::LogEvent::MechanismsChanged`])
//! and show it in their metrics.

use super::configuration::{Configuration, RouteTerms};
use super::identity::ServiceKey;

/// When a caller sends a packet that nobody has acknowledged for the last time
/// before its attempt is likely to be over, in milliseconds.
const LAST_EARLY_REPETITION_MS: u32 = 3000;
/// Most that a balancer forwards with the whole of a core, in kilobits a second.
const FORWARDED_BY_A_CORE: u64 = 320_000;
/// Thousandths in a whole.
const THOUSANDTHS: u64 = 1000;

/// The mechanisms that act at one node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ActiveMechanisms {
    /// Agents tell balancers which flows their targets hold, and balancers record
    /// the flows that they know at the store: some route's timeout leaves a caller
    /// one repetition at most after an outage.
    pub locates_flows: bool,
    /// Requests on open flows wait for a slot together with new flows: routes of
    /// different priority share a service.
    pub orders_requests: bool,
    /// Packets leave in an order of their own, at the rate of the link: the link is
    /// full before the processor is.
    pub paces_link: bool,
}

impl ActiveMechanisms {
    /// The mechanisms that act at a balancer under a configuration, on a machine with this
    /// processor, in thousandths of a core, and this link rate, in kilobits a second,
    /// if it is known.
    #[must_use]
    pub fn at_balancer(
        configuration: &Configuration,
        capacity: u32,
        link_rate: Option<u32>,
    ) -> Self {
        let has_short_timeout = configuration
            .routes
            .iter()
            .any(|route| leaves_no_time(&route.terms));
        Self {
            locates_flows: has_short_timeout,
            orders_requests: shares_a_service(configuration, |_| true),
            paces_link: link_rate.is_some_and(|rate| link_binds(capacity, rate)),
        }
    }

    /// The mechanisms that act at an agent, which does not choose how its machine's
    /// link is used, and orders requests only if routes of different priority share the
    /// service of its own target.
    #[must_use]
    pub fn at_agent(configuration: &Configuration, service: ServiceKey) -> Self {
        Self {
            orders_requests: shares_a_service(configuration, |other| other == service),
            ..Self::at_balancer(configuration, 0, None)
        }
    }
}

/// Whether the flows of a route are worth recording where
/// [`ActiveMechanisms::locates_flows`] acts: a request on a flow whose target is gone
/// fails, because it may not be sent again or because there is no time left for it.
#[must_use]
pub fn is_worth_recording(terms: &RouteTerms) -> bool {
    !terms.is_repeatable || leaves_no_time(terms)
}

/// Whether an answer is of no use any more when a caller repeats a packet for the
/// last time early on.
fn leaves_no_time(terms: &RouteTerms) -> bool {
    terms.timeout_ms <= LAST_EARLY_REPETITION_MS
}

/// Whether routes of different priority lead to one of the services that count.
fn shares_a_service(configuration: &Configuration, counts: impl Fn(ServiceKey) -> bool) -> bool {
    let mut priorities = std::collections::BTreeMap::new();
    configuration.routes.iter().any(|route| {
        let parts = route.parts.iter().filter(|part| counts(part.service));
        parts.into_iter().any(|part| {
            let first = *priorities
                .entry(part.service)
                .or_insert(route.terms.priority);
            first != route.terms.priority
        })
    })
}

fn link_binds(capacity: u32, link_rate: u32) -> bool {
    usable_capacity(capacity, Some(link_rate)) < capacity
}

/// Processor that a machine can use for forwarding, in thousandths of a core: what it
/// has, or as much as keeps up with its link, in kilobits a second, when that is less.
#[must_use]
pub fn usable_capacity(capacity: u32, link_rate: Option<u32>) -> u32 {
    let for_link = |rate: u32| u64::from(rate) * THOUSANDTHS / FORWARDED_BY_A_CORE;
    let by_link = link_rate.map_or(u64::MAX, for_link);
    capacity.min(u32::try_from(by_link).unwrap_or(u32::MAX))
}
