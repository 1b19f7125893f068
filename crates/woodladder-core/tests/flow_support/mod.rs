//! Builders and helpers that the tests of flow load balancing share.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentOptions, ForwardDecision, Heartbeat, TargetPacketDecision,
};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, BalancerOptions, Routing};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::excluded_zones::ExcludedZones;
use woodladder_core::flow::identity::{FlowKey, Incarnation, NodeAddress, ServiceKey, ZoneKey};
use woodladder_core::flow::message::{
    BalancerHello, ForwardHeader, ForwardPurpose, OpeningTerms, PeerMessage, TargetLoad,
    TargetReport, TargetState,
};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Processor of the balancers in these tests, in thousandths of a core.
pub const CAPACITY: u32 = 500;
/// Port for messages between nodes.
const PEER_PORT: u16 = 7000;

/// The instant this many milliseconds after the clock's origin.
pub fn at(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

/// Address of the node on the machine with this number.
pub fn node(number: u8) -> NodeAddress {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), PEER_PORT)
}

/// Address of the route with this number.
pub fn route_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

/// The service that most tests use.
pub fn main_service() -> ServiceKey {
    ServiceKey::named("kitchen")
}

/// Another service, whose packets must not reach [`main_service`].
pub fn other_service() -> ServiceKey {
    ServiceKey::named("print")
}

/// A flow from this port of the caller to the first route.
pub fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: route_address(1),
    }
}

/// An opening that was retransmitted `copy` times before.
pub fn opening(key: FlowKey, copy: u32) -> FlowPacket {
    packet(key, PacketKind::Open, 1000, copy, 0)
}

/// A data packet from the caller.
pub fn data(key: FlowKey, sequence: u32, acknowledgement: u32) -> FlowPacket {
    packet(key, PacketKind::Data, sequence, acknowledgement, 100)
}

pub fn packet(
    key: FlowKey,
    kind: PacketKind,
    sequence: u32,
    acknowledgement: u32,
    payload_length: u16,
) -> FlowPacket {
    FlowPacket {
        key,
        kind,
        sequence,
        acknowledgement,
        payload_length,
    }
}

/// A configuration whose first route leads to [`main_service`].
pub fn configuration(version: u64) -> Arc<Configuration> {
    configuration_of(version, &[(1, &[(main_service(), 1)])])
}

/// A configuration with these routes.
pub fn configuration_of(version: u64, routes: &[(u8, &[(ServiceKey, u32)])]) -> Arc<Configuration> {
    let routes = routes.iter().map(|(number, parts)| Route {
        address: route_address(*number),
        parts: parts
            .iter()
            .map(|(service, weight)| RoutePart {
                service: *service,
                weight: *weight,
            })
            .collect(),
        terms: RouteTerms::default(),
    });
    Arc::new(Configuration {
        version,
        routes: routes.collect(),
        services: Vec::new(),
        idle_timeout_ms: 15_000,
    })
}

/// A balancer on machine 1 without a configuration.
pub fn empty_balancer() -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    Balancer::new(options, at(0))
}

/// A balancer with a configuration and a large flow table.
pub fn large_table_balancer() -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        flow_capacity: 100_000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    balancer
}

/// A balancer on machine 1 with a configuration and ready agents, ten seconds after its
/// start.
pub fn balancer(agents: &[u8]) -> Balancer {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration(1));
    for agent in agents {
        deliver_report(&mut balancer, *agent, &report(*agent, 1), at(10_000));
    }
    balancer
}

/// A report of a ready target with seven slots.
pub fn report(agent: u8, sequence: u64) -> TargetReport {
    TargetReport {
        epoch: u64::from(agent),
        sequence,
        service: main_service(),
        incarnation: Some(Incarnation(u64::from(agent))),
        started_at_ms: None,
        previous_heartbeat_age_ms: 0,
        knows_all_flows: false,
        zone: ZoneKey::named("a"),
        state: TargetState::Ready,
        slots: 7,
        warm_up_ms: 0,
        load: TargetLoad::default(),
        version: 1,
        interval_ms: 100,
    }
}

/// The message of an agent that its target has ended, in the epoch of [`report`].
pub fn target_ended(agent: u8) -> PeerMessage {
    PeerMessage::TargetEnded {
        epoch: u64::from(agent),
    }
}

/// The message of an agent that it stops while its target may run on, in the epoch of
/// [`report`].
pub fn agent_stops(agent: u8) -> PeerMessage {
    PeerMessage::AgentStops {
        epoch: u64::from(agent),
    }
}

/// Delivers an agent's report to a balancer.
pub fn deliver_report(
    balancer: &mut Balancer,
    agent: u8,
    report: &TargetReport,
    now: Instant,
) -> Vec<BalancerAction> {
    deliver_message(balancer, agent, PeerMessage::Report(*report), now)
}

/// Delivers a message without a packet to a balancer.
pub fn deliver_message(
    balancer: &mut Balancer,
    agent: u8,
    message: PeerMessage,
    now: Instant,
) -> Vec<BalancerAction> {
    let mut actions = Vec::new();
    balancer.handle_message(node(agent), message, None, now, &mut actions);
    actions
}

/// Delivers a message that carries a packet to a balancer.
pub fn deliver_message_with_packet(
    balancer: &mut Balancer,
    agent: u8,
    message: PeerMessage,
    packet: &FlowPacket,
    now: Instant,
) -> Vec<BalancerAction> {
    let mut actions = Vec::new();
    balancer.handle_message(
        node(agent),
        message,
        Some((packet, b"packet")),
        now,
        &mut actions,
    );
    actions
}

/// Agents that a packet is sent to.
pub fn receivers(routing: &Routing) -> Vec<NodeAddress> {
    match routing {
        Routing::One { to, .. } => vec![*to],
        Routing::Relay(to) => vec![*to],
        Routing::Several(list) => list.iter().map(|(to, _)| *to).collect(),
        Routing::Reset(_) | Routing::Drop(_) => Vec::new(),
    }
}

/// Options of an agent of [`main_service`] on machine 9.
pub fn agent_options() -> AgentOptions {
    AgentOptions {
        address: node(9),
        zone: ZoneKey::named("a"),
        service: main_service(),
        epoch: 1,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        warm_up: None,
        records_leavings: false,
    }
}

/// An agent of [`main_service`] on machine 9 that has heard nothing yet.
pub fn empty_agent() -> Agent {
    Agent::new(agent_options(), at(0))
}

/// An agent whose target started together with it.
pub fn agent() -> Agent {
    let mut agent = empty_agent();
    agent
        .handle_heartbeat(&heartbeat(1, 1), at(0))
        .expect("heartbeat");
    agent
}

/// A heartbeat of a ready target with seven slots.
pub fn heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(incarnation),
        instance: Incarnation(incarnation),
        started_at_ms: None,
        service: main_service(),
        leaving: false,
        slots: 7,
        warm_up_remaining: Duration::ZERO,
        sequence,
    }
}

/// A header for a packet that a balancer with this configuration version forwards.
pub fn header(version: u64, purpose: ForwardPurpose) -> ForwardHeader {
    ForwardHeader {
        service: main_service(),
        version,
        purpose,
    }
}

/// An opening that has just arrived, at a balancer that does not know the target's load.
pub fn opening_terms() -> OpeningTerms {
    OpeningTerms {
        age_ms: 0,
        aim_ms: 300,
        timeout_ms: u32::MAX,
        is_urgent: false,
        estimated_load: None,
    }
}

/// Delivers to an agent a packet that balancer 1 forwards.
pub fn forward_to(
    agent: &mut Agent,
    header: &ForwardHeader,
    packet: &FlowPacket,
    now: Instant,
) -> ForwardDecision {
    forward_from(agent, 1, header, packet, now)
}

/// Delivers to an agent a packet that a balancer forwards.
pub fn forward_from(
    agent: &mut Agent,
    balancer: u8,
    header: &ForwardHeader,
    packet: &FlowPacket,
    now: Instant,
) -> ForwardDecision {
    agent.handle_forwarded_packet(node(balancer), header, packet, b"packet", now)
}

/// A header for an opening.
pub fn open_header(version: u64) -> ForwardHeader {
    header(version, ForwardPurpose::Open(opening_terms()))
}

/// Whether a packet is delivered to the target.
pub fn is_delivered(delivery: &ForwardDecision) -> bool {
    matches!(delivery, ForwardDecision::Deliver { .. })
}

/// Opens a flow at an agent's target.
pub fn open_flow_at(agent: &mut Agent, key: FlowKey, now: Instant) {
    let delivery = forward_to(agent, &open_header(1), &opening(key, 0), now);
    assert!(is_delivered(&delivery), "{delivery:?}");
    let accept = packet(key, PacketKind::Accept, 5000, 1001, 0);
    let departure = agent.handle_target_packet(&accept, None, now);
    assert!(matches!(departure, TargetPacketDecision::ToCaller(Some(_))));
    let first = header(1, ForwardPurpose::Established);
    let delivery = forward_to(agent, &first, &data(key, 1001, 5001), now);
    assert!(is_delivered(&delivery), "{delivery:?}");
}

/// Delivers a caller's packet to a balancer.
pub fn deliver_caller_packet(
    balancer: &mut Balancer,
    packet: &FlowPacket,
    now: Instant,
) -> Routing {
    balancer.route_caller_packet(packet, b"packet", now)
}

/// A hello of another balancer of the same zone and size, which uses version 1.
pub fn peer_hello() -> BalancerHello {
    BalancerHello {
        version: 1,
        report_interval_ms: 100,
        requests_report: false,
        next_hello_within_ms: 500,
        confirmed_ago_ms: None,
        excluded_zones: ExcludedZones::default(),
        is_leaving: false,
        has_agent_contact: true,
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        can_serve: true,
        balancers: vec![],
    }
}
