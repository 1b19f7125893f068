//! The load that the target's flows make.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::target::resting_work::RestingFlows;
use crate::flow::agent::{Agent, FlowState};
use crate::flow::identity::FlowKey;
use crate::flow::log_event::LogEvent;

/// A new sample counts for one part in this many of the mean service time.
const MEAN_DIVISOR: u32 = 8;
/// Time after which a request without an answer no longer counts as load.
const BUSY_AT_MOST: Duration = Duration::from_secs(12);
/// Time after which an opening without a sequel no longer counts as load.
const OPENING_AT_MOST: Duration = Duration::from_millis(1000);

impl Agent {
    pub(crate) fn answered(&mut self, key: &FlowKey, now: Instant) {
        let Some(flow) = self.flows.touch(key) else {
            return;
        };
        let Some(since) = flow.busy_since.take() else {
            return;
        };
        let service_time = now.since(since);
        self.service_times.add(key.service, service_time);
        self.progress_at = now;
        self.count_resting_work(key, service_time);
        self.load.busy = self.load.busy.saturating_sub(1);
        self.counters.requests_answered += 1;
        let sample = u32::try_from(service_time.as_micros()).unwrap_or(u32::MAX);
        let mean = self.load.service_time_us;
        self.load.service_time_us = match mean {
            0 => sample,
            _ => mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR,
        };
        self.notes.add(LogEvent::RequestAnswered {
            key: *key,
            service_time,
        });
    }

    /// The target closes its side, so it answers no request any more.
    pub(crate) fn end_request(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.touch(key)
            && flow.busy_since.take().is_some()
        {
            self.load.busy = self.load.busy.saturating_sub(1);
        }
    }

    /// A flow no longer counts as an opening that will become a request.
    pub(crate) fn stop_expecting(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.touch(key)
            && flow.is_expected
        {
            flow.is_expected = false;
            self.load.opening = self.load.opening.saturating_sub(1);
        }
    }

    /// Counts the load anew from the table, leaving out what has waited too
    /// long to be true.
    pub(crate) fn count_load(&mut self, now: Instant) {
        let mut busy = 0u16;
        let mut opening = 0u16;
        let mut flows = 0u32;
        let mut resting = RestingFlows::default();
        for (key, flow) in self.flows.iter_mut() {
            let waited = flow.busy_since.map(|since| now.since(since));
            if waited.is_some_and(|waited| waited >= BUSY_AT_MOST) {
                flow.busy_since = None;
            }
            busy += u16::from(flow.busy_since.is_some());
            flow.is_expected &= now.since(flow.since) < OPENING_AT_MOST;
            opening += u16::from(flow.is_expected);
            flows += u32::from(flow.state == FlowState::Open);
            if flow.state == FlowState::Open && flow.busy_since.is_none() && flow.has_answered {
                *resting.entry(key.service).or_default() += 1;
            }
        }
        self.resting_work.count(&resting, now);
        self.load.idle_flow_work_millislots = self.resting_work.expected();
        self.load.busy = busy;
        self.load.opening = opening;
        self.load.flows = flows;
    }
}
