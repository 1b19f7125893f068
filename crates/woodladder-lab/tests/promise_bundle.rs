//! An accepted bundle is in force everywhere within eleven seconds and never goes back.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/cluster_watch.rs"]
mod cluster_watch;

use std::net::SocketAddr;
use std::time::Duration;

use cluster::{DESK, PATIENCE, Setup, World, bundle};
use cluster_watch::{Sample, Watch, decreases, nodes, wait_in_force};
use tokio::net::UdpSocket;
use woodladder_lab::demo::{
    ADMIN_PORT_OFFSET, CONTROL_PORT, FaultPath, Flag, HTTP_PORT, STORE_PORT, StopResult,
};
use woodladder_lab::fault_proxy::FaultRule;
use woodladder_lab::stand_in::caller::Outcome;
use woodladder_lab::stand_in::store::StoreFault;

/// Bytes of datagrams that are no control messages.
const FORGERY_LENGTHS: [usize; 4] = [1, 40, 1_200, 9_000];
const LIMIT: Duration = Duration::from_secs(11);
/// Within a roll that takes two seconds over the slow path; any moment must be harmless.
const FREEZE_AFTER: Duration = Duration::from_millis(1_000);
const ROUGH: FaultRule = FaultRule {
    loss: 0.1,
    duplicate: 0.1,
    delay_us: 1_000,
    jitter_us: 50_000,
    cut: woodladder_lab::fault_proxy::Cut::None,
    frozen: false,
    refuse: false,
};
const STORE_DOWN: FaultRule = FaultRule {
    loss: 0.0,
    duplicate: 0.0,
    delay_us: 0,
    jitter_us: 0,
    cut: woodladder_lab::fault_proxy::Cut::None,
    frozen: false,
    refuse: true,
};

async fn set_store_fault(world: &World, fault: StoreFault) {
    let platform = world.cluster.deployment.platform();
    let address = platform.at(STORE_PORT + ADMIN_PORT_OFFSET);
    let written = world.client.write(address, "/fault", &fault).await;
    written.expect("fault");
}

async fn write_and_sign(world: &World, version: u64, leaving: &[u32]) {
    let text = bundle(version, leaving, &[]);
    world.cluster.write_bundle(version, &text).expect("bundle");
    world.cluster.sign(version).await.expect("sign");
}

/// Rolls a bundle; from the command's start until it is in force everywhere the limit holds.
async fn roll_in_force(world: &World, version: u64, leaving: &[u32], sequence: u64) {
    write_and_sign(world, version, leaving).await;
    let rolled = world.cluster.roll(version, &[]);
    let in_force = wait_in_force(world, sequence, LIMIT);
    let (rolled, _) = tokio::join!(rolled, in_force);
    let end = rolled.expect("roll");
    assert_eq!(end.result, StopResult::Clean, "{}", end.output);
}

async fn bundle_version(world: &World, balancer: usize) -> Option<u64> {
    let status = world.status(world.balancer(balancer)).await;
    status.expect("status").bundle_version
}

/// Sends datagrams that are no control messages to every node.
async fn send_forgeries(world: &World) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    for address in nodes(world) {
        let control = SocketAddr::new(address.ip(), CONTROL_PORT);
        for length in FORGERY_LENGTHS {
            let forgery = vec![length.to_le_bytes()[0]; length];
            socket.send_to(&forgery, control).await.expect("sent");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bundles_come_into_force_over_rough_control_traffic() {
    let setup = Setup::with_faults_on(&[FaultPath::Control, FaultPath::Store]);
    let world = setup.start().await;
    world.set_rule(&[FaultPath::Control], ROUGH);
    let watch = Watch::start(&world);

    roll_in_force(&world, 2, &[11], 2).await;
    send_forgeries(&world).await;
    roll_in_force(&world, 3, &[12], 3).await;
    // The first bundle again, rolled forward.
    roll_in_force(&world, 1, &[], 4).await;
    assert_eq!(bundle_version(&world, 0).await, Some(1));
    let rejections = world.counter(world.balancer(0), "control_rejections_total");
    assert!(rejections.await > 0);

    let samples = watch.end().await;
    assert!(world.proxies.lost_datagrams() > 0);
    assert_eq!(decreases(&samples), []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_learn_from_each_other_while_the_store_is_down() {
    let setup = Setup::with_faults_on(&[FaultPath::Control, FaultPath::Store]);
    let mut world = setup.start().await;
    world.set_rule(&[FaultPath::Control], ROUGH);
    let watch = Watch::start(&world);
    world.roll(2, &bundle(2, &[11], &[])).await;
    world.set_rule(&[FaultPath::Store], STORE_DOWN);

    for process in [
        &mut world.cluster.balancers[0],
        &mut world.cluster.agents[2],
    ] {
        process.kill();
        process.wait(PATIENCE).await;
    }
    world.cluster.start_balancer(0, &[]).expect("balancer");
    world.cluster.start_balancer(3, &[]).expect("balancer");
    world.cluster.start_agent(2, &[]).expect("agent");
    wait_in_force(&world, 2, LIMIT).await;
    for restarted in [world.balancer(0), world.balancer(3), world.target(2)] {
        world.wait_node_ready(restarted).await;
    }
    assert_eq!(bundle_version(&world, 3).await, Some(2));

    // A roll finds no store and changes nothing.
    write_and_sign(&world, 3, &[]).await;
    let flags = [Flag::new("--timeout", "2s")];
    let end = world.cluster.roll(3, &flags).await.expect("roll");
    assert_eq!(end.result, StopResult::Failed(Some(3)), "{}", end.output);
    let answers = world.ask_all(DESK, 1..21).await;
    let whole = Outcome::Answered { defect: None };
    assert!(answers.iter().all(|answer| *answer == whole), "{answers:?}");
    let samples = watch.end().await;
    assert_eq!(decreases(&samples), []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_of_the_store_neither_loses_nor_doubles_a_roll() {
    let world = Setup::with_faults_on(&[]).start().await;
    let watch = Watch::start(&world);
    let fault = StoreFault {
        lose_next_write_answers: 2,
        ..StoreFault::default()
    };
    set_store_fault(&world, fault).await;
    roll_in_force(&world, 2, &[11], 2).await;
    let samples = watch.end().await;
    assert_eq!(decreases(&samples), []);
    assert_eq!(samples.iter().map(|sample| sample.sequence).max(), Some(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_operators_at_once_each_wins_or_is_told_that_it_lost() {
    let world = Setup::with_faults_on(&[]).start().await;
    let watch = Watch::start(&world);
    let mut sequence = 1;
    let mut lost = 0;
    for round in 1..=4 {
        let versions = [2 * round, 2 * round + 1];
        write_and_sign(&world, versions[0], &[11]).await;
        write_and_sign(&world, versions[1], &[12]).await;
        let slow = StoreFault {
            delay_ms: 100,
            ..StoreFault::default()
        };
        set_store_fault(&world, slow).await;
        let rolls = versions.map(|version| world.cluster.roll(version, &[]));
        let ends = futures::future::join_all(rolls).await;
        let mut accepted = 0;
        for end in ends {
            let end = end.expect("roll");
            if end.output.contains("accepted: ") {
                accepted += 1;
            } else {
                assert_eq!(end.result, StopResult::Failed(Some(4)), "{}", end.output);
                lost += 1;
            }
        }
        assert!(accepted > 0);
        sequence += accepted;
        wait_in_force(&world, sequence, LIMIT).await;
    }
    println!("figures: {lost} of 8 rolls lost");
    assert!(lost > 0, "the operators never met");
    let samples = watch.end().await;
    assert_eq!(decreases(&samples), []);
    let highest = samples.iter().map(|sample| sample.sequence).max();
    assert_eq!(highest, Some(sequence));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_frozen_in_its_roll_undoes_nothing() {
    let world = Setup::with_faults_on(&[FaultPath::Store]).start().await;
    let watch = Watch::start(&world);
    write_and_sign(&world, 2, &[11]).await;
    write_and_sign(&world, 3, &[12]).await;
    let slow = FaultRule {
        delay_us: 250_000,
        ..FaultRule::default()
    };
    world.set_rule(&[FaultPath::Store], slow);
    let frozen = world.cluster.start_roll(2, &[]).expect("roll");
    tokio::time::sleep(FREEZE_AFTER).await;
    frozen.process.freeze();
    world.set_rule(&[FaultPath::Store], FaultRule::default());

    let other = world.cluster.roll(3, &[]).await.expect("roll");
    assert_eq!(other.result, StopResult::Clean, "{}", other.output);
    frozen.process.thaw();
    let end = frozen.end().await.expect("roll");
    let accepted = end.output.contains("accepted: ");
    println!("figures: frozen roll ended with {:?}", end.result);
    if !accepted {
        assert_eq!(end.result, StopResult::Failed(Some(4)), "{}", end.output);
    }
    let sequence = 2 + u64::from(accepted);
    wait_in_force(&world, sequence, LIMIT).await;
    let samples = watch.end().await;
    assert_eq!(decreases(&samples), []);
    let highest = samples.iter().map(|sample| sample.sequence).max();
    assert_eq!(highest, Some(sequence));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_node_catches_up_when_woken() {
    let world = Setup::with_faults_on(&[]).start().await;
    let watch = Watch::start(&world);
    world.cluster.balancers[0].freeze();
    world.cluster.agents[0].freeze();
    world.roll_without_some(2, &bundle(2, &[11], &[])).await;
    world.roll_without_some(3, &bundle(3, &[], &[])).await;
    world.cluster.balancers[0].thaw();
    world.cluster.agents[0].thaw();
    wait_in_force(&world, 3, LIMIT).await;
    let samples = watch.end().await;
    assert_eq!(decreases(&samples), []);
}

/// Without other nodes to ask, a node that starts while the store is down stays without a bundle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_without_peers_gets_no_bundle_while_the_store_is_down() {
    let setup = Setup::with_faults_on(&[FaultPath::Control, FaultPath::Store]);
    let mut world = setup.start().await;
    world.set_rule(&[FaultPath::Store], STORE_DOWN);
    let alone = FaultRule {
        cut: woodladder_lab::fault_proxy::Cut::Both,
        ..FaultRule::default()
    };
    world.set_rule(&[FaultPath::Control], alone);
    world.cluster.start_balancer(3, &[]).expect("balancer");
    let address = world.balancer(3).at(HTTP_PORT);
    let ready = world.client.wait_ready(address, "/ready", LIMIT).await;
    assert!(!ready);
    assert_eq!(
        world
            .status(world.balancer(3))
            .await
            .expect("status")
            .sequence,
        0
    );
}

/// The check of the samples sees a node that goes back, in one run and over a restart.
#[test]
fn the_samples_show_a_node_that_goes_back() {
    let machine = ([127, 0, 0, 1], 1).into();
    let sample = |run, ready, sequence| Sample {
        machine,
        run,
        ready,
        sequence,
    };
    let good = [sample(1, true, 2), sample(2, false, 0), sample(2, true, 2)];
    assert_eq!(decreases(&good), []);
    let in_one_run = [sample(1, true, 2), sample(1, false, 1)];
    assert_eq!(decreases(&in_one_run).len(), 1);
    let over_a_restart = [sample(1, true, 2), sample(2, true, 1)];
    assert_eq!(decreases(&over_a_restart).len(), 1);
}
