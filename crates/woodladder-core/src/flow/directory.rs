//! Targets as a balancer knows them from their agents' reports.
//!
//! An agent is live while its reports come at the pace that they state. A
//! silent agent gets no new flow; after longer silence its flows count as
//! lost, unless the balancer itself may have been cut off or stopped.
//!
//! Reports are rare in a large fleet, so a balancer does not wait for missing
//! ones: an agent that leaves something unanswered is asked directly, and is
//! silent or lost when it does not answer that.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::agent_record::AgentRecord;
use super::identity::{Incarnation, NodeAddress, ServiceKey};
use super::message::{TargetLoad, TargetReport};
use super::target_restart::RestartDetector;
use crate::clock::Instant;

/// Time without an answer to repeated questions after which the flows of an
/// agent count as lost. A question is repeated [`QUESTION_INTERVAL`] apart, so
/// that several in a row must get lost for a living agent to be taken for dead.
const LOST_WHEN_ASKED: Duration = Duration::from_millis(1000);
/// Time between two questions to an agent that has not answered.
const QUESTION_INTERVAL: Duration = Duration::from_millis(150);
/// Another agent must have been heard within this time for an unanswered
/// question to say anything: otherwise the balancer itself may be cut off.
const HEARS_OTHERS_WITHIN: Duration = Duration::from_millis(300);

/// What a report or the passing of time has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// An agent was heard for the first time, or again after it was lost.
    Found(NodeAddress),
    /// A target was replaced: flows of the earlier incarnation have ended.
    Replaced {
        /// The agent.
        agent: NodeAddress,
        /// The incarnation that has ended.
        ended: Incarnation,
        /// When it was last heard; flows that were opened later may be open at
        /// the incarnation after it.
        last_heard: Instant,
    },
    /// An agent has been silent for so long that its flows count as lost.
    Lost(NodeAddress),
    /// A silent agent was forgotten.
    Forgotten(NodeAddress),
}

/// All known agents.
#[derive(Clone, Debug, Default)]
pub struct AgentDirectory {
    agents: FxHashMap<NodeAddress, AgentRecord>,
    services: FxHashMap<ServiceKey, Vec<NodeAddress>>,
}

impl AgentDirectory {
    /// Agents known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// One agent.
    #[must_use]
    pub fn agent(&self, address: NodeAddress) -> Option<&AgentRecord> {
        self.agents.get(&address)
    }

    /// One agent, to be changed.
    pub fn agent_mut(&mut self, address: NodeAddress) -> Option<&mut AgentRecord> {
        self.agents.get_mut(&address)
    }

    /// All agents.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values()
    }

    /// Agents of a service, in no particular order.
    #[must_use]
    pub fn agents_of(&self, service: ServiceKey) -> &[NodeAddress] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Live agents.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.agents
            .values()
            .filter(|record| record.is_live(now))
            .count()
    }

    /// Takes a report in; a late one changes nothing.
    pub fn apply_report(
        &mut self,
        address: NodeAddress,
        report: &TargetReport,
        now: Instant,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let known = self.agents.get(&address);
        if known.is_some_and(|record| {
            let is_late = record.epoch == report.epoch && record.sequence >= report.sequence;
            is_late || record.former_epoch == Some(report.epoch)
        }) {
            return;
        }
        if known.is_none_or(|record| record.service != report.service) {
            if let Some(ended) = known.and_then(|record| record.incarnation) {
                // The address is another machine's now.
                changes.push(DirectoryChange::Replaced {
                    agent: address,
                    ended,
                    last_heard: now,
                });
            }
            self.add(address, report, now);
            changes.push(DirectoryChange::Found(address));
        }
        let Some(record) = self.agents.get_mut(&address) else {
            return;
        };
        if record.counted_lost {
            record.counted_lost = false;
            changes.push(DirectoryChange::Found(address));
        }
        if let Some(ended) = record.take_incarnation(report, now) {
            let since = Duration::from_millis(report.previous_heartbeat_age_ms.into());
            let last_heard = now.since_origin().saturating_sub(since);
            changes.push(DirectoryChange::Replaced {
                agent: address,
                ended,
                last_heard: Instant::from_origin(last_heard),
            });
        }
        if record.epoch != report.epoch {
            record.former_epoch = Some(record.epoch);
        }
        record.last_heartbeat = report.load.last_heartbeat;
        record.epoch = report.epoch;
        record.sequence = report.sequence;
        record.state = report.state;
        record.knows_all_flows = report.knows_all_flows;
        record.slots = report.slots;
        record.version = report.version;
        record.interval = Duration::from_millis(report.interval_ms.into());
        record.warm_at = now + Duration::from_millis(report.warm_up_ms.into());
        record.heard(now);
        record.take_load(report.load, now);
    }

    /// Takes in the load that an agent stated with an answer.
    pub fn update_load(&mut self, address: NodeAddress, load: TargetLoad, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.heard(now);
            record.take_load(load, now);
        }
    }

    /// An agent has sent anything: it lives.
    pub fn record_contact(&mut self, address: NodeAddress, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.heard(now);
        }
    }

    /// A greeting has promised an agent another one by this time.
    pub fn set_next_hello(&mut self, address: NodeAddress, greet_again_at: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.greet_again_at = greet_again_at;
        }
    }

    /// At most `count` agents that are to be greeted again now.
    #[must_use]
    pub fn due_for_hello(&self, count: usize, now: Instant) -> Vec<NodeAddress> {
        self.agents
            .values()
            .filter(|record| record.greet_again_at <= now)
            .map(|record| record.address)
            .take(count)
            .collect()
    }

    /// There is reason to doubt that an agent lives: it is asked until it has
    /// answered, and its silence counts from now on.
    pub fn start_probing(&mut self, address: NodeAddress, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address)
            && record.asked_at.is_none()
        {
            record.asked_at = Some(now);
            record.asked_again_at = Instant::ORIGIN;
        }
    }

    /// Whether some agent owes an answer.
    #[must_use]
    pub fn is_probing_any(&self) -> bool {
        self.agents
            .values()
            .any(|record| record.asked_at.is_some() && !record.counted_lost)
    }

    /// Agents that are to be asked again now, which counts as asking them.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<NodeAddress> {
        let mut doubted = Vec::new();
        for record in self.agents.values_mut() {
            let is_due = now.since(record.asked_again_at) >= QUESTION_INTERVAL;
            if record.asked_at.is_some() && !record.counted_lost && is_due {
                record.asked_again_at = now;
                doubted.push(record.address);
            }
        }
        doubted
    }

    /// Counts the silence of all agents from now on, because the balancer
    /// itself has not listened.
    pub fn restart_silence_timers(&mut self, now: Instant) {
        for record in self.agents.values_mut() {
            record.heard(now);
        }
    }

    /// Finds agents that have become silent.
    pub fn tick(&mut self, now: Instant, changes: &mut Vec<DirectoryChange>) {
        let heard_another = self.live_count(now) > 0;
        let heard_at = self.agents.values().map(|record| record.heard_at).max();
        let hears_others = heard_at.is_some_and(|at| now.since(at) < HEARS_OTHERS_WITHIN);
        for record in self.agents.values_mut() {
            let is_silent = heard_another && record.is_lost(now);
            let is_mute = hears_others && record.unanswered_for(now) >= LOST_WHEN_ASKED;
            if !record.counted_lost && (is_silent || is_mute) {
                record.counted_lost = true;
                changes.push(DirectoryChange::Lost(record.address));
            }
        }
        let forgotten: Vec<NodeAddress> = self
            .agents
            .values()
            .filter(|record| record.is_forgotten(now))
            .map(|record| record.address)
            .collect();
        for address in forgotten {
            self.remove(address);
            changes.push(DirectoryChange::Forgotten(address));
        }
    }

    fn add(&mut self, address: NodeAddress, report: &TargetReport, now: Instant) {
        self.remove(address);
        self.services
            .entry(report.service)
            .or_default()
            .push(address);
        self.agents.insert(
            address,
            AgentRecord {
                address,
                service: report.service,
                zone: report.zone,
                state: report.state,
                knows_all_flows: report.knows_all_flows,
                slots: report.slots,
                load: report.load,
                version: report.version,
                incarnation: None,
                started_at_ms: None,
                succession: RestartDetector::default(),
                former_epoch: None,
                last_heartbeat: 0,
                heard_at: now,
                load_at: now,
                sent_since: 0,
                unanswered_openings: 0,
                warm_at: now,
                epoch: report.epoch,
                sequence: 0,
                interval: Duration::ZERO,
                counted_lost: false,
                greet_again_at: now,
                asked_at: None,
                asked_again_at: Instant::ORIGIN,
            },
        );
    }

    /// Forgets an agent; says whether it was known.
    pub fn remove(&mut self, address: NodeAddress) -> bool {
        let Some(record) = self.agents.remove(&address) else {
            return false;
        };
        if let Some(list) = self.services.get_mut(&record.service) {
            list.retain(|known| *known != address);
            if list.is_empty() {
                self.services.remove(&record.service);
            }
        }
        true
    }
}
