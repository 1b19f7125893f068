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

use super::identity::{Incarnation, NodeAddress, ServiceKey, ZoneKey};
use super::message::{TargetLoad, TargetReport, TargetState};
use super::pace::silence_limit;
use crate::clock::Instant;

/// Reports that may be missing before an agent counts as silent.
const MISSED_REPORTS: f64 = 3.0;
/// Least silence after which an agent gets no new flow.
const MINIMUM_SILENCE: Duration = Duration::from_millis(350);
/// Reports that may be missing before the flows of an agent count as lost.
const MISSED_REPORTS_OF_LOST: f64 = 5.0;
/// Least silence after which the flows of an agent count as lost.
const MINIMUM_SILENCE_OF_LOST: Duration = Duration::from_millis(650);
/// Least silence after which an agent is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Reports that may be missing before an agent is forgotten: more than those after
/// which its flows count as lost.
const MISSED_REPORTS_OF_FORGOTTEN: f64 = 6.0;
/// Time without an answer to a question after which an agent gets no new flow.
const SILENT_WHEN_ASKED: Duration = Duration::from_millis(400);
/// Time without an answer to repeated questions after which the flows of an
/// agent count as lost. A question is repeated [`QUESTION_INTERVAL`] apart, so
/// that several in a row must get lost for a living agent to be taken for dead.
const LOST_WHEN_ASKED: Duration = Duration::from_millis(1000);
/// Time between two questions to an agent that has not answered.
const QUESTION_INTERVAL: Duration = Duration::from_millis(150);
/// Another agent must have been heard within this time for an unanswered
/// question to say anything: otherwise the balancer itself may be cut off.
const HEARS_OTHERS_WITHIN: Duration = Duration::from_millis(300);
/// Age at which a statement of how many openings a cold target may still be handed
/// is over: the span that it is about.
const OPENINGS_LEFT_HOLD_FOR: Duration = Duration::from_millis(1000);
/// Openings without an answer after which an agent counts as silent.
const SUSPECT_UNANSWERED: u32 = 2;

/// One agent and its target.
#[derive(Clone, Debug)]
pub struct AgentRecord {
    /// The agent.
    pub address: NodeAddress,
    /// Service of its target.
    pub service: ServiceKey,
    /// Zone of the machine.
    pub zone: ZoneKey,
    /// Whether the target takes flows.
    pub state: TargetState,
    /// Requests that the target works on at the same time.
    pub capacity: u16,
    /// Last stated load.
    pub load: TargetLoad,
    /// Configuration that the agent knows.
    pub version: u64,
    /// Incarnation that the flows known here belong to.
    pub incarnation: Option<Incarnation>,
    /// When the agent was last heard.
    pub heard_at: Instant,
    /// When the load was stated.
    pub load_at: Instant,
    /// Flows sent there since its load was last stated.
    pub sent_since: u32,
    /// Openings in a row that it has not answered.
    pub unanswered: u32,
    /// When the target stops being slow from its start.
    pub warm_at: Instant,
    epoch: u64,
    sequence: u64,
    interval: Duration,
    counted_lost: bool,
    /// When it is to be greeted again, as the last greeting to it has promised.
    greet_again_at: Instant,
    /// When it was first asked something that it has not answered yet.
    asked_at: Option<Instant>,
    /// When it was last asked.
    asked_again_at: Instant,
}

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
pub struct Directory {
    agents: FxHashMap<NodeAddress, AgentRecord>,
    services: FxHashMap<ServiceKey, Vec<NodeAddress>>,
}

impl AgentRecord {
    /// Whether the agent may be sent new flows as far as its reports tell.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        let limit = silence_limit(self.interval, MISSED_REPORTS, MINIMUM_SILENCE);
        let owes_answer = self.owes_answer_for(now) >= SILENT_WHEN_ASKED;
        now.since(self.heard_at) < limit && self.unanswered < SUSPECT_UNANSWERED && !owes_answer
    }

    /// Time since the agent was asked something that it has not answered; zero
    /// when it owes no answer.
    #[must_use]
    pub fn owes_answer_for(&self, now: Instant) -> Duration {
        self.asked_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    fn heard(&mut self, now: Instant) {
        self.heard_at = now;
        self.unanswered = 0;
        self.asked_at = None;
    }

    /// Requests that the target holds or has queued, with those that were sent
    /// there since its load was stated.
    #[must_use]
    pub fn believed_load(&self) -> u16 {
        let sent_since = u16::try_from(self.sent_since).unwrap_or(u16::MAX);
        self.load.requests().saturating_add(sent_since)
    }

    /// Openings that the target may still be handed, as far as is known: a cold
    /// target bears few a second. What was said longer ago than that says nothing.
    #[must_use]
    pub fn openings_left(&self, now: Instant) -> Option<u16> {
        let is_recent = now.since(self.load_at) < OPENINGS_LEFT_HOLD_FOR;
        let stated = self.load.openings_left.filter(|_| is_recent)?;
        let sent_since = u16::try_from(self.sent_since).unwrap_or(u16::MAX);
        Some(stated.saturating_sub(sent_since))
    }

    /// Whether the agent's flows count as lost.
    #[must_use]
    pub fn is_given_up(&self) -> bool {
        self.counted_lost
    }

    fn is_lost(&self, now: Instant) -> bool {
        let limit = silence_limit(
            self.interval,
            MISSED_REPORTS_OF_LOST,
            MINIMUM_SILENCE_OF_LOST,
        );
        now.since(self.heard_at) >= limit
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let limit = silence_limit(self.interval, MISSED_REPORTS_OF_FORGOTTEN, FORGET_AFTER);
        now.since(self.heard_at) >= limit
    }

    fn take_load(&mut self, load: TargetLoad, now: Instant) {
        self.load = load;
        self.load_at = now;
        self.sent_since = 0;
    }
}

impl Directory {
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
    pub fn report(
        &mut self,
        address: NodeAddress,
        report: &TargetReport,
        now: Instant,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let known = self.agents.get(&address);
        if known.is_some_and(|record| {
            record.epoch == report.epoch && record.sequence >= report.sequence
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
        if let Some(next) = report.incarnation {
            if let Some(ended) = record.incarnation.filter(|ended| *ended != next) {
                let since = Duration::from_millis(report.former_heard_ms.into());
                let last_heard = now.since_origin().saturating_sub(since);
                changes.push(DirectoryChange::Replaced {
                    agent: address,
                    ended,
                    last_heard: Instant::from_origin(last_heard),
                });
            }
            record.incarnation = Some(next);
        }
        record.epoch = report.epoch;
        record.sequence = report.sequence;
        record.state = report.state;
        record.capacity = report.capacity;
        record.version = report.version;
        record.interval = Duration::from_millis(report.interval_ms.into());
        record.warm_at = now + Duration::from_millis(report.warm_up_ms.into());
        record.heard(now);
        record.take_load(report.load, now);
    }

    /// Takes in the load that an agent stated with an answer.
    pub fn loaded(&mut self, address: NodeAddress, load: TargetLoad, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.heard(now);
            record.take_load(load, now);
        }
    }

    /// An agent has sent anything: it lives.
    pub fn heard(&mut self, address: NodeAddress, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.heard(now);
        }
    }

    /// A greeting has promised an agent another one by this time.
    pub fn greeted(&mut self, address: NodeAddress, greet_again_at: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.greet_again_at = greet_again_at;
        }
    }

    /// At most `count` agents that are to be greeted again now.
    #[must_use]
    pub fn due_for_greeting(&self, count: usize, now: Instant) -> Vec<NodeAddress> {
        self.agents
            .values()
            .filter(|record| record.greet_again_at <= now)
            .map(|record| record.address)
            .take(count)
            .collect()
    }

    /// There is reason to doubt that an agent lives: it is asked until it has
    /// answered, and its silence counts from now on.
    pub fn doubt(&mut self, address: NodeAddress, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address)
            && record.asked_at.is_none()
        {
            record.asked_at = Some(now);
            record.asked_again_at = Instant::ORIGIN;
        }
    }

    /// Whether some agent owes an answer.
    #[must_use]
    pub fn doubts_any(&self) -> bool {
        self.agents
            .values()
            .any(|record| record.asked_at.is_some() && !record.counted_lost)
    }

    /// Agents that are to be asked again now, which counts as asking them.
    pub fn take_doubted(&mut self, now: Instant) -> Vec<NodeAddress> {
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
    pub fn forgive_silence(&mut self, now: Instant) {
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
            let is_mute = hears_others && record.owes_answer_for(now) >= LOST_WHEN_ASKED;
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
                capacity: report.capacity,
                load: report.load,
                version: report.version,
                incarnation: None,
                heard_at: now,
                load_at: now,
                sent_since: 0,
                unanswered: 0,
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
