//! What becomes of recorded flows after a start: the agents that held them are
//! asked.
//!
//! An agent that is heard is asked for its flows, a bounded number at a time, again
//! when an answer is lost, and once more when it begins to know all flows of its
//! target. Its denial is the proof that a flow is gone, because only the target that
//! a caller has chosen holds a flow, and the record names it. What an agent holds or
//! may hold is known to be there. What nobody has answered for is forgotten after
//! [`ASKS_FOR`] without any further effect.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::record::FlowRecord;
use crate::clock::Instant;
use crate::flow::identity::{FlowKey, Incarnation, NodeAddress};

/// Time after a record was read in which its flows are asked for: machines and
/// targets that start again do so within it.
pub const ASKS_FOR: Duration = Duration::from_secs(12);
/// Time between two questions for a flow that was not answered.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two questions to an agent whether it is there.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a record was read in which its agents are asked whether they are there:
/// machines of one outage come back within it. Later ones are heard by their reports.
const PROBES_FOR: Duration = Duration::from_secs(2);

/// Most bytes that a target can have sent on a flow since it was recorded. Numbers of
/// another flow begin anywhere in 32 bits.
const FARTHEST_PROGRESS: u32 = 1 << 20;
/// Bytes by which a packet that later ones have overtaken may lie behind the record.
const OVERTAKEN: u32 = 1 << 16;

/// A recorded flow of which it is not known yet what became of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestoredFlow {
    /// Agent of the target that held it.
    pub agent: NodeAddress,
    /// The target's incarnation then.
    pub incarnation: Incarnation,
    /// Last acknowledgement of the caller that is recorded.
    pub acknowledged: u32,
    /// Number after the caller's last new byte that is recorded.
    pub caller_next: u32,
    asked_at: Option<Instant>,
    /// Whether the agent has said that only its target can tell.
    is_undecided: bool,
}

impl RestoredFlow {
    /// Whether the caller's acknowledgement can have come from the recorded one to this
    /// one. Otherwise the packet is of a later flow between the same ends.
    #[must_use]
    pub fn may_have_reached(&self, acknowledged: u32) -> bool {
        let from_least = acknowledged
            .wrapping_sub(self.acknowledged)
            .wrapping_add(OVERTAKEN);
        from_least <= OVERTAKEN + FARTHEST_PROGRESS
    }
}

/// What became of the flows of a record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RestoreTotals {
    /// Flows recorded.
    pub recorded: u64,
    /// Flows that their target holds.
    pub held: u64,
    /// Flows that their agent has denied.
    pub denied: u64,
    /// Flows that were closed or opened anew meanwhile.
    pub superseded: u64,
    /// Flows dropped without a proof.
    pub unproven: u64,
}

/// What an agent can tell of its target's flows, as far as its reports show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentKnowledge {
    /// Whether it knows all of them.
    pub knows_all_flows: bool,
    /// Incarnation of the target.
    pub incarnation: Option<Incarnation>,
}

/// One question to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordQuery {
    /// The agent.
    pub agent: NodeAddress,
    /// The incarnation that held the flows.
    pub incarnation: Incarnation,
    /// The flows.
    pub keys: Vec<FlowKey>,
}

/// The recorded flows that wait for an answer.
#[derive(Clone, Debug, Default)]
pub struct RecordRestorer {
    flows: FxHashMap<FlowKey, RestoredFlow>,
    by_agent: BTreeMap<NodeAddress, Vec<FlowKey>>,
    /// The agents that were heard.
    agents: BTreeMap<NodeAddress, AgentKnowledge>,
    taken_at: Option<Instant>,
    probed_at: Option<Instant>,
    totals: RestoreTotals,
}

impl RecordRestorer {
    /// Takes a record in.
    pub fn load(&mut self, record: &FlowRecord, now: Instant) {
        self.taken_at = Some(now);
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
                    asked_at: None,
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

    /// What became of the flows so far.
    #[must_use]
    pub fn totals(&self) -> RestoreTotals {
        self.totals
    }

    /// Whether flows of this agent wait for an answer.
    #[must_use]
    pub fn awaits(&self, agent: NodeAddress) -> bool {
        self.by_agent.contains_key(&agent)
    }

    /// An agent was heard. One that knows more than before is asked again for what it
    /// could not tell.
    pub fn update_agent_knowledge(&mut self, agent: NodeAddress, knowledge: AgentKnowledge) {
        if !self.awaits(agent) {
            return;
        }
        let former = self.agents.insert(agent, knowledge);
        if former.is_some_and(|former| former != knowledge) {
            for key in self.by_agent.get(&agent).into_iter().flatten() {
                if let Some(flow) = self.flows.get_mut(key) {
                    flow.asked_at = None;
                    flow.is_undecided = false;
                }
            }
        }
    }

    /// Agents that were not heard yet and are to be asked now whether they are there,
    /// which counts as asking them.
    pub fn agents_to_probe(&mut self, now: Instant) -> Vec<NodeAddress> {
        let is_early = self.taken_at.is_some_and(|at| now.since(at) < PROBES_FOR);
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

    /// At most `most` flows that are to be asked for now, by agent, which counts as
    /// asking.
    pub fn take_due_queries(&mut self, most: usize, now: Instant) -> Vec<RecordQuery> {
        let mut left = most;
        let mut questions = Vec::new();
        for (agent, keys) in &self.by_agent {
            if !self.agents.contains_key(agent) || left == 0 {
                continue;
            }
            let flows = &mut self.flows;
            let mut asked: BTreeMap<u64, Vec<FlowKey>> = BTreeMap::new();
            for key in keys {
                let Some(flow) = flows.get_mut(key) else {
                    continue;
                };
                let was_asked = flow
                    .asked_at
                    .is_some_and(|at| now.since(at) < QUESTION_INTERVAL);
                if left > 0 && !was_asked && !flow.is_undecided {
                    flow.asked_at = Some(now);
                    asked.entry(flow.incarnation.0).or_default().push(*key);
                    left -= 1;
                }
            }
            questions.extend(asked.into_iter().map(|(incarnation, keys)| RecordQuery {
                agent: *agent,
                incarnation: Incarnation(incarnation),
                keys,
            }));
        }
        questions
    }

    /// The flow, when this agent held it, as far as is recorded.
    #[must_use]
    pub fn held_by(&self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        self.flows
            .get(key)
            .copied()
            .filter(|flow| flow.agent == agent)
    }

    /// The flow, if it waits for an answer.
    #[must_use]
    pub fn flow(&self, key: &FlowKey) -> Option<RestoredFlow> {
        self.flows.get(key).copied()
    }

    /// An agent denies a flow. Returns the flow when that proves that it is gone.
    /// Only an agent that was asked in this life of the balancer counts.
    pub fn handle_denial(&mut self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        let flow = self.held_by(agent, key)?;
        flow.asked_at?;
        self.remove(key);
        self.totals.denied += 1;
        Some(flow)
    }

    /// An agent holds a flow. Returns the flow when the record has named it there.
    pub fn handle_located(&mut self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        let flow = self.held_by(agent, key)?;
        self.remove(key);
        self.totals.held += 1;
        Some(flow)
    }

    /// An agent says that only its target can tell: it is not asked again before it
    /// begins to know.
    pub fn mark_undecided(&mut self, agent: NodeAddress, key: &FlowKey) -> Option<RestoredFlow> {
        let flow = self.flows.get_mut(key).filter(|flow| flow.agent == agent)?;
        flow.is_undecided = true;
        Some(*flow)
    }

    /// The balancer has seen more of a flow than the record tells.
    pub fn mark_superseded(&mut self, key: &FlowKey) {
        if self.remove(key) {
            self.totals.superseded += 1;
        }
    }

    /// The target of an agent has ended with all its flows; returns them.
    pub fn remove_ended_target(&mut self, agent: NodeAddress) -> Vec<(FlowKey, RestoredFlow)> {
        let keys = self.by_agent.remove(&agent).unwrap_or_default();
        let ended: Vec<(FlowKey, RestoredFlow)> = keys
            .into_iter()
            .filter_map(|key| self.flows.remove(&key).map(|flow| (key, flow)))
            .collect();
        self.totals.denied += u64::try_from(ended.len()).unwrap_or(u64::MAX);
        ended
    }

    /// Drops what was asked for in vain. Returns whether that ended the restoring.
    pub fn tick(&mut self, now: Instant) -> bool {
        let is_over = self
            .taken_at
            .is_some_and(|at| now.since(at) >= ASKS_FOR || self.flows.is_empty());
        if !is_over {
            return false;
        }
        self.totals.unproven += u64::try_from(self.flows.len()).unwrap_or(u64::MAX);
        self.flows.clear();
        self.by_agent.clear();
        self.agents.clear();
        self.taken_at = None;
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
