//! Samples every node's status, and what is wrong with the sequences sampled.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use woodladder::endpoint::NodeStatus;
use woodladder_lab::demo::{Administration, HTTP_PORT};

use super::cluster::World;

const PERIOD: Duration = Duration::from_millis(100);
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// What a node told at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The node's machine.
    pub machine: SocketAddr,
    /// The run of the node's process.
    pub run: u64,
    /// Whether it serves.
    pub ready: bool,
    /// The sequence in force.
    pub sequence: u64,
}

/// A node whose sequence became lower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decrease {
    /// The sample that is too low.
    pub sample: Sample,
    /// The sequence that the node had before.
    pub before: u64,
}

/// Samples all nodes until it is ended.
pub struct Watch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<Sample>>,
}

impl Watch {
    pub fn start(world: &World) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let machines = nodes(world);
        let sampling = sample_all(world.client.clone(), machines, Arc::clone(&stop));
        Self {
            stop,
            task: tokio::spawn(sampling),
        }
    }

    pub async fn end(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Release);
        self.task.await.expect("samples")
    }
}

/// Status addresses of the balancers and agents that were started.
pub fn nodes(world: &World) -> Vec<SocketAddr> {
    let deployment = &world.cluster.deployment;
    let balancers = deployment.balancers().into_iter();
    let mut nodes: Vec<_> = balancers.take(world.cluster.balancers.len()).collect();
    nodes.extend(deployment.agents());
    nodes.iter().map(|machine| machine.at(HTTP_PORT)).collect()
}

async fn sample_all(
    client: Administration,
    machines: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !stop.load(Ordering::Acquire) {
        for machine in &machines {
            let read = client.read::<NodeStatus>(*machine, "/status");
            if let Ok(Ok(status)) = timeout(STATUS_LIMIT, read).await {
                samples.push(Sample {
                    machine: *machine,
                    run: status.node,
                    ready: status.not_ready.is_none(),
                    sequence: status.sequence,
                });
            }
        }
        sleep(PERIOD).await;
    }
    samples
}

/// Samples with a lower sequence than before: in one run of a process, or among the times that
/// the machine's node served.
pub fn decreases(samples: &[Sample]) -> Vec<Decrease> {
    let mut in_run: BTreeMap<u64, u64> = BTreeMap::new();
    let mut serving: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut decreases = Vec::new();
    for sample in samples {
        let highest_in_run = in_run.entry(sample.run).or_default();
        let mut before = *highest_in_run;
        *highest_in_run = before.max(sample.sequence);
        if sample.ready {
            let highest = serving.entry(sample.machine).or_default();
            before = before.max(*highest);
            *highest = (*highest).max(sample.sequence);
        }
        if sample.sequence < before {
            decreases.push(Decrease {
                sample: *sample,
                before,
            });
        }
    }
    decreases
}

/// Waits until all nodes have at least this sequence in force; tells how long that took.
pub async fn wait_in_force(world: &World, sequence: u64, limit: Duration) -> Duration {
    let since = Instant::now();
    let machines = nodes(world);
    loop {
        let mut behind = 0;
        for machine in &machines {
            let read = world.client.read::<NodeStatus>(*machine, "/status");
            let status = timeout(STATUS_LIMIT, read).await;
            let told = matches!(status, Ok(Ok(status)) if status.sequence >= sequence);
            behind += usize::from(!told);
        }
        if behind == 0 {
            let time = since.elapsed();
            println!("figures: sequence {sequence} in force after {time:?}");
            return time;
        }
        let over = since.elapsed() > limit;
        assert!(
            !over,
            "sequence {sequence}: {behind} of {} nodes behind",
            machines.len()
        );
        sleep(PERIOD).await;
    }
}
