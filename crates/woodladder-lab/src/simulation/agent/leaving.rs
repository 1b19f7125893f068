//! How a modelled agent follows rolls and comes to leave.

use std::sync::Arc;
use std::time::Duration;

use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::target::admission::TargetIdentity;
use woodladder_core::target::drain::{Activity, DrainAction, DrainEvent, DrainReason};
use woodladder_core::target::request::RequestEvent;

use super::{Agent, count, means};
use crate::simulation::back_end::BackEnd;
use crate::simulation::frame::Frame;
use crate::simulation::log::Entry;
use crate::simulation::mutation::Mutation;
use crate::simulation::node::Surroundings;
use crate::simulation::output::Output;

/// Longest time that a stopped agent waits for acknowledgements.
const CLOSE_PATIENCE: Duration = Duration::from_secs(3);

impl Agent {
    /// Follows the roll that has come into force.
    pub(super) fn adopt(&mut self, back_end: &mut BackEnd, around: &mut Surroundings<'_>) {
        let Some(directory) = self.node.directory().map(Arc::clone) else {
            return;
        };
        let stays = stays(&directory, self.identity);
        if around.mutation != Some(Mutation::KeepTakingWork) || stays != Some(false) {
            self.admission.refresh(directory, around.now);
        }
        let Some(stays) = stays else {
            return;
        };
        self.set_told(!stays, around);
        let event = if stays {
            DrainEvent::RemoveReason(DrainReason::Bundle)
        } else {
            DrainEvent::AddReason(DrainReason::Bundle)
        };
        self.drain(event, back_end, around);
    }

    pub(super) fn set_told(&mut self, told: bool, around: &mut Surroundings<'_>) {
        let stopping = self
            .drain
            .reasons()
            .any(|reason| reason == DrainReason::Signal);
        if self.told == told || stopping {
            return;
        }
        self.told = told;
        let target = self.identity.target;
        let entry = if told {
            Entry::ToldToLeave { target }
        } else {
            Entry::ToldToStay { target }
        };
        around.log.add(around.now, entry);
    }

    pub(super) fn drain(
        &mut self,
        event: DrainEvent,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        if around.mutation == Some(Mutation::KeepTakingWork) {
            return;
        }
        for action in self.drain.handle(event, around.now) {
            match action {
                DrainAction::NotifyCallers => self.notify_callers(around),
                DrainAction::RefuseRequests => {
                    self.request_event(RequestEvent::RefuseArrivals, back_end, around);
                }
                DrainAction::Resume => {
                    self.request_event(RequestEvent::TakeArrivals, back_end, around);
                }
                DrainAction::Finish => self.finish(around),
            }
        }
    }

    fn notify_callers(&mut self, around: &mut Surroundings<'_>) {
        for identifier in self.flows.identifiers() {
            self.flows.send(&identifier, Frame::GoAway, around);
        }
    }

    pub(super) fn request_event(
        &mut self,
        event: RequestEvent,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        let mut means = means(&mut self.flows, back_end, around);
        self.requests.handle(event, &mut means);
    }

    fn finish(&mut self, around: &mut Surroundings<'_>) {
        let stopping = self
            .drain
            .reasons()
            .any(|reason| reason == DrainReason::Signal);
        if !stopping {
            return;
        }
        for identifier in self.flows.identifiers() {
            self.flows.close(&identifier, around);
        }
        self.closing_since = Some(around.now);
        self.end_if_closed(around);
    }

    /// Ends the process once callers have acknowledged that their flows are
    /// closed, or have had the time to.
    pub(super) fn end_if_closed(&mut self, around: &mut Surroundings<'_>) {
        let Some(since) = self.closing_since else {
            return;
        };
        if self.flows.unsettled() == 0 || around.now.since(since) > CLOSE_PATIENCE {
            around.outputs.push(Output::Ended);
        }
    }

    pub(super) fn activity_changed(
        &mut self,
        back_end: &mut BackEnd,
        around: &mut Surroundings<'_>,
    ) {
        let activity = Activity {
            requests: count(self.requests.len() + self.flows.unsettled()),
            connections: count(self.flows.len()),
        };
        self.drain(DrainEvent::Activity(activity), back_end, around);
    }
}

/// Whether the directory keeps the target; `None` when it never held it.
fn stays(directory: &RoutingTable, identity: TargetIdentity) -> Option<bool> {
    let entry = directory.target(identity.target)?;
    Some(entry.status.takes_new_flows())
}
