//! Established event streams survive planned changes and the death of balancers.

#[path = "support/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::{ARCHIVE, DESK, PATIENCE, Setup, World, bundle, end_feeds, eventually, wait_ticks};
use tokio::time::sleep;
use woodladder_lab::demo::{FaultPath, Flag, StopResult};
use woodladder_lab::fault_proxy::FaultRule;
use woodladder_lab::stand_in::caller::FeedWatch;
use woodladder_lab::stand_in::oracle::OracleSettings;

const DATA_PATHS: [FaultPath; 4] = [
    FaultPath::Callers,
    FaultPath::Balancers,
    FaultPath::Agents,
    FaultPath::Answers,
];
/// Loss, repetition and change of order on each of the four paths.
const ROUGH: FaultRule = FaultRule {
    loss: 0.02,
    duplicate: 0.01,
    delay_us: 500,
    jitter_us: 3_000,
    cut: woodladder_lab::fault_proxy::Cut::None,
    frozen: false,
    refuse: false,
};
/// Longer than the pause after which a node no longer trusts its state.
const FREEZE: Duration = Duration::from_secs(4);
const TICKS: u64 = 10;

const PLANNED: OracleSettings = OracleSettings {
    leaving_limit_ms: 5_000,
    refusal_limit_ms: None,
    planned_changes_only: true,
    all_logs_present: true,
};

async fn open(world: &World) -> Vec<FeedWatch> {
    let mut feeds = world.open_feeds(DESK, 18).await;
    feeds.extend(world.open_feeds(ARCHIVE, 6).await);
    feeds
}

/// Feeds whose callers stay on their connection although its server is going away.
async fn open_staying(world: &World) -> Vec<FeedWatch> {
    let open = |_| {
        let caller = world.caller_with(DESK, |config| config.feeds_move = false);
        caller.watch_feed()
    };
    let feeds: Vec<FeedWatch> = (0..12).map(open).collect();
    eventually("feeds tick", || feeds.iter().all(|feed| feed.ticks() > 0)).await;
    feeds
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_balancers_that_die_join_freeze_and_stop() {
    let mut world = Setup::with_faults_on(&DATA_PATHS).start().await;
    world.set_rule(&DATA_PATHS, ROUGH);
    let feeds = open(&world).await;

    world.cluster.balancers[0].kill();
    wait_ticks("a balancer was killed", &feeds, TICKS).await;

    world.cluster.start_balancer(3, &[]).expect("balancer");
    world.wait_node_ready(world.balancer(3)).await;
    wait_ticks("a balancer joined", &feeds, TICKS).await;

    world.cluster.balancers[1].freeze();
    sleep(FREEZE).await;
    world.cluster.balancers[1].thaw();
    world.wait_node_ready(world.balancer(1)).await;
    wait_ticks("a balancer was frozen", &feeds, TICKS).await;

    world.cluster.balancers[2].terminate();
    let stop = world.cluster.balancers[2].wait(PATIENCE).await;
    assert_eq!(stop, StopResult::Clean);
    wait_ticks("a balancer was stopped", &feeds, TICKS).await;

    end_feeds(feeds).await;
    let report = world.judge(&PLANNED).await;
    assert!(world.proxies.lost_datagrams() > 0);
    assert_eq!(report.violations, [], "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_bundles_and_the_planned_stop_of_an_agent() {
    let mut world = Setup::with_faults_on(&DATA_PATHS).start().await;
    world.set_rule(&DATA_PATHS, ROUGH);
    let moving = open(&world).await;
    let staying = open_staying(&world).await;
    wait_ticks("faults began", &moving, TICKS).await;

    world.cluster.balancers[0].freeze();
    world.roll_without_some(2, &bundle(2, &[11], &[])).await;
    wait_ticks("a target leaves", &moving, TICKS).await;
    wait_ticks("a target leaves", &staying, TICKS).await;
    world.roll_without_some(3, &bundle(3, &[], &[11])).await;
    world.cluster.balancers[0].thaw();
    wait_ticks("a target was removed", &moving, TICKS).await;
    wait_ticks("a target was removed", &staying, TICKS).await;

    world.cluster.agents[1].terminate();
    wait_ticks("an agent was asked to stop", &moving, TICKS).await;
    wait_ticks("an agent was asked to stop", &staying, TICKS).await;
    end_feeds(staying).await;
    let stop = world.cluster.agents[1].wait(PATIENCE).await;
    assert_eq!(stop, StopResult::Clean);
    wait_ticks("an agent was stopped", &moving, TICKS).await;

    end_feeds(moving).await;
    let report = world.judge(&PLANNED).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.feed_moves > 0, "{:?}", report.totals);
}

/// What the promise rests on: without it the same test sees every feed break.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_break_behind_balancers_that_cannot_read_their_tokens() {
    let mut setup = Setup::with_faults_on(&[]);
    setup.idle_timeout = Duration::from_secs(3);
    let mut world = setup.start().await;
    let feeds = open(&world).await;

    let other_key = Flag::new("--token-key-current", "1:000102030405060708090a0b0c0d0e0f");
    for place in 0..3 {
        let process = &mut world.cluster.balancers[place];
        process.kill();
        process.wait(PATIENCE).await;
        let started = world
            .cluster
            .start_balancer(place, std::slice::from_ref(&other_key));
        started.expect("balancer");
    }
    world.wait_ready().await;
    eventually("feeds break", || feeds.iter().all(FeedWatch::is_over)).await;

    end_feeds(feeds).await;
    let report = world.judge(&PLANNED).await;
    assert_eq!(report.totals.broken_feeds, 24, "{:?}", report.violations);
}
