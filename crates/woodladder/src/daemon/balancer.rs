//! The balancer process: packet path, control plane, HTTP server for status and
//! planned stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use slog::{Logger, info, warn};
use tokio::time::sleep;
use woodladder_core::control::membership;
use woodladder_core::packets::router::Router;

use super::status::StatusSource;
use crate::balancer::{PacketCounts, PacketDropReason, PacketPath, PacketPathConfig};
use crate::control::{ControlPlane, ControlPlaneConfig, RoutingTableInstaller};
use crate::endpoint::{Figures, NodeStatus, NotReadyReason, Role, StatusProvider, StatusServer};
use crate::process::{StartError, StopSignal};
use crate::settings::BalancerSettings;

/// Traffic counts as ceased when no datagram has arrived for this time.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

/// The parts of a running balancer from which the HTTP server gets its status.
struct RunningBalancer {
    status_source: StatusSource,
    path: PacketPath,
}

#[async_trait]
impl StatusProvider for RunningBalancer {
    async fn status(&self) -> NodeStatus {
        let mut status = self.status_source.status().await;
        if self.path.has_failed() {
            status.not_ready = Some(NotReadyReason::Failed);
        }
        status.figures.append(collect_figures(&self.path.counts()));
        status
    }
}

/// Runs a balancer until a planned stop has ended.
///
/// # Errors
/// [`StartError`] when the balancer cannot start.
pub async fn run(settings: BalancerSettings, logger: Logger) -> Result<(), StartError> {
    let mut stop = StopSignal::on_process_signals().map_err(StartError::Signals)?;
    let running = Arc::new(start(&settings, &stop, &logger).await?);
    let http_listen = settings.node.http_listen;
    let server = StatusServer::start(http_listen, running.clone(), stop.clone(), &logger)
        .map_err(|error| StartError::listen("http_listen", http_listen, error))?;
    info!(logger, "balancer: running";
        "data" => %running.path.address(),
        "control" => %running.status_source.control.address(),
        "http" => %server.address());
    stop.wait_until_requested().await;
    running.status_source.control.announce_leaving();
    drain(&settings, &running.path, &logger).await;
    Ok(())
}

async fn start(
    settings: &BalancerSettings,
    stop: &StopSignal,
    logger: &Logger,
) -> Result<RunningBalancer, StartError> {
    let router = Arc::new(ArcSwapOption::empty());
    let path = start_packet_path(settings, router.clone(), logger)?;
    let installer = build_table_installer(settings, router);
    let role = membership::Role::Balancer;
    let config = ControlPlaneConfig::from_settings(&settings.node, role, None, installer, logger)?;
    let status_source = StatusSource {
        role: Role::Balancer,
        zone: settings.node.zone.clone(),
        data_address: path.address(),
        started_at: Instant::now(),
        stop: stop.clone(),
        control: ControlPlane::start(config).await?,
    };
    Ok(RunningBalancer {
        status_source,
        path,
    })
}

fn start_packet_path(
    settings: &BalancerSettings,
    router: Arc<ArcSwapOption<Router>>,
    logger: &Logger,
) -> Result<PacketPath, StartError> {
    let config = PacketPathConfig {
        listen: settings.data_listen,
        workers: settings.worker_threads,
        socket_buffer_bytes: settings.socket_buffer,
        router,
        envelope_key: settings.node.derived_keys().envelope,
        logger: logger.clone(),
    };
    PacketPath::start(&config)
        .map_err(|error| StartError::listen("data_listen", settings.data_listen, error))
}

/// The callback with which the control plane gives the balancer a new routing
/// table: the callback builds a router from the table and passes the router to the
/// workers.
fn build_table_installer(
    settings: &BalancerSettings,
    router: Arc<ArcSwapOption<Router>>,
) -> RoutingTableInstaller {
    let keys = settings.node.token_keys;
    let hops = settings.hops;
    Box::new(move |routing_table| {
        let routing_table = Arc::clone(routing_table);
        router.store(Some(Arc::new(Router::new(routing_table, keys, hops))));
    })
}

/// Keeps forwarding for the grace period, so that the network fabric's health
/// checks can find the balancer not ready, and then until traffic has ceased or the
/// timeout has passed. The timeout includes the grace period.
async fn drain(settings: &BalancerSettings, path: &PacketPath, logger: &Logger) {
    let deadline = Instant::now() + settings.stop_timeout;
    info!(logger, "balancer: stopping as planned"; "grace" => ?settings.stop_grace);
    sleep(settings.stop_grace).await;
    let mut last_received = path.counts().received;
    while Instant::now() < deadline {
        sleep(QUIET_PERIOD).await;
        let received = path.counts().received;
        if received == last_received {
            info!(logger, "balancer: stopped");
            return;
        }
        last_received = received;
    }
    warn!(logger, "balancer: stopped while datagrams were still arriving";
        "timeout" => ?settings.stop_timeout);
}

fn collect_figures(counts: &PacketCounts) -> Figures {
    let mut figures = Figures::new();
    figures.set("packets_received_total", counts.received);
    figures.set("packets_forwarded_total", counts.forwarded);
    for reason in PacketDropReason::ALL {
        let name = format!("packets_dropped_{}_total", reason.name());
        figures.set(name, counts.dropped(reason));
    }
    figures
}
