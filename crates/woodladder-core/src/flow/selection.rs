//! Selects the target for a new flow.
//!
//! The selected target is the least loaded of a bounded number of candidates. Its load is
//! at most one report old and includes the flows sent since. If a service has more
//! targets than are compared, rendezvous hashing chooses the candidates, so that a later
//! search for the flow starts at the same few targets.

use super::agent_record::AgentRecord;
use super::directory::AgentDirectory;
use super::excluded_zones::ExcludedZones;
use super::identity::{FlowKey, NodeAddress, ServiceKey, ZoneKey};
use super::message::TargetState;
use crate::clock::Instant;

/// Most targets whose load is compared for one flow.
pub const COMPARED_TARGETS: usize = 24;
/// Load of one idle flow, in slots, where its target does not report it.
const SLOTS_PER_IDLE_FLOW: f64 = 0.05;
/// Targets count as uneven if the work per idle flow at the slower ones is at least this
/// many times the median: more than differs by chance among a few hundred requests.
const UNEVEN_MINIMUM_RATIO: f64 = 1.5;
/// Targets do not count as uneven beyond this multiple of the median: the slower ones
/// have a fault then, and are avoided by their service time.
const UNEVEN_MAXIMUM_RATIO: f64 = 4.0;
/// Fewest targets for which the work per idle flow is compared.
const MINIMUM_COMPARED_TARGETS: usize = 5;
/// Fewest open flows from which a target's work per idle flow is computed.
const MINIMUM_FLOWS: u32 = 8;
/// Share of a target's slots in use by idle flows' work above which [`expected_wait`] grows
/// only linearly.
const MAXIMUM_UTILIZATION: f64 = 0.9;
const MILLISLOTS_PER_SLOT: f64 = 1000.0;
/// Factor by which requests take longer at a target that has just started.
const WARM_UP_FACTOR: f64 = 1.8;
/// Penalty for a target in another zone, as a share of the target's slots: the part that
/// does not depend on the bytes of the flow.
const OTHER_ZONE_PENALTY: f64 = 0.05;
/// Further penalty for a target in another zone, as a share of the target's slots, for
/// each byte that the flow is expected to carry.
const OTHER_ZONE_PENALTY_PER_BYTE: f64 = 1.0 / 40_000.0;
/// Upper limit of the penalty for another zone, as a share of the target's slots. Without
/// this limit, a zone would get more flows than its targets can start on while other zones
/// have free slots.
const MAXIMUM_OTHER_ZONE_PENALTY: f64 = 1.0;
/// Upper limit of the factor by which slow answers raise the load of a target.
const MAXIMUM_SLOWNESS: f64 = 8.0;
/// Load added to a cold target that accepts no more openings for now, as a share of its
/// slots: more than a full queue at any other target.
const EXHAUSTED_PENALTY: f64 = 100.0;
/// Failures that do not count against a target, in percent above the median of the
/// service's targets.
const TOLERATED_FAILURE_PERCENT: f64 = 15.0;
/// Load added to a target for each further percent of failures, as a share of its slots.
const PENALTY_PER_FAILURE_PERCENT: f64 = 0.08;
/// Upper limit of the load added for failures, as a share of the target's slots. An idle
/// target that fails all requests still gets flows once each of the others has all slots
/// busy and as many requests waiting as slots.
const MAXIMUM_FAILURE_PENALTY: f64 = 2.0;

/// Inputs to the selection of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSelector<'a> {
    /// All known agents.
    pub directory: &'a AgentDirectory,
    /// Zones whose targets accept no new flows.
    pub excluded_zones: &'a ExcludedZones,
    /// Zone of the balancer.
    pub zone: ZoneKey,
    /// The new flow.
    pub key: FlowKey,
    /// Service of the new flow.
    pub service: ServiceKey,
    /// Agents that were tried before.
    pub tried: &'a [NodeAddress],
    /// Mean bytes per flow of the route.
    pub bytes_per_flow: u64,
}

/// The selected target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedTarget {
    /// Agent of the target.
    pub agent: NodeAddress,
    /// Score of the target: its load as a share of its slots, with penalties. The lowest
    /// score wins.
    pub score: f64,
    /// The balancer's estimate of the requests in progress or queued at the target.
    pub estimated_load: u16,
    /// Number of other targets that could have been selected.
    pub other_candidates: usize,
}

/// At most `count` agents of a service, those with the highest rank for a flow, without
/// those that `is_skipped` rejects.
#[must_use]
pub fn first_candidates(
    directory: &AgentDirectory,
    service: ServiceKey,
    key: &FlowKey,
    is_skipped: impl Fn(NodeAddress) -> bool,
    count: usize,
) -> Vec<NodeAddress> {
    let mut agents: Vec<NodeAddress> = directory
        .agents_of(service)
        .iter()
        .copied()
        .filter(|agent| !is_skipped(*agent))
        .collect();
    if agents.len() > count {
        agents.sort_by_cached_key(|agent| std::cmp::Reverse(key.rank(*agent)));
        agents.truncate(count);
    }
    agents
}

impl TargetSelector<'_> {
    /// The best target for the flow; `None` if every target of the service was tried
    /// before, accepts no new flows, is in an excluded zone or has a silent agent.
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
        let typical = TypicalValues::of(&usable);
        let other_candidates = usable.len().saturating_sub(1);
        usable
            .into_iter()
            .map(|record| (self.score(record, &typical, now), record))
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

    fn score(&self, record: &AgentRecord, typical: &TypicalValues, now: Instant) -> f64 {
        let waiting = f64::from(record.estimated_load());
        let slots = f64::from(record.slots.max(1));
        let slowdown = slowdown(record, typical, now);
        let occupancy = match typical.work_per_idle_flow {
            Some(typical_work) => {
                // The request that comes with the new flow counts the same at every
                // target, because most of the flow's work comes later.
                let idle_work = idle_flow_work(record, typical_work) / slots;
                (waiting * slowdown + 1.0) / slots + expected_wait(idle_work)
            }
            None => {
                let idle_work = f64::from(record.load.flows) * SLOTS_PER_IDLE_FLOW;
                (waiting + idle_work + 1.0) / slots * slowdown
            }
        };
        occupancy
            + exhaustion_penalty(record, now)
            + failure_penalty(record, typical)
            + self.other_zone_penalty(record)
            + tie_break(self.key, record.address)
    }

    fn other_zone_penalty(&self, record: &AgentRecord) -> f64 {
        if record.zone == self.zone {
            return 0.0;
        }
        let bytes = u32::try_from(self.bytes_per_flow).unwrap_or(u32::MAX);
        (OTHER_ZONE_PENALTY + f64::from(bytes) * OTHER_ZONE_PENALTY_PER_BYTE)
            .min(MAXIMUM_OTHER_ZONE_PENALTY)
    }
}

/// Typical values among the compared targets, so that a fault that all of them share
/// counts against none of them.
struct TypicalValues {
    /// Median service time, in microseconds; zero if none is known.
    service_time: f64,
    /// Median share of failures, in percent.
    failed_percent: f64,
    /// Median work per idle flow, in slots, if the targets differ much in it. Otherwise
    /// the number of flows is an equally good measure.
    work_per_idle_flow: Option<f64>,
}

impl TypicalValues {
    fn of(records: &[&AgentRecord]) -> Self {
        let times = records.iter().map(|record| record.load.service_time_us);
        let failures = records
            .iter()
            .map(|record| u32::from(record.load.failed_percent));
        Self {
            service_time: median(times.filter(|time| *time > 0).collect()),
            failed_percent: median(failures.collect()),
            work_per_idle_flow: uneven_work_per_idle_flow(records),
        }
    }
}

/// The median work per idle flow, in slots, if the targets differ much in it: the value
/// at the 80th percentile is [`UNEVEN_MINIMUM_RATIO`] to [`UNEVEN_MAXIMUM_RATIO`] times the
/// median. `None` otherwise, and also if fewer than [`MINIMUM_COMPARED_TARGETS`] targets or
/// less than half of them have a known value.
fn uneven_work_per_idle_flow(records: &[&AgentRecord]) -> Option<f64> {
    let mut known: Vec<f64> = records
        .iter()
        .filter_map(|record| work_per_idle_flow(record))
        .collect();
    if known.len() < MINIMUM_COMPARED_TARGETS || known.len() * 2 < records.len() {
        return None;
    }
    known.sort_unstable_by(f64::total_cmp);
    let median = known[known.len() / 2];
    let slow = known[known.len() * 4 / 5];
    let is_uneven = (median * UNEVEN_MINIMUM_RATIO..=median * UNEVEN_MAXIMUM_RATIO).contains(&slow);
    is_uneven.then_some(median)
}

/// Work per idle flow at a target, in slots; `None` if the target does not report it or
/// has too few flows.
fn work_per_idle_flow(record: &AgentRecord) -> Option<f64> {
    let work = f64::from(record.load.idle_flow_work_millislots?) / MILLISLOTS_PER_SLOT;
    (record.load.flows >= MINIMUM_FLOWS).then(|| work / f64::from(record.load.flows))
}

/// Work of a target's idle flows, in slots: as reported, or else estimated from the
/// median work per idle flow.
fn idle_flow_work(record: &AgentRecord, typical_per_flow: f64) -> f64 {
    record.load.idle_flow_work_millislots.map_or_else(
        || f64::from(record.load.flows) * typical_per_flow,
        |stated| f64::from(stated) / MILLISLOTS_PER_SLOT,
    )
}

/// Mean number of waiting requests per slot when idle flows will use this share of all
/// slots. In theory the queue grows without bound as the share approaches one.
fn expected_wait(utilization: f64) -> f64 {
    utilization / (1.0 - utilization.min(MAXIMUM_UTILIZATION))
}

/// Factor by which requests take longer at a target than is typical.
fn slowdown(record: &AgentRecord, typical: &TypicalValues, now: Instant) -> f64 {
    let warm_up = if now < record.warm_up_ends_at {
        WARM_UP_FACTOR
    } else {
        1.0
    };
    warm_up * slowness(record, typical.service_time)
}

/// Load added to a cold target that accepts no more openings for now, so that it is
/// selected only if every other target is in the same state.
fn exhaustion_penalty(record: &AgentRecord, now: Instant) -> f64 {
    if record.openings_left(now) == Some(0) {
        EXHAUSTED_PENALTY
    } else {
        0.0
    }
}

/// Load added to a target that fails a larger share of its requests than is typical.
fn failure_penalty(record: &AgentRecord, typical: &TypicalValues) -> f64 {
    let excess = f64::from(record.load.failed_percent) - typical.failed_percent;
    let counted = (excess - TOLERATED_FAILURE_PERCENT).max(0.0);
    (counted * PENALTY_PER_FAILURE_PERCENT).min(MAXIMUM_FAILURE_PENALTY)
}

/// The median of some values; zero if there are none.
fn median(mut values: Vec<u32>) -> f64 {
    values.sort_unstable();
    values
        .get(values.len() / 2)
        .map_or(0.0, |value| f64::from(*value))
}

fn slowness(record: &AgentRecord, typical: f64) -> f64 {
    if typical == 0.0 || record.load.service_time_us == 0 {
        return 1.0;
    }
    (f64::from(record.load.service_time_us) / typical).clamp(1.0, MAXIMUM_SLOWNESS)
}

/// A small offset that differs by flow and target, so that balancers with the same
/// information do not all select the same one of equal targets.
fn tie_break(key: FlowKey, agent: NodeAddress) -> f64 {
    const SPAN: f64 = 0.02;
    let rank = u32::try_from(key.rank(agent) >> 32).unwrap_or(u32::MAX);
    f64::from(rank) / f64::from(u32::MAX) * SPAN
}
