//! The daemons' control traffic over real loopback sockets, many nodes in one
//! process, with a key-value service in memory.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc;
use woodladder::control::{Control, ControlConfig};
use woodladder::store::Store;
use woodladder_core::clock;
use woodladder_core::control::replica::{ReplicaSettings, ReplicaTuning};
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation};
use woodladder_core::identifier::{NodeId, Sequence};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::signature::TrustedKeys;

use super::roller::{Roll, Roller};
use super::size::{DeploymentSize, NodeIndex};
use super::store::ControlStore;
use super::trace::{Durations, Spread};

const CONTROL_KEY: [u8; 16] = [1; 16];
/// Other nodes that a node's settings name.
const SEEDS: usize = 3;
/// Time that the service holds a waiting read.
const HELD: Duration = Duration::from_secs(1);
/// Longest wait for a roll to be in force everywhere.
const LIMIT: Duration = Duration::from_secs(60);
const ROLL_INTERVAL: Duration = Duration::from_secs(3);

/// What a run over real sockets gave.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SocketFigures {
    /// Nodes, each with a socket of its own.
    pub nodes: usize,
    /// Targets in the bundle.
    pub targets: u32,
    /// Seconds from the first node's start until all had the first roll.
    pub started_after: f64,
    /// Share of a core of one node while nothing changes, with its socket
    /// calls and the runtime.
    pub steady_processor_share: f64,
    /// Processor seconds of one node a roll, beyond the steady share.
    pub processor_seconds_per_roll: f64,
    /// Seconds from a roll's acceptance until it is in force, over all nodes
    /// and rolls.
    pub in_force: Spread,
}

struct MemoryStore {
    contents: Mutex<ControlStore>,
    started: Instant,
}

struct InForce {
    sequence: Sequence,
    at: Instant,
}

/// The nodes and what they report.
struct Cluster {
    store: Arc<MemoryStore>,
    controls: Vec<Control>,
    reports: mpsc::UnboundedReceiver<InForce>,
    roller: Roller,
}

/// Runs `size` nodes and rolls several times.
///
/// # Errors
/// When a socket cannot be bound or a roll does not get everywhere in time.
pub async fn measure_sockets(
    size: DeploymentSize,
    rolls: u32,
    steady: Duration,
) -> io::Result<SocketFigures> {
    let begin = Instant::now();
    let mut cluster = Cluster::start(size).await?;
    cluster.roll(&mut Durations::new()).await?;
    let started_after = begin.elapsed().as_secs_f64();

    tokio::time::sleep(ROLL_INTERVAL).await;
    let steady_share = cluster.share_during(steady).await;
    let mut durations = Durations::new();
    let processor = process_time();
    let rolling = Instant::now();
    for _ in 0..rolls {
        cluster.roll(&mut durations).await?;
        tokio::time::sleep(ROLL_INTERVAL).await;
    }
    let spent = (process_time() - processor).as_secs_f64() / cluster.count();
    let idle = steady_share * rolling.elapsed().as_secs_f64();
    Ok(SocketFigures {
        nodes: size.nodes(),
        targets: size.targets,
        started_after,
        steady_processor_share: steady_share,
        processor_seconds_per_roll: (spent - idle) / f64::from(rolls.max(1)),
        in_force: durations.spread(),
    })
}

impl Cluster {
    async fn start(size: DeploymentSize) -> io::Result<Self> {
        let roller = Roller::new(&size);
        let store = Arc::new(MemoryStore {
            contents: Mutex::new(ControlStore::new()),
            started: Instant::now(),
        });
        let (reporter, reports) = mpsc::unbounded_channel();
        let mut controls: Vec<Control> = Vec::new();
        for index in 0..size.nodes() {
            let before = controls.iter().rev().take(SEEDS);
            let seeds = before.map(Control::address).collect();
            let reporter = reporter.clone();
            let config = ControlConfig {
                listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                advertise: None,
                key: TagKey::new(CONTROL_KEY),
                replica: settings(&size, NodeIndex(index), seeds, roller.trusted()),
                store: Arc::clone(&store) as Arc<dyn Store>,
                machine_list: None,
                install: Box::new(move |installed| {
                    let _ = reporter.send(InForce {
                        sequence: installed.sequence(),
                        at: Instant::now(),
                    });
                }),
                logger: Logger::root(Discard, o!()),
            };
            let started = Control::start(config).await;
            controls.push(started.map_err(|error| io::Error::other(error.to_string()))?);
        }
        Ok(Self {
            store,
            controls,
            reports,
            roller,
        })
    }

    #[allow(clippy::cast_precision_loss)]
    fn count(&self) -> f64 {
        self.controls.len().max(1) as f64
    }

    /// Rolls and waits until the roll is in force at every node.
    async fn roll(&mut self, durations: &mut Durations) -> io::Result<()> {
        let Some(roll) = self.roller.next() else {
            return Err(io::Error::other("the bundle has findings"));
        };
        let sequence = roll.stored.record.sequence();
        let accepted = Instant::now();
        self.store.write(&roll);
        let mut missing = self.controls.len();
        while missing > 0 {
            let report = tokio::time::timeout(LIMIT, self.reports.recv()).await?;
            let Some(report) = report else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if report.sequence == sequence {
                missing -= 1;
                durations.record(report.at.saturating_duration_since(accepted));
            }
        }
        Ok(())
    }

    /// Share of a core that one node takes while time passes.
    async fn share_during(&self, time: Duration) -> f64 {
        let processor = process_time();
        let begin = Instant::now();
        tokio::time::sleep(time).await;
        let spent = (process_time() - processor).as_secs_f64();
        spent / begin.elapsed().as_secs_f64() / self.count()
    }
}

impl MemoryStore {
    fn contents(&self) -> MutexGuard<'_, ControlStore> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> clock::Instant {
        clock::Instant::from_origin(self.started.elapsed())
    }

    fn write(&self, roll: &Roll) {
        let now = self.now();
        self.contents().write(roll, now);
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn perform(&self, operation: &StoreOperation) -> StoreAnswer {
        if let StoreOperation::Read { wait: Some(_), .. } = operation {
            tokio::time::sleep(HELD).await;
        }
        let now = self.now();
        self.contents().answer(operation, now)
    }
}

fn settings(
    size: &DeploymentSize,
    index: NodeIndex,
    seeds: Vec<SocketAddr>,
    trusted: TrustedKeys,
) -> ReplicaSettings {
    ReplicaSettings {
        node: NodeId(index.0 as u64 + 1),
        role: size.role(index),
        locality: index.locality(),
        control: index.control(),
        served: None,
        seeds,
        trusted,
        tuning: ReplicaTuning::default(),
    }
}

/// Processor time of the whole process so far.
fn process_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
