//! A balancer's view of one agent and its target, and the silences after which the agent
//! gets no new flow, counts as lost, and is forgotten.

use std::time::Duration;

use super::identity::{Incarnation, NodeAddress, ServiceKey, ZoneKey};
use super::message::{TargetLoad, TargetReport, TargetState};
use super::message_timing::liveness_timeout;
use super::target_restart::{RestartDetector, TargetStart};
use crate::clock::Instant;

/// Silence, in report intervals, after which an agent gets no new flow, if that is longer
/// than [`SILENT_AFTER`].
const SILENT_AFTER_INTERVALS: f64 = 3.0;
/// Silence after which an agent gets no new flow, if that is longer than
/// [`SILENT_AFTER_INTERVALS`] report intervals.
const SILENT_AFTER: Duration = Duration::from_millis(350);
/// Silence, in report intervals, after which the flows of an agent count as lost, if that
/// is longer than [`LOST_AFTER`].
const LOST_AFTER_INTERVALS: f64 = 5.0;
/// Silence after which the flows of an agent count as lost, if that is longer than
/// [`LOST_AFTER_INTERVALS`] report intervals.
const LOST_AFTER: Duration = Duration::from_millis(650);
/// Silence after which an agent is forgotten, if that is longer than
/// `FORGET_AFTER_INTERVALS` report intervals.
pub const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Silence, in report intervals, after which an agent is forgotten, if that is longer than
/// [`FORGET_AFTER`]. Greater than [`LOST_AFTER_INTERVALS`], so that its flows count as lost
/// first.
const FORGET_AFTER_INTERVALS: f64 = 6.0;
/// Time since the first unanswered probe after which an agent gets no new flow.
const SILENT_WHEN_UNANSWERED_FOR: Duration = Duration::from_millis(400);
/// Age at which a reported number of remaining openings expires: the number applies to
/// one second.
const OPENINGS_LEFT_VALID_FOR: Duration = Duration::from_millis(1000);
/// Time since the first unanswered probe after which a search no longer waits for an
/// agent that had no target: three probes and as many searches are unanswered by then.
const GONE_WITHOUT_TARGET_AFTER: Duration = Duration::from_millis(400);
/// Unanswered openings after which an agent gets no new flow.
const SILENT_AFTER_UNANSWERED_OPENINGS: u32 = 2;

/// Number of times that an agent which has restarted is reminded of a leaving while it
/// reports another start: a datagram may be lost, and the agent may know better.
const MAXIMUM_REMINDERS: u8 = 3;

/// A leaving that an agent has acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcknowledgedLeaving {
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
    /// Epoch of the agent's process that has last stated it.
    epoch: u64,
    /// Reminders sent to the present process that reported another start.
    reminders: u8,
}

/// One agent and its target.
#[derive(Clone, Debug)]
pub struct AgentRecord {
    /// Address of the agent.
    pub address: NodeAddress,
    /// Service of its target.
    pub service: ServiceKey,
    /// Zone of the agent's machine.
    pub zone: ZoneKey,
    /// Whether the target accepts flows.
    pub state: TargetState,
    /// Requests that the target processes concurrently.
    pub slots: u16,
    /// Whether the agent has reported that its list of the target's open flows is complete.
    pub knows_all_flows: bool,
    /// Last reported load.
    pub load: TargetLoad,
    /// Version of the configuration that the agent uses.
    pub version: u64,
    /// The leaving that the agent has acknowledged.
    pub leaving: Option<AcknowledgedLeaving>,
    /// Incarnation that holds the flows known here.
    pub incarnation: Option<Incarnation>,
    /// When the incarnation started, in milliseconds of Unix time by the clock of the
    /// target's machine; `None` if unknown.
    pub(super) started_at_ms: Option<u64>,
    pub(super) restart_detector: RestartDetector,
    /// Epoch of the agent before its last restart.
    pub(super) previous_epoch: Option<u64>,
    /// Epoch in which the agent has announced a planned stop; `None` once it has returned.
    pub(super) stop_announced_in: Option<u64>,
    /// Epoch in which the agent has reported that its target holds no flow.
    pub(super) no_target_reported_in: Option<u64>,
    /// Number of the last heartbeat of [`Self::incarnation`] that was reported.
    pub last_heartbeat: u64,
    /// When the last message of the agent arrived.
    pub heard_at: Instant,
    /// When the load was reported.
    pub load_at: Instant,
    /// Flows sent to the agent since its load was last reported.
    pub flows_sent_since_report: u32,
    /// Consecutive openings that the agent has not answered.
    pub unanswered_openings: u32,
    /// When the target's warm-up after its start ends.
    pub warm_up_ends_at: Instant,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    pub(super) interval: Duration,
    pub(super) is_marked_lost: bool,
    /// When the next hello to the agent is due: at the latest at the time stated in the
    /// last hello to it.
    pub(super) next_hello_at: Instant,
    /// When the first probe that is still unanswered was sent.
    pub(super) unanswered_since: Option<Instant>,
    /// When the last probe was sent.
    pub(super) last_probe_at: Instant,
}

impl AgentRecord {
    /// Whether the agent's messages allow new flows to be sent to it: the agent has not
    /// announced a stop, it was heard within the silence limits, fewer than
    /// `SILENT_AFTER_UNANSWERED_OPENINGS` openings in a row are unanswered, and no probe has
    /// been unanswered for `SILENT_WHEN_UNANSWERED_FOR`.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.interval, SILENT_AFTER_INTERVALS, SILENT_AFTER);
        let ignores_probes = self.unanswered_for(now) >= SILENT_WHEN_UNANSWERED_FOR;
        !self.has_announced_stop()
            && now.since(self.heard_at) < limit
            && self.unanswered_openings < SILENT_AFTER_UNANSWERED_OPENINGS
            && !ignores_probes
    }

    /// Whether the agent has announced a planned stop and has not returned yet. Its target
    /// may run on with its flows, and its silence is no evidence to the contrary.
    #[must_use]
    pub fn has_announced_stop(&self) -> bool {
        self.stop_announced_in.is_some()
    }

    /// Time since the agent was last heard.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(self.heard_at)
    }

    /// Time since the first unanswered probe of the agent; zero if no probe is
    /// unanswered.
    #[must_use]
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.unanswered_since
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether a report is older than what is known of the agent.
    pub(super) fn is_late(&self, report: &TargetReport) -> bool {
        if self.previous_epoch == Some(report.epoch) {
            return true;
        }
        let is_of_known_start = self.epoch == report.epoch;
        let has_later_start_stopped = self
            .stop_announced_in
            .is_some_and(|epoch| epoch != self.epoch);
        is_of_known_start && (self.sequence >= report.sequence || has_later_start_stopped)
    }

    pub(super) fn record_contact(&mut self, now: Instant) {
        self.heard_at = now;
        self.unanswered_openings = 0;
        self.unanswered_since = None;
    }

    /// Updates the incarnation from a report; returns the previous one if it has ended.
    ///
    /// The first heartbeat that a restarted agent receives may be a late one of an earlier
    /// incarnation. So if an incarnation is known, the first report of a new epoch is
    /// checked by [`RestartDetector::supersedes`], and so are the next reports until that
    /// check is decided. All other reports are accepted unchecked, because the agent checks
    /// its heartbeats itself.
    pub(super) fn update_incarnation(
        &mut self,
        report: &TargetReport,
        now: Instant,
    ) -> Option<Incarnation> {
        let next = report.incarnation?;
        let known = self.incarnation;
        if known == Some(next) {
            self.restart_detector.confirm_known();
            return None;
        }
        let is_checked_by_agent =
            report.epoch == self.epoch && !self.restart_detector.is_undecided();
        if let (Some(incarnation), false) = (known, is_checked_by_agent) {
            let started_at_ms = self.started_at_ms;
            let known = TargetStart {
                incarnation,
                started_at_ms,
            };
            let next = TargetStart {
                incarnation: next,
                started_at_ms: report.started_at_ms,
            };
            let sequence = report.sequence;
            if !self
                .restart_detector
                .supersedes(&known, &next, sequence, now)
            {
                return None;
            }
        }
        self.incarnation = Some(next);
        self.started_at_ms = report.started_at_ms;
        known
    }

    /// The state of the target that a report shows. A target that leaves never becomes
    /// ready again, even if its agent has started again and does not know of the leaving.
    pub(super) fn state_of(&self, report: &TargetReport) -> TargetState {
        let leaving = self.leaving.map(|leaving| leaving.incarnation);
        let leaves = report.incarnation.is_some() && report.incarnation == leaving;
        match report.state {
            TargetState::Ready if leaves => TargetState::Leaving,
            state => state,
        }
    }

    /// Records that the agent has stated that an incarnation leaves.
    pub(super) fn record_leaving(&mut self, incarnation: Incarnation) {
        self.leaving = Some(AcknowledgedLeaving {
            incarnation,
            epoch: self.epoch,
            reminders: 0,
        });
    }

    /// Forgets the leaving once the process that has stated it reports another start: that
    /// process has seen the end of the one that left.
    pub(super) fn forget_leaving_of_replaced(&mut self, report: &TargetReport) {
        let is_replaced = |leaving: &mut AcknowledgedLeaving| {
            let is_another = report.incarnation != Some(leaving.incarnation);
            leaving.epoch == report.epoch && report.incarnation.is_some() && is_another
        };
        self.leaving.take_if(is_replaced);
    }

    /// The leaving that the agent's process does not know or has not applied, by what it
    /// reports, and is to be reminded of.
    pub(super) fn take_leaving_reminder(&mut self, report: &TargetReport) -> Option<Incarnation> {
        let leaving = self.leaving.as_mut()?;
        if report.incarnation == Some(leaving.incarnation) {
            return (report.state == TargetState::Ready).then_some(leaving.incarnation);
        }
        if leaving.epoch == report.epoch || leaving.reminders >= MAXIMUM_REMINDERS {
            return None;
        }
        leaving.reminders += 1;
        Some(leaving.incarnation)
    }

    /// Requests that the target holds or has queued, plus the flows sent there since its
    /// load was reported.
    #[must_use]
    pub fn estimated_load(&self) -> u16 {
        let flows_sent_since_report =
            u16::try_from(self.flows_sent_since_report).unwrap_or(u16::MAX);
        self.load.requests().saturating_add(flows_sent_since_report)
    }

    /// Estimated number of openings that a cold target still accepts: the reported number
    /// minus the flows sent since that report. `None` if the last report stated no limit,
    /// or is at least `OPENINGS_LEFT_VALID_FOR` old.
    #[must_use]
    pub fn openings_left(&self, now: Instant) -> Option<u16> {
        let is_recent = now.since(self.load_at) < OPENINGS_LEFT_VALID_FOR;
        let stated = self.load.openings_left.filter(|_| is_recent)?;
        let flows_sent_since_report =
            u16::try_from(self.flows_sent_since_report).unwrap_or(u16::MAX);
        Some(stated.saturating_sub(flows_sent_since_report))
    }

    /// Whether the flows of the agent count as lost.
    #[must_use]
    pub fn is_marked_lost(&self) -> bool {
        self.is_marked_lost
    }

    /// Whether the agent last reported that it has had no target since it started, and
    /// has left several probes in a row unanswered. The target of such an agent can hold a
    /// flow only if it started within this silence and accepted the flow through another
    /// balancer, the flow then moved to this balancer, and this balancer received none of
    /// the agent's messages while other balancers did.
    #[must_use]
    pub fn is_gone_without_target(&self, now: Instant) -> bool {
        let had_no_target = self.incarnation.is_none() && self.had_no_target();
        had_no_target && self.unanswered_for(now) >= GONE_WITHOUT_TARGET_AFTER
    }

    /// Whether the agent last reported that no target has been heard since the agent's start
    /// and that it knows of all flows, of which there is none. [`Self::incarnation`] may name
    /// a target of an earlier start.
    pub(super) fn had_no_target(&self) -> bool {
        self.state == TargetState::Unknown && self.knows_all_flows && self.load.flows == 0
    }

    /// Whether a probe is unanswered and the agent may still answer.
    pub(super) fn is_being_probed(&self) -> bool {
        self.unanswered_since.is_some() && !self.is_marked_lost && !self.has_announced_stop()
    }

    /// Whether the flows of an agent that has not announced a stop count as lost for its
    /// silence.
    pub(super) fn is_silent_for_long(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.interval, LOST_AFTER_INTERVALS, LOST_AFTER);
        self.silence(now) >= limit
    }

    pub(super) fn should_forget(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.interval, FORGET_AFTER_INTERVALS, FORGET_AFTER);
        let is_awaited = self.has_announced_stop() && !self.is_marked_lost;
        self.silence(now) >= limit && !is_awaited
    }

    pub(super) fn update_load(&mut self, load: TargetLoad, now: Instant) {
        self.load = load;
        self.load_at = now;
        self.flows_sent_since_report = 0;
    }
}
