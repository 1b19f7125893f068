//! Rate-limited log lines for the core's decisions.
//!
//! Each kind of line has a token bucket, which limits its lines per second and allows
//! bursts. Lines that are left out are counted, and the next line of the same kind states
//! the count, so that readers see how many lines are missing. Decisions by which a
//! request fails or moves to another target have a higher limit than ordinary decisions.

use std::time::Duration;

use slog::{Logger, debug, info, warn};
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::OpeningPath;
use woodladder_core::flow::identity::Incarnation;
use woodladder_core::flow::log_event::LogEvent;

pub use crate::log_rate_limiter::{Importance, LogRateLimiter};

/// Writes the core's log events as log lines.
#[derive(Debug)]
pub struct DecisionLog {
    logger: Logger,
    rate_limiter: LogRateLimiter,
}

impl DecisionLog {
    /// Creates a decision log whose token buckets are full.
    #[must_use]
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            rate_limiter: LogRateLimiter::default(),
        }
    }

    /// Writes log events. `dropped` is the number of events that the core dropped
    /// because its buffer was full.
    pub fn write(&mut self, events: Vec<LogEvent>, dropped: u64, now: Instant) {
        for event in events {
            let (event_name, importance) = name_and_importance(&event);
            if let Some(left_out) = self.rate_limiter.allow(event_name, importance, now) {
                self.log_event(event_name, &event, left_out);
            }
        }
        if dropped > 0 {
            warn!(self.logger, "log: decisions dropped before they were logged"; "count" => dropped);
        }
    }

    /// Logs a request that was delivered to the target.
    pub fn log_delivered_request(&mut self, flow: &str, request_id: &str, busy: u16, now: Instant) {
        let event_name = "request_delivered";
        if let Some(left_out) = self
            .rate_limiter
            .allow(event_name, Importance::Ordinary, now)
        {
            info!(self.logger, "agent: request delivered"; "event" => event_name,
                "flow" => flow, "request" => request_id, "busy" => busy, "left_out" => left_out);
        }
    }

    fn log_event(&self, event_name: &'static str, event: &LogEvent, left_out: u64) {
        let log = &self.logger;
        match event {
            LogEvent::FlowSent {
                key,
                agent,
                copy,
                tried,
                score,
                load_age,
                version,
            } => {
                info!(log, "balancer: opening sent to a target"; "event" => event_name, "flow" => %key,
                    "agent" => %agent, "copy" => copy, "tried" => tried,
                    "score" => format!("{score:.3}"), "load_age_ms" => milliseconds(*load_age),
                    "version" => version, "left_out" => left_out);
            }
            LogEvent::FlowWithoutTarget {
                key,
                copy,
                known,
                version,
            } => {
                warn!(log, "balancer: no target available for the flow"; "event" => event_name,
                    "flow" => %key, "copy" => copy, "known" => known, "version" => version,
                    "left_out" => left_out);
            }
            LogEvent::OpeningDeferredForLink {
                key,
                under_way,
                waiting,
            } => {
                info!(log, "balancer: opening deferred until the link has capacity"; "event" => event_name,
                    "flow" => %key, "under_way" => under_way, "waiting" => waiting,
                    "left_out" => left_out);
            }
            LogEvent::OpeningRefusedForLink { key, waited } => {
                warn!(log, "balancer: opening refused for lack of link capacity"; "event" => event_name,
                    "flow" => %key, "waited_ms" => milliseconds(*waited),
                    "left_out" => left_out);
            }
            LogEvent::PacketReturned { key, agent, reason } => {
                info!(log, "balancer: packet returned by an agent"; "event" => event_name, "flow" => %key,
                    "agent" => %agent, "reason" => ?reason, "left_out" => left_out);
            }
            LogEvent::SearchStarted { key, asked } => {
                info!(log, "balancer: search for a flow started"; "event" => event_name, "flow" => %key,
                    "asked" => asked, "left_out" => left_out);
            }
            LogEvent::FlowLocated {
                key,
                agent,
                waited,
                was_named,
            } => {
                info!(log, "balancer: flow located"; "event" => event_name, "flow" => %key,
                    "agent" => %agent, "waited_ms" => milliseconds(*waited),
                    "was_named" => was_named, "left_out" => left_out);
            }
            LogEvent::SearchWaits {
                key,
                waited,
                open,
                awaited,
                is_undecided,
                knows_all,
            } => {
                warn!(log, "balancer: search for a flow is taking long"; "event" => event_name, "flow" => %key,
                    "waited_ms" => milliseconds(*waited), "agents_open" => open,
                    "awaited" => awaited.map(|agent| agent.to_string()),
                    "is_undecided" => is_undecided, "knows_all" => knows_all,
                    "left_out" => left_out);
            }
            LogEvent::AbsenceProved { key, waited } => {
                info!(log, "balancer: no target holds the flow"; "event" => event_name, "flow" => %key,
                    "waited_ms" => milliseconds(*waited), "left_out" => left_out);
            }
            LogEvent::FlowReset {
                key,
                reason,
                evidence,
            } => {
                let agent = evidence.and_then(|evidence| evidence.agent());
                warn!(log, "balancer: flow reset"; "event" => event_name, "flow" => %key,
                    "reason" => reason.name(), "retry_is_safe" => reason.retry_is_safe(),
                    "evidence" => evidence.map(|evidence| evidence.name()),
                    "evidence_agent" => agent.map(|agent| agent.to_string()),
                    "evidence_age_ms" => evidence.map(|evidence| milliseconds(evidence.age())),
                    "denied" => evidence.map_or(0, |evidence| evidence.denials()),
                    "left_out" => left_out);
            }
            LogEvent::FlowOffered {
                key,
                balancer,
                busy,
                version,
            } => {
                info!(log, "agent: opening handed to the target"; "event" => event_name,
                    "flow" => %key, "balancer" => %balancer, "busy" => busy,
                    "version" => version, "left_out" => left_out);
            }
            LogEvent::OpeningQueued {
                key,
                balancer,
                age,
                load,
                expected,
            } => {
                info!(log, "agent: opening queued"; "event" => event_name, "flow" => %key,
                    "balancer" => %balancer, "age_ms" => milliseconds(*age),
                    "busy" => load.busy, "opening" => load.opening, "queued" => load.queued,
                    "expected_ms" => milliseconds(*expected), "left_out" => left_out);
            }
            LogEvent::RequestQueued {
                key,
                is_urgent,
                urgent_waiting,
                load,
                expected,
            } => {
                info!(log, "agent: request on an open flow queued"; "event" => event_name,
                    "flow" => %key, "urgent" => is_urgent, "busy" => load.busy,
                    "urgent_waiting" => urgent_waiting,
                    "opening" => load.opening, "queued" => load.queued,
                    "expected_ms" => milliseconds(*expected), "left_out" => left_out);
            }
            LogEvent::WorkDelivered { key, waited } => {
                info!(log, "agent: queued opening or request handed to the target"; "event" => event_name,
                    "flow" => %key, "waited_ms" => milliseconds(*waited),
                    "left_out" => left_out);
            }
            LogEvent::RequestGivenUp { key, waited } => {
                info!(log, "agent: queued request dropped after its timeout"; "event" => event_name,
                    "flow" => %key, "waited_ms" => milliseconds(*waited),
                    "left_out" => left_out);
            }
            LogEvent::RequestAnswered { key, service_time } => {
                debug!(log, "agent: request answered"; "event" => event_name, "flow" => %key,
                    "service_ms" => milliseconds(*service_time), "left_out" => left_out);
            }
            _ => self.log_state_change(event_name, event, left_out),
        }
    }

    /// Logs a change in the state that the node has recorded of other nodes, targets or
    /// settings.
    fn log_state_change(&self, event_name: &'static str, event: &LogEvent, left_out: u64) {
        let log = &self.logger;
        match event {
            LogEvent::ConfigurationAdopted {
                version,
                former,
                routes,
                from,
                confirmed_ago,
            } => {
                let source = from.map_or_else(|| "store".to_owned(), |node| node.to_string());
                info!(log, "node: configuration adopted"; "event" => event_name,
                    "version" => version, "former" => former, "routes" => routes,
                    "from" => source, "confirmed_ago_ms" => confirmed_ago.map(milliseconds),
                    "left_out" => left_out);
            }
            LogEvent::MechanismsChanged { active } => {
                info!(log, "node: active optional mechanisms changed"; "event" => event_name,
                    "locates_flows" => active.locates_flows,
                    "orders_requests" => active.orders_requests,
                    "paces_link" => active.paces_link, "left_out" => left_out);
            }
            LogEvent::ZonesExcluded {
                excluded,
                formerly,
                own_is_excluded,
                revision,
                from,
            } => {
                let source = from.map_or_else(|| "store".to_owned(), |node| node.to_string());
                info!(log, "node: excluded zones changed"; "event" => event_name,
                    "excluded" => excluded, "formerly" => formerly,
                    "own_is_excluded" => own_is_excluded, "revision" => revision,
                    "from" => source, "left_out" => left_out);
            }
            LogEvent::AssumedCold {
                reason,
                incarnation,
            } => {
                info!(log, "agent: target assumed cold until a heartbeat says otherwise"; "event" => event_name,
                    "doubt" => ?reason, "incarnation" => incarnation.map(|it| it.0),
                    "left_out" => left_out);
            }
            LogEvent::AgentFound { agent } => {
                info!(log, "balancer: agent found"; "event" => event_name, "agent" => %agent,
                    "left_out" => left_out);
            }
            LogEvent::AgentLost {
                agent,
                silence,
                unanswered_for,
                has_announced_stop,
                flows,
            } => {
                warn!(log, "balancer: agent lost"; "event" => event_name, "agent" => %agent,
                    "silence_ms" => milliseconds(*silence),
                    "unanswered_for_ms" => milliseconds(*unanswered_for),
                    "stop_announced" => has_announced_stop, "flows_reset" => flows,
                    "left_out" => left_out);
            }
            LogEvent::AgentStops { agent } => {
                info!(log, "balancer: agent stops as planned, its target may run on"; "event" => event_name,
                    "agent" => %agent, "left_out" => left_out);
            }
            LogEvent::AgentHoldsNoFlow { agent, flows } => {
                info!(log, "balancer: restarted agent's target holds no flow"; "event" => event_name,
                    "agent" => %agent, "flows_reset" => flows, "left_out" => left_out);
            }
            LogEvent::AgentStopped { agent, flows } => {
                info!(log, "balancer: agent stopped"; "event" => event_name, "agent" => %agent,
                    "flows_reset" => flows, "left_out" => left_out);
            }
            LogEvent::TargetReplaced {
                agent,
                ended,
                flows,
            } => {
                info!(log, "balancer: target replaced"; "event" => event_name, "agent" => %agent,
                    "ended" => incarnation_text(*ended), "flows_reset" => flows,
                    "left_out" => left_out);
            }
            LogEvent::StoreWatchChanged {
                watches,
                others_before,
                confirmed_ago,
            } => {
                info!(log, "balancer: started or stopped watching the store"; "event" => event_name,
                    "watches" => watches, "others_before" => others_before,
                    "confirmed_ago_ms" => confirmed_ago.map(milliseconds),
                    "left_out" => left_out);
            }
            LogEvent::StoreWatchAbandoned {
                waited,
                confirmed_ago,
            } => {
                warn!(log, "balancer: watch of the store given up"; "event" => event_name,
                    "waited_ms" => milliseconds(*waited),
                    "confirmed_ago_ms" => confirmed_ago.map(milliseconds),
                    "left_out" => left_out);
            }
            LogEvent::FlowRecording { need, balancers } => {
                info!(log, "balancer: use of the flow record changed"; "event" => event_name,
                    "need" => ?need, "balancers" => balancers, "left_out" => left_out);
            }
            LogEvent::FlowRecordRead { flows, age } => {
                info!(log, "balancer: flow record read"; "event" => event_name,
                    "flows" => flows, "age_ms" => milliseconds(*age), "left_out" => left_out);
            }
            LogEvent::FlowRecordRefused { error } => {
                warn!(log, "balancer: flow record rejected"; "event" => event_name,
                    "error" => error.name(), "left_out" => left_out);
            }
            LogEvent::FlowRecordRestored { totals } => {
                info!(log, "balancer: state of all recorded flows determined"; "event" => event_name,
                    "recorded" => totals.recorded, "held" => totals.held,
                    "denied" => totals.denied, "superseded" => totals.superseded,
                    "unproven" => totals.unproven, "left_out" => left_out);
            }
            LogEvent::BalancerFound { balancer } => {
                info!(log, "node: balancer found"; "event" => event_name, "balancer" => %balancer,
                    "left_out" => left_out);
            }
            LogEvent::BalancerLost { balancer } => {
                warn!(log, "node: balancer lost"; "event" => event_name, "balancer" => %balancer,
                    "left_out" => left_out);
            }
            LogEvent::Stalled { duration } => {
                warn!(log, "node: process was paused"; "event" => event_name,
                    "pause_ms" => milliseconds(*duration), "left_out" => left_out);
            }
            LogEvent::TargetState { former, status } => {
                info!(log, "agent: target changed state"; "event" => event_name,
                    "former" => ?former, "state" => ?status.state, "cause" => status.cause.name(),
                    "incarnation" => status.incarnation.map(incarnation_text),
                    "sequence" => status.heartbeat_sequence,
                    "heartbeat_age_ms" => status.heartbeat_age.map(milliseconds),
                    "heard_for_ms" => milliseconds(status.heard_for),
                    "started_at_ms" => status.started_at_ms,
                    "agent_age_ms" => milliseconds(status.agent_age),
                    "left_out" => left_out);
            }
            LogEvent::LeavingAcknowledged {
                incarnation,
                status,
            } => {
                info!(log, "agent: leaving of the target acknowledged"; "event" => event_name,
                    "incarnation" => incarnation_text(*incarnation),
                    "state" => ?status.state, "cause" => status.cause.name(),
                    "sequence" => status.heartbeat_sequence,
                    "started_at_ms" => status.started_at_ms,
                    "agent_age_ms" => milliseconds(status.agent_age),
                    "left_out" => left_out);
            }
            LogEvent::TargetStartReplaced {
                former,
                incarnation,
                sequence,
                evidence,
            } => {
                info!(log, "agent: another start replaced the target's"; "event" => event_name,
                    "ended" => former.incarnation.map(incarnation_text),
                    "ended_state" => ?former.state, "ended_cause" => former.cause.name(),
                    "ended_sequence" => former.heartbeat_sequence,
                    "ended_heartbeat_age_ms" => former.heartbeat_age.map(milliseconds),
                    "ended_heard_for_ms" => milliseconds(former.heard_for),
                    "incarnation" => incarnation_text(*incarnation), "sequence" => sequence,
                    "evidence" => evidence.name(), "left_out" => left_out);
            }
            LogEvent::OpeningAfterLeaving {
                key,
                balancer,
                copy,
                path,
                leaving,
                acknowledged_ago,
                status,
            } => {
                let queued_for = match path {
                    OpeningPath::Arrival => Duration::ZERO,
                    OpeningPath::Queue(waited) => *waited,
                };
                warn!(log, "agent: opening handed to a target that leaves"; "event" => event_name,
                    "flow" => %key, "balancer" => %balancer, "copy" => copy,
                    "queued_ms" => milliseconds(queued_for),
                    "leaving" => incarnation_text(*leaving),
                    "acknowledged_ago_ms" => milliseconds(*acknowledged_ago),
                    "state" => ?status.state, "cause" => status.cause.name(),
                    "state_age_ms" => milliseconds(status.state_age),
                    "incarnation" => status.incarnation.map(incarnation_text),
                    "sequence" => status.heartbeat_sequence,
                    "heard_for_ms" => milliseconds(status.heard_for),
                    "agent_age_ms" => milliseconds(status.agent_age), "left_out" => left_out);
            }
            LogEvent::TargetSuspicion {
                is_suspect,
                failed_percent,
                incarnation,
            } => {
                let incarnation = incarnation.map(incarnation_text);
                warn!(log, "agent: target's failure rate crossed the limit"; "event" => event_name,
                    "suspect" => is_suspect, "failed_percent" => failed_percent,
                    "incarnation" => incarnation, "left_out" => left_out);
            }
            _ => {}
        }
    }
}

fn name_and_importance(event: &LogEvent) -> (&'static str, Importance) {
    use Importance::{Important, Ordinary};
    match event {
        LogEvent::FlowSent { tried: 0, .. } => ("flow_sent", Ordinary),
        LogEvent::FlowSent { .. } => ("flow_sent_again", Important),
        LogEvent::FlowWithoutTarget { .. } => ("flow_without_target", Important),
        LogEvent::OpeningDeferredForLink { .. } => ("opening_put_off", Ordinary),
        LogEvent::OpeningRefusedForLink { .. } => ("opening_refused_for_link", Important),
        LogEvent::PacketReturned { .. } => ("packet_returned", Important),
        LogEvent::SearchStarted { .. } => ("search_started", Ordinary),
        LogEvent::FlowLocated { .. } => ("flow_located", Ordinary),
        LogEvent::SearchWaits { .. } => ("search_waits", Important),
        LogEvent::AbsenceProved { .. } => ("absence_proved", Ordinary),
        LogEvent::FlowReset { .. } => ("flow_reset", Important),
        LogEvent::ConfigurationAdopted { .. } => ("configuration_adopted", Important),
        LogEvent::MechanismsChanged { .. } => ("mechanisms_changed", Important),
        LogEvent::ZonesExcluded { .. } => ("zones_excluded", Important),
        LogEvent::AssumedCold { .. } => ("warmth_doubted", Important),
        LogEvent::AgentFound { .. } => ("agent_found", Important),
        LogEvent::AgentLost { .. } => ("agent_lost", Important),
        LogEvent::AgentStops { .. } => ("agent_stops", Important),
        LogEvent::AgentHoldsNoFlow { .. } => ("agent_holds_no_flow", Important),
        LogEvent::AgentStopped { .. } => ("agent_stopped", Important),
        LogEvent::TargetReplaced { .. } => ("target_replaced", Important),
        LogEvent::StoreWatchChanged { .. } => ("store_duty", Important),
        LogEvent::StoreWatchAbandoned { .. } => ("store_watch_abandoned", Important),
        LogEvent::FlowRecording { .. } => ("flow_recording", Important),
        LogEvent::FlowRecordRead { .. } => ("flow_record_read", Important),
        LogEvent::FlowRecordRefused { .. } => ("flow_record_refused", Important),
        LogEvent::FlowRecordRestored { .. } => ("flow_record_restored", Important),
        LogEvent::BalancerFound { .. } => ("balancer_found", Important),
        LogEvent::BalancerLost { .. } => ("balancer_lost", Important),
        LogEvent::Stalled { .. } => ("stalled", Important),
        LogEvent::TargetState { .. } => ("target_state", Important),
        LogEvent::TargetStartReplaced { .. } => ("target_start_replaced", Important),
        LogEvent::LeavingAcknowledged { .. } => ("leaving_acknowledged", Important),
        LogEvent::OpeningAfterLeaving { .. } => ("opening_after_leaving", Important),
        LogEvent::TargetSuspicion { .. } => ("target_suspicion", Important),
        LogEvent::FlowOffered { .. } => ("flow_offered", Ordinary),
        LogEvent::OpeningQueued { .. } => ("opening_queued", Important),
        LogEvent::RequestQueued { .. } => ("request_queued", Ordinary),
        LogEvent::WorkDelivered { .. } => ("queued_work_released", Ordinary),
        LogEvent::RequestGivenUp { .. } => ("request_given_up", Important),
        LogEvent::RequestAnswered { .. } => ("request_answered", Ordinary),
    }
}

/// An incarnation as log lines state it.
#[must_use]
pub fn incarnation_text(incarnation: Incarnation) -> String {
    format!("{:016x}", incarnation.0)
}

/// Converts a duration to milliseconds, with a fraction.
fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
