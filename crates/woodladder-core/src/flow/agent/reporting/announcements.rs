//! Reports to balancers, and what is due with time.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::reporting::flow_statements::TOLD_FROM_AGE;
use crate::flow::agent::reporting::report_schedule::DueReport;
use crate::flow::agent::{Agent, AgentAction, ColdReason, FlowState};
use crate::flow::balancer::OTHER_ZONE_FETCH_DELAY;
use crate::flow::held_flows::FlowFingerprint;
use crate::flow::identity::NodeAddress;
use crate::flow::log_event::LogEvent;
use crate::flow::message::{BalancerHello, PeerMessage, SnapshotRequest, TargetReport};

/// Time after which a request for a snapshot counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Most balancers that are told which flows are open: each change goes to all of them.
const MOST_TOLD_BALANCERS: usize = 64;
/// Time between ticks while something waits for one.
const SHORT_TICK: Duration = Duration::from_millis(25);
/// Time between ticks while nothing does.
const LONG_TICK: Duration = Duration::from_millis(100);
/// A pause between two ticks after which the process counts as stalled.
const STALL: Duration = Duration::from_millis(400);

impl Agent {
    /// Takes a message of a balancer in.
    pub fn handle_message(
        &mut self,
        from: NodeAddress,
        message: &PeerMessage,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        match message {
            PeerMessage::Hello(greeting) => self.greeted(from, greeting, now, actions),
            PeerMessage::Locate { keys } => self.locate(from, keys, None, now, actions),
            PeerMessage::LocateRecorded { incarnation, keys } => {
                self.locate(from, keys, Some(*incarnation), now, actions);
            }
            PeerMessage::Probe => {
                self.name_balancer(from, now);
                self.reports.due_now(from, now);
                self.report_where_due(now, actions);
            }
            PeerMessage::ListFlows => self.list_flows(from, now, actions),
            _ => self.counters.packets_dropped += 1,
        }
    }

    /// Sends a balancer the list of flows that it has asked for.
    fn list_flows(&mut self, to: NodeAddress, now: Instant, actions: &mut Vec<AgentAction>) {
        for part in self.statements.list(now) {
            self.counters.flow_list_parts_sent += 1;
            let message = PeerMessage::FlowList(part);
            actions.push(AgentAction::Send { to, message });
        }
    }

    /// Looks which flows there are to tell.
    fn look_at_flows(&mut self, now: Instant) {
        if !self.tells_flows() || !self.statements.is_due(now) {
            return;
        }
        let told = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.state == FlowState::Open)
            .filter(|(_, flow)| now.since(flow.since) >= TOLD_FROM_AGE)
            .map(|(key, _)| FlowFingerprint::of(key));
        self.statements.look(told, now);
    }

    /// Takes the balancers that the store or the settings name.
    pub fn add_listed_balancers(&mut self, balancers: &[NodeAddress], now: Instant) {
        for balancer in balancers {
            self.name_balancer(*balancer, now);
        }
    }

    /// Remembers a balancer; a new one is sent a report with the next tick.
    pub(crate) fn name_balancer(&mut self, balancer: NodeAddress, now: Instant) {
        if balancer != self.options.address && self.balancers.learn_address(balancer, now) {
            self.reports.add(balancer, now);
        }
    }

    fn greeted(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerHello,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        if greeting.is_leaving {
            // It forwards on for a while and needs reports for that, and does not
            // greet again.
            self.balancers
                .record_hello(from, greeting.version, Duration::ZERO, now);
            return;
        }
        let greets_within = Duration::from_millis(greeting.next_hello_within_ms.into());
        self.adopt_zones(&greeting.excluded_zones, from, now);
        let is_new = self
            .balancers
            .record_hello(from, greeting.version, greets_within, now);
        if is_new {
            self.notes.add(LogEvent::BalancerFound { balancer: from });
        }
        if is_new || greeting.requests_report {
            self.statements.forget_balancer(from);
            self.reports.due_now(from, now);
            self.report_where_due(now, actions);
        }
        for balancer in &greeting.balancers {
            self.name_balancer(*balancer, now);
        }
        let asked = Duration::from_millis(greeting.report_interval_ms.into());
        self.reports.asked(from, asked, now);
        self.learn_version(from, greeting, now, actions);
    }

    /// Fetches a greater version, from a node of the own zone if one has it soon.
    fn learn_version(
        &mut self,
        from: NodeAddress,
        greeting: &BalancerHello,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        if greeting.version <= self.routes.version() {
            return;
        }
        let heard_at = *self.newer_heard_at.get_or_insert(now);
        let has_waited = now.since(heard_at) >= OTHER_ZONE_FETCH_DELAY;
        let knows_nothing = self.routes.version() == 0;
        let is_near = greeting.zone == self.options.zone;
        let is_pending = self
            .fetch
            .is_some_and(|(_, since)| now.since(since) < FETCH_TIMEOUT);
        if is_pending || !(is_near || knows_nothing || has_waited) {
            return;
        }
        self.fetch = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
            wants_nodes: knows_nothing,
        };
        actions.push(AgentAction::FetchSnapshot { from, request });
    }

    /// Tells the balancers, as part of a planned stop, that the target has
    /// ended. Not to be called while the target lives: its flows are reset.
    pub fn announce_target_end(&self, actions: &mut Vec<AgentAction>) {
        for to in self.balancers.addresses() {
            let message = PeerMessage::TargetEnded;
            actions.push(AgentAction::Send { to, message });
        }
    }

    /// Longest time from one tick to the next as things stand. Events may
    /// shorten it.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        if self.report_due || self.reports.has_new() || self.work_waits() {
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
            self.balancers.restart_silence_timers(now);
            self.target.unanswered_since = None;
            self.doubt_warmth(ColdReason::OutOfTouch, now);
            self.notes.add(LogEvent::Stalled { duration: pause });
        }
        self.flows.tick(now);
        self.watch_target(now);
        self.watch_outcomes(now);
        for balancer in self.balancers.tick(now) {
            self.notes.add(LogEvent::BalancerLost { balancer });
        }
        let balancers = &self.balancers;
        self.reports.retain(|balancer| balancers.knows(balancer));
        self.statements
            .retain_balancers(|balancer| balancers.knows(balancer));
        self.count_doubtful(now);
        self.dispatch_queued(now, actions);
        if std::mem::take(&mut self.report_due) {
            self.reports.all_due(now);
        }
        self.report_where_due(now, actions);
    }

    /// Whether reports tell which flows are open: where that is called for, and while
    /// there are few enough balancers to tell.
    fn tells_flows(&self) -> bool {
        self.mechanisms.locates_flows && self.balancers.len() <= MOST_TOLD_BALANCERS
    }

    fn report_where_due(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let due = self.reports.take_due(now);
        if due.is_empty() {
            return;
        }
        self.count_load(now);
        self.load.openings_left = self.openings_left(now);
        self.look_at_flows(now);
        for DueReport { balancer, interval } in due {
            let report = self.report(interval, now);
            let message = if self.tells_flows() {
                let flows = self.statements.statement_for(balancer);
                PeerMessage::ReportWithFlows { report, flows }
            } else {
                PeerMessage::Report(report)
            };
            actions.push(AgentAction::Send {
                to: balancer,
                message,
            });
        }
    }

    fn report(&mut self, interval: Duration, now: Instant) -> TargetReport {
        self.report_sequence += 1;
        let warm_up = self.target.warm_at.since(now);
        TargetReport {
            epoch: self.options.epoch,
            sequence: self.report_sequence,
            service: self.options.service,
            incarnation: self.target.incarnation,
            started_at_ms: self.target.born_ms,
            previous_heartbeat_age_ms: self.target.former_beat_at.map_or(0, |at| {
                u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
            }),
            knows_all_flows: self.knows_all_flows(now),
            zone: self.options.zone,
            state: self.target.state,
            slots: self.target.capacity,
            warm_up_ms: u32::try_from(warm_up.as_millis()).unwrap_or(u32::MAX),
            load: self.load,
            version: self.routes.version(),
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
