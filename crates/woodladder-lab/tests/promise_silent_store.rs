//! An accepted bundle is in force everywhere within eleven seconds although every open connection
//! to the store carries nothing any more, and clients of the platform's services lose one call only.

#[path = "support/cluster.rs"]
mod cluster;
#[path = "support/cluster_watch.rs"]
mod cluster_watch;

use std::net::SocketAddr;
use std::time::Duration;

use cluster::{Setup, World, bundle};
use cluster_watch::{Watch, decreases, nodes};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout};
use woodladder::endpoint::NodeStatus;
use woodladder::store::{ConsulStore, MachineListClient, Store as _};
use woodladder_core::control::store_operation::{StoreAnswer, StoreKey, StoreOperation};
use woodladder_lab::demo::{FaultPath, Flag};
use woodladder_lab::fault_proxy::{Cut, FaultProxy, FaultProxyConfig, FaultRule, Route};
use woodladder_lab::stand_in::machine_list::{MachineList, MachineListConfig};
use woodladder_lab::stand_in::store::{Store, StoreConfig, StoreFault};

const LIMIT: Duration = Duration::from_secs(11);
/// Time for which the command waits until the nodes have the bundle in force.
const ROLL_TIMEOUT: &str = "2s";
const PERIOD: Duration = Duration::from_millis(50);
const STATUS_LIMIT: Duration = Duration::from_millis(500);
/// Long enough that the connections of one node do not all wait in the same call.
const REST: Duration = Duration::from_secs(3);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which the client takes back the connections of calls that were answered.
const TAKE_BACK: Duration = Duration::from_millis(50);
/// Delay of the store's answers, in milliseconds, with which calls that begin together use a
/// connection each.
const SLOW_ANSWER_MS: u64 = 100;

/// Time until one node has at least this sequence in force.
async fn time_in_force(world: &World, node: SocketAddr, sequence: u64) -> Duration {
    let since = Instant::now();
    loop {
        let read = world.client.read::<NodeStatus>(node, "/status");
        let status = timeout(STATUS_LIMIT, read).await;
        if matches!(status, Ok(Ok(status)) if status.sequence >= sequence) {
            return since.elapsed();
        }
        assert!(
            since.elapsed() < 3 * LIMIT,
            "{node} has no sequence {sequence}"
        );
        sleep(PERIOD).await;
    }
}

/// Silences the connections to the store, rolls a bundle, and returns the time from the start of
/// the roll until it is in force at the last node.
async fn time_of_roll_over_silence(world: &World, version: u64) -> Duration {
    let text = bundle(version, &[], &[]);
    world.cluster.write_bundle(version, &text).expect("bundle");
    world.cluster.sign(version).await.expect("sign");
    world.proxies.silence_open_connections(FaultPath::Store);
    let machines = nodes(world);
    let times = machines
        .iter()
        .map(|node| time_in_force(world, *node, version));
    let flags = [Flag::new("--timeout", ROLL_TIMEOUT)];
    let (rolled, times) = tokio::join!(world.cluster.roll(version, &flags), join_all(times));
    let output = rolled.expect("roll").output;
    assert!(output.contains("accepted: "), "{output}");
    println!("figures: version {version} in force after {times:?}");
    times.into_iter().max().expect("nodes")
}

/// Guards against a store whose open connections carry nothing: a change waits for watches and
/// reads that nobody answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bundle_is_in_force_in_time_over_silent_store_connections() {
    let setup = Setup::with_faults_on(&[FaultPath::Store]);
    let world = setup.start().await;
    let watch = Watch::start(&world);
    for version in 2..=3 {
        sleep(REST).await;
        let time = time_of_roll_over_silence(&world, version).await;
        assert!(time < LIMIT, "version {version} in force after {time:?}");
    }
    assert_eq!(decreases(&watch.end().await), []);
}

/// Guards against nodes that depend on their neighbours to notice that their own connections to
/// the store carry nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_hear_no_other_node_have_a_bundle_in_force_in_time_over_silence() {
    let setup = Setup::with_faults_on(&[FaultPath::Control, FaultPath::Store]);
    let world = setup.start().await;
    let alone = FaultRule {
        cut: Cut::Both,
        ..FaultRule::default()
    };
    world.set_rule(&[FaultPath::Control], alone);
    for version in 2..=4 {
        sleep(REST).await;
        let time = time_of_roll_over_silence(&world, version).await;
        assert!(time < LIMIT, "version {version} in force after {time:?}");
    }
}

/// A proxy in front of a service of the platform.
async fn start_proxy(service: SocketAddr) -> FaultProxy {
    let config = FaultProxyConfig {
        tcp: vec![Route {
            listen: ([127, 0, 0, 1], 0).into(),
            upstream: service,
        }],
        ..FaultProxyConfig::default()
    };
    FaultProxy::start(config).await.expect("proxy")
}

/// Guards against a machine list that is read on a silent connection for ever.
#[tokio::test]
async fn only_one_read_of_the_machine_list_is_lost_on_a_connection_that_went_silent() {
    let list = MachineList::start(MachineListConfig::default()).await;
    let list = list.expect("list");
    let proxy = start_proxy(list.address()).await;
    let client = MachineListClient::new(proxy.tcp_addresses()[0]).expect("client");
    client.read().await.expect("read");
    sleep(TAKE_BACK).await;

    proxy.silence_open_connections();
    let since = Instant::now();
    client.read().await.expect_err("silent");
    client.read().await.expect("read");
    assert!(since.elapsed() < LIMIT, "{:?}", since.elapsed());
}

/// Guards against a client that loses one call after the other on connections that went silent
/// together.
#[tokio::test]
async fn only_one_call_is_lost_on_connections_that_went_silent_together() {
    let store = Store::start(StoreConfig::default()).await.expect("store");
    let proxy = start_proxy(store.address()).await;
    let logger = woodladder::log::discarding_logger();
    let client = ConsulStore::new(proxy.tcp_addresses().to_vec(), logger)
        .expect("client")
        .with_response_timeout(RESPONSE_TIMEOUT);
    let read = StoreOperation::Read {
        key: StoreKey::Current,
        wait: None,
    };
    store.set_fault(StoreFault {
        delay_ms: SLOW_ANSWER_MS,
        ..StoreFault::default()
    });
    let answers = join_all((0..4).map(|_| client.perform(&read))).await;
    assert_eq!(answers, vec![StoreAnswer::NotFound; 4]);
    sleep(TAKE_BACK).await;

    proxy.silence_open_connections();
    assert_eq!(client.perform(&read).await, StoreAnswer::Unknown);
    assert_eq!(client.perform(&read).await, StoreAnswer::NotFound);
}
