//! A datagram never reaches a back end of another service.

#[path = "support/cluster.rs"]
mod cluster;

use cluster::{ARCHIVE, DESK, PATIENCE, Setup, World, bundle, eventually_async};
use woodladder_lab::demo::DATA_PORT;
use woodladder_lab::stand_in::caller::Operation;
use woodladder_lab::stand_in::fabric::{BalancerEndpoint, FabricCounters};
use woodladder_lab::stand_in::oracle::{OracleSettings, Violation};

/// Place of target 13 before the move, and of target 23 at its address after it.
const MOVED_FROM: usize = 2;
const MOVED_TO: usize = 4;
const CALLERS: u64 = 40;

/// The address of the service's third target belongs to the other service.
fn bundle_after_move() -> String {
    let text = bundle(2, &[], &[13]);
    let target = "\n[[service.target]]\nid = 23\naddress = \"10.0.11.3:7001\"\n\
                  zone = \"tw-north-1\"\nslots = 7\nconnections = 2000\n";
    format!("{text}{target}")
}

/// Ends a target's processes and starts those of the target now at its address.
async fn move_target(world: &mut World) {
    let mut agent = world.cluster.agents.remove(MOVED_FROM);
    let mut back_end = world.cluster.back_ends.remove(MOVED_FROM);
    for process in [&mut agent, &mut back_end] {
        process.kill();
        process.wait(PATIENCE).await;
    }
    world.adopt_bundle(&bundle_after_move());
    world.cluster.start_back_end(MOVED_TO).expect("back end");
    world.cluster.start_agent(MOVED_TO, &[]).expect("agent");
    world.wait_node_ready(world.target(MOVED_TO)).await;
}

/// Sends everything to one balancer, ready or not.
async fn use_only(world: &World, balancer: usize) {
    let endpoint = BalancerEndpoint {
        address: world.balancer(balancer).at(DATA_PORT),
        health: None,
    };
    let fabric = world.cluster.fabric_administration();
    let written = world.client.write(fabric, "/balancers", &[endpoint]).await;
    written.expect("balancers");
}

async fn sprayed(world: &World) -> u64 {
    let fabric = world.cluster.fabric_administration();
    let counters = world
        .client
        .read::<FabricCounters>(fabric, "/counters")
        .await;
    counters
        .expect("counters")
        .balancers
        .iter()
        .map(|count| count.datagrams)
        .sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_woken_balancer_sends_nothing_to_the_service_now_at_an_address() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    let feeds = world.open_feeds(DESK, 24).await;

    world.cluster.balancers[0].freeze();
    world.roll_without_some(2, &bundle_after_move()).await;
    move_target(&mut world).await;
    use_only(&world, 0).await;

    // Old feeds and new flows wait in the frozen balancer's socket.
    let before = sprayed(&world).await;
    let asked: Vec<_> = (1..=CALLERS)
        .map(|id| {
            let caller = world.caller(DESK);
            tokio::spawn(async move { caller.ask(Operation::change(id)).await })
        })
        .collect();
    eventually_async("datagrams wait", async || {
        sprayed(&world).await >= before + 2 * CALLERS
    })
    .await;
    world.cluster.balancers[0].thaw();
    for outcome in asked {
        outcome.await.expect("outcome");
    }
    let name = "packets_dropped_wrong_service_total";
    let dropped = world.counter(world.target(MOVED_TO), name).await;
    println!("figures: {dropped} datagrams of another service dropped");
    assert!(
        dropped > 0,
        "no datagram of the old bundle came to the moved target"
    );

    cluster::end_feeds(feeds).await;
    let answers = world.ask_all(ARCHIVE, 1_000..1_010).await;
    assert_eq!(answers.len(), 10);
    let settings = OracleSettings {
        all_logs_present: false,
        ..OracleSettings::default()
    };
    let report = world.judge(&settings).await;
    assert_eq!(report.violations, [], "{:?}", report.totals);
    assert!(report.totals.answered > 0, "{:?}", report.totals);
}

/// Datagrams of one service sent to another service's address: the oracle sees each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_oracle_sees_work_at_the_wrong_service() {
    let mut world = Setup::with_faults_on(&[]).start().await;
    for id in 1..=10 {
        let caller = world.caller_with(DESK, |config| config.service = ARCHIVE.to_owned());
        caller.ask(Operation::change(id)).await;
    }
    let report = world.judge(&OracleSettings::default()).await;
    let seen = |violation: &&Violation| matches!(violation, Violation::WrongService { .. });
    assert!(
        report.violations.iter().filter(seen).count() >= 10,
        "{report:?}"
    );
}
