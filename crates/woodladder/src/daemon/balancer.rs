//! The balancer as a process: packet path, control, endpoints, planned stop.

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

/// Traffic counts as ceased when no datagram came for this long.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

/// What the endpoints tell about a balancer.
struct BalancerView {
    source: StatusSource,
    path: PacketPath,
}

#[async_trait]
impl StatusProvider for BalancerView {
    async fn status(&self) -> NodeStatus {
        let mut status = self.source.status().await;
        if self.path.has_failed() {
            status.not_ready = Some(NotReadyReason::Failed);
        }
        status.figures.append(figures(&self.path.counts()));
        status
    }
}

/// Runs a balancer until a planned stop has ended.
///
/// # Errors
/// [`StartError`] when it cannot start.
pub async fn run(settings: BalancerSettings, logger: Logger) -> Result<(), StartError> {
    let mut stop = StopSignal::on_process_signals().map_err(StartError::Signals)?;
    let view = Arc::new(start(&settings, &stop, &logger).await?);
    let http_listen = settings.node.http_listen;
    let endpoint = StatusServer::start(http_listen, view.clone(), stop.clone(), &logger)
        .map_err(|error| StartError::listen("http_listen", http_listen, error))?;
    info!(logger, "balancer: running";
        "data" => %view.path.address(),
        "control" => %view.source.control.address(),
        "http" => %endpoint.address());
    stop.wait_until_requested().await;
    view.source.control.announce_leaving();
    drain(&settings, &view.path, &logger).await;
    Ok(())
}

async fn start(
    settings: &BalancerSettings,
    stop: &StopSignal,
    logger: &Logger,
) -> Result<BalancerView, StartError> {
    let router = Arc::new(ArcSwapOption::empty());
    let path = start_packet_path(settings, router.clone(), logger)?;
    let install = install(settings, router);
    let role = membership::Role::Balancer;
    let config = ControlPlaneConfig::from_settings(&settings.node, role, None, install, logger)?;
    let source = StatusSource {
        role: Role::Balancer,
        zone: settings.node.zone.clone(),
        data: path.address(),
        started: Instant::now(),
        stop: stop.clone(),
        control: ControlPlane::start(config).await?,
    };
    Ok(BalancerView { source, path })
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

/// Builds a router for each directory and hands it to the workers.
fn install(
    settings: &BalancerSettings,
    router: Arc<ArcSwapOption<Router>>,
) -> RoutingTableInstaller {
    let keys = settings.node.token_keys;
    let hops = settings.hops;
    Box::new(move |directory| {
        let directory = Arc::clone(directory);
        router.store(Some(Arc::new(Router::new(directory, keys, hops))));
    })
}

/// Forwards on for the grace, during which the fabric learns that the balancer
/// is not ready, and then until traffic has ceased.
async fn drain(settings: &BalancerSettings, path: &PacketPath, logger: &Logger) {
    let deadline = Instant::now() + settings.stop_timeout;
    info!(logger, "balancer: stopping as planned"; "grace" => ?settings.stop_grace);
    sleep(settings.stop_grace).await;
    let mut received = path.counts().received;
    while Instant::now() < deadline {
        sleep(QUIET_PERIOD).await;
        let now_received = path.counts().received;
        if now_received == received {
            info!(logger, "balancer: stopped");
            return;
        }
        received = now_received;
    }
    warn!(logger, "balancer: stopped while datagrams still came";
        "timeout" => ?settings.stop_timeout);
}

fn figures(counts: &PacketCounts) -> Figures {
    let mut figures = Figures::new();
    figures.add("packets_received_total", counts.received);
    figures.add("packets_forwarded_total", counts.forwarded);
    for reason in PacketDropReason::ALL {
        let name = format!("packets_dropped_{}_total", reason.name());
        figures.add(name, counts.dropped(reason));
    }
    figures
}
