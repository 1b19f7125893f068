//! Memory of open flows in real agents: the first example deployment with its
//! processes on loopback, and callers that hold event streams.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::meter::resident_memory_of;
use crate::demo::{
    Administration, Cluster, ClusterError, ClusterOptions, EXAMPLES, Example, place,
};
use crate::stand_in::caller::{
    Caller, CallerConfig, CallerEndpoints, EndpointsConfig, FeedWatch, OutcomeRecorder,
};
use crate::stand_in::error::StandInError;

const ENDPOINTS: usize = 8;
/// Flows opened before the first reading, so that buffers that are kept for
/// reuse are there.
const WARM_UP_FLOWS: usize = 100;
/// Flows opened at the same time.
const BATCH: usize = 20;
const OPEN_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
/// Time before a reading, so that handshakes' memory is given back.
const REST: Duration = Duration::from_secs(2);

/// What open flows take at agents.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FlowFigures {
    /// Flows that were open at the second reading beyond those at the first.
    pub flows: usize,
    /// Agents that held them.
    pub agents: usize,
    /// Growth of the agents' resident memory in bytes a flow.
    pub resident_bytes_per_flow: u64,
    /// Resident memory of one agent at the first reading, in bytes.
    pub resident_before: u64,
}

struct Flows {
    config: CallerConfig,
    endpoints: CallerEndpoints,
    recorder: Arc<OutcomeRecorder>,
    feeds: Vec<FeedWatch>,
}

/// Opens `count` flows and measures what they take.
///
/// # Errors
/// [`ClusterError`] when the deployment cannot be brought up.
pub async fn measure_flows(count: usize) -> Result<FlowFigures, ClusterError> {
    let directory = tempfile::tempdir()?;
    let cluster = start(&EXAMPLES[0], directory.path()).await?;
    let mut flows = Flows::new(&cluster)?;
    flows.open(WARM_UP_FLOWS).await;
    let before = flows.reading(&cluster).await;
    flows.open(count).await;
    let after = flows.reading(&cluster).await;
    let opened = after.open.saturating_sub(before.open);
    let agents = cluster.agents.len();
    let grown = after.resident.saturating_sub(before.resident);
    cluster.terminate();
    Ok(FlowFigures {
        flows: opened,
        agents,
        resident_bytes_per_flow: grown / opened.max(1) as u64,
        resident_before: before.resident / agents.max(1) as u64,
    })
}

/// Open flows and the memory of all agents at one time.
struct Reading {
    open: usize,
    resident: u64,
}

impl Flows {
    fn new(cluster: &Cluster) -> Result<Self, ClusterError> {
        let mut config = EndpointsConfig::new(cluster.certificate.clone());
        config.count = ENDPOINTS;
        let endpoints = CallerEndpoints::open(&config).map_err(stand_in_failed)?;
        let load = cluster.deployment.example.loads.first();
        let service = load.and_then(|load| cluster.deployment.service(load.service));
        let service = service.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        let address = service.addresses.first().copied();
        let address = address.ok_or(io::Error::from(io::ErrorKind::NotFound))?;
        Ok(Self {
            config: CallerConfig::new(address, &service.name),
            endpoints,
            recorder: Arc::default(),
            feeds: Vec::new(),
        })
    }

    /// Opens flows, some at a time, and waits for them.
    async fn open(&mut self, count: usize) {
        for _ in 0..count {
            let endpoints = self.endpoints.clone();
            let recorder = Arc::clone(&self.recorder);
            let caller = Caller::new(self.config.clone(), endpoints, recorder);
            self.feeds.push(caller.watch_feed());
            if self.feeds.len().is_multiple_of(BATCH) {
                self.wait_open().await;
            }
        }
        self.wait_open().await;
    }

    async fn wait_open(&self) {
        let end = Instant::now() + OPEN_LIMIT;
        while Instant::now() < end && self.count_open() < self.feeds.len() {
            tokio::time::sleep(POLL).await;
        }
    }

    fn count_open(&self) -> usize {
        self.feeds.iter().filter(|feed| feed.is_open()).count()
    }

    async fn reading(&self, cluster: &Cluster) -> Reading {
        tokio::time::sleep(REST).await;
        let ids = cluster.agents.iter().filter_map(|agent| agent.id());
        Reading {
            open: self.count_open(),
            resident: ids.map(resident_memory_of).sum(),
        }
    }
}

async fn start(example: &'static Example, directory: &Path) -> Result<Cluster, ClusterError> {
    let options = ClusterOptions::new(std::env::current_exe()?, directory);
    let cluster = Cluster::start(place(example)?, options)?;
    let client = Administration::new().map_err(|error| io::Error::other(error.to_string()))?;
    cluster.wait_started(&client).await?;
    cluster.sign_and_roll(1).await?;
    cluster.wait_ready(&client).await?;
    Ok(cluster)
}

fn stand_in_failed(error: StandInError) -> ClusterError {
    ClusterError::System(io::Error::other(error.to_string()))
}
