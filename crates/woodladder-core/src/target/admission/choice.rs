//! The choice among the targets on a hop list.
//!
//! Targets are asked in the order of the list. One with little load takes the
//! flow; others state their load in their hop and hand on. The last to be asked
//! takes the flow unless one before it stated less; then it sends the flow back
//! there with the order to take or refuse it. A hop that was asked and states
//! no load does not want the flow and never gets it back. When no target on the
//! list can take the flow, it goes to one that the own directory names.

use crate::packets::envelope::{Envelope, NewFlowRoute};
use crate::packets::hop_list::{self, Hop, Load, MAXIMUM_HOPS};
use crate::packets::routing_table::RoutingTable;

use super::options::AdmissionOptions;
use super::verdict::RefuseReason;

/// What a target does with a new flow.
#[derive(Clone, Debug)]
pub(super) enum Choice {
    Take,
    HandOn { to: Hop, route: NewFlowRoute },
    Decline(RefuseReason),
}

/// A target's place on a hop list.
#[derive(Clone, Debug)]
pub(super) struct Position<'a> {
    route: &'a NewFlowRoute,
    index: usize,
    flow: u64,
    load: Load,
    obstacle: Option<RefuseReason>,
    directory: &'a RoutingTable,
    envelope: &'a Envelope,
}

impl<'a> Position<'a> {
    pub(super) fn new(
        route: &'a NewFlowRoute,
        flow: u64,
        load: Load,
        obstacle: Option<RefuseReason>,
        directory: &'a RoutingTable,
        envelope: &'a Envelope,
    ) -> Self {
        Self {
            route,
            index: usize::from(route.position),
            flow,
            load,
            obstacle,
            directory,
            envelope,
        }
    }

    pub(super) fn choose(&self, options: &AdmissionOptions) -> Choice {
        if self.is_ordered_here() {
            return self.obstacle.map_or(Choice::Take, Choice::Decline);
        }
        if self.obstacle.is_none() && self.load < options.accept_below {
            return Choice::Take;
        }
        match self.next_unasked() {
            Some(next) => self.hand_on(next, false),
            None => self.settle(options),
        }
    }

    /// The route on which a flow handed on before goes again. `None` when it
    /// would go back to a target that was asked meanwhile: then the choice is
    /// made anew, or this target was told to take the flow.
    pub(super) fn repeat(&self, to: &Hop, last: bool) -> Option<NewFlowRoute> {
        let hops = &self.route.hops;
        let listed = hops.iter().position(|hop| hop.target == to.target);
        let is_ordered = self.is_ordered_here();
        match listed {
            None if is_ordered && hops.len() >= MAXIMUM_HOPS => None,
            None => Some(self.route_beyond(to)),
            Some(_) if is_ordered => None,
            Some(index) => {
                let stated = hops[index].load.is_some();
                let was_asked = stated || index <= self.index;
                if was_asked {
                    return (stated && last).then(|| self.route_to(index, last));
                }
                Some(self.route_ahead(index, last))
            }
        }
    }

    /// Whether another target has sent the flow here to be taken or refused. A
    /// balancer that knows a single target says so too, but cannot know better.
    fn is_ordered_here(&self) -> bool {
        let hops = &self.route.hops;
        let is_fresh = self.index == 0 && hops.iter().all(|hop| hop.load.is_none());
        self.route.must_decide && !is_fresh
    }

    /// All targets were asked: the least loaded takes the flow.
    fn settle(&self, options: &AdmissionOptions) -> Choice {
        match (self.least_loaded(), self.obstacle) {
            (None, None) => Choice::Take,
            (None, Some(reason)) => self.go_beyond(reason),
            (Some((_, stated)), None) if self.load.0 <= beyond(stated, options) => Choice::Take,
            (Some((index, _)), _) => self.hand_on(index, true),
        }
    }

    /// No target on the list can take the flow: another of the service does.
    fn go_beyond(&self, reason: RefuseReason) -> Choice {
        let entry = self.directory.service(self.envelope.service);
        let candidates = entry.map_or(&[][..], |entry| &entry.candidates);
        let others = hop_list::choose(candidates, self.flow, MAXIMUM_HOPS);
        let other = others
            .into_iter()
            .find(|other| !self.lists(other) && self.may_go_to(other));
        match other {
            None => Choice::Decline(reason),
            Some(to) => Choice::HandOn {
                to,
                route: self.route_beyond(&to),
            },
        }
    }

    fn lists(&self, other: &Hop) -> bool {
        let mut hops = self.route.hops.iter();
        hops.any(|hop| hop.target == other.target)
    }

    /// The target asked before that stated the least load.
    fn least_loaded(&self) -> Option<(usize, Load)> {
        let asked = self.route.hops.iter().enumerate().take(self.index);
        asked
            .filter_map(|(index, hop)| hop.load.map(|load| (index, load)))
            .filter(|(index, _)| self.may_go_to(&self.route.hops[*index]))
            .min_by_key(|(_, load)| *load)
    }

    fn next_unasked(&self) -> Option<usize> {
        let hops = self.route.hops.iter().enumerate();
        hops.skip(self.index + 1)
            .find(|(_, hop)| self.may_go_to(hop))
            .map(|(index, _)| index)
    }

    /// Whether the own directory, unless the balancer has a later one, holds
    /// nothing against a flow going to this target.
    fn may_go_to(&self, hop: &Hop) -> bool {
        if self.route.hops[self.index].target == hop.target {
            return false;
        }
        match self.directory.target(hop.target) {
            None => self.envelope.sequence >= self.directory.sequence(),
            Some(entry) if entry.service != self.envelope.service => false,
            Some(entry) => {
                self.envelope.sequence > self.directory.sequence() || entry.status.takes_new_flows()
            }
        }
    }

    /// A target that does not want the flow states no load, so that the flow
    /// does not come back.
    fn stated_load(&self) -> Option<Load> {
        match self.obstacle {
            None => Some(self.load),
            Some(_) => None,
        }
    }

    fn hand_on(&self, index: usize, last: bool) -> Choice {
        Choice::HandOn {
            to: self.resolve(self.route.hops[index]),
            route: self.route_to(index, last),
        }
    }

    /// The hop with the address by the own directory, unless the balancer has
    /// a later one.
    fn resolve(&self, hop: Hop) -> Hop {
        match self.directory.target(hop.target) {
            Some(entry) if self.directory.sequence() >= self.envelope.sequence => Hop {
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

    /// The route to a target further along the list, put next on it, so that
    /// those between are still to be asked.
    fn route_ahead(&self, index: usize, last: bool) -> NewFlowRoute {
        let next = self.index + 1;
        let mut route = self.route_to(next, last);
        route.hops[next..=index].rotate_right(1);
        route
    }

    /// A list that ends with a target which is not on this one, with the order
    /// to take the flow. A list made so grows by one target with each step, so
    /// that steps end; one by a balancer is left behind.
    fn route_beyond(&self, to: &Hop) -> NewFlowRoute {
        let mut hops = self.route.hops.clone();
        hops[self.index].load = self.stated_load();
        if !self.is_ordered_here() {
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

fn beyond(stated: Load, options: &AdmissionOptions) -> u32 {
    stated.0.saturating_add(options.return_margin.0)
}
