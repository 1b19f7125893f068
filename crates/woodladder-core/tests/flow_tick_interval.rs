//! Nodes tick rarely while nothing waits for a tick.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::message::{ForwardPurpose, TargetReport, TargetState};

const SHORT: Duration = Duration::from_millis(25);

#[test]
fn an_agent_with_openings_in_its_queue_ticks_often() {
    let mut agent = agent();
    agent.tick(at(10_000), &mut Vec::new());
    assert!(agent.tick_interval() > SHORT);
    let header = header(1, ForwardPurpose::Open(opening_terms()));
    for port in 1..=20 {
        forward_to(&mut agent, &header, &opening(flow(port), 0), at(10_001));
    }
    assert_eq!(agent.tick_interval(), SHORT);
}

#[test]
fn an_agent_that_has_found_a_balancer_reports_with_an_early_tick() {
    let mut agent = agent();
    agent.tick(at(10_000), &mut Vec::new());
    agent.add_listed_balancers(&[node(1)], at(10_001));
    assert_eq!(agent.tick_interval(), SHORT);
}

#[test]
fn a_balancer_ticks_often_while_an_opening_waits_or_a_flow_is_searched_for() {
    let mut searching = balancer(&[2]);
    assert!(searching.tick_interval() > SHORT);
    deliver_caller_packet(&mut searching, &data(flow(1), 1, 1), at(10_010));
    assert_eq!(searching.tick_interval(), SHORT);

    let mut waiting = balancer(&[2]);
    let leaving = TargetReport {
        state: TargetState::Leaving,
        ..report(2, 2)
    };
    deliver_report(&mut waiting, 2, &leaving, at(10_001));
    deliver_caller_packet(&mut waiting, &opening(flow(1), 0), at(10_010));
    assert_eq!(waiting.tick_interval(), SHORT);
}
