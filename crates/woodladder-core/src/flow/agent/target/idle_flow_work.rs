//! Work that the target's idle open flows are expected to cause.
//!
//! An idle flow is no load at present, but sends another request sooner or later. How
//! often it does so and how long its requests take differ by route, and a request takes
//! longer at a slow target. The agent observes both and reports the expected work in
//! slots: the part of the target's time that its idle flows will take.
//!
//! Only requests after the first of their flow count. The first is the one that the flow
//! was opened for, and counts as load when it arrives.

use std::net::SocketAddrV4;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::Instant;
use crate::flow::agent::Agent;
use crate::flow::identity::FlowKey;

/// Half-life of the weight of observations: long enough to cover several requests of a
/// typical flow, and shorter than a surge.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Sum of the weights of the observed requests from which on expected work is reported.
const MINIMUM_REQUESTS: f64 = 24.0;
/// Millislots in a slot.
const MILLISLOTS_PER_SLOT: f64 = 1000.0;

/// Number of idle flows by route.
pub(crate) type IdleFlows = FxHashMap<SocketAddrV4, u32>;

/// Observations of one route's flows, with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRecord {
    /// Number of flows that are idle now.
    idle_flows: u32,
    /// Total time for which flows have been idle, in seconds.
    idle_seconds: f64,
    /// Total time for which the flows' requests have occupied a slot, in seconds.
    work_seconds: f64,
    /// Number of requests of these flows.
    requests: f64,
}

impl RouteRecord {
    fn decay(&mut self, factor: f64) {
        self.idle_seconds *= factor;
        self.work_seconds *= factor;
        self.requests *= factor;
    }
}

/// Observations of the target's idle flows.
#[derive(Clone, Debug)]
pub(crate) struct IdleFlowWork {
    routes: FxHashMap<SocketAddrV4, RouteRecord>,
    counted_at: Instant,
}

impl IdleFlowWork {
    /// A record without observations.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            routes: FxHashMap::default(),
            counted_at: now,
        }
    }

    /// Counts a request that was not the first of its flow, and the time for which it has
    /// occupied a slot.
    pub(crate) fn count_request(&mut self, route: SocketAddrV4, work: Duration) {
        let record = self.routes.entry(route).or_default();
        record.requests += 1.0;
        record.work_seconds += work.as_secs_f64();
    }

    /// Records how many flows are idle now. To be called at intervals much shorter than
    /// [`HALF_LIFE`], because the number of idle flows is assumed to stay the same until
    /// the next call.
    pub(crate) fn record_idle_flows(&mut self, idle_flows: &IdleFlows, now: Instant) {
        let elapsed = now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
        let factor = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        for record in self.routes.values_mut() {
            record.idle_seconds += f64::from(record.idle_flows) * elapsed;
            record.decay(factor);
            record.idle_flows = 0;
        }
        for (route, flows) in idle_flows {
            self.routes.entry(*route).or_default().idle_flows = *flows;
        }
        self.routes
            .retain(|_, record| record.idle_flows > 0 || record.requests > 0.01);
    }

    /// Work that the idle flows are expected to cause, in thousandths of a slot
    /// (millislots); `None` before enough requests were observed. Flows of a route
    /// without observations count as average flows.
    pub(crate) fn expected_millislots(&self) -> Option<u16> {
        let records = || self.routes.values();
        let requests: f64 = records().map(|record| record.requests).sum();
        if requests < MINIMUM_REQUESTS {
            return None;
        }
        let average = slots_per_flow(
            records().map(|record| record.work_seconds).sum(),
            records().map(|record| record.idle_seconds).sum(),
        );
        let slots: f64 = records()
            .map(|record| {
                let observed = slots_per_flow(record.work_seconds, record.idle_seconds);
                f64::from(record.idle_flows) * observed.or(average).unwrap_or(0.0)
            })
            .sum();
        Some(to_millislots(slots))
    }
}

/// Slots that an idle flow is expected to occupy: the ratio of work time to idle time, at
/// most one slot because a flow has at most one request at a time. `None` when no flow
/// has been idle yet.
fn slots_per_flow(work_seconds: f64, idle_seconds: f64) -> Option<f64> {
    (idle_seconds > 0.0).then(|| (work_seconds / idle_seconds).min(1.0))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_millislots(slots: f64) -> u16 {
    (slots * MILLISLOTS_PER_SLOT).clamp(0.0, f64::from(u16::MAX)) as u16
}

impl Agent {
    /// Counts an answered request for the expected work of idle flows. While more
    /// requests than slots are in service, each request occupies only a part of a slot.
    pub(crate) fn count_idle_flow_work(&mut self, key: &FlowKey, service_time: Duration) {
        let Some(flow) = self.flows.touch(key) else {
            return;
        };
        if std::mem::replace(&mut flow.has_answered, true) {
            let in_service = f64::from(self.load.busy.max(1));
            let share = (f64::from(self.target.slots) / in_service).min(1.0);
            self.idle_flow_work
                .count_request(key.service, service_time.mul_f64(share));
        }
    }
}
