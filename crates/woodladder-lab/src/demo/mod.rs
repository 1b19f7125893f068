//! Demo: both example deployments with real processes on loopback.
//!
//! It starts the platform's stand-ins, back ends, balancers and agents, rolls
//! the first bundle, opens event streams, runs a surge, and in its middle rolls
//! the second bundle and stops a balancer and a back end as planned. The logs
//! of callers and back ends are then joined by the oracle.
//!
//! The delay between callers and a deployment is the example's; the delay
//! between its zones is not modelled here, but in the simulation.

mod administration;
mod arguments;
mod cluster;
mod error;
mod evidence;
mod files;
mod imbalance;
mod launch;
mod loopback;
mod plan;
mod process;
mod report;
mod story;
mod surge;
mod wiring;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use tokio::time::Instant;
use woodladder_core::finding::Findings;

pub use administration::{Administration, AdministrationError};
pub use arguments::Flag;
pub use cluster::{Cluster, ClusterOptions, CommandEnd, RunningCommand};
pub use error::{ClusterError, SERVER_NAME};
pub use evidence::execution_logs;
pub use imbalance::{BackEndLoad, Imbalance, imbalance};
pub use loopback::{LoopbackNetwork, NetworkReservation};
pub use plan::{
    ADMIN_PORT_OFFSET, BACK_END_ADMIN_PORT, BACK_END_PORT, CONTROL_PORT, DATA_PORT, Deployment,
    EGRESS_PORT, EXAMPLES, Example, HTTP_PORT, Load, MACHINE_LIST_PORT, Machine, STORE_PORT,
};
pub use process::{DemoProcess, ProcessPlan, StopResult};
pub use report::{DemoReport, DeploymentReport, ServiceReport};
pub use wiring::{FaultPath, FaultProxies, Wiring};

use story::Progress;

/// How the demo is run.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Length of the surge.
    pub surge: Duration,
    /// Where logs and settings go; a temporary directory when not set.
    pub directory: Option<PathBuf>,
    /// Whether progress is printed on standard error.
    pub progress: bool,
}

/// Runs both deployments side by side.
///
/// # Errors
/// [`ClusterError`] when a deployment cannot be brought up.
pub async fn run(options: &DemoOptions) -> Result<DemoReport, ClusterError> {
    let started = Instant::now();
    let temporary = tempfile::tempdir()?;
    let directory = match &options.directory {
        Some(directory) => directory.clone(),
        None => temporary.path().to_owned(),
    };
    let mut stories = Vec::new();
    for example in &EXAMPLES {
        let program = std::env::current_exe()?;
        let started = ClusterOptions::new(program, &directory.join(example.name));
        let cluster = Cluster::start(place(example)?, started)?;
        let progress = Progress::new(example.name, options.progress);
        stories.push(story::run(cluster, options.surge, progress));
    }
    let mut report = DemoReport::default();
    for deployment in futures::future::join_all(stories).await {
        report.deployments.push(deployment?);
    }
    report.kept = report.deployments.iter().all(DeploymentReport::kept);
    report.seconds = started.elapsed().as_secs_f64();
    Ok(report)
}

/// Puts an example on a part of the loopback network that no other uses.
///
/// # Errors
/// [`ClusterError`] when no network is free or a bundle has findings.
pub fn place(example: &'static Example) -> Result<Deployment, ClusterError> {
    let reservation = NetworkReservation::draw(&mut rand::rng());
    let reservation = reservation.ok_or(io::Error::from(io::ErrorKind::AddrInUse))?;
    let refused = |findings: Findings| {
        let reason = findings.to_string();
        ClusterError::System(io::Error::new(io::ErrorKind::InvalidData, reason))
    };
    Deployment::new(example, reservation).map_err(refused)
}
