//! One agent and its target, as a balancer knows them, and what its silence means.

use std::time::Duration;

use super::identity::{Incarnation, NodeAddress, ServiceKey, ZoneKey};
use super::message::{TargetLoad, TargetReport, TargetState};
use super::message_timing::liveness_timeout;
use super::target_restart::{RestartDetector, TargetStart};
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
/// Age at which a statement of how many openings a cold target may still be handed
/// is over: the span that it is about.
const OPENINGS_LEFT_HOLD_FOR: Duration = Duration::from_millis(1000);
/// Time without an answer to repeated questions after which an agent without a target is
/// not waited for: three questions and as many searches go unanswered.
const GONE_WITHOUT_TARGET_AFTER: Duration = Duration::from_millis(400);
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
    pub slots: u16,
    /// Whether the agent has said that it knows each open flow of its target.
    pub knows_all_flows: bool,
    /// Last stated load.
    pub load: TargetLoad,
    /// Configuration that the agent knows.
    pub version: u64,
    /// Incarnation that the flows known here belong to.
    pub incarnation: Option<Incarnation>,
    /// When that incarnation began by what it says, in milliseconds of Unix time.
    pub(super) started_at_ms: Option<u64>,
    pub(super) succession: RestartDetector,
    /// The agent's start before the present one.
    pub(super) former_epoch: Option<u64>,
    /// Number of its last heartbeat that was reported.
    pub last_heartbeat: u64,
    /// When the agent was last heard.
    pub heard_at: Instant,
    /// When the load was stated.
    pub load_at: Instant,
    /// Flows sent there since its load was last stated.
    pub sent_since: u32,
    /// Openings in a row that it has not answered.
    pub unanswered_openings: u32,
    /// When the target stops being slow from its start.
    pub warm_at: Instant,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    pub(super) interval: Duration,
    pub(super) counted_lost: bool,
    /// When it is to be greeted again, as the last greeting to it has promised.
    pub(super) greet_again_at: Instant,
    /// When it was first asked something that it has not answered yet.
    pub(super) asked_at: Option<Instant>,
    /// When it was last asked.
    pub(super) asked_again_at: Instant,
}

impl AgentRecord {
    /// Whether the agent may be sent new flows as far as its reports tell.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.interval, MISSED_REPORTS, MINIMUM_SILENCE);
        let owes_answer = self.unanswered_for(now) >= SILENT_WHEN_ASKED;
        now.since(self.heard_at) < limit
            && self.unanswered_openings < SUSPECT_UNANSWERED
            && !owes_answer
    }

    /// Time since the agent was asked something that it has not answered; zero
    /// when it owes no answer.
    #[must_use]
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        self.asked_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    pub(super) fn heard(&mut self, now: Instant) {
        self.heard_at = now;
        self.unanswered_openings = 0;
        self.asked_at = None;
    }

    /// Takes the incarnation of a report; returns the one that has ended. An agent that
    /// has restarted may have heard a late heartbeat of a former start first, so its
    /// word is weighed; what it says later, it has weighed itself.
    pub(super) fn take_incarnation(
        &mut self,
        report: &TargetReport,
        now: Instant,
    ) -> Option<Incarnation> {
        let next = report.incarnation?;
        let known = self.incarnation;
        if known == Some(next) {
            self.succession.confirm_known();
            return None;
        }
        let is_weighed = report.epoch == self.epoch && !self.succession.is_undecided();
        if let (Some(incarnation), false) = (known, is_weighed) {
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
            if !self.succession.supersedes(&known, &next, sequence, now) {
                return None;
            }
        }
        self.incarnation = Some(next);
        self.started_at_ms = report.started_at_ms;
        known
    }

    /// Requests that the target holds or has queued, with those that were sent
    /// there since its load was stated.
    #[must_use]
    pub fn estimated_load(&self) -> u16 {
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
    pub fn is_marked_lost(&self) -> bool {
        self.counted_lost
    }

    /// Whether the agent last said that it has had no target since it started, and has
    /// left several questions in a row unanswered. It can hold a flow only if its target
    /// began, took a flow and had it moved to another balancer within this silence, all
    /// of it heard by others and none by this one.
    #[must_use]
    pub fn is_gone_without_target(&self, now: Instant) -> bool {
        let had_no_target = self.state == TargetState::Unknown
            && self.incarnation.is_none()
            && self.knows_all_flows
            && self.load.flows == 0;
        had_no_target && self.unanswered_for(now) >= GONE_WITHOUT_TARGET_AFTER
    }

    pub(super) fn is_lost(&self, now: Instant) -> bool {
        let limit = liveness_timeout(
            self.interval,
            MISSED_REPORTS_OF_LOST,
            MINIMUM_SILENCE_OF_LOST,
        );
        now.since(self.heard_at) >= limit
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        let limit = liveness_timeout(self.interval, MISSED_REPORTS_OF_FORGOTTEN, FORGET_AFTER);
        now.since(self.heard_at) >= limit
    }

    pub(super) fn take_load(&mut self, load: TargetLoad, now: Instant) {
        self.load = load;
        self.load_at = now;
        self.sent_since = 0;
    }
}
