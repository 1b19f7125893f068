//! Memory of full flow tables. Prints what docs/CAPACITY.md states: run with
//! `cargo test -p woodladder-core --test flow_table_memory -- --nocapture`.

mod flow_support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, AgentOptions};
use woodladder_core::flow::balancer::{Balancer, BalancerOptions};
use woodladder_core::flow::identity::{FlowKey, ZoneKey};
use woodladder_core::flow::message::PeerMessage;
use woodladder_core::flow::packet::PacketKind;

/// Capacities of the nodes' tables.
const BALANCER_FLOWS: u32 = 400_000;
const AGENT_FLOWS: u32 = 100_000;
/// Memory that the platform's pages grant a process, in bytes: 260 MB and 128 MB.
const BALANCER_MEMORY: u64 = 260_000_000;
const AGENT_MEMORY: u64 = 128_000_000;
/// Flows that are opened between two rounds in which every flow is used: as many as a
/// generation of the balancer's table takes.
const FLOWS_PER_ROUND: u32 = BALANCER_FLOWS / 2;
/// Rounds; together they open half as many flows again as the table takes.
const ROUNDS: u32 = 3;
/// Openings between two reports that state an idle target.
const OPENINGS_PER_REPORT: u32 = 64;

fn key(number: u32) -> FlowKey {
    let address = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + number / 50_000);
    let port = u16::try_from(1024 + number % 50_000).expect("a port");
    FlowKey {
        caller: SocketAddrV4::new(address, port),
        service: route_address(1),
    }
}

/// A line of the process's status that states kibibytes, in bytes.
fn status_bytes(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status");
    let line = status.lines().find(|line| line.starts_with(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: Option<u64> = number.and_then(|it| it.parse().ok());
    kibibytes.expect("a number") * 1024
}

fn empty_large_balancer() -> Balancer {
    let options = BalancerOptions {
        address: node(1),
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        flow_capacity: BALANCER_FLOWS as usize,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: Duration::from_secs(5),
    };
    let mut balancer = Balancer::new(options, at(0));
    balancer.adopt_store_configuration(configuration(1));
    balancer
}

fn open_flow_through(balancer: &mut Balancer, number: u32) {
    let now = at(10_000);
    let mut ready = report(2, u64::from(number) + 1);
    ready.slots = u16::MAX;
    if number.is_multiple_of(OPENINGS_PER_REPORT) {
        deliver_report(balancer, 2, &ready, now);
    }
    deliver_caller_packet(balancer, &opening(key(number), 0), now);
    let accepted = PeerMessage::Accepted {
        key: key(number),
        sequence: 5000,
        incarnation: ready.incarnation,
        load: ready.load,
    };
    deliver_message(balancer, 2, accepted, now);
    deliver_caller_packet(balancer, &data(key(number), 1001, 5001), now);
    balancer.take_log_events();
}

/// A balancer whose table is full and whose flows are all in use.
fn full_balancer() -> Balancer {
    let mut balancer = empty_large_balancer();
    for round in 0..ROUNDS {
        let opened = FLOWS_PER_ROUND * (round + 1);
        for number in FLOWS_PER_ROUND * round..opened {
            open_flow_through(&mut balancer, number);
        }
        for number in 0..opened {
            deliver_caller_packet(&mut balancer, &data(key(number), 1101, 5001), at(10_000));
        }
        balancer.take_log_events();
    }
    balancer
}

fn full_agent() -> Agent {
    let options = AgentOptions {
        flow_capacity: AGENT_FLOWS as usize,
        ..agent_options()
    };
    let mut agent = Agent::new(options, at(0));
    let mut beat = heartbeat(1, 1);
    beat.slots = u16::MAX;
    agent.handle_heartbeat(&beat, at(0)).expect("heartbeat");
    for number in 0..AGENT_FLOWS {
        let answer = packet(key(number), PacketKind::Data, 9000, 1, 100);
        agent.handle_target_packet(&answer, None, at(1));
        agent.take_log_events();
    }
    agent
}

fn print_figures(role: &str, capacity: u32, flows: usize, peak: u64) {
    let bytes_per_flow = peak / u64::from(capacity);
    println!(
        "{role}: {peak} bytes at the peak, {bytes_per_flow} a flow of {capacity}; {flows} left"
    );
}

/// A process whose memory exceeds what the platform grants is killed. The balancer's table
/// grew without a bound while all its flows were in use.
#[test]
fn full_tables_stay_within_the_memory_of_a_process() {
    let before = status_bytes("VmRSS");
    let agent = full_agent();
    let agent_peak = status_bytes("VmHWM") - before;
    print_figures("agent", AGENT_FLOWS, agent.flow_count(), agent_peak);
    let with_agent = status_bytes("VmRSS");
    let balancer = full_balancer();
    let balancer_peak = status_bytes("VmHWM") - with_agent;
    print_figures(
        "balancer",
        BALANCER_FLOWS,
        balancer.flow_count(),
        balancer_peak,
    );
    assert!(agent.flow_count() >= AGENT_FLOWS as usize / 2);
    assert!(balancer.flow_count() >= BALANCER_FLOWS as usize / 2);
    assert!(agent.flow_count() <= AGENT_FLOWS as usize);
    assert!(balancer.flow_count() <= BALANCER_FLOWS as usize);
    assert!(agent_peak < AGENT_MEMORY, "{agent_peak} bytes");
    assert!(balancer_peak < BALANCER_MEMORY, "{balancer_peak} bytes");
}
