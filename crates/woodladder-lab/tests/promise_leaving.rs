//! A leaving back end gets no new work after five seconds.

#[path = "support/cluster.rs"]
mod cluster;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cluster::{DESK, Setup, World, bundle, end_feeds, eventually, eventually_async, wait_ticks};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use woodladder_lab::demo::{Cluster, HTTP_PORT};
use woodladder_lab::stand_in::back_end::{BackEndFault, HealthFault};
use woodladder_lab::stand_in::caller::{Caller, Operation};
use woodladder_lab::stand_in::oracle::{OracleReport, OracleSettings, Violation};

/// How long load goes on after a back end has begun to leave.
const OBSERVED: Duration = Duration::from_millis(6_500);
const PAUSE: Duration = Duration::from_millis(40);

/// The back end itself never says that it is leaving, so nothing else can help.
const SILENT: BackEndFault = BackEndFault {
    frozen: false,
    answer_delay_ms: 0,
    half_answer: 0.0,
    close_before_run: 0.0,
    close_after_run: 0.0,
    shed: 0.0,
    health: HealthFault::AlwaysLive,
    load: woodladder_lab::stand_in::back_end::LoadFault::Honest,
};

/// Callers that ask one change after another, on kept and on new connections.
struct LoadOfChanges {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl LoadOfChanges {
    fn start(world: &World) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(1));
        let mut tasks = JoinSet::new();
        for position in 0..12 {
            let caller = world.caller(DESK);
            let renews = position % 2 == 0;
            tasks.spawn(ask_on(caller, renews, Arc::clone(&next), Arc::clone(&stop)));
        }
        Self { stop, tasks }
    }

    async fn end(mut self) {
        self.stop.store(true, Ordering::Release);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn ask_on(caller: Caller, renews: bool, next: Arc<AtomicU64>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Acquire) {
        let id = next.fetch_add(1, Ordering::AcqRel);
        caller.ask(Operation::change(id)).await;
        if renews {
            caller.forget_connection().await;
        }
        sleep(PAUSE).await;
    }
}

async fn started() -> (World, LoadOfChanges) {
    let world = Setup::with_faults_on(&[]).start().await;
    for place in 0..3 {
        world.set_fault(place, SILENT).await;
    }
    let load = LoadOfChanges::start(&world);
    eventually_async("every target works", async || {
        let mut least = usize::MAX;
        for place in 0..3 {
            least = least.min(world.log(place).await.executions.len());
        }
        least > 0
    })
    .await;
    (world, load)
}

async fn judge_after(mut world: World, load: LoadOfChanges, since: Instant) -> OracleReport {
    tokio::time::sleep_until(since + OBSERVED).await;
    load.end().await;
    world.judge(&OracleSettings::default()).await
}

/// Rolls the bundle, and notes the leaving when the first node has it in force.
async fn leave_by_bundle(world: &World) -> Instant {
    let text = bundle(2, &[11], &[]);
    world.cluster.write_bundle(2, &text).expect("bundle");
    let cluster: &Cluster = &world.cluster;
    let noted = async {
        let first = world.balancer(0).at(HTTP_PORT);
        eventually_async("in force", async || {
            let status = world
                .client
                .read::<woodladder::endpoint::NodeStatus>(first, "/status");
            status.await.is_ok_and(|status| status.sequence == 2)
        })
        .await;
        world.note_leaving(0).await;
        Instant::now()
    };
    let (rolled, since) = tokio::join!(cluster.sign_and_roll(2), noted);
    rolled.expect("roll");
    since
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_a_bundle_marks_gets_no_new_work() {
    let (world, load) = started().await;
    let since = leave_by_bundle(&world).await;
    let report = judge_after(world, load, since).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.answered > 100, "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_whose_agent_stops_gets_no_new_work() {
    let (world, load) = started().await;
    world.note_leaving(1).await;
    let since = Instant::now();
    world.cluster.agents[1].terminate();
    let report = judge_after(world, load, since).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.answered > 100, "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_whose_back_end_says_that_it_leaves_gets_no_new_work() {
    let (world, load) = started().await;
    world.set_fault(2, BackEndFault::default()).await;
    world.note_leaving(2).await;
    let report = judge_after(world, load, Instant::now()).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.answered > 100, "{:?}", report.totals);
}

/// The word of a back end may be false: on every target at once it costs nothing but moves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_false_alarm_of_every_back_end_cuts_nothing() {
    let (mut world, load) = started().await;
    let feeds = world.open_feeds(DESK, 12).await;
    let alarm = BackEndFault {
        health: HealthFault::AlwaysDraining,
        ..SILENT
    };
    for place in 0..3 {
        world.set_fault(place, alarm).await;
    }
    eventually("feeds move", || feeds.iter().all(|feed| feed.moves() > 0)).await;
    wait_ticks("feeds moved", &feeds, 20).await;
    load.end().await;
    end_feeds(feeds).await;
    let settings = OracleSettings {
        planned_changes_only: true,
        ..OracleSettings::default()
    };
    let report = world.judge(&settings).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert_eq!(report.totals.not_run, 0, "{:?}", report.totals);
}

/// Nobody tells woodladder: the same load brings new work after five seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_only_its_operator_knows_to_leave_gets_work() {
    let (world, load) = started().await;
    world.note_leaving(2).await;
    let report = judge_after(world, load, Instant::now()).await;
    let seen = |violation: &&Violation| matches!(violation, Violation::NewWorkWhileLeaving { .. });
    assert!(report.violations.iter().filter(seen).count() > 10);
}
