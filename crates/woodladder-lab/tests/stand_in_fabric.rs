//! The fabric carries datagrams both ways, spreads them and leaves out unready balancers.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use support::{HttpClient, PATIENCE, eventually};
use tokio::net::UdpSocket;
use tokio::time::timeout;
use volo_http::server::Router;
use volo_http::server::route::get;
use woodladder_lab::stand_in::fabric::{BalancerEndpoint, Fabric, FabricConfig, FabricCounters};
use woodladder_lab::stand_in::gate::Gate;
use woodladder_lab::stand_in::http_server::HttpServer;
use woodladder_lab::stand_in::proxy_header::{self, ProxiedAddresses};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time between datagrams while waiting for a condition.
const TICK: Duration = Duration::from_millis(10);

async fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind(ANY).await.expect("bind");
    let address = socket.local_addr().expect("address");
    (socket, address)
}

fn without_health(address: SocketAddr) -> BalancerEndpoint {
    BalancerEndpoint {
        address,
        health: None,
    }
}

#[tokio::test]
async fn carries_a_datagram_and_its_answer() {
    let (balancer, balancer_address) = socket().await;
    let fabric = Fabric::start(FabricConfig {
        balancers: vec![without_health(balancer_address)],
        one_way_delay: Duration::from_millis(2),
        ..FabricConfig::default()
    })
    .await
    .expect("fabric");
    let service = fabric.service_addresses()[0];
    let (caller, caller_address) = socket().await;

    caller.send_to(b"question", service).await.expect("send");
    let mut buffer = [0; 2048];
    let length = balancer.recv(&mut buffer).await.expect("receive");
    let (addresses, payload) = proxy_header::decode(&buffer[..length]).expect("header");
    assert_eq!(payload, b"question");
    assert_eq!(addresses.source, caller_address);
    assert_eq!(addresses.destination, service);

    let back = ProxiedAddresses {
        source: service,
        destination: caller_address,
    };
    let mut answer = Vec::new();
    assert!(proxy_header::encode(back, b"answer", &mut answer));
    balancer
        .send_to(&answer, fabric.egress_address())
        .await
        .expect("send");
    let (length, from) = caller.recv_from(&mut buffer).await.expect("receive");
    assert_eq!(&buffer[..length], b"answer");
    assert_eq!(from, service);
    fabric.shutdown().await;
}

#[tokio::test]
async fn spreads_over_all_balancers_and_follows_a_change() {
    let (_first, first_address) = socket().await;
    let (_second, second_address) = socket().await;
    let fabric = Fabric::start(FabricConfig {
        balancers: vec![
            without_health(first_address),
            without_health(second_address),
        ],
        seed: 7,
        ..FabricConfig::default()
    })
    .await
    .expect("fabric");
    let (caller, _) = socket().await;
    for _ in 0..200 {
        caller
            .send_to(b"x", fabric.service_addresses()[0])
            .await
            .expect("send");
    }
    eventually("200 datagrams carried", || total(&fabric.counters()) == 200).await;
    assert!(
        fabric
            .counters()
            .balancers
            .iter()
            .all(|count| count.datagrams > 50)
    );

    let client = HttpClient::default();
    let only_second = format!(r#"[{{"address":"{second_address}"}}]"#);
    let answer = client
        .put(fabric.admin_address(), "/balancers", only_second)
        .await
        .expect("answer");
    assert!(answer.status.is_success());
    let first_before = sent_to(&fabric.counters(), first_address);
    for _ in 0..50 {
        caller
            .send_to(b"x", fabric.service_addresses()[0])
            .await
            .expect("send");
    }
    eventually("250 datagrams carried", || total(&fabric.counters()) == 250).await;
    let counters: FabricCounters = client
        .get(fabric.admin_address(), "/counters")
        .await
        .expect("counters")
        .json();
    assert_eq!(sent_to(&counters, first_address), first_before);
}

#[tokio::test]
async fn sends_to_a_balancer_only_while_its_health_check_succeeds() {
    let gate = Gate::default();
    let ready = Router::new().route("/ready", get(async || "ready"));
    let health = HttpServer::start(ANY, ready, gate.clone())
        .await
        .expect("server");
    let (balancer, balancer_address) = socket().await;
    let fabric = Fabric::start(FabricConfig {
        balancers: vec![BalancerEndpoint {
            address: balancer_address,
            health: Some(health.address()),
        }],
        health_interval: Duration::from_millis(50),
        ..FabricConfig::default()
    })
    .await
    .expect("fabric");
    let (caller, _) = socket().await;
    let service = fabric.service_addresses()[0];
    let mut buffer = [0; 128];

    let arrived = async {
        loop {
            caller.send_to(b"x", service).await.expect("send");
            if timeout(TICK, balancer.recv(&mut buffer)).await.is_ok() {
                return;
            }
        }
    };
    timeout(PATIENCE, arrived).await.expect("never ready");

    gate.set_shut(true);
    let dropped_before = fabric.counters().dropped_without_balancer;
    let dropped = async {
        while fabric.counters().dropped_without_balancer == dropped_before {
            caller.send_to(b"x", service).await.expect("send");
            tokio::time::sleep(TICK).await;
        }
    };
    timeout(PATIENCE, dropped).await.expect("still sent to");
}

#[tokio::test]
async fn drops_and_counts_malformed_and_foreign_answers() {
    let fabric = Fabric::start(FabricConfig::default())
        .await
        .expect("fabric");
    let (agent, agent_address) = socket().await;
    agent
        .send_to(b"no header", fabric.egress_address())
        .await
        .expect("send");
    let foreign = ProxiedAddresses {
        source: agent_address,
        destination: agent_address,
    };
    let mut datagram = Vec::new();
    assert!(proxy_header::encode(foreign, b"x", &mut datagram));
    agent
        .send_to(&datagram, fabric.egress_address())
        .await
        .expect("send");
    eventually("both counted", || {
        let counters = fabric.counters();
        counters.dropped_malformed == 1 && counters.dropped_unknown_service == 1
    })
    .await;
}

#[tokio::test]
async fn refuses_a_malformed_list_of_balancers() {
    let fabric = Fabric::start(FabricConfig::default())
        .await
        .expect("fabric");
    let answer = HttpClient::default()
        .send(Method::PUT, fabric.admin_address(), "/balancers", "[{}]")
        .await
        .expect("answer");
    assert_eq!(answer.status, 400);
}

fn total(counters: &FabricCounters) -> u64 {
    counters.balancers.iter().map(|count| count.datagrams).sum()
}

fn sent_to(counters: &FabricCounters, address: SocketAddr) -> u64 {
    counters
        .balancers
        .iter()
        .filter(|count| count.address == address)
        .map(|count| count.datagrams)
        .sum()
}
