//! One back end with its agent: the product's own state machines, and a model
//! of the back end's slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::bundle::Target;
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::packets::hop_list::Load;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::TokenKeys;
use woodladder_core::target::admission::{
    Admission, AdmissionOptions, TargetConditions, TargetIdentity,
};
use woodladder_core::target::drain::{
    Activity, DEFAULT_DRAIN_GRACE, Drain, DrainEvent, DrainReason,
};
use woodladder_core::target::load::Usage;
use woodladder_core::target::request::{
    RequestAction, RequestEvent, RequestId, RequestOptions, RequestTable,
};
use woodladder_core::target::slow_start::{EffectiveSlots, SlowStart, SlowStartOptions};

use super::event::VersionIndex;

/// How much longer the first requests at a cold back end take.
const COLD_SLOWDOWN: f64 = 2.0;
/// Time in which a cold back end's slowness falls to a third.
const WARMING: Duration = Duration::from_secs(5);

/// A back end, its agent, and what they hold.
pub(super) struct TargetModel {
    pub(super) id: TargetId,
    pub(super) service: ServiceId,
    pub(super) address: SocketAddr,
    pub(super) zone: u16,
    pub(super) slots: u16,
    pub(super) admission: Admission,
    pub(super) requests: RequestTable,
    pub(super) drain: Drain,
    pub(super) open_connections: u32,
    /// Flows assigned here whose first request has not arrived; only the
    /// omniscient assignment looks at it.
    pub(super) on_the_way: u32,
    /// Load as the load endpoint shows it.
    pub(super) published: Load,
    /// The last roll in force at the agent.
    pub(super) version: VersionIndex,
    connection_limit: u32,
    slow_start: Option<SlowStart>,
    usable_slots: u16,
    cold_since: Option<Instant>,
}

impl TargetModel {
    pub(super) fn new(
        target: &Target,
        keys: TokenKeys,
        options: AdmissionOptions,
        cold_since: Option<Instant>,
    ) -> Self {
        let identity = TargetIdentity {
            target: target.id,
            service: target.service,
        };
        let request_options = RequestOptions {
            connection_limit: target.connections,
            ..RequestOptions::default()
        };
        let random = ChaCha8Rng::seed_from_u64(u64::from(target.id.0));
        let slow_start = cold_since.map(|at| SlowStart::new(SlowStartOptions::default(), at));
        let mut model = Self {
            id: target.id,
            service: target.service,
            address: target.address,
            zone: target.zone.0,
            slots: target.slots,
            admission: Admission::new(identity, keys, options),
            requests: RequestTable::new(request_options, target.slots, random),
            drain: Drain::new(DEFAULT_DRAIN_GRACE),
            open_connections: 0,
            on_the_way: 0,
            published: Load::default(),
            version: 0,
            connection_limit: target.connections,
            slow_start,
            usable_slots: target.slots,
            cold_since,
        };
        model.update_slots(cold_since.unwrap_or(Instant::ORIGIN));
        model
    }

    /// Takes a roll in; gives what follows for requests.
    pub(super) fn adopt(
        &mut self,
        version: VersionIndex,
        directory: &Arc<RoutingTable>,
        now: Instant,
    ) -> Vec<RequestAction> {
        if directory.sequence() <= self.admission.routing_table().sequence() {
            return Vec::new();
        }
        self.version = version;
        self.admission.adopt(directory.clone(), now);
        let entry = directory.target(self.id);
        let stands = entry.is_some_and(|entry| entry.status.takes_new_flows());
        self.note_activity(now);
        let event = if stands {
            DrainEvent::RemoveReason(DrainReason::Bundle)
        } else {
            DrainEvent::AddReason(DrainReason::Bundle)
        };
        self.drain.handle(event, now);
        self.apply_drain(now)
    }

    /// Runs the timers.
    pub(super) fn tick(&mut self, now: Instant) -> Vec<RequestAction> {
        self.note_activity(now);
        let mut actions = self.apply_drain(now);
        actions.extend(self.update_slots(now));
        actions
    }

    fn note_activity(&mut self, now: Instant) {
        let counts = self.requests.counts();
        let activity = Activity {
            requests: counts.queued + counts.busy + counts.streams,
            connections: self.open_connections,
        };
        self.drain.handle(DrainEvent::Activity(activity), now);
    }

    fn apply_drain(&mut self, now: Instant) -> Vec<RequestAction> {
        let event = if self.drain.takes_new_requests(now) {
            RequestEvent::TakeArrivals
        } else {
            RequestEvent::RefuseArrivals
        };
        self.requests.handle(event, now)
    }

    fn update_slots(&mut self, now: Instant) -> Vec<RequestAction> {
        let usable = self.effective_slots(now).whole().max(1);
        if usable == self.usable_slots {
            return Vec::new();
        }
        self.usable_slots = usable;
        self.requests
            .handle(RequestEvent::SlotsChanged(usable), now)
    }

    fn effective_slots(&mut self, now: Instant) -> EffectiveSlots {
        let slots = self.slots;
        match &mut self.slow_start {
            Some(slow_start) => slow_start.effective_slots(slots, now),
            None => EffectiveSlots::all(slots),
        }
    }

    /// What is in use now.
    pub(super) fn usage(&mut self, now: Instant) -> Usage {
        let counts = self.requests.counts();
        Usage {
            busy_slots: counts.busy,
            queued: counts.queued,
            slots: self.effective_slots(now),
            open_connections: self.open_connections,
            connection_limit: self.connection_limit,
        }
    }

    pub(super) fn conditions(&mut self, now: Instant) -> TargetConditions {
        TargetConditions {
            usage: self.usage(now),
            takes_new_flows: self.drain.takes_new_flows(),
        }
    }

    /// Load with the flows on their way here, as nobody outside can know it.
    pub(super) fn true_load(&mut self, now: Instant) -> Load {
        let on_the_way = self.on_the_way;
        let weight = AdmissionOptions::default().connection_weight;
        self.usage(now).load(on_the_way, weight)
    }

    /// Shows the present load at the load endpoint; a target that takes no new
    /// flow shows the greatest.
    pub(super) fn publish(&mut self, now: Instant) {
        let weight = AdmissionOptions::default().connection_weight;
        self.published = if self.drain.takes_new_flows() {
            self.usage(now).load(0, weight)
        } else {
            Load(u32::MAX)
        };
    }

    /// Time that work takes here now.
    pub(super) fn service_time(&self, work: Duration, now: Instant) -> Duration {
        let Some(since) = self.cold_since else {
            return work;
        };
        let warmth = now.since(since).div_duration_f64(WARMING);
        work.mul_f64(1.0 + COLD_SLOWDOWN * (-warmth).exp())
    }

    /// Notes how long a request ran.
    pub(super) fn served(&mut self, time: Duration, now: Instant) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.record_service_time(time, now);
        }
    }

    /// The whole answer of a request, or the head of a feed, has come.
    pub(super) fn answer(
        &mut self,
        id: RequestId,
        streaming: bool,
        now: Instant,
    ) -> Vec<RequestAction> {
        let mut actions = self
            .requests
            .handle(RequestEvent::AnswerHead { id, streaming }, now);
        if !streaming {
            let end = RequestEvent::AnswerEnd { id, complete: true };
            actions.extend(self.requests.handle(end, now));
        }
        actions
    }

    /// Part of the slots that is busy.
    pub(super) fn busy_share(&self) -> f64 {
        f64::from(self.requests.counts().busy) / f64::from(self.slots)
    }
}
