//! The agent as a process: data path, control, endpoints, planned stop.

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

use super::status::StatusSource;
use crate::agent::{Agent, AgentConfig, AgentHandle, AgentKeys, AgentStatus};
use crate::control::{ControlPlane, ControlPlaneConfig, RoutingTableInstaller};
use crate::endpoint::{Figures, NodeStatus, NotReadyReason, Role, StatusProvider, StatusServer};
use crate::process::{StartError, StopSignal};
use crate::settings::AgentSettings;

/// Bytes asked for as the data socket's buffers.
const SOCKET_BUFFER: usize = 4 * 1024 * 1024;
/// Time from the announcement that the agent leaves until it may end.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);
/// Interval of looking for sequences that balancers stated.
const SEQUENCE_INTERVAL: Duration = Duration::from_millis(100);

/// What the endpoints tell about an agent.
struct AgentView {
    source: StatusSource,
    agent: AgentHandle,
}

#[async_trait]
impl StatusProvider for AgentView {
    async fn status(&self) -> NodeStatus {
        let mut status = self.source.status().await;
        let agent = self.agent.status();
        if status.not_ready.is_none() && agent.drain_phase != DrainPhase::Serving {
            status.not_ready = Some(NotReadyReason::Leaving);
        }
        status.figures.append(figures(&agent));
        status
    }
}

/// Runs an agent until a planned stop has ended.
///
/// # Errors
/// [`StartError`] when it cannot start.
pub async fn run(settings: AgentSettings, logger: Logger) -> Result<(), StartError> {
    let mut stop = StopSignal::on_process_signals().map_err(StartError::Signals)?;
    let view = Arc::new(start(&settings, &stop, &logger).await?);
    let http_listen = settings.node.http_listen;
    let endpoint = StatusServer::start(http_listen, view.clone(), stop.clone(), &logger)
        .map_err(|error| StartError::listen("http_listen", http_listen, error))?;
    info!(logger, "agent: running";
        "data" => %view.source.data,
        "control" => %view.source.control.address(),
        "http" => %endpoint.address());
    tokio::select! {
        () = stop.wait_until_requested() => {}
        () = report_sequences(&view) => {}
        () = follow_machine_list(&view) => {}
    }
    view.source.control.announce_leaving();
    drain(&settings, &view.agent, &logger).await;
    Ok(())
}

async fn start(
    settings: &AgentSettings,
    stop: &StopSignal,
    logger: &Logger,
) -> Result<AgentView, StartError> {
    let directory = Arc::new(ArcSwap::from_pointee(RoutingTable::default()));
    let (agent, data) = start_agent(settings, directory.clone(), logger)?;
    let role = membership::Role::Agent;
    let served = Some(ServedTarget {
        target: settings.target,
        run: run_number(),
    });
    let install = install(directory);
    let config = ControlPlaneConfig::from_settings(&settings.node, role, served, install, logger)?;
    let source = StatusSource {
        role: Role::Agent,
        zone: settings.node.zone.clone(),
        data,
        started: Instant::now(),
        stop: stop.clone(),
        control: ControlPlane::start(config).await?,
    };
    Ok(AgentView { source, agent })
}

fn start_agent(
    settings: &AgentSettings,
    directory: Arc<ArcSwap<RoutingTable>>,
    logger: &Logger,
) -> Result<(AgentHandle, SocketAddr), StartError> {
    let socket = bind(settings.data_listen)
        .map_err(|error| StartError::listen("data_listen", settings.data_listen, error))?;
    let data = socket
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
        directory,
        logger: logger.clone(),
    })
    .map_err(StartError::Agent)?;
    Ok((agent, data))
}

fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER)?;
    SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER)?;
    Ok(socket)
}

fn install(directory: Arc<ArcSwap<RoutingTable>>) -> RoutingTableInstaller {
    Box::new(move |latest| directory.store(Arc::clone(latest)))
}

/// Milliseconds since the Unix epoch: a later start has a greater number. The
/// protocol bears a clock that was set back.
fn run_number() -> RunNumber {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.unwrap_or_default().as_millis();
    RunNumber(u64::try_from(milliseconds).unwrap_or_default())
}

/// Tells the replica of sequences that balancers have and this node has not.
async fn report_sequences(view: &AgentView) {
    let mut ticks = interval(SEQUENCE_INTERVAL);
    let mut reported = view.agent.status().newest_sequence_seen;
    loop {
        ticks.tick().await;
        let seen = view.agent.status().newest_sequence_seen;
        if seen > reported {
            view.source.control.report_sequence_seen(seen);
            reported = seen;
        }
    }
}

/// Drains while the machine list says that this machine is leaving.
async fn follow_machine_list(view: &AgentView) {
    let mut leaving = view.source.control.subscribe_listed_leaving();
    while leaving.changed().await.is_ok() {
        if *leaving.borrow_and_update() {
            view.source.control.announce_accepting_flows(false);
            view.agent.begin_drain(DrainReason::MachineList);
        } else {
            view.agent.withdraw_drain(DrainReason::MachineList);
            view.source.control.announce_accepting_flows(true);
        }
    }
    std::future::pending::<()>().await;
}

/// Takes nothing new and waits for the last stream to end, and until other
/// nodes know: flows that they still send here are handed on meanwhile.
async fn drain(settings: &AgentSettings, agent: &AgentHandle, logger: &Logger) {
    info!(logger, "agent: stopping as planned"; "timeout" => ?settings.drain_timeout);
    let announced = tokio::time::Instant::now();
    agent.begin_drain(DrainReason::Signal);
    if timeout(settings.drain_timeout, agent.wait_until_drained())
        .await
        .is_err()
    {
        warn!(logger, "agent: stopped with streams still open");
    }
    sleep_until(announced + ANNOUNCEMENT_TIME).await;
    agent.close().await;
    info!(logger, "agent: stopped");
}

fn figures(status: &AgentStatus) -> Figures {
    let number = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
    let flows = status.flows;
    let mut figures = Figures::new();
    figures.add("busy_slots", u64::from(status.busy_slots));
    figures.add("slots", u64::from(status.slots));
    figures.add("effective_slots", u64::from(status.effective_slots));
    figures.add("queued_requests", u64::from(status.queued_requests));
    figures.add("connections", number(status.connections));
    figures.add("open_requests", number(status.open_requests));
    figures.add("feeds", number(status.feeds));
    figures.add("flows_accepted_total", flows.accepted);
    figures.add("flows_declined_total", flows.declined);
    figures.add("flows_refused_total", flows.refused);
    figures.add("flows_handed_on_total", flows.handed_on);
    figures.add("packets_relayed_total", flows.relayed_datagrams);
    for drops in &status.drops {
        let name = format!("packets_dropped_{}_total", word(drops.reason.name()));
        figures.add(name, drops.count);
    }
    for ends in &status.request_outcomes {
        let name = format!("requests_{}_total", word(ends.outcome.name()));
        figures.add(name, ends.count);
    }
    figures
}

/// A word as the names of figures have it.
fn word(text: &str) -> String {
    text.replace('-', "_")
}
