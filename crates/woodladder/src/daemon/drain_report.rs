//! Reports what a draining agent waits for: in the status, in the metrics and,
//! during a planned stop, in the log.

use std::time::Duration;

use slog::{Logger, info};
use tokio::time::sleep;
use woodladder_core::target::drain::{DrainPhase, DrainReason};

use crate::agent::{AgentHandle, AgentStatus, OldestWork};
use crate::endpoint::{DrainStatus, Figures, OldestWorkStatus};

/// Time from the beginning of a planned stop until the first report in the log.
const FIRST_LOG_DELAY: Duration = Duration::from_secs(5);
/// Longest time between two reports; the time doubles up to this, since feeds may
/// hold an agent for days.
const MAXIMUM_LOG_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// What the agent's drain waits for.
pub(super) fn drain_status(status: &AgentStatus) -> DrainStatus {
    let oldest_request = status.oldest_request;
    let oldest_connection = status.oldest_connection;
    DrainStatus {
        phase: phase_name(status.drain.phase).to_owned(),
        stage: status.drain.stage.name().to_owned(),
        reasons: status.drain.reasons.iter().map(reason_name).collect(),
        open_requests: to_u64(status.open_requests),
        open_connections: to_u64(status.connections),
        transport_connections: to_u64(status.transport_connections),
        oldest_request: oldest_request.map(|oldest| oldest_work(oldest, oldest.stage.name())),
        oldest_connection: oldest_connection.map(|oldest| oldest_work(oldest, oldest.stage.name())),
    }
}

/// The drain's part of the metrics.
pub(super) fn collect_drain_figures(status: &AgentStatus) -> Figures {
    let seconds = |age: Option<Duration>| age.unwrap_or_default().as_secs();
    let mut figures = Figures::new();
    figures.set("drain_stage", status.drain.stage as u64);
    figures.set("drain_reasons", to_u64(status.drain.reasons.len()));
    figures.set(
        "transport_connections",
        to_u64(status.transport_connections),
    );
    figures.set(
        "oldest_request_seconds",
        seconds(status.oldest_request.map(|oldest| oldest.age)),
    );
    figures.set(
        "oldest_connection_seconds",
        seconds(status.oldest_connection.map(|oldest| oldest.age)),
    );
    figures
}

/// Logs at growing intervals what the agent waits for; never ends.
pub(super) async fn log_drain(agent: &AgentHandle, logger: &Logger) {
    let mut interval = FIRST_LOG_DELAY;
    loop {
        sleep(interval).await;
        log_drain_state(agent, logger, "agent: still draining");
        interval = interval.saturating_mul(2).min(MAXIMUM_LOG_INTERVAL);
    }
}

/// Logs once what the agent waits for.
pub(super) fn log_drain_state(agent: &AgentHandle, logger: &Logger, message: &'static str) {
    let drain = drain_status(&agent.status());
    info!(logger, "{}", message;
        "phase" => &drain.phase,
        "stage" => &drain.stage,
        "reasons" => drain.reasons.join(" "),
        "open_requests" => drain.open_requests,
        "open_connections" => drain.open_connections,
        "transport_connections" => drain.transport_connections,
        "oldest_request" => describe(drain.oldest_request.as_ref()),
        "oldest_connection" => describe(drain.oldest_connection.as_ref()));
}

fn describe(oldest: Option<&OldestWorkStatus>) -> String {
    oldest.map_or_else(
        || "none".to_owned(),
        |oldest| format!("{} for {} ms", oldest.stage, oldest.age_ms),
    )
}

fn oldest_work<Stage>(oldest: OldestWork<Stage>, stage: &str) -> OldestWorkStatus {
    OldestWorkStatus {
        age_ms: u64::try_from(oldest.age.as_millis()).unwrap_or(u64::MAX),
        stage: stage.to_owned(),
    }
}

fn phase_name(phase: DrainPhase) -> &'static str {
    match phase {
        DrainPhase::Serving => "serving",
        DrainPhase::Leaving { .. } => "leaving",
        DrainPhase::Drained => "drained",
    }
}

fn reason_name(reason: &DrainReason) -> String {
    let name = match reason {
        DrainReason::Signal => "signal",
        DrainReason::Bundle => "bundle",
        DrainReason::MachineList => "machine_list",
        DrainReason::BackEndHealth => "back_end_health",
    };
    name.to_owned()
}

fn to_u64(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
