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
mod cluster;
mod evidence;
mod imbalance;
mod loopback;
mod plan;
mod process;
mod report;
mod story;
mod surge;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use tokio::time::Instant;
use woodladder_core::bundle_source;

pub use administration::{Administration, AdministrationError};
pub use cluster::{Cluster, ClusterError};
pub use imbalance::{BackEndLoad, Imbalance, imbalance};
pub use loopback::LoopbackNetwork;
pub use plan::{Deployment, EXAMPLES, Example, Load, Machine};
pub use process::{DemoProcess, ProcessPlan, StopResult};
pub use report::{DemoReport, DeploymentReport, ServiceReport};

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
        let cluster = Cluster::start(place(example)?, &directory)?;
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

/// Puts an example on a part of the loopback network that is free.
fn place(example: &'static Example) -> Result<Deployment, ClusterError> {
    let refused = |findings: woodladder_core::finding::Findings| {
        ClusterError::System(io::Error::new(
            io::ErrorKind::InvalidData,
            findings.to_string(),
        ))
    };
    let bundle = bundle_source::parse(example.name, example.first_bundle).map_err(refused)?;
    let services = bundle.services.iter();
    let address = services
        .flat_map(|service| service.addresses.first())
        .next()
        .copied();
    let network = address.and_then(|address| LoopbackNetwork::draw(&mut rand::rng(), address));
    let network = network.ok_or(io::Error::from(io::ErrorKind::AddrInUse))?;
    Deployment::new(example, network).map_err(refused)
}
