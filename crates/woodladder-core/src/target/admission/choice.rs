//! The choice among the targets on a hop list.
//!
//! Targets are asked in the order of the list. A target with little load
//! accepts the flow; others state their load in their hop and hand the flow on.
//! The last target asked accepts the flow, unless an earlier one stated less
//! load: then the flow goes back there with the order to accept or refuse it.
//! A target that was asked and states no load cannot accept the flow and never
//! gets it back. When no target on the list can accept the flow, it goes to
//! another one from this agent's routing table.

use crate::packets::envelope::{Envelope, NewFlowRoute};
use crate::packets::hop_list::{self, Hop, Load, MAXIMUM_HOPS};
use crate::packets::routing_table::RoutingTable;

use super::options::AdmissionOptions;
use super::verdict::FlowRefusalReason;

/// What a target does with a new flow.
#[derive(Clone, Debug)]
pub(super) enum Choice {
    Accept,
    HandOn { to: Hop, route: NewFlowRoute },
    Decline(FlowRefusalReason),
}

/// Input of the choice at one agent: the hop list with the place of the agent's
/// target on it, the target's load and the agent's routing table.
#[derive(Clone, Debug)]
pub(super) struct ChoiceContext<'a> {
    route: &'a NewFlowRoute,
    index: usize,
    flow_hash: u64,
    load: Load,
    refusal_reason: Option<FlowRefusalReason>,
    routing_table: &'a RoutingTable,
    envelope: &'a Envelope,
}

impl<'a> ChoiceContext<'a> {
    pub(super) fn new(
        route: &'a NewFlowRoute,
        flow_hash: u64,
        load: Load,
        refusal_reason: Option<FlowRefusalReason>,
        routing_table: &'a RoutingTable,
        envelope: &'a Envelope,
    ) -> Self {
        Self {
            route,
            index: usize::from(route.position),
            flow_hash,
            load,
            refusal_reason,
            routing_table,
            envelope,
        }
    }

    pub(super) fn choose(&self, options: &AdmissionOptions) -> Choice {
        if self.must_decide_here() {
            return self.refusal_reason.map_or(Choice::Accept, Choice::Decline);
        }
        if self.refusal_reason.is_none() && self.load < options.accept_below {
            return Choice::Accept;
        }
        match self.next_unasked() {
            Some(next) => self.hand_on(next, false),
            None => self.choose_least_loaded(options),
        }
    }

    /// Route for a repeated packet of a flow that this target handed on to `to`
    /// before; `None` when the choice must be made again. `must_decide` tells
    /// whether the flow was handed on with the order to accept or refuse it. The
    /// cases also depend on whether this target has such an order itself (see
    /// [`Self::must_decide_here`]):
    ///
    /// - `to` is not on the list: the route to `to` beyond the list, but `None` when
    ///   this target has the order and the list is full.
    /// - `to` is on the list, and this target has the order: `None`.
    /// - `to` is on the list and was not asked: the route to `to` as the next target
    ///   on the list.
    /// - `to` is on the list and was asked: `None`, because the packet would go back
    ///   to a target that was asked meanwhile. When `must_decide` is set and `to`
    ///   stated its load, going back is intended: the route back to `to`.
    pub(super) fn repeat(&self, to: &Hop, must_decide: bool) -> Option<NewFlowRoute> {
        let hops = &self.route.hops;
        let listed = hops.iter().position(|hop| hop.target == to.target);
        let is_order = self.must_decide_here();
        match listed {
            None if is_order && hops.len() >= MAXIMUM_HOPS => None,
            None => Some(self.route_beyond_list(to)),
            Some(_) if is_order => None,
            Some(index) => {
                let stated = hops[index].load.is_some();
                let was_asked = stated || index <= self.index;
                if was_asked {
                    return (stated && must_decide).then(|| self.route_to(index, must_decide));
                }
                Some(self.route_moving_up(index, must_decide))
            }
        }
    }

    /// Whether another target has ordered this one to accept or refuse the flow.
    /// A balancer whose routing table has a single target sets the same flag; that
    /// is no order, because the balancer's table may lack the other targets.
    fn must_decide_here(&self) -> bool {
        let hops = &self.route.hops;
        let none_asked_yet = self.index == 0 && hops.iter().all(|hop| hop.load.is_none());
        self.route.must_decide && !none_asked_yet
    }

    /// Makes the choice when no further target on the list may be asked. The flow
    /// goes back to the earlier target that stated the least load when this target
    /// cannot accept the flow or this target's load is greater by more than the
    /// return margin. When no earlier target may get the flow back, the flow stays
    /// here, or goes beyond the list when this target cannot accept it.
    fn choose_least_loaded(&self, options: &AdmissionOptions) -> Choice {
        match (self.least_loaded_asked(), self.refusal_reason) {
            (None, None) => Choice::Accept,
            (None, Some(reason)) => self.hand_on_beyond_list(reason),
            (Some((_, stated)), None) if self.load.0 <= with_return_margin(stated, options) => {
                Choice::Accept
            }
            (Some((index, _)), _) => self.hand_on(index, true),
        }
    }

    /// Handles a flow that no target on the list can accept: hands the flow on to a
    /// target of the service that is not on the list, or declines the flow with
    /// `reason` when there is no such target.
    fn hand_on_beyond_list(&self, reason: FlowRefusalReason) -> Choice {
        let entry = self.routing_table.service(self.envelope.service);
        let candidates = entry.map_or(&[][..], |entry| &entry.candidates);
        let others = hop_list::choose_hops(candidates, self.flow_hash, MAXIMUM_HOPS);
        let other = others
            .into_iter()
            .find(|other| !self.is_listed(other) && self.may_hand_on_to(other));
        match other {
            None => Choice::Decline(reason),
            Some(to) => Choice::HandOn {
                to,
                route: self.route_beyond_list(&to),
            },
        }
    }

    fn is_listed(&self, other: &Hop) -> bool {
        let mut hops = self.route.hops.iter();
        hops.any(|hop| hop.target == other.target)
    }

    /// Index and load of the earlier target that stated the least load, among those
    /// that may still get the flow.
    fn least_loaded_asked(&self) -> Option<(usize, Load)> {
        let asked = self.route.hops.iter().enumerate().take(self.index);
        asked
            .filter_map(|(index, hop)| hop.load.map(|load| (index, load)))
            .filter(|(index, _)| self.may_hand_on_to(&self.route.hops[*index]))
            .min_by_key(|(_, load)| *load)
    }

    fn next_unasked(&self) -> Option<usize> {
        let hops = self.route.hops.iter().enumerate();
        hops.skip(self.index + 1)
            .find(|(_, hop)| self.may_hand_on_to(hop))
            .map(|(index, _)| index)
    }

    /// Whether the flow may go to the target of `hop`. This agent's own target never
    /// gets the flow. For any other target, this agent's routing table decides:
    ///
    /// - The table lists the target under another service: no.
    /// - The table lists the target under the flow's service: yes if the target's
    ///   status allows new flows, or if the balancer's table is later.
    /// - The table does not list the target: yes unless this agent's table is later
    ///   than the balancer's.
    fn may_hand_on_to(&self, hop: &Hop) -> bool {
        if self.route.hops[self.index].target == hop.target {
            return false;
        }
        match self.routing_table.target(hop.target) {
            None => self.envelope.sequence >= self.routing_table.sequence(),
            Some(entry) if entry.service != self.envelope.service => false,
            Some(entry) => {
                self.envelope.sequence > self.routing_table.sequence()
                    || entry.status.takes_new_flows()
            }
        }
    }

    /// The load to state in this target's hop. A target that cannot accept the
    /// flow states none, so that the flow does not come back.
    fn stated_load(&self) -> Option<Load> {
        match self.refusal_reason {
            None => Some(self.load),
            Some(_) => None,
        }
    }

    fn hand_on(&self, index: usize, must_decide: bool) -> Choice {
        Choice::HandOn {
            to: self.with_current_address(self.route.hops[index]),
            route: self.route_to(index, must_decide),
        }
    }

    /// The hop with the address from the routing table, unless the balancer's
    /// table is later.
    fn with_current_address(&self, hop: Hop) -> Hop {
        match self.routing_table.target(hop.target) {
            Some(entry) if self.routing_table.sequence() >= self.envelope.sequence => Hop {
                address: entry.address,
                ..hop
            },
            _ => hop,
        }
    }

    fn route_to(&self, index: usize, must_decide: bool) -> NewFlowRoute {
        let mut hops = self.route.hops.clone();
        hops[self.index].load = self.stated_load();
        NewFlowRoute {
            hops,
            position: u8::try_from(index).unwrap_or_default(),
            must_decide,
        }
    }

    /// Route to a target further down the list, which is moved up to the next
    /// place so that the targets in between can still be asked.
    fn route_moving_up(&self, index: usize, must_decide: bool) -> NewFlowRoute {
        let next = self.index + 1;
        let mut route = self.route_to(next, must_decide);
        route.hops[next..=index].rotate_right(1);
        route
    }

    /// Route to a target that is not on the list, with the order to accept or
    /// refuse the flow. The first such route drops the balancer's list and keeps
    /// only this target's hop; each one adds the new target. A target that
    /// has the order itself makes such a route only for a repeated packet and only
    /// while the list is not full (see [`Self::repeat`]), so these routes end.
    fn route_beyond_list(&self, to: &Hop) -> NewFlowRoute {
        let mut hops = self.route.hops.clone();
        hops[self.index].load = self.stated_load();
        if !self.must_decide_here() {
            hops = vec![hops[self.index]];
        }
        hops.push(Hop { load: None, ..*to });
        NewFlowRoute {
            position: u8::try_from(hops.len() - 1).unwrap_or_default(),
            hops,
            must_decide: true,
        }
    }
}

fn with_return_margin(stated: Load, options: &AdmissionOptions) -> u32 {
    stated.0.saturating_add(options.return_margin.0)
}
