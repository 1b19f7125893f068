//! Limit on the requests that a possibly cold target is sent in any second.

mod flow_support;

use std::sync::Arc;
use std::time::Duration;

use flow_support::*;
use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, AgentOptions, ForwardDecision, Heartbeat, HeartbeatError, ReplyBody,
    WarmUpBounds,
};
use woodladder_core::flow::configuration::{Configuration, ServiceTerms};
use woodladder_core::flow::excluded_zones::ExcludedZones;
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{
    BalancerHello, ForwardPurpose, OpeningTerms, PeerMessage, ReturnReason, Snapshot, TargetLoad,
    TargetReport, TargetState,
};
use woodladder_core::flow::packet::PacketKind;

/// Requests per second that the tests' cold targets can serve.
const REQUESTS_PER_SECOND: u32 = 3;
/// Time for which targets are cold, in milliseconds.
const COLD_MS: u32 = 2000;

fn configured(rate: u32) -> Configuration {
    Configuration {
        services: vec![ServiceTerms {
            service: main_service(),
            warm_up_ms: COLD_MS,
            warm_up_rate: rate * 1000,
        }],
        ..(*configuration(1)).clone()
    }
}

fn empty_agent_started(started_at: Instant) -> Agent {
    let options = AgentOptions {
        address: node(9),
        zone: ZoneKey::named("a"),
        service: main_service(),
        epoch: 1,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        warm_up: Some(WarmUpBounds {
            overage: 1.5,
            slack: 5,
        }),
        records_leavings: false,
    };
    Agent::new(options, started_at)
}

fn configure(agent: &mut Agent, rate: u32, now: Instant) {
    let snapshot = Snapshot {
        configuration: Some(configured(rate)),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, now);
}

fn cold_heartbeat(incarnation: u64, sequence: u64, cold_for_ms: u64) -> Heartbeat {
    Heartbeat {
        warm_up_remaining: Duration::from_millis(cold_for_ms),
        slots: 100,
        ..heartbeat(incarnation, sequence)
    }
}

/// An agent that has known the configuration for long, and whose target has just started.
fn agent_of_cold_target(now: u64) -> Agent {
    let mut agent = empty_agent_started(at(0));
    configure(&mut agent, REQUESTS_PER_SECOND, at(0));
    receive_zones(&mut agent, 1, &[], at(now));
    agent
        .handle_heartbeat(&cold_heartbeat(1, 1, COLD_MS.into()), at(now))
        .expect("heartbeat");
    agent
}

fn receive_zones(agent: &mut Agent, revision: u64, names: &[&str], now: Instant) {
    let hello = BalancerHello {
        excluded_zones: ExcludedZones {
            revision,
            zones: names.iter().map(|name| ZoneKey::named(name)).collect(),
        },
        ..peer_hello()
    };
    agent.handle_message(node(1), &PeerMessage::Hello(hello), now, &mut Vec::new());
}

/// Forwards an opening that may go to another target, so that it is not queued.
fn forward_opening_with_alternative(agent: &mut Agent, port: u16, now: u64) -> ForwardDecision {
    let terms = OpeningTerms {
        estimated_load: Some(1000),
        ..opening_terms()
    };
    let header = header(1, ForwardPurpose::Open(terms));
    forward_to(agent, &header, &opening(flow(port), 0), at(now))
}

/// Forwards an opening that can go to no other target.
fn forward_opening_without_alternative(agent: &mut Agent, port: u16, now: u64) -> ForwardDecision {
    forward_to(agent, &open_header(1), &opening(flow(port), 0), at(now))
}

/// The target answers an opening.
fn accept(agent: &mut Agent, port: u16, now: u64) {
    let accept = packet(flow(port), PacketKind::Accept, 5000, 1001, 0);
    agent.handle_target_packet(&accept, None, at(now));
}

/// How many of some openings reach the target at this time.
fn delivered(agent: &mut Agent, ports: std::ops::Range<u16>, now: u64) -> usize {
    ports
        .filter(|port| is_delivered(&forward_opening_with_alternative(agent, *port, now)))
        .count()
}

fn limit() -> usize {
    usize::try_from(REQUESTS_PER_SECOND).expect("small")
}

#[test]
fn a_cold_target_gets_no_more_requests_in_a_second_than_its_limit() {
    let mut agent = agent_of_cold_target(5000);
    assert_eq!(delivered(&mut agent, 1..20, 5010), limit());
    assert_eq!(
        delivered(&mut agent, 20..30, 6000),
        0,
        "the second is not over"
    );
}

#[test]
fn queued_openings_reach_a_cold_target_when_the_second_is_over() {
    let mut agent = agent_of_cold_target(5000);
    for port in 1..5 {
        forward_opening_without_alternative(&mut agent, port, 5010);
        accept(&mut agent, port, 5011);
    }
    let mut actions = Vec::new();
    agent.tick(at(5500), &mut actions);
    assert!(!actions.iter().any(is_delivery), "{actions:?}");
    for now in (5525..6100).step_by(25) {
        agent.tick(at(now), &mut actions);
    }
    assert_eq!(actions.iter().filter(|it| is_delivery(it)).count(), 1);
}

fn is_delivery(action: &AgentAction) -> bool {
    matches!(action, AgentAction::Deliver { .. })
}

#[test]
fn an_opening_that_may_go_elsewhere_is_returned_with_the_remaining_limit() {
    let mut agent = agent_of_cold_target(5000);
    delivered(&mut agent, 1..20, 5010);
    let terms = OpeningTerms {
        estimated_load: Some(0),
        ..opening_terms()
    };
    let header = header(1, ForwardPurpose::Open(terms));
    let delivery = forward_to(&mut agent, &header, &opening(flow(50), 0), at(5020));
    let ForwardDecision::Reply(PeerMessage::Returned { reason, load, .. }, ReplyBody::Packet) =
        delivery
    else {
        panic!("{delivery:?}");
    };
    assert_eq!(reason, ReturnReason::WarmingUp);
    assert_eq!(load.openings_left, Some(0));
}

#[test]
fn a_warm_target_and_one_of_a_service_without_a_rate_have_no_limit() {
    let mut agent = agent_of_cold_target(5000);
    agent
        .handle_heartbeat(&cold_heartbeat(1, 2, 0), at(7000))
        .expect("heartbeat");
    assert_eq!(delivered(&mut agent, 1..30, 7010), 29);
    let mut unlimited = empty_agent_started(at(0));
    configure(&mut unlimited, 0, at(0));
    unlimited
        .handle_heartbeat(&cold_heartbeat(1, 1, 2000), at(5000))
        .expect("heartbeat");
    assert_eq!(delivered(&mut unlimited, 1..30, 5010), 29);
}

#[test]
fn without_a_configuration_a_cold_target_gets_no_request() {
    let mut agent = empty_agent_started(at(0));
    agent
        .handle_heartbeat(&cold_heartbeat(1, 1, 2000), at(5000))
        .expect("heartbeat");
    assert_eq!(delivered(&mut agent, 1..10, 5010), 0);
}

#[test]
fn a_target_whose_zone_is_taken_back_is_assumed_cold_until_a_heartbeat() {
    let mut agent = agent_of_cold_target(0);
    agent
        .handle_heartbeat(&cold_heartbeat(1, 2, 0), at(3000))
        .expect("heartbeat");
    receive_zones(&mut agent, 5, &["a"], at(3000));
    receive_zones(&mut agent, 6, &[], at(5000));
    assert_eq!(delivered(&mut agent, 1..20, 5010), limit());
    agent
        .handle_heartbeat(&cold_heartbeat(1, 3, 0), at(5500))
        .expect("heartbeat");
    assert_eq!(delivered(&mut agent, 20..40, 5510), 20);
}

#[test]
fn a_silent_target_whose_zone_is_taken_back_is_warm_after_the_cold_time() {
    let mut agent = agent_of_cold_target(0);
    agent
        .handle_heartbeat(&cold_heartbeat(1, 2, 0), at(3000))
        .expect("heartbeat");
    receive_zones(&mut agent, 5, &["a"], at(3000));
    receive_zones(&mut agent, 6, &[], at(5000));
    assert_eq!(delivered(&mut agent, 1..30, 5000 + u64::from(COLD_MS)), 29);
}

#[test]
fn an_agent_without_news_of_zones_does_not_trust_an_older_heartbeat() {
    let mut agent = agent_of_cold_target(0);
    agent
        .handle_heartbeat(&cold_heartbeat(1, 2, 0), at(3000))
        .expect("heartbeat");
    receive_zones(&mut agent, 9, &[], at(9000));
    assert_eq!(delivered(&mut agent, 1..20, 9010), limit());
}

#[test]
fn a_target_that_was_silent_is_assumed_to_have_restarted() {
    let mut agent = agent_of_cold_target(0);
    receive_zones(&mut agent, 2, &[], at(2500));
    agent
        .handle_heartbeat(&cold_heartbeat(1, 2, 0), at(3000))
        .expect("heartbeat");
    forward_opening_with_alternative(&mut agent, 1, 3100);
    for now in (3125..3700).step_by(25) {
        agent.tick(at(now), &mut Vec::new());
    }
    assert_eq!(agent.target_state(), TargetState::Unresponsive);
    accept(&mut agent, 1, 3800);
    assert_eq!(delivered(&mut agent, 10..30, 3810), limit() - 1);
}

#[test]
fn a_restarted_agent_delivers_nothing_to_a_cold_target_for_a_second() {
    let mut agent = empty_agent_started(at(5000));
    configure(&mut agent, REQUESTS_PER_SECOND, at(5000));
    agent
        .handle_heartbeat(&cold_heartbeat(1, 4, 2000), at(5010))
        .expect("heartbeat");
    for port in 1..10 {
        assert!(!is_delivered(&forward_opening_without_alternative(
            &mut agent, port, 5500
        )));
    }
    agent.tick(at(5980), &mut Vec::new());
    let mut actions = Vec::new();
    for now in (6000..6200).step_by(25) {
        agent.tick(at(now), &mut actions);
    }
    assert_eq!(actions.iter().filter(|it| is_delivery(it)).count(), limit());
}

#[test]
fn further_requests_of_open_flows_count_towards_the_limit() {
    let mut agent = agent_of_cold_target(0);
    agent
        .handle_heartbeat(&cold_heartbeat(1, 2, 0), at(3000))
        .expect("heartbeat");
    receive_zones(&mut agent, 2, &[], at(3000));
    for port in 1..=3 {
        open_flow_at(&mut agent, flow(port), at(3000));
        let answer = packet(flow(port), PacketKind::Data, 5001, 1101, 500);
        agent.handle_target_packet(&answer, None, at(3050));
    }
    // The limit holds as soon as another start may have replaced the known one.
    assert_eq!(
        agent.handle_heartbeat(&cold_heartbeat(2, 1, 2000), at(4500)),
        Err(HeartbeatError::Unproven)
    );
    let established = header(1, ForwardPurpose::Established);
    open_flow_at(&mut agent, flow(9), at(4510));
    let answer = packet(flow(9), PacketKind::Data, 5001, 1101, 500);
    agent.handle_target_packet(&answer, None, at(4520));
    forward_to(
        &mut agent,
        &established,
        &data(flow(9), 1101, 5501),
        at(4530),
    );
    assert_eq!(delivered(&mut agent, 20..40, 4540), limit() - 2);
}

/// A late heartbeat of a former target, which was warm, ended the limit of the cold one.
#[test]
fn a_late_heartbeat_of_a_former_target_does_not_end_the_limit() {
    let mut agent = empty_agent_started(at(0));
    configure(&mut agent, REQUESTS_PER_SECOND, at(0));
    for (revision, time) in [(1, 0), (2, 2000), (3, 4000)] {
        receive_zones(&mut agent, revision, &[], at(time));
    }
    agent
        .handle_heartbeat(&cold_heartbeat(1, 1, 2000), at(5000))
        .expect("accepted");
    let _late = agent.handle_heartbeat(&cold_heartbeat(7, 30, 0), at(5040));
    assert_eq!(delivered(&mut agent, 1..60, 5100), limit());
}

#[test]
fn a_balancer_sends_a_cold_target_no_more_than_its_remaining_limit() {
    let mut balancer = balancer(&[]);
    balancer.adopt_store_configuration(Arc::new(configured(REQUESTS_PER_SECOND)));
    let cold = TargetReport {
        load: TargetLoad {
            openings_left: Some(2),
            ..TargetLoad::default()
        },
        warm_up_ms: 1500,
        ..report(2, 1)
    };
    let warm = TargetReport {
        load: TargetLoad {
            busy: 20,
            ..TargetLoad::default()
        },
        ..report(3, 1)
    };
    deliver_report(&mut balancer, 2, &cold, at(10_000));
    deliver_report(&mut balancer, 3, &warm, at(10_000));
    let to_cold = (1..30).filter(|port| {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(*port), 0), at(10_010));
        receivers(&routing) == vec![node(2)]
    });
    assert_eq!(to_cold.count(), 2);
}

#[test]
fn without_another_target_a_balancer_sends_openings_to_a_target_at_its_limit() {
    let mut balancer = balancer(&[]);
    let cold = TargetReport {
        load: TargetLoad {
            openings_left: Some(0),
            ..TargetLoad::default()
        },
        ..report(2, 1)
    };
    deliver_report(&mut balancer, 2, &cold, at(10_000));
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    assert_eq!(receivers(&routing), vec![node(2)]);
}

proptest! {
    /// Compares with a plain count: no span of a second contains more requests than the
    /// target can serve, whatever the gaps between openings and ticks.
    #[test]
    fn no_span_of_a_second_contains_more_requests_than_the_limit(
        gaps in proptest::collection::vec((0..400_u64, any::<bool>()), 1..120),
    ) {
        let mut agent = agent_of_cold_target(5000);
        let mut now = 5000;
        let mut delivered_at: Vec<u64> = Vec::new();
        let mut sequence = 1;
        for (index, (gap, ticks)) in gaps.into_iter().enumerate() {
            now += gap;
            sequence += 1;
            // The target stays cold all the time.
            agent.handle_heartbeat(&cold_heartbeat(1, sequence, 2000), at(now)).expect("heartbeat");
            let mut actions = Vec::new();
            if ticks {
                agent.tick(at(now), &mut actions);
            } else {
                let port = u16::try_from(index).expect("few") + 1;
                if is_delivered(&forward_opening_without_alternative(&mut agent, port, now)) {
                    delivered_at.push(now);
                }
                agent.dispatch_queued(at(now), &mut actions);
            }
            delivered_at.extend(actions.iter().filter(|it| is_delivery(it)).map(|_| now));
            for start in &delivered_at {
                let within = delivered_at.iter().filter(|at| (*start..start + 1000).contains(at));
                prop_assert!(within.count() <= limit(), "{delivered_at:?}");
            }
        }
    }
}
