//! Which target a new flow goes to.
//!
//! The least loaded of a bounded number of candidates, by load that is at most
//! one report old and counts the flows sent since. Candidates come from
//! rendezvous hashing where a service has more targets than are compared, so
//! that a later search for the flow begins among the same few.

use super::agent_record::AgentRecord;
use super::directory::AgentDirectory;
use super::excluded_zones::ExcludedZones;
use super::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use super::message::TargetState;
use crate::clock::Instant;

/// Targets whose load is compared for one flow.
pub const COMPARED_TARGETS: usize = 24;
/// Part of a slot that an open flow at rest is expected to take where its target does
/// not state it.
const SLOT_PER_FLOW: f64 = 0.05;
/// How many times the median's work a flow at rest takes at the slower targets for
/// targets to count as uneven: beyond what a few hundred requests differ by chance.
const UNEVEN_FROM: f64 = 1.5;
/// The same up to which they count as uneven: beyond it the slower ones are in
/// trouble, and are avoided by their service time.
const UNEVEN_UP_TO: f64 = 4.0;
/// Fewest targets whose work is compared.
const LEAST_COMPARED: usize = 5;
/// Fewest flows at rest by which a target's work of one is told.
const LEAST_FLOWS: u32 = 8;
/// Utilization from which the expected wait grows in proportion only.
const MAXIMUM_UTILIZATION: f64 = 0.9;
/// Thousandths in a whole.
const THOUSANDTHS: f64 = 1000.0;
/// Work of a target that has just started takes this much longer.
const WARM_UP_FACTOR: f64 = 1.8;
/// Part of its slots by which a target in another zone counts as more loaded
/// for a flow without bytes.
const DISTANCE: f64 = 0.05;
/// The same for each byte that the flow is expected to bring.
const DISTANCE_PER_BYTE: f64 = 1.0 / 40_000.0;
/// Most that distance counts for: no zone is given more than its targets can
/// begin with while others have slots free.
const MAXIMUM_DISTANCE: f64 = 1.0;
/// Most that slow answers raise the load of a target.
const MAXIMUM_SLOWNESS: f64 = 8.0;
/// Part of its slots by which a cold target counts as more loaded once it may be
/// handed nothing more: more than a full queue at any other.
const EXHAUSTED: f64 = 100.0;
/// Failures beyond those of the service's other targets, in percent, that do
/// not count against a target.
const TOLERATED_FAILURES: f64 = 15.0;
/// Part of its slots by which a target counts as more loaded for each further
/// percent of failures.
const LOAD_PER_FAILURE: f64 = 0.08;
/// Most that failures count for: a target that fails all is still given flows
/// once the others have as many requests again as slots waiting.
const MAXIMUM_UNRELIABILITY: f64 = 2.0;

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct TargetSelector<'a> {
    /// All known agents.
    pub directory: &'a AgentDirectory,
    /// Zones whose targets take no new flows.
    pub excluded_zones: &'a ExcludedZones,
    /// Zone of the balancer.
    pub zone: ZoneKey,
    /// The new flow.
    pub key: FlowKey,
    /// Service that it is for.
    pub service: ServiceKey,
    /// Agents that were asked before.
    pub tried: &'a [NodeAddress],
    /// Bytes that flows of the route bring, on average.
    pub bytes_per_flow: u64,
}

/// The target chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedTarget {
    /// Its agent.
    pub agent: NodeAddress,
    /// The score that it won with, in slots; less is better.
    pub score: f64,
    /// Requests that its target is believed to hold or to have queued.
    pub estimated_load: u16,
    /// Further targets that could have been chosen.
    pub other_candidates: usize,
}

/// Agents of a service that come first for a flow, at most `count`, without
/// those that are left out.
#[must_use]
pub fn first_candidates(
    directory: &AgentDirectory,
    service: ServiceKey,
    key: &FlowKey,
    is_left_out: impl Fn(NodeAddress) -> bool,
    count: usize,
) -> Vec<NodeAddress> {
    let mut agents: Vec<NodeAddress> = directory
        .agents_of(service)
        .iter()
        .copied()
        .filter(|agent| !is_left_out(*agent))
        .collect();
    if agents.len() > count {
        agents.sort_by_cached_key(|agent| std::cmp::Reverse(key.rank(*agent)));
        agents.truncate(count);
    }
    agents
}

impl TargetSelector<'_> {
    /// The best target for the flow, or `None` when the service has none that
    /// takes flows and was not asked before.
    #[must_use]
    pub fn select(&self, now: Instant) -> Option<SelectedTarget> {
        let candidates = first_candidates(
            self.directory,
            self.service,
            &self.key,
            |agent| self.tried.contains(&agent) || self.is_excluded(agent),
            COMPARED_TARGETS,
        );
        self.best_of(&candidates, now)
            .or_else(|| self.best_of(self.directory.agents_of(self.service), now))
    }

    fn best_of(&self, candidates: &[NodeAddress], now: Instant) -> Option<SelectedTarget> {
        let usable: Vec<&AgentRecord> = candidates
            .iter()
            .filter(|agent| !self.tried.contains(agent))
            .filter_map(|agent| self.directory.agent(*agent))
            .filter(|record| record.state == TargetState::Ready && record.is_live(now))
            .filter(|record| !self.excluded_zones.excludes(record.zone))
            .collect();
        let usual = Usual::of(&usable);
        let other_candidates = usable.len().saturating_sub(1);
        usable
            .into_iter()
            .map(|record| (self.score(record, &usual, now), record))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(score, record)| SelectedTarget {
                agent: record.address,
                score,
                estimated_load: record.estimated_load(),
                other_candidates,
            })
    }

    fn is_excluded(&self, agent: NodeAddress) -> bool {
        self.directory
            .agent(agent)
            .is_some_and(|record| self.excluded_zones.excludes(record.zone))
    }

    fn score(&self, record: &AgentRecord, usual: &Usual, now: Instant) -> f64 {
        let waiting = f64::from(record.estimated_load());
        let slots = f64::from(record.slots.max(1));
        let slowdown = slowdown(record, usual, now);
        let occupied = match usual.work_per_flow {
            Some(usual) => {
                // The request that comes with the flow counts alike everywhere: most
                // of what the flow will ask comes later.
                let at_rest = resting_work(record, usual) / slots;
                (waiting * slowdown + 1.0) / slots + expected_wait(at_rest)
            }
            None => {
                let at_rest = f64::from(record.load.flows) * SLOT_PER_FLOW;
                (waiting + at_rest + 1.0) / slots * slowdown
            }
        };
        occupied
            + exhaustion(record, now)
            + unreliability(record, usual)
            + self.distance(record)
            + tie_break(self.key, record.address)
    }

    fn distance(&self, record: &AgentRecord) -> f64 {
        if record.zone == self.zone {
            return 0.0;
        }
        let bytes = u32::try_from(self.bytes_per_flow).unwrap_or(u32::MAX);
        (DISTANCE + f64::from(bytes) * DISTANCE_PER_BYTE).min(MAXIMUM_DISTANCE)
    }
}

/// What is usual among the targets that are compared: a fault that all of them
/// share speaks against none.
struct Usual {
    /// Median service time, in microseconds; zero when none is known.
    service_time: f64,
    /// Median share of failures, in percent.
    failed_percent: f64,
    /// Median work of a flow at rest, in slots, where targets differ in it: elsewhere
    /// the number of flows says the same.
    work_per_flow: Option<f64>,
}

impl Usual {
    fn of(records: &[&AgentRecord]) -> Self {
        let times = records.iter().map(|record| record.load.service_time_us);
        let failures = records
            .iter()
            .map(|record| u32::from(record.load.failed_percent));
        Self {
            service_time: median(times.filter(|time| *time > 0).collect()),
            failed_percent: median(failures.collect()),
            work_per_flow: uneven_work_per_flow(records),
        }
    }
}

/// The median work of a flow at rest, in slots, when a fifth of the targets at least
/// takes much longer over it than the median.
fn uneven_work_per_flow(records: &[&AgentRecord]) -> Option<f64> {
    let mut known: Vec<f64> = records
        .iter()
        .filter_map(|record| work_per_flow(record))
        .collect();
    if known.len() < LEAST_COMPARED || known.len() * 2 < records.len() {
        return None;
    }
    known.sort_unstable_by(f64::total_cmp);
    let median = known[known.len() / 2];
    let slow = known[known.len() * 4 / 5];
    let is_uneven = (median * UNEVEN_FROM..=median * UNEVEN_UP_TO).contains(&slow);
    is_uneven.then_some(median)
}

/// Work of one flow at rest, in slots; `None` when the target does not state it or has
/// too few flows to tell.
fn work_per_flow(record: &AgentRecord) -> Option<f64> {
    let work = f64::from(record.load.idle_flow_work_millislots?) / THOUSANDTHS;
    (record.load.flows >= LEAST_FLOWS).then(|| work / f64::from(record.load.flows))
}

/// Work of a target's flows at rest, in slots: as stated, or what as many flows take
/// elsewhere.
fn resting_work(record: &AgentRecord, usual_per_flow: f64) -> f64 {
    record.load.idle_flow_work_millislots.map_or_else(
        || f64::from(record.load.flows) * usual_per_flow,
        |stated| f64::from(stated) / THOUSANDTHS,
    )
}

/// Requests that wait on average, for each slot, where flows at rest will take this
/// part of all slots: the queue grows without bound as they take all.
fn expected_wait(utilization: f64) -> f64 {
    utilization / (1.0 - utilization.min(MAXIMUM_UTILIZATION))
}

/// How much longer requests take at a target than usual.
fn slowdown(record: &AgentRecord, usual: &Usual, now: Instant) -> f64 {
    let warm_up = if now < record.warm_at {
        WARM_UP_FACTOR
    } else {
        1.0
    };
    warm_up * slowness(record, usual.service_time)
}

/// What it counts for that a cold target may be handed nothing more for now: it
/// comes after all others, and is asked only when all are so.
fn exhaustion(record: &AgentRecord, now: Instant) -> f64 {
    if record.openings_left(now) == Some(0) {
        EXHAUSTED
    } else {
        0.0
    }
}

/// How much more of its requests a target fails than is usual.
fn unreliability(record: &AgentRecord, usual: &Usual) -> f64 {
    let excess = f64::from(record.load.failed_percent) - usual.failed_percent;
    let counted = (excess - TOLERATED_FAILURES).max(0.0);
    (counted * LOAD_PER_FAILURE).min(MAXIMUM_UNRELIABILITY)
}

/// The median of some values; zero when there are none.
fn median(mut values: Vec<u32>) -> f64 {
    values.sort_unstable();
    values
        .get(values.len() / 2)
        .map_or(0.0, |value| f64::from(*value))
}

fn slowness(record: &AgentRecord, usual: f64) -> f64 {
    if usual == 0.0 || record.load.service_time_us == 0 {
        return 1.0;
    }
    (f64::from(record.load.service_time_us) / usual).clamp(1.0, MAXIMUM_SLOWNESS)
}

/// A small amount that differs by flow and target, so that balancers with the
/// same view do not choose the same one of equals.
fn tie_break(key: FlowKey, agent: NodeAddress) -> f64 {
    const SPAN: f64 = 0.02;
    let rank = u32::try_from(key.rank(agent) >> 32).unwrap_or(u32::MAX);
    f64::from(rank) / f64::from(u32::MAX) * SPAN
}
