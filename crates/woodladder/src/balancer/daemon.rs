//! The balancer as a process: packet path, control, endpoints, planned stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::packet_path::{PacketPath, PacketPathConfig};
use crate::endpoint::{Endpoint, NodeStatus, NodeView, NotReady, Role};
use crate::process::{StartError, StopSignal};
use crate::settings::BalancerSettings;

/// Traffic counts as ceased when no datagram came for this long.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

/// Runs a balancer until a planned stop has ended.
///
/// # Errors
/// [`StartError`] when it cannot start.
pub async fn run(settings: BalancerSettings, logger: Logger) -> Result<(), StartError> {
    let mut stop = StopSignal::from_process().map_err(StartError::Signals)?;
    let router = Arc::new(ArcSwapOption::empty());
    let path = start_packet_path(&settings, router, &logger)?;
    let view = Arc::new(BalancerView {
        path,
        zone: settings.node.zone.clone(),
        started: Instant::now(),
        stop: stop.clone(),
    });
    let http_listen = settings.node.http_listen;
    let endpoint = Endpoint::start(http_listen, view.clone(), stop.clone(), &logger)
        .map_err(|error| StartError::listen("http_listen", http_listen, error))?;
    info!(logger, "balancer: running";
        "data" => %view.path.address(), "http" => %endpoint.address());
    stop.asked().await;
    drain(&settings, &view.path, &logger).await;
    Ok(())
}

fn start_packet_path(
    settings: &BalancerSettings,
    router: Arc<ArcSwapOption<woodladder_core::router::Router>>,
    logger: &Logger,
) -> Result<PacketPath, StartError> {
    let config = PacketPathConfig {
        listen: settings.data_listen,
        workers: settings.worker_threads,
        socket_buffer: settings.socket_buffer,
        router,
        envelope_key: settings.node.keys().envelope,
        logger: logger.clone(),
    };
    PacketPath::start(&config)
        .map_err(|error| StartError::listen("data_listen", settings.data_listen, error))
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

/// What the endpoints tell about a balancer.
struct BalancerView {
    path: PacketPath,
    zone: String,
    started: Instant,
    stop: StopSignal,
}

impl NodeView for BalancerView {
    fn status(&self) -> NodeStatus {
        NodeStatus {
            role: Role::Balancer,
            node: 0,
            zone: self.zone.clone(),
            not_ready: self.stop.is_asked().then_some(NotReady::Stopping),
            sequence: 0,
            bundle_version: None,
            snapshot: None,
            peers: Vec::new(),
            uptime_seconds: self.started.elapsed().as_secs(),
            counters: self.path.counts().by_name(),
        }
    }
}
