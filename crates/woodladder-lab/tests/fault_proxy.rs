//! The fault proxy relays both ways and shows each fault, drawn from its seed.

mod support;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use support::{HttpClient, PATIENCE, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;
use woodladder_lab::fault_proxy::{
    Cut, Direction, Fate, FaultPlan, FaultProxy, FaultProxyConfig, FaultRule, Route,
};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Long enough to see that nothing comes.
const SILENCE: Duration = Duration::from_millis(150);

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind(ANY).await.expect("bind");
    let address = socket.local_addr().expect("address");
    tokio::spawn(async move {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..length], from).await;
        }
    });
    address
}

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind(ANY).await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn proxy() -> FaultProxy {
    let to = |upstream| Route {
        listen: ANY,
        upstream,
    };
    FaultProxy::start(FaultProxyConfig {
        udp: vec![to(udp_echo().await)],
        tcp: vec![to(tcp_echo().await)],
        seed: 1,
        ..FaultProxyConfig::default()
    })
    .await
    .expect("proxy")
}

async fn udp_client(proxy: &FaultProxy) -> UdpSocket {
    let client = UdpSocket::bind(ANY).await.expect("bind");
    client
        .connect(proxy.udp_addresses()[0])
        .await
        .expect("connect");
    client
}

async fn receive(client: &UdpSocket, limit: Duration) -> Option<String> {
    let mut buffer = [0; 2048];
    let length = timeout(limit, client.recv(&mut buffer)).await.ok()?.ok()?;
    Some(String::from_utf8_lossy(&buffer[..length]).into_owned())
}

#[tokio::test]
async fn relays_datagrams_of_several_clients_to_their_senders() {
    let proxy = proxy().await;
    let first = udp_client(&proxy).await;
    let second = udp_client(&proxy).await;
    first.send(b"first").await.expect("send");
    second.send(b"second").await.expect("send");
    assert_eq!(receive(&first, PATIENCE).await.as_deref(), Some("first"));
    assert_eq!(receive(&second, PATIENCE).await.as_deref(), Some("second"));
}

#[tokio::test]
async fn loses_and_cuts_datagrams_and_heals() {
    let proxy = proxy().await;
    let client = udp_client(&proxy).await;
    let rules = [
        FaultRule {
            loss: 1.0,
            ..FaultRule::default()
        },
        FaultRule {
            cut: Cut::ToUpstream,
            ..FaultRule::default()
        },
        FaultRule {
            cut: Cut::ToClient,
            ..FaultRule::default()
        },
        FaultRule {
            cut: Cut::Both,
            ..FaultRule::default()
        },
    ];
    for rule in rules {
        proxy.set_rule(rule);
        let lost = proxy.lost_datagrams();
        client.send(b"lost").await.expect("send");
        eventually("datagram lost", || proxy.lost_datagrams() == lost + 1).await;
        proxy.set_rule(FaultRule::default());
        client.send(b"healed").await.expect("send");
        assert_eq!(receive(&client, PATIENCE).await.as_deref(), Some("healed"));
    }
}

#[tokio::test]
async fn delivers_twice_late_and_after_a_freeze() {
    let proxy = proxy().await;
    let client = udp_client(&proxy).await;
    proxy.set_rule(FaultRule {
        duplicate: 1.0,
        delay_us: 1_000,
        jitter_us: 1_000,
        ..FaultRule::default()
    });
    client.send(b"x").await.expect("send");
    // Twice up, and each of these twice down.
    for _ in 0..4 {
        assert_eq!(receive(&client, PATIENCE).await.as_deref(), Some("x"));
    }
    proxy.set_rule(FaultRule {
        frozen: true,
        ..FaultRule::default()
    });
    client.send(b"held").await.expect("send");
    assert_eq!(receive(&client, SILENCE).await, None);
    proxy.set_rule(FaultRule::default());
    assert_eq!(receive(&client, PATIENCE).await.as_deref(), Some("held"));
}

#[tokio::test]
async fn holds_a_cut_stream_back_and_closes_a_refused_one() {
    let proxy = proxy().await;
    let mut stream = TcpStream::connect(proxy.tcp_addresses()[0])
        .await
        .expect("connect");
    let mut buffer = [0; 4];
    stream.write_all(b"open").await.expect("write");
    stream.read_exact(&mut buffer).await.expect("read");

    proxy.set_rule(FaultRule {
        cut: Cut::ToClient,
        ..FaultRule::default()
    });
    stream.write_all(b"held").await.expect("write");
    assert!(
        timeout(SILENCE, stream.read_exact(&mut buffer))
            .await
            .is_err()
    );
    proxy.set_rule(FaultRule {
        delay_us: 500,
        ..FaultRule::default()
    });
    timeout(PATIENCE, stream.read_exact(&mut buffer))
        .await
        .expect("in time")
        .expect("read");
    assert_eq!(&buffer, b"held");

    let client = HttpClient::default();
    let refuse = client
        .put(proxy.admin_address(), "/rule", r#"{"refuse":true}"#)
        .await;
    assert_eq!(refuse.expect("answer").status, 200);
    let ended = timeout(PATIENCE, stream.read(&mut buffer))
        .await
        .expect("in time");
    assert!(matches!(ended, Ok(0) | Err(_)));
}

#[test]
fn a_plan_repeats_itself_for_the_same_seed() {
    let rule = FaultRule {
        loss: 0.3,
        duplicate: 0.3,
        jitter_us: 5_000,
        ..FaultRule::default()
    };
    let fates = |seed| -> Vec<Fate> {
        let mut plan = FaultPlan::new(seed, 0);
        (0..1_000)
            .map(|_| plan.datagram(&rule, Direction::ToClient))
            .collect()
    };
    assert_eq!(fates(4), fates(4));
    assert_ne!(fates(4), fates(5));
    let lost = fates(4).iter().filter(|fate| **fate == Fate::Lost).count();
    assert!((200..400).contains(&lost), "{lost} of 1000 lost");
}

#[test]
fn a_changed_rule_shifts_no_later_draw() {
    let noisy = FaultRule {
        jitter_us: 5_000,
        ..FaultRule::default()
    };
    let cut = FaultRule {
        cut: Cut::Both,
        ..noisy
    };
    let mut undisturbed = FaultPlan::new(1, 0);
    let mut disturbed = undisturbed.clone();
    undisturbed.datagram(&noisy, Direction::ToClient);
    assert_eq!(disturbed.datagram(&cut, Direction::ToClient), Fate::Lost);
    assert_eq!(
        undisturbed.datagram(&noisy, Direction::ToUpstream),
        disturbed.datagram(&noisy, Direction::ToUpstream),
    );
}
