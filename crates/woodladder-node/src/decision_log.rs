//! Log lines for the core's decisions, within a budget for each kind.
//!
//! A budget is a token bucket: so many lines a second, with a reserve for
//! bursts. What is left out is counted and stated with the next line of its
//! kind, so that a reader knows that lines are missing. Decisions that fail or
//! move a request have larger budgets than ordinary ones.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::{Logger, debug, info, warn};
use woodladder_core::clock::Instant;
use woodladder_core::flow::log_event::LogEvent;

/// Lines a second of ordinary decisions of one kind.
const ORDINARY_RATE: f64 = 200.0;
/// Lines a second of decisions of one kind that fail or move a request.
const IMPORTANT_RATE: f64 = 400.0;
/// Seconds of a rate that may be used at once.
const RESERVE_SECONDS: f64 = 4.0;

/// How much a line matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Importance {
    /// The usual course.
    Ordinary,
    /// A request fails or is moved, or a belief changes.
    Important,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
    left_out: u64,
}

/// Budgets of lines by kind.
#[derive(Clone, Debug, Default)]
pub struct LineBudget {
    buckets: BTreeMap<&'static str, Bucket>,
}

impl LineBudget {
    /// Whether a line of this kind may be written; when so, how many lines of
    /// the kind were left out before it.
    pub fn allow(
        &mut self,
        kind: &'static str,
        importance: Importance,
        now: Instant,
    ) -> Option<u64> {
        let rate = match importance {
            Importance::Ordinary => ORDINARY_RATE,
            Importance::Important => IMPORTANT_RATE,
        };
        let most = rate * RESERVE_SECONDS;
        let bucket = self.buckets.entry(kind).or_insert(Bucket {
            tokens: most,
            filled_at: now,
            left_out: 0,
        });
        let elapsed = now.since(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(most);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            bucket.left_out += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.left_out))
    }
}

/// Writes notes as log lines.
#[derive(Debug)]
pub struct DecisionLog {
    logger: Logger,
    budget: LineBudget,
}

impl DecisionLog {
    /// A log with full budgets.
    #[must_use]
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            budget: LineBudget::default(),
        }
    }

    /// Writes notes, and how many the core itself left out.
    pub fn write(&mut self, notes: Vec<LogEvent>, dropped: u64, now: Instant) {
        for note in notes {
            let (kind, importance) = kind_of(&note);
            if let Some(left_out) = self.budget.allow(kind, importance, now) {
                self.line(kind, &note, left_out);
            }
        }
        if dropped > 0 {
            warn!(self.logger, "log: decisions left out"; "count" => dropped);
        }
    }

    /// Writes that a request has reached the target.
    pub fn request(&mut self, flow: &str, request: &str, busy: u16, now: Instant) {
        let kind = "request_delivered";
        if let Some(left_out) = self.budget.allow(kind, Importance::Ordinary, now) {
            info!(self.logger, "agent: request delivered"; "event" => kind,
                "flow" => flow, "request" => request, "busy" => busy, "left_out" => left_out);
        }
    }

    fn line(&self, event: &'static str, note: &LogEvent, left_out: u64) {
        let log = &self.logger;
        match note {
            LogEvent::FlowSent {
                key,
                agent,
                copy,
                tried,
                score,
                load_age,
                version,
            } => {
                info!(log, "balancer: flow sent"; "event" => event, "flow" => %key,
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
                warn!(log, "balancer: no target takes the flow"; "event" => event,
                    "flow" => %key, "copy" => copy, "known" => known, "version" => version,
                    "left_out" => left_out);
            }
            LogEvent::OpeningDeferredForLink {
                key,
                under_way,
                waiting,
            } => {
                info!(log, "balancer: opening waits for the link"; "event" => event,
                    "flow" => %key, "under_way" => under_way, "waiting" => waiting,
                    "left_out" => left_out);
            }
            LogEvent::OpeningRefusedForLink { key, waited } => {
                warn!(log, "balancer: opening refused for the link"; "event" => event,
                    "flow" => %key, "waited_ms" => milliseconds(*waited),
                    "left_out" => left_out);
            }
            LogEvent::PacketReturned { key, agent, reason } => {
                info!(log, "balancer: packet returned"; "event" => event, "flow" => %key,
                    "agent" => %agent, "reason" => ?reason, "left_out" => left_out);
            }
            LogEvent::SearchStarted { key, asked } => {
                info!(log, "balancer: flow searched for"; "event" => event, "flow" => %key,
                    "asked" => asked, "left_out" => left_out);
            }
            LogEvent::FlowLocated {
                key,
                agent,
                waited,
                was_named,
            } => {
                info!(log, "balancer: flow located"; "event" => event, "flow" => %key,
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
                warn!(log, "balancer: flow not located yet"; "event" => event, "flow" => %key,
                    "waited_ms" => milliseconds(*waited), "agents_open" => open,
                    "awaited" => awaited.map(|agent| agent.to_string()),
                    "is_undecided" => is_undecided, "knows_all" => knows_all,
                    "left_out" => left_out);
            }
            LogEvent::AbsenceProved { key, waited } => {
                info!(log, "balancer: flow held nowhere"; "event" => event, "flow" => %key,
                    "waited_ms" => milliseconds(*waited), "left_out" => left_out);
            }
            LogEvent::FlowReset {
                key,
                reason,
                denied,
            } => {
                warn!(log, "balancer: flow reset"; "event" => event, "flow" => %key,
                    "reason" => reason.name(), "retry_is_safe" => reason.retry_is_safe(),
                    "denied" => denied, "left_out" => left_out);
            }
            LogEvent::FlowOffered {
                key,
                balancer,
                busy,
                version,
            } => {
                info!(log, "agent: flow offered to the target"; "event" => event,
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
                info!(log, "agent: opening queued"; "event" => event, "flow" => %key,
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
                info!(log, "agent: request on an open flow queued"; "event" => event,
                    "flow" => %key, "urgent" => is_urgent, "busy" => load.busy,
                    "urgent_waiting" => urgent_waiting,
                    "opening" => load.opening, "queued" => load.queued,
                    "expected_ms" => milliseconds(*expected), "left_out" => left_out);
            }
            LogEvent::WorkReleased { key, waited } => {
                info!(log, "agent: queued work handed over"; "event" => event,
                    "flow" => %key, "waited_ms" => milliseconds(*waited),
                    "left_out" => left_out);
            }
            LogEvent::RequestGivenUp { key, waited } => {
                info!(log, "agent: queued request dropped after its timeout"; "event" => event,
                    "flow" => %key, "waited_ms" => milliseconds(*waited),
                    "left_out" => left_out);
            }
            LogEvent::RequestAnswered { key, service_time } => {
                debug!(log, "agent: request answered"; "event" => event, "flow" => %key,
                    "service_ms" => milliseconds(*service_time), "left_out" => left_out);
            }
            _ => self.belief(event, note, left_out),
        }
    }

    /// A line for a change of what the node believes.
    fn belief(&self, event: &'static str, note: &LogEvent, left_out: u64) {
        let log = &self.logger;
        match note {
            LogEvent::ConfigurationAdopted {
                version,
                former,
                routes,
                from,
            } => {
                let source = from.map_or_else(|| "store".to_owned(), |node| node.to_string());
                info!(log, "node: configuration adopted"; "event" => event,
                    "version" => version, "former" => former, "routes" => routes,
                    "from" => source, "left_out" => left_out);
            }
            LogEvent::MechanismsChanged { active } => {
                info!(log, "node: optional mechanisms changed"; "event" => event,
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
                info!(log, "node: excluded zones changed"; "event" => event,
                    "excluded" => excluded, "formerly" => formerly,
                    "own_is_excluded" => own_is_excluded, "revision" => revision,
                    "from" => source, "left_out" => left_out);
            }
            LogEvent::AssumedCold {
                reason,
                incarnation,
            } => {
                info!(log, "agent: target counts as cold until it tells"; "event" => event,
                    "doubt" => ?reason, "incarnation" => incarnation.map(|it| it.0),
                    "left_out" => left_out);
            }
            LogEvent::AgentFound { agent } => {
                info!(log, "balancer: agent found"; "event" => event, "agent" => %agent,
                    "left_out" => left_out);
            }
            LogEvent::AgentLost {
                agent,
                silence,
                unanswered_for,
                flows,
            } => {
                warn!(log, "balancer: agent lost"; "event" => event, "agent" => %agent,
                    "silence_ms" => milliseconds(*silence),
                    "unanswered_for_ms" => milliseconds(*unanswered_for), "flows_reset" => flows,
                    "left_out" => left_out);
            }
            LogEvent::AgentStopped { agent, flows } => {
                info!(log, "balancer: agent stopped"; "event" => event, "agent" => %agent,
                    "flows_reset" => flows, "left_out" => left_out);
            }
            LogEvent::TargetReplaced {
                agent,
                ended,
                flows,
            } => {
                info!(log, "balancer: target replaced"; "event" => event, "agent" => %agent,
                    "ended" => format!("{:016x}", ended.0), "flows_reset" => flows,
                    "left_out" => left_out);
            }
            LogEvent::StoreWatchChanged {
                watches,
                others_before,
                confirmed_ago,
            } => {
                info!(log, "balancer: store watch changed"; "event" => event,
                    "watches" => watches, "others_before" => others_before,
                    "confirmed_ago_ms" => confirmed_ago.map(milliseconds),
                    "left_out" => left_out);
            }
            LogEvent::FlowRecording { need, balancers } => {
                info!(log, "balancer: record of flows changed its use"; "event" => event,
                    "need" => ?need, "balancers" => balancers, "left_out" => left_out);
            }
            LogEvent::FlowRecordRead { flows, age } => {
                info!(log, "balancer: record of flows read"; "event" => event,
                    "flows" => flows, "age_ms" => milliseconds(*age), "left_out" => left_out);
            }
            LogEvent::FlowRecordRefused { error } => {
                warn!(log, "balancer: record of flows not used"; "event" => event,
                    "error" => error.name(), "left_out" => left_out);
            }
            LogEvent::FlowRecordRestored { totals } => {
                info!(log, "balancer: recorded flows settled"; "event" => event,
                    "recorded" => totals.recorded, "held" => totals.held,
                    "denied" => totals.denied, "superseded" => totals.superseded,
                    "unproven" => totals.unproven, "left_out" => left_out);
            }
            LogEvent::BalancerFound { balancer } => {
                info!(log, "node: balancer found"; "event" => event, "balancer" => %balancer,
                    "left_out" => left_out);
            }
            LogEvent::BalancerLost { balancer } => {
                warn!(log, "node: balancer lost"; "event" => event, "balancer" => %balancer,
                    "left_out" => left_out);
            }
            LogEvent::Stalled { duration } => {
                warn!(log, "node: did not run for a while"; "event" => event,
                    "pause_ms" => milliseconds(*duration), "left_out" => left_out);
            }
            LogEvent::TargetState {
                former,
                state,
                incarnation,
            } => {
                let incarnation = incarnation.map(|it| format!("{:016x}", it.0));
                info!(log, "agent: target changed state"; "event" => event,
                    "former" => ?former, "state" => ?state, "incarnation" => incarnation,
                    "left_out" => left_out);
            }
            LogEvent::TargetSuspicion {
                is_suspect,
                failed_percent,
                incarnation,
            } => {
                let incarnation = incarnation.map(|it| format!("{:016x}", it.0));
                warn!(log, "agent: target judged by its answers"; "event" => event,
                    "suspect" => is_suspect, "failed_percent" => failed_percent,
                    "incarnation" => incarnation, "left_out" => left_out);
            }
            _ => {}
        }
    }
}

fn kind_of(note: &LogEvent) -> (&'static str, Importance) {
    use Importance::{Important, Ordinary};
    match note {
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
        LogEvent::AgentStopped { .. } => ("agent_stopped", Important),
        LogEvent::TargetReplaced { .. } => ("target_replaced", Important),
        LogEvent::StoreWatchChanged { .. } => ("store_duty", Important),
        LogEvent::FlowRecording { .. } => ("flow_recording", Important),
        LogEvent::FlowRecordRead { .. } => ("flow_record_read", Important),
        LogEvent::FlowRecordRefused { .. } => ("flow_record_refused", Important),
        LogEvent::FlowRecordRestored { .. } => ("flow_record_restored", Important),
        LogEvent::BalancerFound { .. } => ("balancer_found", Important),
        LogEvent::BalancerLost { .. } => ("balancer_lost", Important),
        LogEvent::Stalled { .. } => ("stalled", Important),
        LogEvent::TargetState { .. } => ("target_state", Important),
        LogEvent::TargetSuspicion { .. } => ("target_suspicion", Important),
        LogEvent::FlowOffered { .. } => ("flow_offered", Ordinary),
        LogEvent::OpeningQueued { .. } => ("opening_queued", Important),
        LogEvent::RequestQueued { .. } => ("request_queued", Ordinary),
        LogEvent::WorkReleased { .. } => ("queued_work_released", Ordinary),
        LogEvent::RequestGivenUp { .. } => ("request_given_up", Important),
        LogEvent::RequestAnswered { .. } => ("request_answered", Ordinary),
    }
}

/// Milliseconds with a fraction.
fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
