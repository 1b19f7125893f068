//! Planned stops, restarts, pauses and rolls in series and overlapping, drawn from
//! seeds, while callers keep using their open connections until a process is gone.
//!
//! Each stopped process must end by itself with code zero, and no request or feed
//! may be cut. By hand, with other seeds:
//!
//! ```sh
//! STOP_SOAK_SEEDS=100..150 cargo test -p woodladder-lab --test soak_planned_stops
//! ```

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/stop_plan.rs"]
mod stop_plan;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::os::unix::process::ExitStatusExt as _;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cluster::{ARCHIVE, DESK, PATIENCE, Setup, World, bundle, end_feeds, wait_ticks};
use nix::sys::signal::Signal;
use stop_plan::{BALANCERS, Change, Node, PlannedChange, plan};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};
use woodladder::endpoint::NotReadyReason;
use woodladder_lab::demo::{CommandEnd, DemoProcess, Flag, Machine};
use woodladder_lab::stand_in::caller::{Caller, Operation};
use woodladder_lab::stand_in::oracle::OracleSettings;

/// Seeds of a run without [`SEEDS_VARIABLE`].
const SEEDS: Range<u64> = 1..4;
/// Environment variable with other seeds, as `FIRST..END`.
const SEEDS_VARIABLE: &str = "STOP_SOAK_SEEDS";
/// Time in which the changes of one seed come.
const LENGTH: Duration = Duration::from_secs(10);
/// Time between two observations of the processes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(10);
/// Limit after the last change for all stops, pauses and restarts to end: a stop,
/// which has [`PATIENCE`], and the start that follows.
const REST_LIMIT: Duration = Duration::from_secs(2 * PATIENCE.as_secs());
/// Ticks that each feed must show after the changes.
const TICKS: u64 = 10;
const DESK_CALLERS: usize = 24;
const ARCHIVE_CALLERS: usize = 8;
/// Places of the targets of each service.
const SERVICES: [Range<usize>; 2] = [0..3, 3..5];
const PLANNED: OracleSettings = OracleSettings {
    leaving_limit_ms: 5_000,
    refusal_limit_ms: None,
    planned_changes_only: true,
    all_logs_present: true,
};

/// Callers that ask without a pause, each on the connection that it has.
struct Load {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Load {
    fn start(world: &World) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(1));
        let mut tasks = JoinSet::new();
        for position in 0..DESK_CALLERS + ARCHIVE_CALLERS {
            let service = if position < DESK_CALLERS {
                DESK
            } else {
                ARCHIVE
            };
            let caller = world.caller(service);
            tasks.spawn(ask_until(caller, Arc::clone(&next), Arc::clone(&stop)));
        }
        Self { stop, tasks }
    }

    async fn end(mut self) {
        self.stop.store(true, Ordering::Release);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn ask_until(caller: Caller, next: Arc<AtomicU64>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Acquire) {
        let id = next.fetch_add(1, Ordering::AcqRel);
        caller.ask(Operation::change(id)).await;
    }
}

/// A deployment whose nodes are stopped, restarted and paused.
struct Soak {
    world: World,
    seed: u64,
    begun: Instant,
    /// Nodes that were asked to stop and have not ended.
    stopping: BTreeMap<Node, StopRequest>,
    /// Nodes that were started again and are not ready yet.
    joining: Vec<Node>,
    /// Paused nodes, and when they go on.
    paused: BTreeMap<Node, Instant>,
    /// Targets that leave by a bundle that is in force or being rolled.
    leaving: BTreeSet<usize>,
    roll: Option<RunningRoll>,
    /// Version of the bundle of the last planned roll, whether started or not.
    version: u64,
    /// Number of processes that were asked to stop.
    stops: usize,
}

/// The first signal to stop that a process got.
#[derive(Clone, Copy)]
struct StopRequest {
    asked_at: Instant,
    /// Whether the process was ready before. One that has just been started may
    /// not handle the signal yet, and then the system ends it.
    had_joined: bool,
}

impl StopRequest {
    fn allows(self, status: ExitStatus) -> bool {
        let ended_by_signal = status.signal() == Some(Signal::SIGTERM as i32);
        status.success() || (!self.had_joined && ended_by_signal)
    }
}

/// A roll whose command has not ended.
struct RunningRoll {
    leaving: Option<usize>,
    command: JoinHandle<CommandEnd>,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let mut setup = Setup::with_faults_on(&[]);
        setup.options.balancers = BALANCERS;
        Self {
            world: setup.start().await,
            seed,
            begun: Instant::now(),
            stopping: BTreeMap::new(),
            joining: Vec::new(),
            paused: BTreeMap::new(),
            leaving: BTreeSet::new(),
            roll: None,
            version: 1,
            stops: 0,
        }
    }

    async fn run(&mut self, planned: Vec<PlannedChange>) {
        self.sign_bundles(&planned).await;
        self.begun = Instant::now();
        for PlannedChange { at, change } in planned {
            while self.begun.elapsed() < at {
                self.observe().await;
            }
            println!("seed {}: {at:?} {change:?}", self.seed);
            match change {
                Change::Stop(node) => self.stop(node),
                Change::Pause(node, pause) => self.pause(node, pause),
                Change::Roll(leaving) => self.start_roll(leaving),
            }
        }
        let last_change = Instant::now();
        while !self.is_at_rest() {
            assert!(
                last_change.elapsed() < REST_LIMIT,
                "seed {}: not ready: {:?}",
                self.seed,
                self.joining
            );
            self.observe().await;
        }
    }

    fn is_at_rest(&self) -> bool {
        self.stopping.is_empty()
            && self.joining.is_empty()
            && self.paused.is_empty()
            && self.roll.is_none()
    }

    /// Sends SIGTERM, unless too few other nodes would be left to serve. A node
    /// that stops already gets the signal again.
    fn stop(&mut self, node: Node) {
        if !self.stopping.contains_key(&node) && !self.can_spare(node) {
            return;
        }
        self.stops += usize::from(!self.stopping.contains_key(&node));
        let request = StopRequest {
            asked_at: Instant::now(),
            had_joined: !self.joining.contains(&node),
        };
        self.stopping.entry(node).or_insert(request);
        self.process(node).terminate();
    }

    fn pause(&mut self, node: Node, pause: Duration) {
        if !self.stopping.contains_key(&node) && !self.can_spare(node) {
            return;
        }
        self.process(node).freeze_for(pause);
        let end = Instant::now() + pause;
        let known = self.paused.entry(node).or_insert(end);
        *known = end.max(*known);
    }

    /// Signs the bundles of all rolls beforehand, so that a roll takes no longer
    /// than its command. Their versions follow the order of the plan.
    async fn sign_bundles(&self, planned: &[PlannedChange]) {
        let cluster = &self.world.cluster;
        let mut version = self.version;
        for PlannedChange { change, .. } in planned {
            let Change::Roll(leaving) = change else {
                continue;
            };
            version += 1;
            let targets = &cluster.deployment.bundle.targets;
            let leaving: Vec<u32> = leaving.iter().map(|place| targets[*place].id.0).collect();
            let text = bundle(version, &leaving, &[]);
            cluster.write_bundle(version, &text).expect("bundle");
            cluster.sign(version).await.expect("sign");
        }
    }

    /// Starts a roll, unless another one runs or the target cannot be spared.
    fn start_roll(&mut self, leaving: Option<usize>) {
        self.version += 1;
        let may_leave = leaving.is_none_or(|place| self.can_spare(Node::Agent(place)));
        if self.roll.is_some() || !may_leave {
            return;
        }
        let flags = [Flag::new("--timeout", "2s")];
        let command = self.world.cluster.start_roll(self.version, &flags);
        let command = command.expect("roll");
        self.leaving.extend(leaving);
        self.roll = Some(RunningRoll {
            leaving,
            command: tokio::spawn(async move { command.end().await.expect("roll") }),
        });
    }

    async fn observe_roll(&mut self) {
        let has_ended = |roll: &mut RunningRoll| roll.command.is_finished();
        if let Some(RunningRoll { leaving, command }) = self.roll.take_if(has_ended) {
            let output = command.await.expect("roll").output;
            assert!(output.contains("accepted: "), "{output}");
            self.leaving = leaving.into_iter().collect();
        }
    }

    /// Restarts nodes that have ended, and notes those that are ready, pauses that
    /// are over and a roll that has ended.
    async fn observe(&mut self) {
        sleep(OBSERVATION_INTERVAL).await;
        let now = Instant::now();
        self.paused.retain(|_, end| *end > now);
        self.observe_roll().await;
        let stopping: Vec<Node> = self.stopping.keys().copied().collect();
        for node in stopping {
            self.observe_stopping(node).await;
        }
        let mut still_joining = Vec::new();
        for node in std::mem::take(&mut self.joining) {
            if !self.has_joined(node).await {
                still_joining.push(node);
            }
        }
        self.joining = still_joining;
    }

    /// Whether a restarted node is ready, leaves by the bundle or stops again.
    async fn has_joined(&self, node: Node) -> bool {
        if self.stopping.contains_key(&node) {
            return true;
        }
        let status = self.world.status(self.machine(node)).await;
        let reason = status.map(|status| status.not_ready);
        matches!(reason, Some(None | Some(NotReadyReason::Leaving)))
    }

    async fn observe_stopping(&mut self, node: Node) {
        let request = self.stopping[&node];
        if let Some(status) = self.process(node).ended().expect("process") {
            assert!(
                request.allows(status),
                "seed {}: {node:?}: {status}",
                self.seed
            );
            self.stopping.remove(&node);
            self.restart(node);
        } else if request.asked_at.elapsed() > PATIENCE {
            let status = self.world.status(self.machine(node)).await;
            panic!("seed {}: {node:?} does not end: {status:?}", self.seed);
        }
    }

    fn restart(&mut self, node: Node) {
        let cluster = &mut self.world.cluster;
        let started = match node {
            Node::Agent(place) => cluster.start_agent(place, &[]),
            Node::Balancer(place) => cluster.start_balancer(place, &[]),
        };
        started.expect("started again");
        self.joining.push(node);
    }

    /// Whether another node serves undisturbed: of the same service if this one is
    /// an agent.
    fn can_spare(&self, node: Node) -> bool {
        let others: Vec<Node> = match node {
            Node::Agent(place) => {
                let service = SERVICES.iter().find(|places| places.contains(&place));
                let places = service.cloned().expect("a service");
                places.map(Node::Agent).collect()
            }
            Node::Balancer(_) => (0..BALANCERS).map(Node::Balancer).collect(),
        };
        others
            .into_iter()
            .filter(|other| *other != node)
            .any(|other| self.is_undisturbed(other))
    }

    fn is_undisturbed(&self, node: Node) -> bool {
        let leaves = matches!(node, Node::Agent(place) if self.leaving.contains(&place));
        !leaves
            && !self.stopping.contains_key(&node)
            && !self.paused.contains_key(&node)
            && !self.joining.contains(&node)
    }

    fn machine(&self, node: Node) -> Machine {
        match node {
            Node::Agent(place) => self.world.target(place),
            Node::Balancer(place) => self.world.balancer(place),
        }
    }

    fn process(&mut self, node: Node) -> &mut DemoProcess {
        match node {
            Node::Agent(place) => &mut self.world.cluster.agents[place],
            Node::Balancer(place) => &mut self.world.cluster.balancers[place],
        }
    }
}

async fn soak(seed: u64) {
    let mut soak = Soak::start(seed).await;
    let mut feeds = soak.world.open_feeds(DESK, 8).await;
    feeds.extend(soak.world.open_feeds(ARCHIVE, 4).await);
    let load = Load::start(&soak.world);
    soak.run(plan(seed, LENGTH)).await;
    load.end().await;
    wait_ticks("the changes are over", &feeds, TICKS).await;
    end_feeds(feeds).await;
    let report = soak.world.judge(&PLANNED).await;
    println!("seed {seed}: {} stops, {:?}", soak.stops, report.totals);
    assert_eq!(report.violations, [], "seed {seed}: {:?}", report.totals);
    assert!(report.totals.answered > 100, "seed {seed}");
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("seeds as FIRST..END");
    first.parse().expect("first seed")..end.parse().expect("end of the seeds")
}

/// Guards against a stopping node that lives on or cuts work, and against one that
/// does so only while others stop, are paused or come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_nodes_end_and_cut_nothing() {
    for seed in seeds() {
        soak(seed).await;
    }
}

#[test]
fn a_seed_gives_the_same_plan_each_time() {
    for seed in 0..50 {
        assert_eq!(plan(seed, LENGTH), plan(seed, LENGTH));
    }
    assert_ne!(plan(1, LENGTH), plan(2, LENGTH));
}
