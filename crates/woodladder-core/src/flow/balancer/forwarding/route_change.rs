//! Openings whose route changes before a target has accepted them.
//!
//! A caller sends copies of an opening that is not answered. A copy that was sent after a
//! configuration came into force must be handled by it. So an opening that no target has
//! accepted follows its route: to the next service, or to a reset when the route is dropped.
//! An opening that a target has accepted may be an open flow, and stays with that target.

use crate::flow::balancer::forwarding::routing::Routing;
use crate::flow::balancer::resets::OpeningRefusal;
use crate::flow::balancer::{Balancer, FlowEntry, Stage};
use crate::flow::identity::{FlowKey, ServiceKey};

/// What the configuration in force means for an opening under way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RouteChange {
    /// The opening keeps its service: the route still leads there, or a target has accepted
    /// the opening.
    None,
    /// The opening now belongs to another service, none of whose targets was tried.
    Moved,
    /// The route is gone. The opening is forgotten and its caller is sent the reset.
    Dropped(Routing),
}

impl Balancer {
    /// Applies the configuration in force to an opening under way.
    pub(crate) fn apply_route_change(&mut self, key: FlowKey) -> RouteChange {
        let Some(service) = self.unaccepted_service(&key) else {
            return RouteChange::None;
        };
        let route = self.routes.route(key.service);
        if route.is_some_and(|route| route.leads_to(service)) {
            return RouteChange::None;
        }
        match route.and_then(|route| self.part_shares.next_service(route)) {
            Some(next) => {
                self.move_opening(&key, next);
                RouteChange::Moved
            }
            None => {
                self.flows.remove(&key);
                let refusal = self.refusal_of(key, OpeningRefusal::NoRoute);
                RouteChange::Dropped(Routing::Reset(refusal))
            }
        }
    }

    /// The service of an opening that no target has accepted.
    fn unaccepted_service(&self, key: &FlowKey) -> Option<ServiceKey> {
        let entry = self.flows.peek(key)?;
        match &entry.stage {
            Stage::Opening { accepted, .. } if accepted.is_empty() => Some(entry.service),
            _ => None,
        }
    }

    fn move_opening(&mut self, key: &FlowKey, next: ServiceKey) {
        if let Some(entry) = self.flows.touch(key) {
            entry.move_to(next);
        }
    }
}

impl FlowEntry {
    fn move_to(&mut self, next: ServiceKey) {
        self.service = next;
        if let Stage::Opening {
            tried,
            awaited,
            is_queued,
            ..
        } = &mut self.stage
        {
            tried.clear();
            *awaited = None;
            *is_queued = false;
        }
    }
}
