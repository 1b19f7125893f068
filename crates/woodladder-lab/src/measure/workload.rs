//! Workloads: the flows that callers open, drawn from a seed once and replayed
//! for every way under comparison.

use std::fmt;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use woodladder_core::clock::Instant;
use woodladder_core::identifier::ServiceId;

use super::deployment::{ALMATY, Deployment, ServicePlan, TAIWAN};

/// Start of the surge; imbalance is sampled from here.
pub const SURGE_START: Duration = Duration::from_secs(30);
/// End of the surge.
pub const SURGE_END: Duration = Duration::from_secs(90);
/// End of a run.
pub const RUN_END: Duration = Duration::from_secs(110);

/// Time within which feeds are opened.
const FEED_OPENING: Duration = Duration::from_secs(20);
/// Time that the opening of a feed holds a slot.
const FEED_WORK: Duration = Duration::from_millis(20);
/// Feeds of the feed service, by deployment size.
const KITCHEN_FEEDS: usize = 2100;
const TALLY_FEEDS: usize = 1400;
/// Mean time between requests on one kitchen feed's connection.
const DIET_CHANGE_GAP: Duration = Duration::from_secs(20);
const DIET_CHANGE_WORK: Duration = Duration::from_millis(150);
/// Homes that ask for their sheets at the fixed start.
const PRINT_REQUESTS: usize = 3000;
const PRINT_SPREAD: Duration = Duration::from_secs(25);
const PRINT_WORK: Duration = Duration::from_millis(300);
const PLEDGE_WORK: Duration = Duration::from_millis(200);
const RECEIPT_WORK: Duration = Duration::from_millis(300);
/// One pledge in this many is followed by a look at its receipt.
const PLEDGES_PER_RECEIPT: u32 = 4;
/// Time between a pledge and the look at its receipt.
const RECEIPT_DELAY: Duration = Duration::from_secs(2);
/// Offered load of the telethon: at its ends, and at its height.
const TELETHON_EDGE_LOAD: f64 = 0.5;
const TELETHON_PEAK_LOAD: f64 = 0.88;
/// Part of the surge in which the telethon's load rises, and falls again.
const TELETHON_SLOPE: f64 = 0.2;
/// Offered load of the steady workloads.
const STEADY_LOAD: f64 = 0.5;

/// What callers do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Workload {
    /// Taiwan: kitchen feeds, and all homes print at a fixed start.
    MenuSurge,
    /// Taiwan: kitchen feeds, and printing at a steady rate.
    SteadyTaiwan,
    /// Almaty: tally feeds, and pledges that rise to near the capacity.
    Telethon,
    /// Almaty: tally feeds, and pledges at a steady rate.
    SteadyAlmaty,
}

/// One caller's connection.
#[derive(Clone, Debug)]
pub struct FlowPlan {
    /// When it is opened.
    pub opens_at: Instant,
    /// Service that it is opened to.
    pub service: ServiceId,
    /// How long it lasts.
    pub kind: FlowKind,
    /// Time that its first request holds a slot.
    pub work: Duration,
    /// Later requests on the same connection.
    pub later: Vec<LaterRequest>,
}

/// How long a flow lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowKind {
    /// Until the end of the run.
    Feed,
    /// Until its one request is answered.
    Request,
}

/// A request on an open connection.
#[derive(Clone, Copy, Debug)]
pub struct LaterRequest {
    /// When it is sent.
    pub at: Instant,
    /// Time that it holds a slot.
    pub work: Duration,
}

impl Workload {
    /// All workloads.
    pub const ALL: [Self; 4] = [
        Self::MenuSurge,
        Self::SteadyTaiwan,
        Self::Telethon,
        Self::SteadyAlmaty,
    ];

    /// Where it happens.
    #[must_use]
    pub fn deployment(self) -> &'static Deployment {
        match self {
            Self::MenuSurge | Self::SteadyTaiwan => &TAIWAN,
            Self::Telethon | Self::SteadyAlmaty => &ALMATY,
        }
    }

    /// The flows for a seed.
    #[must_use]
    pub fn flows(self, seed: u64) -> Vec<FlowPlan> {
        let [first, second] = &self.deployment().services;
        let mut draw = Draw::new(seed);
        match self {
            Self::MenuSurge => {
                draw.kitchen_feeds(first);
                draw.print_surge(second);
            }
            Self::SteadyTaiwan => {
                draw.kitchen_feeds(first);
                draw.arrivals(second, PRINT_WORK, |_| STEADY_LOAD);
            }
            Self::Telethon => {
                draw.tally_feeds(first);
                draw.arrivals(first, PLEDGE_WORK, telethon_load);
                draw.receipts(first, second);
            }
            Self::SteadyAlmaty => {
                draw.tally_feeds(first);
                draw.arrivals(first, PLEDGE_WORK, |_| STEADY_LOAD);
                draw.receipts(first, second);
            }
        }
        draw.flows
    }
}

/// Offered load at a part of the surge between zero and one.
fn telethon_load(part: f64) -> f64 {
    let rise = (part / TELETHON_SLOPE).min(1.0);
    let fall = ((1.0 - part) / TELETHON_SLOPE).min(1.0);
    TELETHON_EDGE_LOAD + (TELETHON_PEAK_LOAD - TELETHON_EDGE_LOAD) * rise.min(fall)
}

struct Draw {
    random: ChaCha8Rng,
    flows: Vec<FlowPlan>,
}

impl Draw {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            flows: Vec::new(),
        }
    }

    fn kitchen_feeds(&mut self, service: &ServicePlan) {
        for _ in 0..KITCHEN_FEEDS {
            let later = self.diet_changes();
            self.feed(service, later);
        }
    }

    fn tally_feeds(&mut self, service: &ServicePlan) {
        for _ in 0..TALLY_FEEDS {
            self.feed(service, Vec::new());
        }
    }

    fn feed(&mut self, service: &ServicePlan, later: Vec<LaterRequest>) {
        let opening = FEED_OPENING.mul_f64(self.random.random());
        self.flows.push(FlowPlan {
            opens_at: Instant::from_origin(opening),
            service: service.id,
            kind: FlowKind::Feed,
            work: FEED_WORK,
            later,
        });
    }

    fn diet_changes(&mut self) -> Vec<LaterRequest> {
        let mut requests = Vec::new();
        let mut at = FEED_OPENING + self.exponential(DIET_CHANGE_GAP);
        while at < RUN_END {
            requests.push(LaterRequest {
                at: Instant::from_origin(at),
                work: self.work(DIET_CHANGE_WORK),
            });
            at += self.exponential(DIET_CHANGE_GAP);
        }
        requests
    }

    fn print_surge(&mut self, service: &ServicePlan) {
        for _ in 0..PRINT_REQUESTS {
            let at = SURGE_START + self.exponential(PRINT_SPREAD);
            let work = self.work(PRINT_WORK);
            self.request(service, at, work);
        }
    }

    /// Requests at random times so that `load` of the service's slots would be
    /// busy, over the surge.
    fn arrivals(&mut self, service: &ServicePlan, mean: Duration, load: fn(f64) -> f64) {
        let slots = f64::from(service.targets) * f64::from(service.slots);
        let gap_at_capacity = mean.div_f64(slots);
        let length = SURGE_END - SURGE_START;
        let mut elapsed = Duration::ZERO;
        while elapsed < length {
            let part = elapsed.div_duration_f64(length);
            elapsed += self.exponential(gap_at_capacity.div_f64(load(part)));
            let work = self.work(mean);
            self.request(service, SURGE_START + elapsed, work);
        }
    }

    fn receipts(&mut self, pledged_at: &ServicePlan, archive: &ServicePlan) {
        let pledges: Vec<Instant> = self
            .flows
            .iter()
            .filter(|flow| flow.service == pledged_at.id && flow.kind == FlowKind::Request)
            .map(|flow| flow.opens_at)
            .collect();
        for pledge in pledges {
            if self.random.random_ratio(1, PLEDGES_PER_RECEIPT) {
                let work = self.work(RECEIPT_WORK);
                let at = pledge.since_origin() + self.exponential(RECEIPT_DELAY);
                self.request(archive, at, work);
            }
        }
    }

    fn request(&mut self, service: &ServicePlan, at: Duration, work: Duration) {
        self.flows.push(FlowPlan {
            opens_at: Instant::from_origin(at),
            service: service.id,
            kind: FlowKind::Request,
            work,
            later: Vec::new(),
        });
    }

    /// Service time: the sum of two exponential phases.
    fn work(&mut self, mean: Duration) -> Duration {
        self.exponential(mean / 2) + self.exponential(mean / 2)
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        mean.mul_f64(-uniform.ln())
    }
}

impl fmt::Display for Workload {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::MenuSurge => "menu-surge",
            Self::SteadyTaiwan => "steady-taiwan",
            Self::Telethon => "telethon",
            Self::SteadyAlmaty => "steady-almaty",
        })
    }
}
