//! What the target's open flows at rest are expected to ask for.
//!
//! A flow at rest makes no load now, but asks again sooner or later. How often it
//! does and how long its requests take differ by route, and a request takes longer
//! at a slow target. The agent sees both, and states the work to come in slots: the
//! part of the target's time that its flows at rest will take.
//!
//! Only requests after the first of their flow count: the first is what the flow was
//! opened for, and is load already when it comes.

use std::net::SocketAddrV4;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::identity::FlowKey;

/// Time in which what was seen loses half of its weight: a few pauses between two
/// requests of a flow, and short beside a surge.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Requests, with their present weight, before anything is stated.
const LEAST_REQUESTS: f64 = 24.0;
/// Thousandths in a whole.
const THOUSANDTHS: f64 = 1000.0;

/// Flows at rest by route.
pub(crate) type RestingFlows = FxHashMap<SocketAddrV4, u32>;

/// What was seen of one route's flows, with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRecord {
    /// Flows at rest now.
    resting: u32,
    /// Seconds that flows have rested.
    resting_seconds: f64,
    /// Slot seconds that their requests have taken.
    work_seconds: f64,
    /// Their requests.
    requests: f64,
}

impl RouteRecord {
    fn decay(&mut self, factor: f64) {
        self.resting_seconds *= factor;
        self.work_seconds *= factor;
        self.requests *= factor;
    }
}

/// What was seen of the target's flows at rest.
#[derive(Clone, Debug)]
pub(crate) struct RestingWork {
    routes: FxHashMap<SocketAddrV4, RouteRecord>,
    counted_at: Instant,
}

impl RestingWork {
    /// Nothing was seen yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            routes: FxHashMap::default(),
            counted_at: now,
        }
    }

    /// A request that was not the first of its flow has taken a slot for this long.
    pub(crate) fn request_answered(&mut self, route: SocketAddrV4, work: Duration) {
        let record = self.routes.entry(route).or_default();
        record.requests += 1.0;
        record.work_seconds += work.as_secs_f64();
    }

    /// Takes in how many flows rest now. To be called often beside [`HALF_LIFE`]:
    /// until the next call, as many are taken to rest.
    pub(crate) fn count(&mut self, resting: &RestingFlows, now: Instant) {
        let elapsed = now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
        let factor = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        for record in self.routes.values_mut() {
            record.resting_seconds += f64::from(record.resting) * elapsed;
            record.decay(factor);
            record.resting = 0;
        }
        for (route, flows) in resting {
            self.routes.entry(*route).or_default().resting = *flows;
        }
        self.routes
            .retain(|_, record| record.resting > 0 || record.requests > 0.01);
    }

    /// Work that the flows at rest are expected to ask for, in thousandths of a slot;
    /// `None` before enough requests were seen. Flows of a route of which nothing is
    /// known count as the average flow.
    pub(crate) fn expected(&self) -> Option<u16> {
        let records = || self.routes.values();
        let requests: f64 = records().map(|record| record.requests).sum();
        if requests < LEAST_REQUESTS {
            return None;
        }
        let usual = per_flow(
            records().map(|record| record.work_seconds).sum(),
            records().map(|record| record.resting_seconds).sum(),
        );
        let slots: f64 = records()
            .map(|record| {
                let known = per_flow(record.work_seconds, record.resting_seconds);
                f64::from(record.resting) * known.or(usual).unwrap_or(0.0)
            })
            .sum();
        Some(thousandths(slots))
    }
}

/// Slots that one flow takes; `None` when none has rested yet. No flow asks for more
/// than one request at a time.
fn per_flow(work_seconds: f64, resting_seconds: f64) -> Option<f64> {
    (resting_seconds > 0.0).then(|| (work_seconds / resting_seconds).min(1.0))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(slots: f64) -> u16 {
    (slots * THOUSANDTHS).clamp(0.0, f64::from(u16::MAX)) as u16
}

impl Agent {
    /// Counts an answered request for the work of flows at rest. While more requests
    /// than slots are at work, each takes a part of a slot only.
    pub(crate) fn count_resting_work(&mut self, key: &FlowKey, service_time: Duration) {
        let Some(flow) = self.flows.touch(key) else {
            return;
        };
        if std::mem::replace(&mut flow.has_answered, true) {
            let at_work = f64::from(self.load.busy.max(1));
            let share = (f64::from(self.target.capacity) / at_work).min(1.0);
            self.resting_work
                .request_answered(key.service, service_time.mul_f64(share));
        }
    }
}
