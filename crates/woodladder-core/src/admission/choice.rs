//! The choice among the targets on a hop list.
//!
//! Targets are asked in the order of the list. One with little load takes the
//! flow; others state their load in their hop and hand on. The last to be asked
//! takes the flow unless one before it stated less; then it sends the flow back
//! there with the order to take or refuse it. A hop that was asked and states
//! no load does not want the flow and never gets it back. When no target on the
//! list can take the flow, it goes to one that the own directory names.

use crate::directory::Directory;
use crate::envelope::{Envelope, FirstRoute};
use crate::hop_list::{self, Hop, Load, MAXIMUM_HOPS};

use super::options::AdmissionOptions;
use super::verdict::RefuseReason;

/// What a target does with a new flow.
#[derive(Clone, Debug)]
pub(super) enum Choice {
    Take,
    HandOn { to: Hop, route: FirstRoute },
    Decline(RefuseReason),
}

/// A target's place on a hop list.
#[derive(Clone, Debug)]
pub(super) struct Position<'a> {
    route: &'a FirstRoute,
    index: usize,
    flow: u64,
    load: Load,
    obstacle: Option<RefuseReason>,
    directory: &'a Directory,
    envelope: &'a Envelope,
}

impl<'a> Position<'a> {
    pub(super) fn new(
        route: &'a FirstRoute,
        flow: u64,
        load: Load,
        obstacle: Option<RefuseReason>,
        directory: &'a Directory,
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
        if self.route.last {
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

    /// The route on which a flow handed on before goes again; `None` when the
    /// earlier receiver has stated its load since, so that the choice is to be
    /// made anew, or when this target was told to take the flow.
    pub(super) fn repeat(&self, to: &Hop, last: bool) -> Option<FirstRoute> {
        if self.route.last {
            return None;
        }
        let hops = &self.route.hops;
        let Some(index) = hops.iter().position(|hop| hop.target == to.target) else {
            return Some(self.route_beyond(to));
        };
        let stated = hops[index].load.is_some();
        let was_asked = stated || index <= self.index;
        let may_go = !was_asked || (stated && last);
        may_go.then(|| self.route_to(index, last))
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
                self.envelope.sequence > self.directory.sequence()
                    || entry.standing.takes_new_flows()
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

    fn route_to(&self, index: usize, last: bool) -> FirstRoute {
        let mut hops = self.route.hops.clone();
        hops[self.index].load = self.stated_load();
        FirstRoute {
            hops,
            position: u8::try_from(index).unwrap_or_default(),
            last,
        }
    }

    /// A list of this target and one that is not on its list.
    fn route_beyond(&self, to: &Hop) -> FirstRoute {
        let own = Hop {
            load: self.stated_load(),
            ..self.route.hops[self.index]
        };
        FirstRoute {
            hops: vec![own, Hop { load: None, ..*to }],
            position: 1,
            last: true,
        }
    }
}

fn beyond(stated: Load, options: &AdmissionOptions) -> u32 {
    stated.0.saturating_add(options.return_margin.0)
}
