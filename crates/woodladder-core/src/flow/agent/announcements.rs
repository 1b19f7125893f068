//! Reports to balancers, and what is due with time.

use std::time::Duration;

use super::super::identity::NodeAddress;
use super::super::message::{BalancerGreeting, PeerMessage, SnapshotRequest, TargetReport};
use super::super::note::Note;
use super::{Agent, AgentAction};
use crate::clock::Instant;

/// Time between reports before a balancer has asked for another.
pub(super) const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// Reports to different balancers are at least this far apart on average.
const REPORT_SPACING: Duration = Duration::from_millis(12);
/// Time after which a request for a snapshot counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between ticks while something waits for one.
const SHORT_TICK: Duration = Duration::from_millis(25);
/// Time between ticks while nothing does.
const LONG_TICK: Duration = Duration::from_millis(100);
/// A pause between two ticks after which the process counts as stalled.
const STALL: Duration = Duration::from_millis(400);

impl Agent {
    /// Takes a message of a balancer in.
    pub fn message(
        &mut self,
        from: NodeAddress,
        message: &PeerMessage,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        match message {
            PeerMessage::Greeting(greeting) => self.greeted(from, greeting, now, actions),
            PeerMessage::Locate { keys } => self.locate(from, keys, now, actions),
            _ => self.counters.dropped += 1,
        }
    }

    /// Takes the balancers that the store or the settings name.
    pub fn listed(&mut self, balancers: &[NodeAddress], now: Instant) {
        for balancer in balancers {
            self.name_balancer(*balancer, now);
        }
    }

    /// Remembers a balancer; a new one is sent a report with the next tick.
    pub(super) fn name_balancer(&mut self, balancer: NodeAddress, now: Instant) {
        if balancer != self.options.address && self.balancers.named(balancer, now) {
            self.report_due = true;
        }
    }

    fn greeted(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerGreeting,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        if greeting.leaving {
            // It forwards on for a while and needs reports for that.
            self.balancers.heard(from, greeting.version, now);
            return;
        }
        if self.balancers.heard(from, greeting.version, now) {
            self.notes.add(Note::BalancerFound { balancer: from });
            let message = PeerMessage::Report(self.report(now));
            actions.push(AgentAction::Send { to: from, message });
        }
        for balancer in &greeting.balancers {
            self.name_balancer(*balancer, now);
        }
        let asked = Duration::from_millis(greeting.report_interval_ms.into());
        let balancers = u32::try_from(self.balancers.len()).unwrap_or(u32::MAX);
        let own = REPORT_SPACING.saturating_mul(balancers);
        self.report_interval = asked.max(own).max(FIRST_INTERVAL);
        self.learn_version(from, greeting.version, now, actions);
    }

    fn learn_version(
        &mut self,
        from: NodeAddress,
        version: u64,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        let pending = self
            .fetch
            .is_some_and(|(_, since)| now.since(since) < FETCH_TIMEOUT);
        if version <= self.routes.version() || pending {
            return;
        }
        self.fetch = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
        };
        actions.push(AgentAction::FetchSnapshot { from, request });
    }

    /// Tells the balancers, as part of a planned stop, that the target has
    /// ended. Not to be called while the target lives: its flows are reset.
    pub fn say_farewell(&self, actions: &mut Vec<AgentAction>) {
        for to in self.balancers.addresses() {
            let message = PeerMessage::Farewell;
            actions.push(AgentAction::Send { to, message });
        }
    }

    /// Longest time from one tick to the next as things stand. Events may
    /// shorten it.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        if self.report_due || !self.queue.is_empty() {
            SHORT_TICK
        } else {
            LONG_TICK
        }
    }

    /// Does what is due; to be called again after [`Self::tick_interval`].
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let pause = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if pause >= STALL {
            self.balancers.forgive_silence(now);
            self.target.unanswered_since = None;
            self.notes.add(Note::Stalled { duration: pause });
        }
        self.flows.tick(now);
        self.watch_target(now);
        self.watch_outcomes(now);
        for balancer in self.balancers.tick(now) {
            self.notes.add(Note::BalancerLost { balancer });
        }
        self.serve_queue(now, actions);
        let is_due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= self.report_interval);
        if is_due || self.report_due {
            self.report_to_all(now, actions);
        }
    }

    fn report_to_all(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        self.reported_at = Some(now);
        self.report_due = false;
        self.count_load(now);
        let report = self.report(now);
        for to in self.balancers.addresses() {
            let message = PeerMessage::Report(report);
            actions.push(AgentAction::Send { to, message });
        }
    }

    fn report(&mut self, now: Instant) -> TargetReport {
        self.report_sequence += 1;
        let warm_up = self.target.warm_at.since(now);
        TargetReport {
            epoch: self.options.epoch,
            sequence: self.report_sequence,
            service: self.options.service,
            incarnation: self.target.incarnation,
            former_heard_ms: self.target.former_beat_at.map_or(0, |at| {
                u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
            }),
            zone: self.options.zone,
            state: self.target.state,
            capacity: self.target.capacity,
            warm_up_ms: u32::try_from(warm_up.as_millis()).unwrap_or(u32::MAX),
            load: self.load,
            version: self.routes.version(),
            interval_ms: u32::try_from(self.report_interval.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
