//! Cost of a balancer's decision about one datagram, at the greatest number of
//! targets and service addresses, with random access.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use woodladder_core::configuration::bundle::{
    Bundle, Service, SignedBundle, Target, TargetState, Zone,
};
use woodladder_core::identifier::{Sequence, ServiceId, TargetId, ZoneIndex};
use woodladder_core::packets::keyed_tag::{TAG_KEY_LENGTH, TagKey};
use woodladder_core::packets::router::{DEFAULT_HOPS, InboundDatagram, Router};
use woodladder_core::packets::token::{TOKEN_LENGTH, TOKEN_NONCE_LENGTH};
use woodladder_core::signature::{KEY_LENGTH, OperatorKey};

use super::datagram::{CLIENT_ID_LENGTH, DatagramWriter};
use super::deployment::follow;
use super::experiment::SeedRange;
use super::world::model_keys;

/// Targets in the directory.
pub const TARGETS: u32 = 6300;
/// Services, each with one address.
pub const SERVICES: u32 = 1500;
/// Datagrams of each kind that a round goes through in random order.
const DATAGRAMS: usize = 1 << 14;
/// Times that a round goes through all datagrams.
const PASSES: usize = 32;
/// Rounds; the kinds alternate, and the median round counts.
const ROUNDS: usize = 9;
/// Length of the measured datagrams of established flows.
const ESTABLISHED_LENGTH: usize = 200;
/// Room for a datagram with its envelope.
const BUFFER_CAPACITY: usize = 4096;
const SLOTS: u16 = 7;
const CONNECTIONS: u32 = 2000;
const PORT: u16 = 4433;
const OPERATOR_KEY: [u8; KEY_LENGTH] = [7; KEY_LENGTH];

/// Figures of the decision, in nanoseconds per datagram.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionFigures {
    /// The seed, as a range of one.
    pub seeds: SeedRange,
    /// Targets in the directory.
    pub targets: u32,
    /// Service addresses in the directory.
    pub addresses: u32,
    /// Decisions per kind and round.
    pub decisions: u64,
    /// An established flow's packet.
    pub established: f64,
    /// A flow's first packet.
    pub new_flow: f64,
    /// An established flow's packet, written into its envelope too.
    pub established_enveloped: f64,
    /// A flow's first packet, written into its envelope too.
    pub new_flow_enveloped: f64,
}

/// What distinguishes a datagram from others of its kind.
#[derive(Clone, Copy)]
struct Packet {
    caller: SocketAddr,
    service_address: SocketAddr,
    identifier: Identifier,
}

/// Connection identifier of a datagram.
#[derive(Clone, Copy)]
enum Identifier {
    Token([u8; TOKEN_LENGTH]),
    Client([u8; CLIENT_ID_LENGTH]),
}

impl Packet {
    /// The datagram as if it had just been received: written into a buffer that
    /// is used again for each.
    fn inbound<'a>(&self, writer: &'a mut DatagramWriter) -> InboundDatagram<'a> {
        let datagram = match &self.identifier {
            Identifier::Token(token) => writer.established(token),
            Identifier::Client(client_id) => writer.initial(*client_id),
        };
        InboundDatagram {
            caller: self.caller,
            service_address: self.service_address,
            datagram,
        }
    }
}

/// Measures decisions; `None` when the directory cannot be laid out.
#[must_use]
pub fn measure(seed: u64) -> Option<DecisionFigures> {
    let bench = Bench::new(seed)?;
    let mut rounds: [Vec<f64>; 4] = Default::default();
    for _ in 0..ROUNDS {
        rounds[0].push(bench.route(&bench.established));
        rounds[1].push(bench.route(&bench.new_flow));
        rounds[2].push(bench.route_and_encode(&bench.established));
        rounds[3].push(bench.route_and_encode(&bench.new_flow));
    }
    let [
        established,
        new_flow,
        established_enveloped,
        new_flow_enveloped,
    ] = rounds.map(median);
    Some(DecisionFigures {
        seeds: SeedRange {
            first: seed,
            end: seed + 1,
        },
        targets: TARGETS,
        addresses: SERVICES,
        decisions: (DATAGRAMS * PASSES) as u64,
        established,
        new_flow,
        established_enveloped,
        new_flow_enveloped,
    })
}

struct Bench {
    router: Router,
    key: TagKey,
    established: Vec<Packet>,
    new_flow: Vec<Packet>,
}

impl Bench {
    fn new(seed: u64) -> Option<Self> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let key = OperatorKey::from_bytes(OPERATOR_KEY);
        let signed = SignedBundle::sign(bundle(), &key);
        let (_, directory) = follow(None, signed, Sequence(1))?;
        let router = Router::new(directory, model_keys(), DEFAULT_HOPS);
        let established = (0..DATAGRAMS).map(|_| established(&mut random)).collect();
        let new_flow = (0..DATAGRAMS).map(|_| new_flow(&mut random)).collect();
        Some(Self {
            router,
            key: TagKey::new([5; TAG_KEY_LENGTH]),
            established,
            new_flow,
        })
    }

    /// Nanoseconds per decision.
    fn route(&self, packets: &[Packet]) -> f64 {
        let mut writer = DatagramWriter::new(ESTABLISHED_LENGTH);
        time(packets, |packet| {
            let _ = black_box(self.router.route(&packet.inbound(&mut writer)));
        })
    }

    /// Nanoseconds per decision with its envelope written.
    fn route_and_encode(&self, packets: &[Packet]) -> f64 {
        let mut writer = DatagramWriter::new(ESTABLISHED_LENGTH);
        let mut buffer = Vec::with_capacity(BUFFER_CAPACITY);
        time(packets, |packet| {
            let inbound = packet.inbound(&mut writer);
            if let Ok(forward) = self.router.route(&inbound) {
                let envelope = &forward.envelope;
                envelope.encode_into(&self.key, inbound.datagram, &mut buffer);
            }
            black_box(&buffer);
        })
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn time(packets: &[Packet], mut decide: impl FnMut(&Packet)) -> f64 {
    let start = Instant::now();
    for _ in 0..PASSES {
        packets.iter().for_each(&mut decide);
    }
    let nanoseconds = start.elapsed().as_nanos() as f64;
    nanoseconds / (packets.len() * PASSES) as f64
}

fn median(mut rounds: Vec<f64>) -> f64 {
    rounds.sort_by(f64::total_cmp);
    rounds.get(rounds.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Targets are dealt out to the services in turn.
fn bundle() -> Bundle {
    let services = (1..=SERVICES).map(|id| Service {
        id: ServiceId(id),
        name: format!("service-{id}"),
        addresses: vec![service_address(id)],
    });
    let targets = (0..TARGETS).map(|index| Target {
        id: TargetId(index),
        service: ServiceId(service_of(index)),
        address: agent_address(index),
        zone: ZoneIndex(0),
        slots: SLOTS,
        connections: CONNECTIONS,
        state: TargetState::Active,
    });
    Bundle {
        version: 1,
        deployment: "decision".to_owned(),
        zones: vec![Zone {
            name: "zone".to_owned(),
            region: "region".to_owned(),
        }],
        services: services.collect(),
        targets: targets.collect(),
    }
    .canonical()
}

fn service_of(target: u32) -> u32 {
    target % SERVICES + 1
}

fn service_address(service: u32) -> SocketAddr {
    let [_, _, high, low] = service.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(198, 18, high, low), PORT))
}

fn agent_address(target: u32) -> SocketAddr {
    let [_, _, high, low] = target.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 1, high, low), PORT))
}

fn caller(random: &mut ChaCha8Rng) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(random.random::<u32>()), random.random()))
}

fn established(random: &mut ChaCha8Rng) -> Packet {
    let target = random.random_range(0..TARGETS);
    let nonce: [u8; TOKEN_NONCE_LENGTH] = random.random();
    Packet {
        caller: caller(random),
        service_address: service_address(service_of(target)),
        identifier: Identifier::Token(model_keys().issue(TargetId(target), nonce)),
    }
}

fn new_flow(random: &mut ChaCha8Rng) -> Packet {
    Packet {
        caller: caller(random),
        service_address: service_address(random.random_range(1..=SERVICES)),
        identifier: Identifier::Client(random.random()),
    }
}
