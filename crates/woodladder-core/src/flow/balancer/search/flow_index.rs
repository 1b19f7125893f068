//! Which agents say that their targets hold a flow.
//!
//! The index only chooses whom to ask first. A wrong or old entry costs one denial, a
//! missing one a question to all agents.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::Instant;
use crate::flow::held_flows::{
    AnnouncementCoverage, FlowAnnouncement, FlowFingerprint, FlowListPart,
};
use crate::flow::identity::NodeAddress;

/// Most entries, some 40 bytes each. Agents whose flows do not fit are asked like
/// agents that tell nothing.
const MOST_ENTRIES: usize = 400_000;
/// Agents that are named for one fingerprint.
const MOST_NAMED: usize = 3;
/// Time between two requests for one agent's list.
const ASKS_AGAIN_AFTER: Duration = Duration::from_millis(500);

/// What one agent has told.
#[derive(Clone, Debug, Default)]
struct AgentFlows {
    epoch: u64,
    flows: FxHashSet<FlowFingerprint>,
    /// Number of the last change up to which nothing is missing.
    complete_to: Option<u32>,
    /// Whether the agent has too many flows to list.
    has_too_many: bool,
    asked_at: Option<Instant>,
    pending: Option<PendingList>,
}

/// Parts of a list that have come.
#[derive(Clone, Debug)]
struct PendingList {
    last: u32,
    parts: FxHashSet<u8>,
    flows: FxHashSet<FlowFingerprint>,
}

/// Agents by the flows that they tell.
#[derive(Clone, Debug, Default)]
pub struct FlowIndex {
    agents: FxHashMap<NodeAddress, AgentFlows>,
    holders: FxHashMap<FlowFingerprint, Vec<NodeAddress>>,
    entries: usize,
}

impl FlowIndex {
    /// Agents that say that they hold a flow.
    #[must_use]
    pub fn holders(&self, flow: FlowFingerprint) -> &[NodeAddress] {
        self.holders.get(&flow).map_or(&[], Vec::as_slice)
    }

    /// Flows that are told, counted once for each agent.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether no flow is told.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Whether all that an agent tells is known.
    #[must_use]
    pub fn is_complete(&self, agent: NodeAddress) -> bool {
        self.agents
            .get(&agent)
            .is_some_and(|known| known.has_too_many || known.complete_to.is_some())
    }

    /// Takes in what a report of an agent's start `epoch` states.
    pub fn apply_statement(
        &mut self,
        agent: NodeAddress,
        epoch: u64,
        statement: &FlowAnnouncement,
    ) {
        self.begin_epoch(agent, epoch);
        let known = self.agents.entry(agent).or_default();
        known.has_too_many = statement.coverage == AnnouncementCoverage::Nothing;
        match statement.coverage {
            AnnouncementCoverage::Nothing => {
                known.complete_to = None;
                self.replace(agent, &FxHashSet::default());
            }
            AnnouncementCoverage::Complete => {
                let is_late = known
                    .complete_to
                    .is_some_and(|to| is_after(to, statement.last_change));
                if !is_late {
                    known.complete_to = Some(statement.last_change);
                    let flows = statement.open.iter().copied().collect();
                    self.replace(agent, &flows);
                }
            }
            AnnouncementCoverage::Changes => self.changed(agent, statement),
        }
    }

    fn changed(&mut self, agent: NodeAddress, statement: &FlowAnnouncement) {
        let Some(known) = self.agents.get_mut(&agent) else {
            return;
        };
        if let Some(to) = known.complete_to {
            if !is_after(statement.last_change, to) {
                return;
            }
            let is_gap = is_after(statement.base_change, to);
            known.complete_to = (!is_gap).then_some(statement.last_change);
        }
        for flow in &statement.closed {
            self.remove(agent, *flow);
        }
        for flow in &statement.open {
            self.add(agent, *flow);
        }
    }

    /// Takes in a part of a list that was asked for.
    pub fn add_list_part(&mut self, agent: NodeAddress, part: FlowListPart) {
        let Some(known) = self.agents.get_mut(&agent) else {
            return;
        };
        let is_late = known
            .complete_to
            .is_some_and(|to| is_after(to, part.last_change));
        if known.epoch != part.epoch || is_late {
            return;
        }
        let pending = match known.pending.take() {
            Some(pending) if pending.last == part.last_change => pending,
            _ => PendingList {
                last: part.last_change,
                parts: FxHashSet::default(),
                flows: FxHashSet::default(),
            },
        };
        let pending = known.pending.insert(pending);
        pending.parts.insert(part.part_index);
        pending.flows.extend(part.open);
        if pending.parts.len() < usize::from(part.part_count) {
            return;
        }
        if let Some(list) = known.pending.take() {
            known.complete_to = Some(list.last);
            self.replace(agent, &list.flows);
        }
    }

    /// At most `count` agents of those given that are to be asked for their list, which
    /// counts as asking them.
    pub fn take_agents_to_list(
        &mut self,
        agents: impl Iterator<Item = NodeAddress>,
        count: usize,
        now: Instant,
    ) -> Vec<NodeAddress> {
        let mut due = Vec::new();
        for agent in agents {
            if due.len() >= count {
                break;
            }
            let Some(known) = self.agents.get_mut(&agent) else {
                continue;
            };
            let is_missing = !known.has_too_many && known.complete_to.is_none();
            let is_due = known
                .asked_at
                .is_none_or(|at| now.since(at) >= ASKS_AGAIN_AFTER);
            if is_missing && is_due {
                known.asked_at = Some(now);
                due.push(agent);
            }
        }
        due
    }

    /// An agent is gone.
    pub fn remove_agent(&mut self, agent: NodeAddress) {
        self.replace(agent, &FxHashSet::default());
        self.agents.remove(&agent);
    }

    fn begin_epoch(&mut self, agent: NodeAddress, epoch: u64) {
        if self
            .agents
            .get(&agent)
            .is_some_and(|known| known.epoch != epoch)
        {
            self.remove_agent(agent);
        }
        self.agents.entry(agent).or_default().epoch = epoch;
    }

    fn replace(&mut self, agent: NodeAddress, flows: &FxHashSet<FlowFingerprint>) {
        let Some(known) = self.agents.get(&agent) else {
            return;
        };
        let closed: Vec<FlowFingerprint> = known.flows.difference(flows).copied().collect();
        for flow in closed {
            self.remove(agent, flow);
        }
        for flow in flows {
            self.add(agent, *flow);
        }
    }

    fn add(&mut self, agent: NodeAddress, flow: FlowFingerprint) {
        let Some(known) = self.agents.get_mut(&agent) else {
            return;
        };
        let named = self.holders.entry(flow).or_default();
        let has_room = named.len() < MOST_NAMED && self.entries < MOST_ENTRIES;
        if has_room && known.flows.insert(flow) {
            named.push(agent);
            self.entries += 1;
        } else if named.is_empty() {
            self.holders.remove(&flow);
        }
    }

    fn remove(&mut self, agent: NodeAddress, flow: FlowFingerprint) {
        let was_known = self
            .agents
            .get_mut(&agent)
            .is_some_and(|known| known.flows.remove(&flow));
        if !was_known {
            return;
        }
        self.entries -= 1;
        if let Some(named) = self.holders.get_mut(&flow) {
            named.retain(|holder| *holder != agent);
            if named.is_empty() {
                self.holders.remove(&flow);
            }
        }
    }
}

/// Whether one number of a wrapping sequence lies after another.
fn is_after(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
