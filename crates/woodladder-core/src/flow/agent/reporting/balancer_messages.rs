//! Messages between the agent and balancers, and the agent's periodic work.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::planned_stop::PlannedStop;
use crate::flow::agent::reporting::flow_announcer::ANNOUNCED_FROM_AGE;
use crate::flow::agent::reporting::report_schedule::DueReport;
use crate::flow::agent::{Agent, AgentAction, ColdReason, FlowState};
use crate::flow::balancer::OTHER_ZONE_FETCH_DELAY;
use crate::flow::held_flows::FlowFingerprint;
use crate::flow::identity::{Incarnation, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{
    BalancerHello, PeerMessage, SnapshotRequest, TargetReport, TargetState,
};

/// Time after which a request for a snapshot counts as lost.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of balancers to which open flows are announced: each change is sent to
/// all of them.
const MAXIMUM_ANNOUNCEMENT_RECEIVERS: usize = 64;
/// Time between ticks while queued work or an unsent report waits for the next tick.
const SHORT_TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between ticks while no work is queued and no report waits for the next tick.
const LONG_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A pause between two ticks of at least this length counts as a stall of the process.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

impl Agent {
    /// Handles a message from a balancer.
    pub fn handle_message(
        &mut self,
        from: NodeAddress,
        message: &PeerMessage,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        match message {
            PeerMessage::Hello(hello) => self.handle_hello(from, hello, now, actions),
            PeerMessage::Locate { keys } => self.answer_locate(from, keys, None, now, actions),
            PeerMessage::LocateRecorded { incarnation, keys } => {
                self.answer_locate(from, keys, Some(*incarnation), now, actions);
            }
            PeerMessage::Probe => {
                self.add_balancer(from, now);
                self.report_schedule.make_due(from, now);
                self.send_due_reports(now, actions);
            }
            PeerMessage::ListFlows => self.send_flow_list(from, now, actions),
            PeerMessage::TargetLeaves { incarnation } => {
                self.resume_leaving(*incarnation, now);
            }
            _ => self.counters.messages_and_packets_dropped += 1,
        }
    }

    /// Sends a balancer the list of flows that it has requested.
    fn send_flow_list(&mut self, to: NodeAddress, now: Instant, actions: &mut Vec<AgentAction>) {
        for part in self.flow_announcer.list_parts(now) {
            self.counters.flow_list_parts_sent += 1;
            let message = PeerMessage::FlowList(part);
            actions.push(AgentAction::Send { to, message });
        }
    }

    /// Updates the set of open flows that are announced.
    fn update_announced_flows(&mut self, now: Instant) {
        if !self.announces_flows() || !self.flow_announcer.is_update_due(now) {
            return;
        }
        let announced = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.state == FlowState::Open)
            .filter(|(_, flow)| now.since(flow.state_since) >= ANNOUNCED_FROM_AGE)
            .map(|(key, _)| FlowFingerprint::of(key));
        self.flow_announcer.update(announced, now);
    }

    /// Adds the balancers that the store or the settings list.
    pub fn add_listed_balancers(&mut self, balancers: &[NodeAddress], now: Instant) {
        for balancer in balancers {
            self.add_balancer(*balancer, now);
        }
    }

    /// Adds a balancer; a new one is sent a report with the next tick.
    pub(crate) fn add_balancer(&mut self, balancer: NodeAddress, now: Instant) {
        if balancer != self.options.address && self.balancers.learn_address(balancer, now) {
            self.report_schedule.add(balancer, now);
        }
    }

    fn handle_hello(
        &mut self,
        from: NodeAddress,
        hello: &BalancerHello,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        if hello.is_leaving {
            // A balancer that leaves sends no further hello, but it forwards packets for
            // a while and needs reports for that.
            self.balancers
                .record_hello(from, hello.version, Duration::ZERO, now);
            return;
        }
        let next_hello_within = Duration::from_millis(hello.next_hello_within_ms.into());
        self.adopt_excluded_zones(&hello.excluded_zones, from, now);
        let is_new = self
            .balancers
            .record_hello(from, hello.version, next_hello_within, now);
        if is_new {
            self.log_events
                .add(LogEvent::BalancerFound { balancer: from });
        }
        if is_new || hello.requests_report {
            self.flow_announcer.forget_balancer(from);
            self.report_schedule.make_due(from, now);
            self.send_due_reports(now, actions);
        }
        for balancer in &hello.balancers {
            self.add_balancer(*balancer, now);
        }
        let requested_interval = Duration::from_millis(hello.report_interval_ms.into());
        self.report_schedule
            .set_requested_interval(from, requested_interval, now);
        self.fetch_newer_configuration(from, hello, now, actions);
    }

    /// Fetches the configuration of a balancer that has a newer version, if the balancer
    /// is in the agent's zone. A balancer of another zone is used only after
    /// [`OTHER_ZONE_FETCH_DELAY`], or while the agent has no configuration yet.
    fn fetch_newer_configuration(
        &mut self,
        from: NodeAddress,
        hello: &BalancerHello,
        now: Instant,
        actions: &mut Vec<AgentAction>,
    ) {
        if hello.version <= self.routes.version() {
            return;
        }
        let heard_at = *self.newer_heard_at.get_or_insert(now);
        let has_waited = now.since(heard_at) >= OTHER_ZONE_FETCH_DELAY;
        let knows_nothing = self.routes.version() == 0;
        let is_same_zone = hello.zone == self.options.zone;
        let is_pending = self
            .pending_fetch
            .is_some_and(|(_, since)| now.since(since) < FETCH_TIMEOUT);
        if is_pending || !(is_same_zone || knows_nothing || has_waited) {
            return;
        }
        self.pending_fetch = Some((from, now));
        let request = SnapshotRequest {
            known_version: self.routes.version(),
            wants_nodes: knows_nothing,
        };
        actions.push(AgentAction::FetchSnapshot { from, request });
    }

    /// Longest time from one tick to the next in the present state. Events may shorten
    /// it.
    #[must_use]
    pub fn tick_interval(&self) -> Duration {
        if self.is_report_to_all_due
            || self.report_schedule.has_unreported()
            || self.has_queued_work()
        {
            SHORT_TICK_INTERVAL
        } else {
            LONG_TICK_INTERVAL
        }
    }

    /// Performs the work that is due; to be called again after [`Self::tick_interval`].
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let pause = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if pause >= STALL_THRESHOLD {
            self.balancers.restart_silence_timers(now);
            self.target.unanswered_since = None;
            self.assume_cold(ColdReason::OutOfTouch, now);
            self.log_events.add(LogEvent::Stalled { duration: pause });
        }
        self.flows.tick(now);
        self.routes.tick(self.options.flow_lifetime, now);
        self.check_target_responds(now);
        self.admit_known_target(now);
        self.decay_failure_record(now);
        for balancer in self.balancers.tick(now) {
            self.log_events.add(LogEvent::BalancerLost { balancer });
        }
        let balancers = &self.balancers;
        self.report_schedule
            .retain(|balancer| balancers.knows(balancer));
        self.flow_announcer
            .retain_balancers(|balancer| balancers.knows(balancer));
        self.count_presumed_lost(now);
        self.dispatch_queued(now, actions);
        if std::mem::take(&mut self.is_report_to_all_due) {
            self.report_schedule.make_all_due(now);
        }
        self.send_due_reports(now, actions);
    }

    /// Whether reports announce the open flows: where the configuration calls for it, and
    /// while there are few enough balancers.
    fn announces_flows(&self) -> bool {
        self.mechanisms.locates_flows && self.balancers.len() <= MAXIMUM_ANNOUNCEMENT_RECEIVERS
    }

    fn send_due_reports(&mut self, now: Instant, actions: &mut Vec<AgentAction>) {
        let due = self.report_schedule.take_due(now);
        if due.is_empty() {
            return;
        }
        self.recount_load(now);
        self.load.openings_left = self.openings_left(now);
        self.update_announced_flows(now);
        for DueReport { balancer, interval } in due {
            let report = self.next_report(interval, now);
            let message = if self.announces_flows() {
                let flows = self.flow_announcer.announcement_for(balancer);
                PeerMessage::ReportWithFlows { report, flows }
            } else {
                PeerMessage::Report(report)
            };
            actions.push(AgentAction::Send {
                to: balancer,
                message,
            });
            if let Some(incarnation) = self.acknowledged_leaving() {
                let message = PeerMessage::TargetLeaves { incarnation };
                actions.push(AgentAction::Send {
                    to: balancer,
                    message,
                });
            }
            if self.planned_stop == PlannedStop::Announced {
                let epoch = self.options.epoch;
                let message = PeerMessage::AgentStops { epoch };
                actions.push(AgentAction::Send {
                    to: balancer,
                    message,
                });
            }
        }
    }

    /// The present incarnation, if it has stated that it leaves.
    fn acknowledged_leaving(&self) -> Option<Incarnation> {
        self.target
            .incarnation
            .filter(|_| self.target.is_leaving_stated)
    }

    /// The state in reports. A target that was heard and is not admitted yet takes no new
    /// flow, but may hold open ones.
    fn reported_state(&self) -> TargetState {
        match self.target.state {
            TargetState::Unknown if self.target.incarnation.is_some() => TargetState::Leaving,
            state => state,
        }
    }

    fn next_report(&mut self, interval: Duration, now: Instant) -> TargetReport {
        self.report_sequence += 1;
        let warm_up = self.target.warm_from.since(now);
        TargetReport {
            epoch: self.options.epoch,
            sequence: self.report_sequence,
            service: self.options.service,
            incarnation: self.target.incarnation,
            started_at_ms: self.target.started_at_ms,
            previous_heartbeat_age_ms: self.target.former_life.reported_age_ms(now),
            knows_all_flows: self.has_all_flows_in_table(now),
            zone: self.options.zone,
            state: self.reported_state(),
            slots: self.target.slots,
            warm_up_ms: u32::try_from(warm_up.as_millis()).unwrap_or(u32::MAX),
            load: self.load,
            version: self.routes.version(),
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
