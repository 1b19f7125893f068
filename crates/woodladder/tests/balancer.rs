//! Tests the packet path of a balancer over real sockets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use ppp::v2::{Builder, Command, Protocol, Version};
use woodladder::balancer::{PacketDropReason, PacketPath, PacketPathConfig};
use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::configuration::snapshot::Snapshot;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::envelope::{Envelope, Route};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::router::Router;
use woodladder_core::packets::routing_table::RoutingTable;
use woodladder_core::packets::token::{TOKEN_NONCE_LENGTH, TokenKey, TokenKeys};
use woodladder_core::signature::OperatorKey;

const TIMEOUT: Duration = Duration::from_secs(20);
const ENVELOPE_SECRET: [u8; 16] = [7; 16];
const TARGET: TargetId = TargetId(12);
const SERVICE: ServiceId = ServiceId(1);

struct TestBench {
    path: PacketPath,
    router: Arc<ArcSwapOption<Router>>,
    agent: UdpSocket,
    fabric: UdpSocket,
    keys: TokenKeys,
}

fn address(text: &str) -> SocketAddr {
    text.parse()
        .unwrap_or_else(|_| SocketAddr::from(([0; 4], 0)))
}

fn caller() -> SocketAddr {
    address("10.1.0.9:5555")
}

fn service_address() -> SocketAddr {
    address("10.0.0.1:4433")
}

impl TestBench {
    fn start(workers: usize) -> std::io::Result<Self> {
        let agent = UdpSocket::bind("127.0.0.1:0")?;
        agent.set_read_timeout(Some(TIMEOUT))?;
        let router = Arc::new(ArcSwapOption::empty());
        let path = PacketPath::start(&PacketPathConfig {
            listen: address("127.0.0.1:0"),
            workers,
            socket_buffer_bytes: 1 << 20,
            router: router.clone(),
            envelope_key: TagKey::new(ENVELOPE_SECRET),
            logger: woodladder::log::discarding_logger(),
        })?;
        let current = TokenKey {
            number: 1,
            key: TagKey::new([9; 16]),
        };
        Ok(Self {
            path,
            router,
            agent,
            fabric: UdpSocket::bind("127.0.0.1:0")?,
            keys: TokenKeys {
                current,
                previous: None,
            },
        })
    }

    fn install_router(&self) -> std::io::Result<()> {
        let bundle = Bundle {
            version: 1,
            deployment: "test".to_owned(),
            zones: vec![Zone {
                name: "a".to_owned(),
                region: "a".to_owned(),
            }],
            services: vec![Service {
                id: SERVICE,
                name: "kitchen".to_owned(),
                addresses: vec![service_address()],
            }],
            targets: vec![Target {
                id: TARGET,
                service: SERVICE,
                address: self.agent.local_addr()?,
                zone: ZoneIndex(0),
                slots: 7,
                connections: 100,
                state: TargetState::Active,
            }],
        };
        let signed = SignedBundle::sign(bundle, &OperatorKey::from_bytes([3; 32]));
        let snapshot =
            Snapshot::following(None, signed, 0, Duration::ZERO).map_err(std::io::Error::other)?;
        let routing_table = Arc::new(RoutingTable::new(Sequence(5), &snapshot));
        self.router
            .store(Some(Arc::new(Router::new(routing_table, self.keys, 2))));
        Ok(())
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) -> std::io::Result<()> {
        let header = Builder::with_addresses(
            Version::Two | Command::Proxy,
            Protocol::Datagram,
            (caller(), to),
        );
        let mut bytes = header.build()?;
        bytes.extend_from_slice(datagram);
        self.send_raw(&bytes)
    }

    fn send_raw(&self, bytes: &[u8]) -> std::io::Result<()> {
        self.fabric.send_to(bytes, self.path.address()).map(drop)
    }

    /// Receives the next datagram that is sent to the agent.
    fn receive_at_agent(&self) -> std::io::Result<(Envelope, Vec<u8>)> {
        let mut buffer = [0; 4096];
        let length = self.agent.recv(&mut buffer)?;
        let (envelope, datagram) =
            Envelope::decode(&TagKey::new(ENVELOPE_SECRET), &buffer[..length])
                .map_err(std::io::Error::other)?;
        Ok((envelope, datagram.to_vec()))
    }

    fn wait_for_drops(&self, reason: PacketDropReason, count: u64) {
        let start = Instant::now();
        while self.path.counts().dropped(reason) < count {
            assert!(
                start.elapsed() < TIMEOUT,
                "{reason:?}: {:?}",
                self.path.counts()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(self.path.counts().dropped(reason), count);
    }

    fn established_packet(&self) -> Vec<u8> {
        let token = self.keys.issue(TARGET, [1; TOKEN_NONCE_LENGTH]);
        let mut packet = vec![0x40];
        packet.extend_from_slice(&token);
        packet.extend_from_slice(b"sealed");
        packet
    }
}

/// A packet that opens a flow: long header, version 1, Initial.
fn first_packet() -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
    packet.extend_from_slice(&[5; 8]);
    packet.resize(1200, 0);
    packet
}

#[test]
fn packets_reach_the_agent_that_their_token_names() -> std::io::Result<()> {
    let bench = TestBench::start(2)?;
    bench.install_router()?;
    let packet = bench.established_packet();
    bench.send(service_address(), &packet)?;
    let (envelope, datagram) = bench.receive_at_agent()?;
    assert_eq!(datagram, packet);
    assert_eq!(envelope.route, Route::Established(TARGET));
    assert_eq!(envelope.caller, caller());
    assert_eq!(envelope.service_address, service_address());
    assert_eq!(envelope.sequence, Sequence(5));
    Ok(())
}

#[test]
fn first_packets_carry_a_hop_list() -> std::io::Result<()> {
    let bench = TestBench::start(1)?;
    bench.install_router()?;
    bench.send(service_address(), &first_packet())?;
    let (envelope, datagram) = bench.receive_at_agent()?;
    assert_eq!(datagram.len(), 1200);
    assert_eq!(envelope.target(), Some(TARGET));
    assert!(matches!(envelope.route, Route::NewFlow(first) if first.must_decide));
    Ok(())
}

#[test]
fn before_the_first_bundle_packets_are_dropped_and_counted() -> std::io::Result<()> {
    let bench = TestBench::start(1)?;
    bench.send(service_address(), &first_packet())?;
    bench.wait_for_drops(PacketDropReason::NoBundle, 1);
    Ok(())
}

#[test]
fn malformed_datagrams_are_dropped_counted_and_do_no_harm() -> std::io::Result<()> {
    let bench = TestBench::start(1)?;
    bench.install_router()?;
    let header = Builder::with_addresses(
        Version::Two | Command::Proxy,
        Protocol::Datagram,
        (caller(), service_address()),
    );
    let header = header.build()?;
    for length in 1..header.len() {
        bench.send_raw(&header[..length])?;
    }
    let cut = u64::try_from(header.len() - 1).unwrap_or(0);
    bench.wait_for_drops(PacketDropReason::MalformedProxyHeader, cut);
    let stream = Builder::with_addresses(
        Version::Two | Command::Proxy,
        Protocol::Stream,
        (caller(), service_address()),
    );
    bench.send_raw(&stream.build()?)?;
    bench.wait_for_drops(PacketDropReason::NotProxied, 1);
    bench.send(service_address(), &[])?;
    bench.send(service_address(), &[0xc0, 0, 0])?;
    bench.wait_for_drops(PacketDropReason::MalformedPacket, 2);
    bench.send(address("10.9.9.9:1"), &bench.established_packet())?;
    bench.wait_for_drops(PacketDropReason::UnknownService, 1);
    let mut forged = bench.established_packet();
    forged[3] ^= 1;
    bench.send(service_address(), &forged)?;
    bench.wait_for_drops(PacketDropReason::InvalidToken, 1);
    bench.send(service_address(), &bench.established_packet())?;
    assert_eq!(bench.receive_at_agent()?.1, bench.established_packet());
    Ok(())
}
