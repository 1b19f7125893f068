//! Which target a new flow goes to.
//!
//! The least loaded of a bounded number of candidates, by load that is at most
//! one report old and counts the flows sent since. Candidates come from
//! rendezvous hashing where a service has more targets than are compared, so
//! that a later search for the flow begins among the same few.

use super::agent_record::AgentRecord;
use super::directory::Directory;
use super::excluded_zones::ExcludedZones;
use super::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use super::message::TargetState;
use crate::clock::Instant;

/// Targets whose load is compared for one flow.
pub const COMPARED_TARGETS: usize = 24;
/// Part of a slot that an open flow at rest is expected to take.
const SLOT_PER_FLOW: f64 = 0.05;
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
pub struct Choice<'a> {
    /// All known agents.
    pub directory: &'a Directory,
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
pub struct Chosen {
    /// Its agent.
    pub agent: NodeAddress,
    /// The score that it won with, in slots; less is better.
    pub score: f64,
    /// Requests that its target is believed to hold or to have queued.
    pub believed_load: u16,
    /// Further targets that could have been chosen.
    pub others: usize,
}

/// Agents of a service that come first for a flow, at most `count`, without
/// those that are left out.
#[must_use]
pub fn first_candidates(
    directory: &Directory,
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

impl Choice<'_> {
    /// The best target for the flow, or `None` when the service has none that
    /// takes flows and was not asked before.
    #[must_use]
    pub fn best(&self, now: Instant) -> Option<Chosen> {
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

    fn best_of(&self, candidates: &[NodeAddress], now: Instant) -> Option<Chosen> {
        let usable: Vec<&AgentRecord> = candidates
            .iter()
            .filter(|agent| !self.tried.contains(agent))
            .filter_map(|agent| self.directory.agent(*agent))
            .filter(|record| record.state == TargetState::Ready && record.is_live(now))
            .filter(|record| !self.excluded_zones.excludes(record.zone))
            .collect();
        let usual = Usual::of(&usable);
        let others = usable.len().saturating_sub(1);
        usable
            .into_iter()
            .map(|record| (self.score(record, &usual, now), record))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(score, record)| Chosen {
                agent: record.address,
                score,
                believed_load: record.believed_load(),
                others,
            })
    }

    fn is_excluded(&self, agent: NodeAddress) -> bool {
        self.directory
            .agent(agent)
            .is_some_and(|record| self.excluded_zones.excludes(record.zone))
    }

    fn score(&self, record: &AgentRecord, usual: &Usual, now: Instant) -> f64 {
        let load = &record.load;
        let waiting = f64::from(record.believed_load());
        let at_rest = f64::from(load.flows) * SLOT_PER_FLOW;
        let slots = f64::from(record.capacity.max(1));
        let occupied = (waiting + at_rest + 1.0) / slots;
        occupied * slowdown(record, usual, now)
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
        }
    }
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
