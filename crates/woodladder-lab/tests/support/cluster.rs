//! A small deployment of real processes with fault proxies, callers and the oracle.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;
use tokio::time::{Instant, sleep, timeout};
use woodladder::endpoint::NodeStatus;
use woodladder_core::configuration::bundle_source;
use woodladder_lab::demo::{
    Administration, BACK_END_ADMIN_PORT, Cluster, ClusterOptions, EXAMPLES, Example, FaultPath,
    FaultProxies, HTTP_PORT, Load, Machine, StopResult, Wiring, place,
};
use woodladder_lab::fault_proxy::FaultRule;
use woodladder_lab::stand_in::back_end::BackEndFault;
use woodladder_lab::stand_in::caller::{
    Caller, CallerConfig, CallerEndpoints, EndpointsConfig, FeedWatch, NotRunReason, Operation,
    Outcome, OutcomeRecorder,
};
use woodladder_lab::stand_in::execution_log::ExecutionLog;
use woodladder_lab::stand_in::oracle::{Evidence, OracleReport, OracleSettings, judge};

/// Limit for conditions to come true.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Service with the targets 11, 12 and 13, at the places 0, 1 and 2.
pub const DESK: &str = "desk";
/// Service with the targets 21 and 22, at the places 3 and 4.
pub const ARCHIVE: &str = "archive";
/// Seed of every fault drawn at random.
const SEED: u64 = 4;
const FEED_INTERVAL: Duration = Duration::from_millis(50);

const fn load(service: &'static str) -> Load {
    Load {
        service,
        feeds: 0,
        feeds_move: true,
        changes: true,
        rate: 0,
        service_time: Duration::from_millis(20),
    }
}

/// The deployment: two services, five targets, four balancers.
static EXAMPLE: Example = Example {
    name: "cluster",
    first_bundle: include_str!("cluster_bundle.toml"),
    second_bundle: include_str!("cluster_bundle.toml"),
    balancer_settings: EXAMPLES[0].balancer_settings,
    agent_settings: EXAMPLES[0].agent_settings,
    operator_settings: EXAMPLES[0].operator_settings,
    operator_key: EXAMPLES[0].operator_key,
    balancers: &[
        [10, 0, 21, 1],
        [10, 0, 21, 2],
        [10, 0, 21, 3],
        [10, 0, 21, 4],
    ],
    platform: [10, 0, 51, 1],
    caller_delay: Duration::from_millis(1),
    region: "tw-north",
    loads: &[load(DESK), load(ARCHIVE)],
    leaving_target: 11,
    stopped_target: 12,
};

/// Text of a bundle: the first one with some targets leaving and some removed.
pub fn bundle(version: u64, leaving: &[u32], removed: &[u32]) -> String {
    let mut parts = EXAMPLE.first_bundle.split("[[");
    let head = parts.next().unwrap_or_default();
    let mut text = head.replace("version = 1", &format!("version = {version}"));
    for part in parts {
        let names = |target: &u32| part.contains(&format!("id = {target}\n"));
        let is_target = part.starts_with("service.target");
        if is_target && removed.iter().any(names) {
            continue;
        }
        text.push_str("[[");
        text.push_str(part.trim_end());
        if is_target && leaving.iter().any(names) {
            text.push_str("\nstate = \"leaving\"");
        }
        text.push_str("\n\n");
    }
    text
}

/// How the deployment is started.
pub struct Setup {
    pub options: ClusterOptions,
    pub idle_timeout: Duration,
    directory: LogDirectory,
}

/// The directory of the processes' settings and logs. A failed test keeps it and
/// prints where it is; otherwise it is removed.
struct LogDirectory(Option<TempDir>);

impl LogDirectory {
    fn create() -> Self {
        Self(Some(tempfile::tempdir().expect("directory")))
    }

    fn path(&self) -> &Path {
        let directory = self.0.as_ref();
        directory.expect("kept until it is dropped").path()
    }
}

impl Drop for LogDirectory {
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Some(directory) = self.0.take()
        {
            eprintln!("logs of the processes: {}", directory.keep().display());
        }
    }
}

impl Setup {
    /// Three balancers, with these paths behind fault proxies.
    pub fn with_faults_on(paths: &[FaultPath]) -> Self {
        let directory = LogDirectory::create();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_woodladder-lab"));
        let mut options = ClusterOptions::new(program, directory.path());
        options.wiring = Wiring::through(paths);
        options.balancers = 3;
        options.feed_interval = FEED_INTERVAL;
        Self {
            options,
            idle_timeout: Duration::from_secs(15),
            directory,
        }
    }

    /// Starts all processes and puts the first bundle in force.
    pub async fn start(self) -> World {
        let world = self.launch().await;
        world.cluster.sign_and_roll(1).await.expect("roll");
        world.wait_ready().await;
        world
    }

    /// Starts all processes.
    pub async fn launch(self) -> World {
        let deployment = place(&EXAMPLE).expect("network");
        let wiring = self.options.wiring.clone();
        let proxies = FaultProxies::start(&wiring, &deployment, SEED);
        let proxies = proxies.await.expect("proxies");
        let cluster = Cluster::start(deployment, self.options).expect("processes");
        let mut trust = EndpointsConfig::new(cluster.certificate.clone());
        trust.idle_timeout = self.idle_timeout;
        let world = World {
            cluster,
            proxies,
            wiring,
            client: Administration::new().expect("client"),
            endpoints: CallerEndpoints::open(&trust).expect("endpoints"),
            recorder: Arc::default(),
            kept_logs: Vec::new(),
            _directory: self.directory,
        };
        let started = world.cluster.wait_started(&world.client).await;
        started.expect("started");
        world
    }
}

/// The running deployment.
pub struct World {
    pub cluster: Cluster,
    pub proxies: FaultProxies,
    pub client: Administration,
    pub recorder: Arc<OutcomeRecorder>,
    wiring: Wiring,
    endpoints: CallerEndpoints,
    kept_logs: Vec<ExecutionLog>,
    _directory: LogDirectory,
}

impl World {
    /// A caller of a service with a connection of its own.
    pub fn caller(&self, service: &str) -> Caller {
        self.caller_with(service, |_| {})
    }

    pub fn caller_with(&self, service: &str, change: impl FnOnce(&mut CallerConfig)) -> Caller {
        let entry = self.cluster.deployment.service(service).expect("service");
        let address = self.wiring.caller_entry(entry.addresses[0]);
        let mut config = CallerConfig::new(address, service);
        change(&mut config);
        Caller::new(config, self.endpoints.clone(), Arc::clone(&self.recorder))
    }

    /// Opens event streams and waits until each has ticked.
    pub async fn open_feeds(&self, service: &str, count: usize) -> Vec<FeedWatch> {
        let open = |_| self.caller(service).watch_feed();
        let feeds: Vec<FeedWatch> = (0..count).map(open).collect();
        eventually("feeds tick", || feeds.iter().all(|feed| feed.ticks() > 0)).await;
        feeds
    }

    /// Asks for changes at the same time, each on a connection of its own.
    pub async fn ask_all(&self, service: &str, ids: std::ops::Range<u64>) -> Vec<Outcome> {
        let asked = ids.map(|id| {
            let caller = self.caller(service);
            async move { caller.ask(Operation::change(id)).await }
        });
        futures::future::join_all(asked).await
    }

    pub async fn set_fault(&self, target: usize, fault: BackEndFault) {
        let address = self.target(target).at(BACK_END_ADMIN_PORT);
        let written = self.client.write(address, "/fault", &fault).await;
        written.expect("fault");
    }

    /// Notes at a back end that it is leaving, for its log.
    pub async fn note_leaving(&self, target: usize) {
        let address = self.target(target).at(BACK_END_ADMIN_PORT);
        let noted = self.client.command(address, "/drain").await;
        noted.expect("drain");
    }

    pub fn set_rule(&self, paths: &[FaultPath], rule: FaultRule) {
        for path in paths {
            self.proxies.set_rule(*path, rule);
        }
    }

    /// The machine of a target, by its place.
    pub fn target(&self, place: usize) -> Machine {
        Machine::of(self.cluster.deployment.bundle.targets[place].address)
    }

    /// The machine of a balancer, by its place.
    pub fn balancer(&self, place: usize) -> Machine {
        self.cluster.deployment.balancers()[place]
    }

    /// Writes, signs and rolls a bundle; all nodes must have it in force.
    pub async fn roll(&self, version: u64, text: &str) {
        let written = self.cluster.write_bundle(version, text);
        written.expect("bundle");
        self.cluster.sign_and_roll(version).await.expect("roll");
    }

    /// The same, while some nodes cannot have it in force.
    pub async fn roll_without_some(&self, version: u64, text: &str) {
        let written = self.cluster.write_bundle(version, text);
        written.expect("bundle");
        self.cluster.sign(version).await.expect("sign");
        let flags = [woodladder_lab::demo::Flag::new("--timeout", "2s")];
        let end = self.cluster.roll(version, &flags).await.expect("roll");
        assert_eq!(end.result, StopResult::Failed(Some(5)), "{}", end.output);
        assert!(end.output.contains("accepted: "), "{}", end.output);
    }

    /// The status of a node, if it answers.
    pub async fn status(&self, machine: Machine) -> Option<NodeStatus> {
        let read = self.client.read(machine.at(HTTP_PORT), "/status");
        timeout(Duration::from_secs(1), read).await.ok()?.ok()
    }

    pub async fn counter(&self, machine: Machine, name: &str) -> u64 {
        let status = self.status(machine).await.expect("status");
        status.figures.value(name).unwrap_or(0)
    }

    pub async fn wait_ready(&self) {
        let ready = self.cluster.wait_ready(&self.client).await;
        ready.expect("ready");
    }

    pub async fn wait_node_ready(&self, machine: Machine) {
        let address: SocketAddr = machine.at(HTTP_PORT);
        let ready = self.client.wait_ready(address, "/ready", PATIENCE).await;
        assert!(ready, "{address} is not ready");
    }

    /// Kills a back end without warning, and keeps its log of just before.
    pub async fn kill_back_end(&mut self, place: usize) {
        let log = self.log(place).await;
        self.kept_logs.push(log);
        let process = &mut self.cluster.back_ends[place];
        process.kill();
        process.wait(PATIENCE).await;
    }

    pub async fn log(&self, place: usize) -> ExecutionLog {
        let address = self.target(place).at(BACK_END_ADMIN_PORT);
        let read = self.client.read(address, "/executions").await;
        read.expect("log")
    }

    /// The logs of all back ends that run and of those that were killed, with the callers'.
    pub async fn evidence(&mut self) -> Evidence {
        let mut back_ends = self.kept_logs.clone();
        for place in 0..self.cluster.back_ends.len() {
            let ended = self.cluster.back_ends[place].ended().expect("process");
            if ended.is_none() {
                back_ends.push(self.log(place).await);
            }
        }
        Evidence {
            back_ends,
            callers: self.recorder.snapshot(),
        }
    }

    pub async fn judge(&mut self, settings: &OracleSettings) -> OracleReport {
        let evidence = self.evidence().await;
        let report = judge(&evidence, settings);
        print_figures(&evidence, &report);
        report
    }

    /// Reads a bundle and makes it the one by whose targets processes are started.
    pub fn adopt_bundle(&mut self, text: &str) {
        let text = self.cluster.deployment.network.text(text);
        let bundle = bundle_source::parse("cluster", &text);
        self.cluster.deployment.bundle = bundle.expect("bundle");
    }
}

/// Prints what a run showed; `cargo test -- --nocapture` shows it.
fn print_figures(evidence: &Evidence, report: &OracleReport) {
    let refusals = evidence.callers.outcomes.iter().filter(|record| {
        let told = NotRunReason::Told;
        matches!(record.outcome, Outcome::NotRun { reason, .. } if reason == told)
    });
    let held = refusals.map(|record| record.ended_ms - record.asked_ms);
    let silence = evidence.callers.feeds.iter();
    let silence = silence.map(|feed| feed.longest_silence_ms).max();
    println!("figures: {:?}", report.totals);
    println!("figures: {} violations", report.violations.len());
    println!("figures: longest refusal {:?} ms", held.max());
    println!("figures: longest silence of a feed {silence:?} ms");
}

/// Ends event streams.
pub async fn end_feeds(feeds: Vec<FeedWatch>) {
    for feed in feeds {
        feed.end().await;
    }
}

/// Waits until every event stream has ticked this often again, or one is over.
pub async fn wait_ticks(what: &str, feeds: &[FeedWatch], more: u64) {
    let before: Vec<u64> = feeds.iter().map(FeedWatch::ticks).collect();
    eventually(what, || {
        let mut pairs = feeds.iter().zip(&before);
        pairs.all(|(feed, ticks)| feed.is_over() || feed.ticks() >= ticks + more)
    })
    .await;
    let over = feeds.iter().filter(|feed| feed.is_over()).count();
    assert_eq!(over, 0, "broken feeds of {} after: {what}", feeds.len());
}

/// Waits until the condition holds; panics when it does not within the limit.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// The same for a condition that asks processes.
pub async fn eventually_async(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}
