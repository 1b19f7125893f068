//! Long-lived flows on targets of unequal speed. A quarter of the targets takes more than
//! twice as long for each request, and most requests arrive on flows that were placed
//! long before. So it matters how much work a flow will ask for at the target that it is
//! placed on.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::Agent;
use woodladder_core::flow::directory::AgentDirectory;
use woodladder_core::flow::excluded_zones::ExcludedZones;
use woodladder_core::flow::identity::{FlowKey, ZoneKey};
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage, TargetReport};
use woodladder_core::flow::packet::PacketKind;
use woodladder_core::flow::selection::TargetSelector;

/// Targets of the service.
const TARGETS: u8 = 24;
/// Flows that are placed.
const FLOWS: u16 = 2000;
/// Requests per second of a flow.
const REQUESTS_PER_SECOND: f64 = 0.32;
/// Service time of a request at a fast target, in seconds.
const FAST_SERVICE_SECONDS: f64 = 0.011;
/// Service time of a request at a slow target, in seconds.
const SLOW_SERVICE_SECONDS: f64 = 0.024;
/// Limit on the busiest target's work, relative to the mean.
const MAXIMUM_IMBALANCE: f64 = 1.10;

fn service_time(target: u8) -> f64 {
    if target.is_multiple_of(4) {
        SLOW_SERVICE_SECONDS
    } else {
        FAST_SERVICE_SECONDS
    }
}

/// Work of the flows that a target holds, in slots.
fn work(target: u8, flows: u32) -> f64 {
    f64::from(flows) * REQUESTS_PER_SECOND * service_time(target)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(number: f64) -> u32 {
    number as u32
}

fn target_report(target: u8, sequence: u64, flows: u32, reports_work: bool) -> TargetReport {
    let mut report = report(target, sequence);
    report.slots = 2;
    report.load.flows = flows;
    report.load.service_time_us = to_u32(service_time(target) * 1e6);
    let thousandths = u16::try_from(to_u32(work(target, flows) * 1000.0)).expect("few slots");
    report.load.idle_flow_work_millislots = reports_work.then_some(thousandths);
    report
}

/// Places flows one after the other, with a report after every tenth. Returns the busiest
/// target's work relative to the mean.
fn imbalance(reports_work: bool) -> f64 {
    let mut directory = AgentDirectory::default();
    let mut flows = [0u32; TARGETS as usize];
    let mut changes = Vec::new();
    let mut sequence = 0;
    let zones = ExcludedZones::default();
    for number in 0..FLOWS {
        if number.is_multiple_of(10) {
            sequence += 1;
            for target in 0..TARGETS {
                let held = flows[usize::from(target)];
                let report = target_report(target, sequence, held, reports_work);
                directory.apply_report(node(target), &report, at(1000), &mut changes);
            }
        }
        let choice = TargetSelector {
            directory: &directory,
            excluded_zones: &zones,
            zone: ZoneKey::named("a"),
            key: flow(number),
            service: main_service(),
            tried: &[],
            bytes_per_flow: 0,
        };
        let chosen = choice.select(at(1000)).expect("a target");
        let target = (0..TARGETS)
            .find(|target| node(*target) == chosen.agent)
            .expect("a known target");
        flows[usize::from(target)] += 1;
        if let Some(record) = directory.agent_mut(chosen.agent) {
            record.flows_sent_since_report += 1;
        }
    }
    let works: Vec<f64> = (0..TARGETS)
        .map(|target| work(target, flows[usize::from(target)]))
        .collect();
    let mean = works.iter().sum::<f64>() / f64::from(TARGETS);
    works.into_iter().fold(0.0, f64::max) / mean
}

#[test]
fn work_not_the_number_of_flows_is_spread_evenly() {
    let by_count = imbalance(false);
    let by_work = imbalance(true);
    assert!(by_work <= MAXIMUM_IMBALANCE, "{by_work}");
    assert!(by_count > by_work, "{by_count} {by_work}");
}

/// Opens a flow at the agent and sends requests on it, every `pause_ms` milliseconds, each
/// of which is answered after `service_ms` milliseconds.
fn run_requests(
    agent: &mut Agent,
    key: FlowKey,
    start_ms: u64,
    requests: u32,
    pause_ms: u64,
    service_ms: u64,
) {
    open_flow_at(agent, key, at(start_ms));
    let established = header(1, ForwardPurpose::Established);
    let mut next = 2001;
    for number in 0..requests {
        let asked = start_ms + u64::from(number) * pause_ms;
        if number > 0 {
            let request = packet(key, PacketKind::Data, next, 5001 + number, 50);
            next += 50;
            forward_to(agent, &established, &request, at(asked));
        }
        let answer = packet(key, PacketKind::Data, 5001 + number, next, 1);
        agent.handle_target_packet(&answer, None, at(asked + service_ms));
    }
}

fn reported_work(agent: &mut Agent, now: u64) -> Option<u16> {
    let mut actions = Vec::new();
    agent.handle_message(node(1), &PeerMessage::Probe, at(now), &mut actions);
    agent.load().idle_flow_work_millislots
}

#[test]
fn no_expected_work_is_reported_before_enough_requests() {
    let mut agent = agent();
    run_requests(&mut agent, flow(1), 1000, 10, 100, 20);
    assert_eq!(reported_work(&mut agent, 2100), None);
}

#[test]
fn a_flow_that_asks_ten_times_a_second_for_twenty_milliseconds_takes_a_fifth_of_a_slot() {
    let mut agent = agent();
    for step in 0..10 {
        let _counted = reported_work(&mut agent, 1000 + step * 50);
    }
    for second in 0..10u64 {
        run_requests(&mut agent, flow(1), 1000 + second * 1000, 10, 100, 20);
        reported_work(&mut agent, 1990 + second * 1000);
    }
    let reported = reported_work(&mut agent, 11_000).expect("reported");
    assert!((150..=300).contains(&reported), "{reported}");
}

#[test]
fn flows_of_a_single_request_report_no_expected_work() {
    let mut agent = agent();
    for number in 0..100u16 {
        run_requests(
            &mut agent,
            flow(number),
            1000 + u64::from(number) * 50,
            1,
            100,
            20,
        );
    }
    assert_eq!(reported_work(&mut agent, 7000), None);
}

#[test]
fn a_restarted_target_reports_no_work_of_its_former_start() {
    let mut agent = agent();
    for second in 0..10u64 {
        run_requests(&mut agent, flow(1), 1000 + second * 1000, 10, 100, 20);
        reported_work(&mut agent, 1990 + second * 1000);
    }
    assert!(reported_work(&mut agent, 11_000).is_some());
    agent
        .handle_heartbeat(&heartbeat(2, 1), at(11_001))
        .expect("heartbeat");
    assert_eq!(reported_work(&mut agent, 11_010), None);
}
