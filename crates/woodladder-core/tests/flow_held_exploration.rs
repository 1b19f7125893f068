//! Random runs of callers, an agent that queues requests, and a target. Packets are
//! lost, retransmitted and forwarded by different balancers.

mod flow_support;

use std::collections::{BTreeMap, BTreeSet};

use flow_support::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{Agent, AgentAction, ForwardDecision, Heartbeat};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::message::{ForwardPurpose, Snapshot};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

const SEEDS: u64 = 200;
const FLOWS: u16 = 8;
const RUN_MS: u64 = 4000;
const SLOTS: u16 = 2;
/// Requests that a target with two slots is given at once.
const MAXIMUM_DELIVERED: u16 = 3;
const PACKET_BYTES: u32 = 100;
/// Pauses of a caller before each retransmission, in milliseconds.
const RETRANSMISSION_PAUSES_MS: [u64; 4] = [200, 400, 800, 1600];

fn at(milliseconds: u64) -> Instant {
    flow_support::at(10_000 + milliseconds)
}

/// A caller that sends one request after the other on its flow, each in one to three
/// packets, and retransmits requests that are not answered.
struct Caller {
    key: FlowKey,
    next: u32,
    packets: Vec<u32>,
    sends: usize,
    send_at: u64,
}

/// The target's side of the flows: the received packets and the requests in progress.
#[derive(Default)]
struct Target {
    /// Sequence numbers of the received packets, by the caller's port.
    arrived: BTreeMap<u16, BTreeSet<u32>>,
    /// When the answer to a flow's request begins, by the caller's port.
    answers: BTreeMap<u16, u64>,
}

struct World {
    random: ChaCha8Rng,
    agent: Agent,
    callers: Vec<Caller>,
    target: Target,
    seed: u64,
}

fn route(number: u8, priority: u8) -> Route {
    Route {
        address: route_address(number),
        parts: vec![RoutePart {
            service: main_service(),
            weight: 1,
        }],
        terms: RouteTerms {
            priority,
            aim_ms: 250,
            timeout_ms: 1000,
            is_repeatable: false,
        },
    }
}

fn agent_that_queues_requests() -> Agent {
    let mut agent = empty_agent();
    let snapshot = Snapshot {
        configuration: Some(Configuration {
            version: 1,
            routes: vec![route(1, 2), route(2, 1)],
            services: Vec::new(),
            idle_timeout_ms: 15_000,
        }),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, flow_support::at(0));
    let beat = Heartbeat {
        slots: SLOTS,
        ..heartbeat(1, 1)
    };
    agent
        .handle_heartbeat(&beat, flow_support::at(0))
        .expect("heartbeat");
    agent
}

impl World {
    fn new(seed: u64) -> Self {
        let mut agent = agent_that_queues_requests();
        let mut callers = Vec::new();
        for port in 1..=FLOWS {
            let key = FlowKey {
                service: route_address(1 + u8::from(port % 3 == 0)),
                ..flow(port)
            };
            open_flow_at(&mut agent, key, at(0));
            agent.handle_target_packet(&data(key, 5001, 1101), None, at(1));
            callers.push(Caller {
                key,
                next: 1101,
                packets: Vec::new(),
                sends: 0,
                send_at: u64::from(port) * 7,
            });
        }
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            agent,
            callers,
            target: Target::default(),
            seed,
        }
    }

    fn run(&mut self) {
        for now in 2..RUN_MS {
            for index in 0..self.callers.len() {
                if now >= self.callers[index].send_at {
                    self.send(index, now);
                }
            }
            self.answer(now);
            let mut actions = Vec::new();
            if now % 25 == 0 {
                self.agent.tick(at(now), &mut actions);
            }
            self.agent.dispatch_queued(at(now), &mut actions);
            self.carry_out(actions, now);
            self.check_work_conserving(now);
        }
    }

    fn send(&mut self, index: usize, now: u64) {
        let count = self.random.random_range(1..=3u32);
        let caller = &mut self.callers[index];
        if caller.packets.is_empty() {
            caller.packets = (0..count)
                .map(|it| caller.next + it * PACKET_BYTES)
                .collect();
            caller.next += count * PACKET_BYTES;
        }
        let pause = RETRANSMISSION_PAUSES_MS[caller.sends.min(RETRANSMISSION_PAUSES_MS.len() - 1)];
        caller.sends += 1;
        caller.send_at = now + pause;
        let (key, packets) = (caller.key, caller.packets.clone());
        for sequence in packets {
            if self.random.random_bool(0.05) {
                continue;
            }
            let balancer = self.random.random_range(1..=2);
            self.forward(balancer, &data(key, sequence, 5101), now);
        }
    }

    fn forward(&mut self, balancer: u8, packet: &FlowPacket, now: u64) {
        let header = header(1, ForwardPurpose::Established);
        let bytes = bytes_of(packet);
        let delivery =
            self.agent
                .handle_forwarded_packet(node(balancer), &header, packet, &bytes, at(now));
        match delivery {
            ForwardDecision::Deliver { .. } => self.arrive(packet.key, packet.sequence, false, now),
            ForwardDecision::NoReply => {}
            other => panic!("seed {}: {other:?}", self.seed),
        }
    }

    fn carry_out(&mut self, actions: Vec<AgentAction>, now: u64) {
        for action in actions {
            if let AgentAction::Deliver { packet, .. } = action {
                let (key, sequence) = parse(&packet);
                self.arrive(key, sequence, true, now);
            }
        }
    }

    fn arrive(&mut self, key: FlowKey, sequence: u32, has_waited: bool, now: u64) {
        let port = key.caller.port();
        let is_new = self
            .target
            .arrived
            .entry(port)
            .or_default()
            .insert(sequence);
        assert!(
            is_new || !has_waited,
            "seed {}: {key} {sequence} handed over twice",
            self.seed
        );
        if !is_new {
            return;
        }
        let caller = self.callers.iter().find(|caller| caller.key == key);
        let arrived = &self.target.arrived[&port];
        let is_whole = caller.is_some_and(|it| it.packets.iter().all(|one| arrived.contains(one)));
        if is_whole {
            let work = self.random.random_range(5..80);
            self.target.answers.insert(port, now + work);
        }
    }

    fn answer(&mut self, now: u64) {
        let due: Vec<u16> = self
            .target
            .answers
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(port, _)| *port)
            .collect();
        for port in due {
            self.target.answers.remove(&port);
            let caller = &mut self.callers[usize::from(port) - 1];
            let answer = packet(caller.key, PacketKind::Data, 5101, caller.next, 100);
            self.agent.handle_target_packet(&answer, None, at(now));
            caller.packets.clear();
            caller.sends = 0;
            caller.send_at = now + self.random.random_range(0..60);
        }
    }

    /// Checks that no request waits while the target has a free slot.
    fn check_work_conserving(&self, now: u64) {
        let load = self.agent.load();
        assert!(
            load.queued == 0 || load.busy + load.opening >= MAXIMUM_DELIVERED,
            "seed {} at {now} ms: {load:?}",
            self.seed
        );
    }
}

fn bytes_of(packet: &FlowPacket) -> Vec<u8> {
    let port = packet.key.caller.port().to_be_bytes();
    let route = packet.key.service.ip().octets()[3];
    [&port[..], &[route], &packet.sequence.to_be_bytes()].concat()
}

fn parse(bytes: &[u8]) -> (FlowKey, u32) {
    let key = FlowKey {
        service: route_address(bytes[2]),
        ..flow(u16::from_be_bytes([bytes[0], bytes[1]]))
    };
    let sequence = u32::from_be_bytes([bytes[3], bytes[4], bytes[5], bytes[6]]);
    (key, sequence)
}

/// No queued packet may be delivered twice, no slot may be idle while a request waits,
/// and every caller must get its requests answered.
#[test]
fn queued_requests_are_delivered_once_without_idle_slots_or_losses() {
    let mut queued = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.run();
        queued += world.agent.counters().requests_queued;
        for caller in &world.callers {
            let answered = caller.next - 1101;
            assert!(
                answered >= 5 * PACKET_BYTES,
                "seed {seed}: {} stands still at {answered}",
                caller.key
            );
        }
    }
    assert!(queued > SEEDS * 100, "requests are queued: {queued}");
}

/// The packets of a queued request must be delivered in order of their sequence numbers,
/// whatever order they arrive in.
#[test]
fn packets_of_a_queued_request_are_delivered_in_sequence_order() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut agent = agent_that_queues_requests();
        for port in 1..=4 {
            open_flow_at(&mut agent, flow(port), at(0));
            agent.handle_target_packet(&data(flow(port), 5001, 1101), None, at(1));
        }
        let header = header(1, ForwardPurpose::Established);
        for port in 1..=MAXIMUM_DELIVERED {
            forward_to(&mut agent, &header, &data(flow(port), 1101, 5101), at(10));
        }
        let mut sequences: Vec<u32> = (0..6).map(|it| 1101 + it * PACKET_BYTES).collect();
        for place in (1..sequences.len()).rev() {
            sequences.swap(place, random.random_range(0..=place));
        }
        for sequence in sequences {
            let packet = data(flow(4), sequence, 5101);
            let bytes = bytes_of(&packet);
            let delivery = agent.handle_forwarded_packet(node(1), &header, &packet, &bytes, at(20));
            assert_eq!(delivery, ForwardDecision::NoReply);
        }
        agent.handle_target_packet(&data(flow(1), 5101, 1201), None, at(40));
        let mut actions = Vec::new();
        agent.dispatch_queued(at(40), &mut actions);
        let left: Vec<u32> = actions
            .iter()
            .filter_map(|action| match action {
                AgentAction::Deliver { packet, .. } => Some(parse(packet).1),
                _ => None,
            })
            .collect();
        let in_order: Vec<u32> = (0..6).map(|it| 1101 + it * PACKET_BYTES).collect();
        assert_eq!(left, in_order, "seed {seed}");
    }
}
