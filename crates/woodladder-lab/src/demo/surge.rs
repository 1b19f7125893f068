//! Callers of one deployment: event streams held open and a surge of requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::cluster::Cluster;
use super::error::SERVER_NAME;
use super::plan::Load;
use crate::stand_in::caller::{
    Caller, CallerConfig, CallerEndpoints, EndpointsConfig, FeedWatch, Operation, OutcomeLog,
    OutcomeRecorder,
};
use crate::stand_in::error::StandInError;

const ENDPOINTS: usize = 8;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const FEED_LIMIT: Duration = Duration::from_secs(15);
const FEED_POLL: Duration = Duration::from_millis(50);
/// Event streams opened at the same time.
const FEED_BATCH: usize = 20;

/// Callers of one deployment.
pub struct Callers {
    endpoints: CallerEndpoints,
    recorder: Arc<OutcomeRecorder>,
    feeds: Vec<FeedWatch>,
    next_operation: Arc<AtomicU64>,
}

/// Event streams of one deployment, at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FeedCount {
    /// Established now.
    pub open: usize,
    /// Asked for.
    pub wanted: usize,
}

impl Callers {
    /// Callers that trust the deployment's certificate.
    ///
    /// # Errors
    /// When a socket cannot be bound.
    pub fn new(cluster: &Cluster) -> Result<Self, StandInError> {
        let mut config = EndpointsConfig::new(cluster.certificate.clone());
        config.count = ENDPOINTS;
        config.idle_timeout = IDLE_TIMEOUT;
        Ok(Self {
            endpoints: CallerEndpoints::open(&config)?,
            recorder: Arc::default(),
            feeds: Vec::new(),
            next_operation: Arc::new(AtomicU64::new(1)),
        })
    }

    /// Opens all event streams, some at a time, and waits until they are open.
    pub async fn open_feeds(&mut self, cluster: &Cluster) -> FeedCount {
        let end = Instant::now() + FEED_LIMIT;
        for load in cluster.deployment.example.loads {
            for _ in 0..load.feeds {
                let Some(caller) = self.caller(cluster, load) else {
                    continue;
                };
                self.feeds.push(caller.watch_feed());
                if self.feeds.len().is_multiple_of(FEED_BATCH) {
                    self.wait_open(end).await;
                }
            }
        }
        self.wait_open(end).await;
        self.feed_count()
    }

    /// Event streams that are open now.
    #[must_use]
    pub fn feed_count(&self) -> FeedCount {
        FeedCount {
            open: self.feeds.iter().filter(|feed| feed.is_open()).count(),
            wanted: self.feeds.len(),
        }
    }

    /// Starts the surge of every service; the set is empty when it is over.
    pub fn start_surge(&self, cluster: &Cluster, end: Instant) -> JoinSet<()> {
        let mut surge = JoinSet::new();
        for load in cluster.deployment.example.loads {
            if let Some(config) = config(cluster, load) {
                let source = RequestSource {
                    config,
                    load,
                    endpoints: self.endpoints.clone(),
                    recorder: Arc::clone(&self.recorder),
                    next_operation: Arc::clone(&self.next_operation),
                };
                surge.spawn(source.run(end));
            }
        }
        surge
    }

    /// Ends the event streams.
    pub async fn end_feeds(&mut self) {
        for feed in self.feeds.drain(..) {
            feed.end().await;
        }
    }

    /// What the callers saw.
    #[must_use]
    pub fn log(&self) -> OutcomeLog {
        self.recorder.snapshot()
    }

    fn caller(&self, cluster: &Cluster, load: &Load) -> Option<Caller> {
        let config = config(cluster, load)?;
        let recorder = Arc::clone(&self.recorder);
        Some(Caller::new(config, self.endpoints.clone(), recorder))
    }

    async fn wait_open(&self, end: Instant) {
        while Instant::now() < end && self.feed_count().open < self.feeds.len() {
            tokio::time::sleep(FEED_POLL).await;
        }
    }
}

/// Source of requests at a steady rate, each on a connection of its own.
struct RequestSource {
    config: CallerConfig,
    load: &'static Load,
    endpoints: CallerEndpoints,
    recorder: Arc<OutcomeRecorder>,
    next_operation: Arc<AtomicU64>,
}

impl RequestSource {
    async fn run(self, end: Instant) {
        let period = Duration::from_secs(1) / self.load.rate.max(1);
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut requests = JoinSet::new();
        while Instant::now() < end {
            ticks.tick().await;
            let caller = Caller::new(
                self.config.clone(),
                self.endpoints.clone(),
                Arc::clone(&self.recorder),
            );
            let operation = self.operation();
            requests.spawn(async move {
                caller.ask(operation).await;
            });
        }
        sleep_until(end).await;
        while requests.join_next().await.is_some() {}
    }

    fn operation(&self) -> Operation {
        let id = self.next_operation.fetch_add(1, Ordering::Relaxed);
        if self.load.changes {
            Operation::change(id)
        } else {
            Operation::sheet(id)
        }
    }
}

fn config(cluster: &Cluster, load: &Load) -> Option<CallerConfig> {
    let service = cluster.deployment.service(load.service)?;
    let address = *service.addresses.first()?;
    let mut config = CallerConfig::new(address, load.service);
    config.server_name = SERVER_NAME.to_owned();
    config.feeds_move = load.feeds_move;
    Some(config)
}
