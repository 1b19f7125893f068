//! The agent process: data path, control plane, HTTP server for status and
//! planned stop.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use slog::{Logger, info, warn};
use socket2::SockRef;
use tokio::time::{interval, sleep_until, timeout};
use woodladder_core::control::availability::{RunNumber, ServedTarget};
use woodladder_core::control::membership;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::target::drain::{DrainPhase, DrainReason};

use super::drain_report::{collect_drain_figures, drain_status, log_drain, log_drain_state};
use super::status::StatusSource;
use crate::agent::{Agent, AgentConfig, AgentHandle, AgentKeys, AgentStatus};
use crate::control::{ControlPlane, ControlPlaneConfig, RoutingTableInstaller};
use crate::endpoint::{Figures, NodeStatus, NotReadyReason, Role, StatusProvider, StatusServer};
use crate::process::{StartError, StopSignal};
use crate::settings::AgentSettings;

/// Size in bytes that is requested for each buffer of the data socket.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Shortest time from the announcement that the agent leaves until the agent
/// closes, so that other nodes receive the announcement while the agent can still
/// forward the flows that they send to it.
const MINIMUM_LEAVE_TIME: Duration = Duration::from_secs(2);
/// Interval at which the agent checks whether balancers' datagrams named a newer
/// configuration sequence.
const SEQUENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The parts of a running agent from which the HTTP server gets its status.
struct RunningAgent {
    status_source: StatusSource,
    agent: AgentHandle,
}

#[async_trait]
impl StatusProvider for RunningAgent {
    async fn status(&self) -> NodeStatus {
        let mut status = self.status_source.status().await;
        let agent = self.agent.status();
        if status.not_ready.is_none() && agent.drain.phase != DrainPhase::Serving {
            status.not_ready = Some(NotReadyReason::Leaving);
        }
        status.figures.append(collect_figures(&agent));
        status.figures.append(collect_drain_figures(&agent));
        status.drain = Some(drain_status(&agent));
        status
    }
}

/// Runs an agent until a planned stop has ended.
///
/// # Errors
/// [`StartError`] when the agent cannot start.
pub async fn run(settings: AgentSettings, logger: Logger) -> Result<(), StartError> {
    let mut stop = StopSignal::on_process_signals().map_err(StartError::Signals)?;
    let running = Arc::new(start(&settings, &stop, &logger).await?);
    let http_listen = settings.node.http_listen;
    let server = StatusServer::start(http_listen, running.clone(), stop.clone(), &logger)
        .map_err(|error| StartError::listen("http_listen", http_listen, error))?;
    info!(logger, "agent: running";
        "data" => %running.status_source.data_address,
        "control" => %running.status_source.control.address(),
        "http" => %server.address());
    tokio::select! {
        () = stop.wait_until_requested() => {}
        () = report_sequences(&running) => {}
        () = follow_machine_list(&running) => {}
    }
    running.status_source.control.announce_leaving();
    drain(&settings, &running.agent, &logger).await;
    Ok(())
}

async fn start(
    settings: &AgentSettings,
    stop: &StopSignal,
    logger: &Logger,
) -> Result<RunningAgent, StartError> {
    let routing_table = Arc::new(ArcSwap::from_pointee(RoutingTable::default()));
    let (agent, data_address) = start_agent(settings, routing_table.clone(), logger)?;
    let role = membership::Role::Agent;
    let served_target = Some(ServedTarget {
        target: settings.target,
        run: run_number(),
    });
    let installer = build_table_installer(routing_table);
    let config =
        ControlPlaneConfig::from_settings(&settings.node, role, served_target, installer, logger)?;
    let status_source = StatusSource {
        role: Role::Agent,
        zone: settings.node.zone.clone(),
        data_address,
        started_at: Instant::now(),
        stop: stop.clone(),
        control: ControlPlane::start(config).await?,
    };
    Ok(RunningAgent {
        status_source,
        agent,
    })
}

fn start_agent(
    settings: &AgentSettings,
    routing_table: Arc<ArcSwap<RoutingTable>>,
    logger: &Logger,
) -> Result<(AgentHandle, SocketAddr), StartError> {
    let socket = bind_data_socket(settings.data_listen)
        .map_err(|error| StartError::listen("data_listen", settings.data_listen, error))?;
    let data_address = socket
        .local_addr()
        .map_err(|error| StartError::listen("data_listen", settings.data_listen, error))?;
    let certificate = settings
        .certificate
        .load()
        .map_err(StartError::Certificate)?;
    let keys = settings.node.derived_keys();
    let agent = Agent::start(AgentConfig {
        socket,
        target: settings.target,
        service: settings.service,
        back_end: settings.back_end,
        health_path: settings.health_path.clone(),
        fabric_egress: settings.fabric_egress.clone(),
        keys: AgentKeys {
            envelope: keys.envelope,
            token: settings.node.token_keys,
            reset: keys.reset,
        },
        certificate,
        limits: settings.limits,
        routing_table,
        logger: logger.clone(),
    })
    .map_err(StartError::Agent)?;
    Ok((agent, data_address))
}

fn bind_data_socket(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    Ok(socket)
}

/// The callback with which the control plane gives the agent a new routing table.
fn build_table_installer(routing_table: Arc<ArcSwap<RoutingTable>>) -> RoutingTableInstaller {
    Box::new(move |latest| routing_table.store(Arc::clone(latest)))
}

/// Number of this run of the agent, which marks its availability reports as newer
/// than those of earlier runs for the same target: the Unix time in milliseconds at
/// the start. If the clock was set back, a report of an earlier run may have a
/// greater number. When the agent receives such a report with its own control
/// address, it takes over that run number and sends a report whose version, which
/// orders the reports of one run, is one higher than the version received.
fn run_number() -> RunNumber {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.unwrap_or_default().as_millis();
    RunNumber(u64::try_from(milliseconds).unwrap_or_default())
}

/// Reports to the control plane each newer configuration sequence that balancers'
/// datagrams name, so that the control plane fetches a configuration that this
/// node does not have yet.
async fn report_sequences(running: &RunningAgent) {
    let mut ticks = interval(SEQUENCE_POLL_INTERVAL);
    let mut reported = running.agent.status().newest_sequence_seen;
    loop {
        ticks.tick().await;
        let seen = running.agent.status().newest_sequence_seen;
        if seen > reported {
            running.status_source.control.report_sequence_seen(seen);
            reported = seen;
        }
    }
}

/// Drains the agent while the machine list lists this machine as leaving.
async fn follow_machine_list(running: &RunningAgent) {
    let mut leaving = running.status_source.control.subscribe_listed_leaving();
    while leaving.changed().await.is_ok() {
        if *leaving.borrow_and_update() {
            running
                .status_source
                .control
                .announce_accepting_flows(false);
            running.agent.begin_drain(DrainReason::MachineList);
        } else {
            running.agent.withdraw_drain(DrainReason::MachineList);
            running.status_source.control.announce_accepting_flows(true);
        }
    }
    std::future::pending::<()>().await;
}

/// Stops accepting flows, and closes the agent when the last stream has ended or
/// the drain timeout has passed, but no earlier than [`MINIMUM_LEAVE_TIME`] after
/// the announcement. Until the agent closes, new flows are forwarded to other
/// targets.
async fn drain(settings: &AgentSettings, agent: &AgentHandle, logger: &Logger) {
    info!(logger, "agent: stopping as planned"; "timeout" => ?settings.drain_timeout);
    let announced_at = tokio::time::Instant::now();
    agent.begin_drain(DrainReason::Signal);
    tokio::select! {
        drained = timeout(settings.drain_timeout, agent.wait_until_drained()) => {
            if drained.is_err() {
                warn!(logger, "agent: stopped with streams still open");
            }
        }
        () = log_drain(agent, logger) => {}
    }
    sleep_until(announced_at + MINIMUM_LEAVE_TIME).await;
    log_drain_state(agent, logger, "agent: closing");
    agent.close().await;
    info!(logger, "agent: stopped");
}

fn collect_figures(status: &AgentStatus) -> Figures {
    let to_u64 = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let flows = status.flows;
    let mut figures = Figures::new();
    figures.set("busy_slots", u64::from(status.busy_slots));
    figures.set("slots", u64::from(status.slots));
    figures.set("effective_slots", u64::from(status.effective_slots));
    figures.set("queued_requests", u64::from(status.queued_requests));
    figures.set("connections", to_u64(status.connections));
    figures.set("open_requests", to_u64(status.open_requests));
    figures.set("feeds", to_u64(status.feeds));
    figures.set("flows_accepted_total", flows.accepted);
    figures.set("flows_declined_total", flows.declined);
    figures.set("flows_refused_total", flows.refused);
    figures.set("flows_handed_on_total", flows.handed_on);
    figures.set("packets_relayed_total", flows.relayed_datagrams);
    for drops in &status.drops {
        let name = format!("packets_dropped_{}_total", metric_word(drops.reason.name()));
        figures.set(name, drops.count);
    }
    for ends in &status.request_outcomes {
        let name = format!("requests_{}_total", metric_word(ends.outcome.name()));
        figures.set(name, ends.count);
    }
    figures
}

/// Converts a name with dashes to the form of metric names, with underscores.
fn metric_word(text: &str) -> String {
    text.replace('-', "_")
}
