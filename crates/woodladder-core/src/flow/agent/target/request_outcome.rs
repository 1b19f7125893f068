//! Counting of the outcomes of the target's requests.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::{Agent, AnswerKind, Suspicion};
use crate::flow::identity::FlowKey;
use crate::flow::log_event::LogEvent;

/// A request that its caller abandons counts as a failure of the target after this many
/// service times.
const ABANDONED_AFTER_SERVICE_TIMES: u32 = 10;
/// Minimum age at which an abandoned request counts as a failure of the target.
const MINIMUM_ABANDONED_AGE: Duration = Duration::from_millis(500);

impl Agent {
    /// Records how the answer to a flow's request begins. To be called before the packet
    /// is passed to [`Self::handle_target_packet`].
    pub fn record_answer_start(&mut self, key: &FlowKey, kind: AnswerKind, now: Instant) {
        if !self.take_awaits_outcome(key) {
            return;
        }
        match kind {
            AnswerKind::Success => self.count_outcome(true, now),
            AnswerKind::Failure => self.count_outcome(false, now),
            // A target with no more requests than slots has no reason to refuse one.
            AnswerKind::Rejected if self.load.busy <= self.target.slots => {
                self.count_outcome(false, now);
            }
            AnswerKind::Rejected => {}
        }
    }

    /// Clears the mark that the outcome of a flow's request is still unknown. Returns
    /// whether the mark was set.
    pub(crate) fn take_awaits_outcome(&mut self, key: &FlowKey) -> bool {
        self.flows
            .touch(key)
            .is_some_and(|flow| std::mem::take(&mut flow.awaits_outcome))
    }

    pub(crate) fn count_outcome(&mut self, succeeded: bool, now: Instant) {
        self.failure_record.count(succeeded, now);
        self.load.failed_percent = self.failure_record.failed_percent();
        self.counters.requests_failed += u64::from(!succeeded);
    }

    /// Counts an abandoned request as a failure of the target if its caller has waited for
    /// far longer than requests take: for [`ABANDONED_AFTER_SERVICE_TIMES`] mean service
    /// times, and for at least [`MINIMUM_ABANDONED_AGE`].
    pub(crate) fn count_abandoned(&mut self, key: &FlowKey, now: Instant) {
        let mean_service_time = Duration::from_micros(self.load.service_time_us.into());
        let min_age =
            (mean_service_time * ABANDONED_AFTER_SERVICE_TIMES).max(MINIMUM_ABANDONED_AGE);
        let since = self.flows.peek(key).and_then(|flow| flow.busy_since);
        if since.is_some_and(|since| now.since(since) >= min_age) {
            self.count_outcome(false, now);
        }
    }

    /// Decays the failure record, and logs when the target becomes or ceases to be
    /// suspect.
    pub(crate) fn decay_failure_record(&mut self, now: Instant) {
        let suspicion = self.failure_record.tick(now);
        self.load.failed_percent = self.failure_record.failed_percent();
        if let Some(suspicion) = suspicion {
            self.log_events.add(LogEvent::TargetSuspicion {
                is_suspect: suspicion == Suspicion::Begun,
                failed_percent: self.load.failed_percent,
                incarnation: self.target.incarnation,
            });
        }
    }
}
