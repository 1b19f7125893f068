//! Counting what comes of the target's requests.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{Agent, AnswerKind, Suspicion};
use crate::flow::identity::FlowKey;
use crate::flow::log_event::LogEvent;

/// Service times after which a request that its caller gives up counts as a
/// failure of the target.
const ABANDONED_AFTER: u32 = 10;
/// Least such time.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);

impl Agent {
    /// Takes in how the answer of a flow's request begins. To be called before
    /// [`Self::handle_target_packet`] is given the packet.
    pub fn record_answer_start(&mut self, key: &FlowKey, kind: AnswerKind, now: Instant) {
        if !self.take_awaited(key) {
            return;
        }
        match kind {
            AnswerKind::Success => self.count_outcome(true, now),
            AnswerKind::Failure => self.count_outcome(false, now),
            // With no more requests than slots, a target has no cause to.
            AnswerKind::Rejected if self.load.busy <= self.target.capacity => {
                self.count_outcome(false, now);
            }
            AnswerKind::Rejected => {}
        }
    }

    /// Whether the outcome of a flow's request was still awaited; it is not any
    /// more.
    pub(crate) fn take_awaited(&mut self, key: &FlowKey) -> bool {
        self.flows
            .touch(key)
            .is_some_and(|flow| std::mem::take(&mut flow.awaits_outcome))
    }

    pub(crate) fn count_outcome(&mut self, succeeded: bool, now: Instant) {
        self.failures.count(succeeded, now);
        self.load.failed_percent = self.failures.failed_percent();
        self.counters.requests_failed += u64::from(!succeeded);
    }

    /// The caller gave a request up; when it has waited for far longer than
    /// requests take, the target has failed it.
    pub(crate) fn count_abandoned(&mut self, key: &FlowKey, now: Instant) {
        let usual = Duration::from_micros(self.load.service_time_us.into());
        let patience = (usual * ABANDONED_AFTER).max(LEAST_PATIENCE);
        let since = self.flows.peek(key).and_then(|flow| flow.busy_since);
        if since.is_some_and(|since| now.since(since) >= patience) {
            self.count_outcome(false, now);
        }
    }

    /// Lets evidence of failures fade.
    pub(crate) fn watch_outcomes(&mut self, now: Instant) {
        let suspicion = self.failures.tick(now);
        self.load.failed_percent = self.failures.failed_percent();
        if let Some(suspicion) = suspicion {
            self.notes.add(LogEvent::TargetSuspicion {
                is_suspect: suspicion == Suspicion::Begun,
                failed_percent: self.load.failed_percent,
                incarnation: self.target.incarnation,
            });
        }
    }
}
