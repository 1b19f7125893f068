//! The load of the target's flows.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent::target::idle_flow_work::IdleFlows;
use crate::flow::agent::{Agent, FlowState};
use crate::flow::identity::FlowKey;
use crate::flow::log_event::LogEvent;

/// Weight of a new sample in the mean service time: one part in this many.
const MEAN_DIVISOR: u32 = 8;
/// Time after which a request without an answer no longer counts as load.
const MAXIMUM_BUSY_TIME: Duration = Duration::from_secs(12);
/// Time after which an opening that no request has followed no longer counts as load.
const MAXIMUM_OPENING_TIME: Duration = Duration::from_millis(1000);

impl Agent {
    pub(crate) fn record_answer(&mut self, key: &FlowKey, now: Instant) {
        let Some(flow) = self.flows.touch(key) else {
            return;
        };
        let Some(since) = flow.busy_since.take() else {
            return;
        };
        let service_time = now.since(since);
        self.service_times.add(key.service, service_time);
        self.last_progress_at = now;
        self.count_idle_flow_work(key, service_time);
        self.load.busy = self.load.busy.saturating_sub(1);
        self.counters.requests_answered += 1;
        let sample = u32::try_from(service_time.as_micros()).unwrap_or(u32::MAX);
        let mean = self.load.service_time_us;
        self.load.service_time_us = match mean {
            0 => sample,
            _ => mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR,
        };
        self.log_events.add(LogEvent::RequestAnswered {
            key: *key,
            service_time,
        });
    }

    /// Ends the flow's request without an answer: the target has closed its side and
    /// answers no further request.
    pub(crate) fn end_request(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.touch(key)
            && flow.busy_since.take().is_some()
        {
            self.load.busy = self.load.busy.saturating_sub(1);
        }
    }

    /// Stops counting a flow as an opening that is expected to become a request.
    pub(crate) fn stop_counting_as_opening(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.touch(key)
            && flow.counts_as_opening
        {
            flow.counts_as_opening = false;
            self.load.opening = self.load.opening.saturating_sub(1);
        }
    }

    /// Counts the load anew from the flow table, without requests pending for
    /// [`MAXIMUM_BUSY_TIME`] and openings pending for [`MAXIMUM_OPENING_TIME`].
    pub(crate) fn recount_load(&mut self, now: Instant) {
        let mut busy = 0u16;
        let mut opening = 0u16;
        let mut flows = 0u32;
        let mut idle_flows = IdleFlows::default();
        for (key, flow) in self.flows.iter_mut() {
            let waited = flow.busy_since.map(|since| now.since(since));
            if waited.is_some_and(|waited| waited >= MAXIMUM_BUSY_TIME) {
                flow.busy_since = None;
            }
            busy += u16::from(flow.busy_since.is_some());
            flow.counts_as_opening &= now.since(flow.state_since) < MAXIMUM_OPENING_TIME;
            opening += u16::from(flow.counts_as_opening);
            flows += u32::from(flow.state == FlowState::Open);
            if flow.state == FlowState::Open && flow.busy_since.is_none() && flow.has_answered {
                *idle_flows.entry(key.service).or_default() += 1;
            }
        }
        self.idle_flow_work.record_idle_flows(&idle_flows, now);
        self.load.idle_flow_work_millislots = self.idle_flow_work.expected_millislots();
        self.load.busy = busy;
        self.load.opening = opening;
        self.load.flows = flows;
    }
}
