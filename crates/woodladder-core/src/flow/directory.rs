//! A balancer's directory of agents and their targets, built from the agents' reports.
//!
//! An agent is live while its reports arrive at the interval that they state. A silent
//! agent gets no new flow; after a longer silence its flows count as lost, unless the
//! balancer itself may have been disconnected or paused.
//!
//! Reports are rare in a large fleet, so a balancer does not wait for missing ones: an
//! agent that leaves a message unanswered is probed directly, and counts as silent or
//! lost when it leaves the probes unanswered too.
//!
//! An agent that has announced a planned stop is expected to be silent until it has started
//! again. Its flows count as lost only after the time for which an idle flow is kept.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::agent_record::{AgentRecord, FORGET_AFTER};
use super::identity::{Incarnation, NodeAddress, ServiceKey};
use super::message::{TargetLoad, TargetReport};
use super::target_restart::RestartDetector;
use crate::clock::Instant;

/// Time since the first unanswered probe after which the flows of an agent count as lost.
/// Probes are repeated every [`PROBE_INTERVAL`], so several probes or answers in a row
/// must be dropped before a live agent counts as lost for this reason.
const LOST_WHEN_UNANSWERED_FOR: Duration = Duration::from_millis(1000);
/// Time between two probes to an agent that has not answered.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// An unanswered probe counts only if another agent was heard within this time; otherwise
/// the balancer itself may be disconnected.
const OTHERS_HEARD_WITHIN: Duration = Duration::from_millis(300);

/// Change that results from a report or from the passing of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// An agent was heard for the first time, or again after it was lost.
    Found(NodeAddress),
    /// A target was replaced: flows of its previous incarnation have ended.
    Replaced {
        /// The agent.
        agent: NodeAddress,
        /// The incarnation that has ended.
        ended: Incarnation,
        /// When that incarnation is last known to have run; the current time if an agent of
        /// another service now reports from the address. Flows that were opened later may be
        /// open at the incarnation that replaced it.
        last_heard: Instant,
    },
    /// The agent has been silent for so long that its flows count as lost.
    Lost(NodeAddress),
    /// An agent that has started again reports that its target holds no flow: it has not
    /// listened since. All flows of its former starts have ended.
    HoldsNoFlow(NodeAddress),
    /// The agent was removed from the directory after a long silence.
    Forgotten(NodeAddress),
}

/// All known agents.
#[derive(Clone, Debug, Default)]
pub struct AgentDirectory {
    agents: FxHashMap<NodeAddress, AgentRecord>,
    services: FxHashMap<ServiceKey, Vec<NodeAddress>>,
    /// Starts of agents that have stated that their targets have ended, with the time of
    /// the statement. Their late messages are ignored.
    ended: FxHashMap<NodeAddress, (u64, Instant)>,
}

impl AgentDirectory {
    /// Number of known agents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether no agent is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// The record of an agent.
    #[must_use]
    pub fn agent(&self, address: NodeAddress) -> Option<&AgentRecord> {
        self.agents.get(&address)
    }

    /// The record of an agent, mutable.
    pub fn agent_mut(&mut self, address: NodeAddress) -> Option<&mut AgentRecord> {
        self.agents.get_mut(&address)
    }

    /// The records of all agents.
    pub fn agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents.values()
    }

    /// Agents of a service, in no particular order.
    #[must_use]
    pub fn agents_of(&self, service: ServiceKey) -> &[NodeAddress] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Number of live agents.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.agents
            .values()
            .filter(|record| record.is_live(now))
            .count()
    }

    /// Applies a report; a report older than the last one changes nothing.
    pub fn apply_report(
        &mut self,
        address: NodeAddress,
        report: &TargetReport,
        now: Instant,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let known = self.agents.get(&address);
        if known.is_some_and(|record| record.is_late(report))
            || self.has_ended(address, report.epoch)
        {
            return;
        }
        if known.is_none_or(|record| record.service != report.service) {
            if let Some(ended) = known.and_then(|record| record.incarnation) {
                // An agent of another service now uses this address, so the target that
                // was known here has ended.
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
        let has_returned = record
            .stop_announced_in
            .is_some_and(|epoch| epoch != report.epoch);
        if has_returned {
            record.stop_announced_in = None;
        }
        if record.is_marked_lost || has_returned {
            record.is_marked_lost = false;
            changes.push(DirectoryChange::Found(address));
        }
        if let Some(ended) = record.update_incarnation(report, now) {
            let since = Duration::from_millis(report.previous_heartbeat_age_ms.into());
            let last_heard = now.since_origin().saturating_sub(since);
            changes.push(DirectoryChange::Replaced {
                agent: address,
                ended,
                last_heard: Instant::from_origin(last_heard),
            });
        }
        if record.epoch != report.epoch {
            record.previous_epoch = Some(record.epoch);
        }
        if record.incarnation == report.incarnation {
            record.last_heartbeat = report.load.last_heartbeat;
        }
        record.epoch = report.epoch;
        record.forget_leaving_of_replaced(report);
        record.sequence = report.sequence;
        record.state = record.state_of(report);
        record.knows_all_flows = report.knows_all_flows;
        record.slots = report.slots;
        record.version = report.version;
        record.interval = Duration::from_millis(report.interval_ms.into());
        record.warm_up_ends_at = now + Duration::from_millis(report.warm_up_ms.into());
        record.record_contact(now);
        record.update_load(report.load, now);
        if record.had_no_target() && record.no_target_reported_in != Some(report.epoch) {
            record.no_target_reported_in = Some(report.epoch);
            changes.push(DirectoryChange::HoldsNoFlow(address));
        }
    }

    /// Records that an agent stops as planned while its target may run on. Returns whether
    /// the agent is known; a late message of an earlier start changes nothing.
    pub fn record_stop(&mut self, address: NodeAddress, epoch: u64) -> bool {
        if self.has_ended(address, epoch) {
            return true;
        }
        let Some(record) = self.agents.get_mut(&address) else {
            return false;
        };
        if record.previous_epoch != Some(epoch) {
            record.stop_announced_in = Some(epoch);
        }
        true
    }

    /// Removes an agent that stops and whose target has ended. Returns whether the agent was
    /// known; a late message of an earlier start changes nothing.
    pub fn remove_ended(&mut self, address: NodeAddress, epoch: u64, now: Instant) -> bool {
        let is_late = self
            .agents
            .get(&address)
            .is_some_and(|record| record.previous_epoch == Some(epoch));
        if is_late {
            return false;
        }
        self.ended.insert(address, (epoch, now));
        self.remove(address)
    }

    fn has_ended(&self, address: NodeAddress, epoch: u64) -> bool {
        self.ended
            .get(&address)
            .is_some_and(|(ended, _)| *ended == epoch)
    }

    /// The agents that have announced a planned stop, have not returned yet and do not count
    /// as lost.
    pub fn stopped_agents(&self) -> impl Iterator<Item = &AgentRecord> {
        self.agents
            .values()
            .filter(|record| record.has_announced_stop() && !record.is_marked_lost)
    }

    /// Records that an agent has acknowledged the leaving of its target.
    pub fn record_leaving(&mut self, address: NodeAddress, incarnation: Incarnation) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.record_leaving(incarnation);
        }
    }

    /// The leaving that an agent is to be reminded of after this report of it.
    pub fn take_leaving_reminder(
        &mut self,
        address: NodeAddress,
        report: &TargetReport,
    ) -> Option<Incarnation> {
        self.agents.get_mut(&address)?.take_leaving_reminder(report)
    }

    /// Applies the load that an agent stated in an answer.
    pub fn update_load(&mut self, address: NodeAddress, load: TargetLoad, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.record_contact(now);
            record.update_load(load, now);
        }
    }

    /// Records a configuration version that an agent has stated outside its reports.
    pub fn record_version(&mut self, address: NodeAddress, version: u64) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.version = record.version.max(version);
        }
    }

    /// Records that an agent has sent a message, which shows that it is alive.
    pub fn record_contact(&mut self, address: NodeAddress, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.record_contact(now);
        }
    }

    /// Records when the next hello to an agent is due: at the latest at the time stated in
    /// the last hello to it.
    pub fn set_next_hello(&mut self, address: NodeAddress, next_hello_at: Instant) {
        if let Some(record) = self.agents.get_mut(&address) {
            record.next_hello_at = next_hello_at;
        }
    }

    /// At most `count` agents whose next hello is due.
    #[must_use]
    pub fn due_for_hello(&self, count: usize, now: Instant) -> Vec<NodeAddress> {
        self.agents
            .values()
            .filter(|record| record.next_hello_at <= now)
            .map(|record| record.address)
            .take(count)
            .collect()
    }

    /// Starts to probe an agent that may be dead. Probes are repeated until the agent sends
    /// a message or counts as lost. [`AgentRecord::unanswered_for`] counts from now.
    pub fn start_probing(&mut self, address: NodeAddress, now: Instant) {
        if let Some(record) = self.agents.get_mut(&address)
            && record.unanswered_since.is_none()
        {
            record.unanswered_since = Some(now);
            record.last_probe_at = Instant::ORIGIN;
        }
    }

    /// Whether any agent has an unanswered probe.
    #[must_use]
    pub fn is_probing_any(&self) -> bool {
        self.agents.values().any(AgentRecord::is_being_probed)
    }

    /// Agents whose next probe is due; records these probes as sent now.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<NodeAddress> {
        let mut due_probes = Vec::new();
        for record in self.agents.values_mut() {
            let is_due = now.since(record.last_probe_at) >= PROBE_INTERVAL;
            if record.is_being_probed() && is_due {
                record.last_probe_at = now;
                due_probes.push(record.address);
            }
        }
        due_probes
    }

    /// Restarts the silence timers of all agents, because the balancer itself has not
    /// been receiving.
    pub fn restart_silence_timers(&mut self, now: Instant) {
        for record in self.agents.values_mut() {
            record.record_contact(now);
        }
    }

    /// Marks agents as lost that were silent or left probes unanswered for too long, and
    /// removes those whose silence has reached the limit after which they are forgotten.
    /// `absence_limit` is the silence after which an agent that has announced a planned stop
    /// counts as lost.
    pub fn tick(
        &mut self,
        absence_limit: Duration,
        now: Instant,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let hears_live_agent = self.live_count(now) > 0;
        let heard_at = self.agents.values().map(|record| record.heard_at).max();
        let hears_others = heard_at.is_some_and(|at| now.since(at) < OTHERS_HEARD_WITHIN);
        for record in self.agents.values_mut() {
            let is_lost = if record.has_announced_stop() {
                record.silence(now) >= absence_limit
            } else {
                let is_silent = hears_live_agent && record.is_silent_for_long(now);
                let ignores_probes =
                    hears_others && record.unanswered_for(now) >= LOST_WHEN_UNANSWERED_FOR;
                is_silent || ignores_probes
            };
            if is_lost && !record.is_marked_lost {
                record.is_marked_lost = true;
                changes.push(DirectoryChange::Lost(record.address));
            }
        }
        self.ended
            .retain(|_, (_, at)| now.since(*at) < FORGET_AFTER);
        let forgotten: Vec<NodeAddress> = self
            .agents
            .values()
            .filter(|record| record.should_forget(now))
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
                leaving: None,
                incarnation: None,
                started_at_ms: None,
                restart_detector: RestartDetector::default(),
                previous_epoch: None,
                stop_announced_in: None,
                no_target_reported_in: None,
                last_heartbeat: 0,
                heard_at: now,
                load_at: now,
                flows_sent_since_report: 0,
                unanswered_openings: 0,
                warm_up_ends_at: now,
                epoch: report.epoch,
                sequence: 0,
                interval: Duration::ZERO,
                is_marked_lost: false,
                next_hello_at: now,
                unanswered_since: None,
                last_probe_at: Instant::ORIGIN,
            },
        );
    }

    /// Removes an agent; returns whether it was known.
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
