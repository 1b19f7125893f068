//! Index of the agents that announce each flow as held by their targets.
//!
//! The index only decides which agents are sent the packet first. A wrong or outdated
//! entry costs one denial; a missing entry costs a query to all agents.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::Instant;
use crate::flow::held_flows::{
    AnnouncementCoverage, FlowAnnouncement, FlowFingerprint, FlowListPart,
};
use crate::flow::identity::NodeAddress;

/// Maximum number of entries, of some 40 bytes each. Flows beyond this number are
/// treated like flows of agents that announce nothing.
const MAXIMUM_ENTRIES: usize = 400_000;
/// Maximum number of agents kept for one fingerprint.
const MAXIMUM_HOLDERS: usize = 3;
/// Minimum time between two requests for one agent's list.
const LIST_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// The flows that one agent has announced.
#[derive(Clone, Debug, Default)]
struct AgentFlows {
    epoch: u64,
    flows: FxHashSet<FlowFingerprint>,
    /// Sequence number of the last change up to which the set of flows is complete;
    /// `None` if changes are missing.
    complete_to: Option<u32>,
    /// Whether the agent holds too many flows to announce them.
    has_too_many: bool,
    list_requested_at: Option<Instant>,
    pending_list: Option<PendingList>,
}

/// The received parts of an incomplete list.
#[derive(Clone, Debug)]
struct PendingList {
    last_change: u32,
    parts: FxHashSet<u8>,
    flows: FxHashSet<FlowFingerprint>,
}

/// Agents by the flows that they announce.
#[derive(Clone, Debug, Default)]
pub struct FlowIndex {
    agents: FxHashMap<NodeAddress, AgentFlows>,
    holders: FxHashMap<FlowFingerprint, Vec<NodeAddress>>,
    entries: usize,
}

impl FlowIndex {
    /// Agents that announce a flow.
    #[must_use]
    pub fn holders(&self, flow: FlowFingerprint) -> &[NodeAddress] {
        self.holders.get(&flow).map_or(&[], Vec::as_slice)
    }

    /// Number of entries: flows, counted once for each agent that announces them.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries == 0
    }

    /// Whether everything that an agent announces has been received: the list of its
    /// flows with all changes since, or that the agent holds too many flows to announce
    /// them.
    #[must_use]
    pub fn is_complete(&self, agent: NodeAddress) -> bool {
        self.agents
            .get(&agent)
            .is_some_and(|known| known.has_too_many || known.complete_to.is_some())
    }

    /// Applies the flow announcement in an agent's report. `epoch` identifies the
    /// agent's run: it changes when the agent restarts, and the flows known from the
    /// earlier run are then removed.
    pub fn apply_statement(
        &mut self,
        agent: NodeAddress,
        epoch: u64,
        announcement: &FlowAnnouncement,
    ) {
        self.begin_epoch(agent, epoch);
        let known = self.agents.entry(agent).or_default();
        known.has_too_many = announcement.coverage == AnnouncementCoverage::Nothing;
        match announcement.coverage {
            AnnouncementCoverage::Nothing => {
                known.complete_to = None;
                self.replace(agent, &FxHashSet::default());
            }
            AnnouncementCoverage::Complete => {
                let is_late = known
                    .complete_to
                    .is_some_and(|to| is_after(to, announcement.last_change));
                if !is_late {
                    known.complete_to = Some(announcement.last_change);
                    let flows = announcement.open.iter().copied().collect();
                    self.replace(agent, &flows);
                }
            }
            AnnouncementCoverage::Changes => self.changed(agent, announcement),
        }
    }

    /// Applies an announcement that contains only changes since an earlier one. If
    /// changes in between were missed, the flows known of the agent no longer count as
    /// complete.
    fn changed(&mut self, agent: NodeAddress, announcement: &FlowAnnouncement) {
        let Some(known) = self.agents.get_mut(&agent) else {
            return;
        };
        if let Some(to) = known.complete_to {
            if !is_after(announcement.last_change, to) {
                return;
            }
            let is_gap = is_after(announcement.base_change, to);
            known.complete_to = (!is_gap).then_some(announcement.last_change);
        }
        for flow in &announcement.closed {
            self.remove(agent, *flow);
        }
        for flow in &announcement.open {
            self.add(agent, *flow);
        }
    }

    /// Applies one part of a list that was requested.
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
        let pending = match known.pending_list.take() {
            Some(pending) if pending.last_change == part.last_change => pending,
            _ => PendingList {
                last_change: part.last_change,
                parts: FxHashSet::default(),
                flows: FxHashSet::default(),
            },
        };
        let pending = known.pending_list.insert(pending);
        pending.parts.insert(part.part_index);
        pending.flows.extend(part.open);
        if pending.parts.len() < usize::from(part.part_count) {
            return;
        }
        if let Some(list) = known.pending_list.take() {
            known.complete_to = Some(list.last_change);
            self.replace(agent, &list.flows);
        }
    }

    /// Returns at most `count` of the given agents whose list is incomplete and due to
    /// be requested, and records them as requested now.
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
                .list_requested_at
                .is_none_or(|at| now.since(at) >= LIST_REQUEST_INTERVAL);
            if is_missing && is_due {
                known.list_requested_at = Some(now);
                due.push(agent);
            }
        }
        due
    }

    /// Removes an agent and its flows.
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
        let holders = self.holders.entry(flow).or_default();
        let has_room = holders.len() < MAXIMUM_HOLDERS && self.entries < MAXIMUM_ENTRIES;
        if has_room && known.flows.insert(flow) {
            holders.push(agent);
            self.entries += 1;
        } else if holders.is_empty() {
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
        if let Some(holders) = self.holders.get_mut(&flow) {
            holders.retain(|holder| *holder != agent);
            if holders.is_empty() {
                self.holders.remove(&flow);
            }
        }
    }
}

/// Whether the first number comes after the second in a wrapping sequence.
fn is_after(one: u32, other: u32) -> bool {
    let distance = one.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
