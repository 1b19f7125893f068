//! Finds out which recorded flows still exist after a balancer's start, by querying the
//! agents of the targets that held them.
//!
//! Each agent that is heard is queried for its recorded flows, a bounded number at a
//! time. It is queried again if an answer is lost, and when its reported knowledge
//! changes: when it starts to know all flows of its target, or when the target restarts.
//! Its denial proves that a flow is gone: only the target whose acceptance the caller has
//! acknowledged holds a flow, and the record names that target. If the agent answers that
//! the target holds or may hold a flow, the flow is added to the balancer's flow table
//! with this agent. Flows without any answer within [`QUERY_DURATION`] are dropped
//! without further effect.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::record::FlowRecord;
use crate::clock::Instant;
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};

/// Time after reading a record in which its flows are queried. Machines and targets
/// that restart are up again within it.
pub const QUERY_DURATION: Duration = Duration::from_secs(12);
/// Time between two queries for a flow without an answer.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two probes of an agent that was not heard yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after reading a record in which its agents are probed. After a common outage,
/// machines usually answer again within this time. Agents of machines that return later need no
/// probe: they are heard by their reports, and their flows are queried until
/// [`QUERY_DURATION`] is over.
const PROBE_DURATION: Duration = Duration::from_secs(2);

/// Most bytes that a target can have sent on a flow since it was recorded. The sequence
/// numbers of another flow start anywhere in the range of 32 bits.
const MAXIMUM_PROGRESS: u32 = 1 << 20;
/// Most bytes by which the acknowledgement number of a packet that arrives out of order may
/// be lower than the recorded one.
const MAXIMUM_REORDERING: u32 = 1 << 16;

/// A recorded flow that is not known yet to be held or gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestoredFlow {
    /// Agent of the target that held the flow.
    pub agent: NodeAddress,
    /// Incarnation of the target that held the flow.
    pub incarnation: Incarnation,
    /// Recorded last acknowledgement number of the caller.
    pub acknowledged: u32,
    /// Recorded sequence number after the caller's last new byte.
    pub caller_next: u32,
    queried_at: Option<Instant>,
    /// Whether the agent has answered that it cannot decide whether its target holds the
    /// flow.
    is_undecided: bool,
}

impl RestoredFlow {
    /// Whether the caller's acknowledgement number can have advanced from the recorded
    /// one to `acknowledged`. If not, the packet belongs to a later flow between the same
    /// ends.
    #[must_use]
    pub fn may_have_reached(&self, acknowledged: u32) -> bool {
        let distance_from_minimum = acknowledged
            .wrapping_sub(self.acknowledged)
            .wrapping_add(MAXIMUM_REORDERING);
        distance_from_minimum <= MAXIMUM_REORDERING + MAXIMUM_PROGRESS
    }
}

/// Number of recorded flows by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RestoreTotals {
    /// All flows in the record.
    pub recorded: u64,
    /// Flows that their target holds.
    pub held: u64,
    /// Flows that the agent has denied holding, or whose target has ended.
    pub denied: u64,
    /// Flows that were dropped because their caller has opened a later flow between the same
    /// ends, as a packet or the balancer's flow table showed.
    pub superseded: u64,
    /// Flows that were dropped without proof that they are held or gone.
    pub unproven: u64,
}

/// What an agent's reports state about its knowledge of its target's flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentKnowledge {
    /// Whether the agent knows all open flows of its target.
    pub knows_all_flows: bool,
    /// Incarnation of the target.
    pub incarnation: Option<Incarnation>,
}

/// One query to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordQuery {
    pub agent: NodeAddress,
    /// The incarnation that held the flows.
    pub incarnation: Incarnation,
    pub keys: Vec<FlowKey>,
}

/// The recorded flows that wait for an answer.
#[derive(Clone, Debug, Default)]
pub struct RecordRestorer {
    flows: FxHashMap<FlowKey, RestoredFlow>,
    by_agent: BTreeMap<NodeAddress, Vec<FlowKey>>,
    /// The agents that were heard, with what they know.
    agents: BTreeMap<NodeAddress, AgentKnowledge>,
    loaded_at: Option<Instant>,
    probed_at: Option<Instant>,
    totals: RestoreTotals,
}

impl RecordRestorer {
    /// Loads a record.
    pub fn load(&mut self, record: &FlowRecord, now: Instant) {
        self.loaded_at = Some(now);
        for group in &record.holders {
            for flow in &group.flows {
                let key = FlowKey {
                    caller: flow.caller,
                    service: group.route,
                };
                let restored = RestoredFlow {
                    agent: group.agent,
                    incarnation: group.incarnation,
                    acknowledged: flow.acknowledged,
                    caller_next: flow.caller_next,
                    queried_at: None,
                    is_undecided: false,
                };
                if self.flows.insert(key, restored).is_none() {
                    self.by_agent.entry(group.agent).or_default().push(key);
                }
            }
        }
        self.totals.recorded = self.flows.len().try_into().unwrap_or(u64::MAX);
    }

    /// Whether no flow waits for an answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Outcomes so far.
    #[must_use]
    pub fn totals(&self) -> RestoreTotals {
        self.totals
    }

    /// Whether flows of this agent wait for an answer.
    #[must_use]
    pub fn awaits(&self, agent: NodeAddress) -> bool {
        self.by_agent.contains_key(&agent)
    }

    /// Records that an agent was heard. If its reported knowledge has changed, the agent is
    /// queried again for all of its flows that wait for an answer, also for those that it
    /// could not decide.
    pub fn update_agent_knowledge(&mut self, agent: NodeAddress, knowledge: AgentKnowledge) {
        if !self.awaits(agent) {
            return;
        }
        let previous = self.agents.insert(agent, knowledge);
        if previous.is_some_and(|previous| previous != knowledge) {
            for key in self.by_agent.get(&agent).into_iter().flatten() {
                if let Some(flow) = self.flows.get_mut(key) {
                    flow.queried_at = None;
                    flow.is_undecided = false;
                }
            }
        }
    }

    /// Agents that were not heard yet and whose next probe is due; records the probes as
    /// sent now.
    pub fn agents_to_probe(&mut self, now: Instant) -> Vec<NodeAddress> {
        let is_early = self
            .loaded_at
            .is_some_and(|at| now.since(at) < PROBE_DURATION);
        let is_due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if !is_early || !is_due {
            return Vec::new();
        }
        self.probed_at = Some(now);
        let is_unheard = |agent: &&NodeAddress| !self.agents.contains_key(agent);
        self.by_agent.keys().filter(is_unheard).copied().collect()
    }

    /// At most `limit` flows whose query is due, grouped by agent; records the queries as
    /// sent now.
    pub fn take_due_queries(&mut self, limit: usize, now: Instant) -> Vec<RecordQuery> {
        let mut remaining = limit;
        let mut queries = Vec::new();
        for (agent, keys) in &self.by_agent {
            if !self.agents.contains_key(agent) || remaining == 0 {
                continue;
            }
            let flows = &mut self.flows;
            let mut keys_by_incarnation: BTreeMap<u64, Vec<FlowKey>> = BTreeMap::new();
            for key in keys {
                let Some(flow) = flows.get_mut(key) else {
                    continue;
                };
                let was_queried_recently = flow
                    .queried_at
                    .is_some_and(|at| now.since(at) < QUERY_INTERVAL);
                if remaining > 0 && !was_queried_recently && !flow.is_undecided {
                    flow.queried_at = Some(now);
                    keys_by_incarnation
                        .entry(flow.incarnation.0)
                        .or_default()
                        .push(*key);
                    remaining -= 1;
                }
            }
            queries.extend(keys_by_incarnation.into_iter().map(|(incarnation, keys)| {
                RecordQuery {
                    agent: *agent,
                    incarnation: Incarnation(incarnation),
                    keys,
                }
            }));
        }
        queries
    }

    /// The recorded flow, if this agent held it.
    #[must_use]
    pub fn held_by(&self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        self.flows
            .get(key)
            .copied()
            .filter(|flow| flow.agent == agent)
    }

    /// The recorded flow, if it waits for an answer.
    #[must_use]
    pub fn flow(&self, key: &FlowKey) -> Option<RestoredFlow> {
        self.flows.get(key).copied()
    }

    /// Handles an agent's denial. Returns the flow if the denial proves that it is gone:
    /// a denial counts only if this process of the balancer has sent a query for the flow
    /// since the agent's reported knowledge last changed.
    pub fn handle_denial(&mut self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        let flow = self.held_by(agent, key)?;
        flow.queried_at?;
        self.remove(key);
        self.totals.denied += 1;
        Some(flow)
    }

    /// Handles an agent's answer that its target holds a flow. Returns the flow if it was
    /// recorded at this agent.
    pub fn handle_located(&mut self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        let flow = self.held_by(agent, key)?;
        self.remove(key);
        self.totals.held += 1;
        Some(flow)
    }

    /// Handles an agent's answer that it cannot decide whether its target holds a flow.
    /// The agent is not queried again until its reported knowledge changes.
    pub fn mark_undecided(&mut self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        let flow = self.flows.get_mut(key).filter(|flow| flow.agent == agent)?;
        flow.is_undecided = true;
        Some(*flow)
    }

    /// Drops a recorded flow because its key now belongs to a later flow.
    pub fn mark_superseded(&mut self, key: &FlowKey) {
        if self.remove(key) {
            self.totals.superseded += 1;
        }
    }

    /// Drops and returns the flows of an agent whose target has ended together with all
    /// of them.
    pub fn remove_ended_target(&mut self, agent: NodeAddress) -> Vec<(FlowKey, RestoredFlow)> {
        let keys = self.by_agent.remove(&agent).unwrap_or_default();
        let ended: Vec<(FlowKey, RestoredFlow)> = keys
            .into_iter()
            .filter_map(|key| self.flows.remove(&key).map(|flow| (key, flow)))
            .collect();
        self.totals.denied += u64::try_from(ended.len()).unwrap_or(u64::MAX);
        ended
    }

    /// Drops all remaining flows when the time for queries is over. Returns whether this
    /// ended the restoration.
    pub fn tick(&mut self, now: Instant) -> bool {
        let is_over = self
            .loaded_at
            .is_some_and(|at| now.since(at) >= QUERY_DURATION || self.flows.is_empty());
        if !is_over {
            return false;
        }
        self.totals.unproven += u64::try_from(self.flows.len()).unwrap_or(u64::MAX);
        self.flows.clear();
        self.by_agent.clear();
        self.agents.clear();
        self.loaded_at = None;
        true
    }

    fn remove(&mut self, key: &FlowKey) -> bool {
        let Some(flow) = self.flows.remove(key) else {
            return false;
        };
        if let Some(keys) = self.by_agent.get_mut(&flow.agent) {
            keys.retain(|known| known != key);
            if keys.is_empty() {
                self.by_agent.remove(&flow.agent);
            }
        }
        true
    }
}
