//! Openings whose route is moved or dropped before a target has accepted them.

mod flow_support;

use std::sync::Arc;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::balancer::{Balancer, BalancerAction, Routing};
use woodladder_core::flow::configuration::Configuration;
use woodladder_core::flow::excluded_zones::ExcludedZones;
use woodladder_core::flow::identity::{NodeAddress, ServiceKey};
use woodladder_core::flow::message::{
    ForwardHeader, ForwardPurpose, PeerMessage, ReturnReason, TargetLoad, TargetReport,
};

/// Number of the agent of [`main_service`], to which the route leads at first.
const OLD_AGENT: u8 = 2;
/// Number of the agent of [`other_service`], to which the route is moved.
const NEW_AGENT: u8 = 3;
/// Version under which the route is moved or dropped.
const NEXT_VERSION: u64 = 2;

fn moved() -> Arc<Configuration> {
    configuration_of(NEXT_VERSION, &[(1, &[(other_service(), 1)])])
}

fn dropped() -> Arc<Configuration> {
    configuration_of(NEXT_VERSION, &[(2, &[(other_service(), 1)])])
}

fn service_of(agent: NodeAddress) -> ServiceKey {
    if agent == node(NEW_AGENT) {
        other_service()
    } else {
        main_service()
    }
}

fn report_of(agent: u8, sequence: u64) -> TargetReport {
    TargetReport {
        service: service_of(node(agent)),
        ..report(agent, sequence)
    }
}

/// A balancer that hears the agents with these numbers.
fn balancer_with(agents: &[u8]) -> Balancer {
    let mut balancer = balancer(&[]);
    for agent in agents {
        deliver_report(&mut balancer, *agent, &report_of(*agent, 1), at(10_000));
    }
    balancer
}

fn offer(balancer: &mut Balancer, port: u16) {
    let routing = deliver_caller_packet(balancer, &opening(flow(port), 0), at(10_000));
    assert_eq!(receivers(&routing), [node(OLD_AGENT)]);
}

fn copy(balancer: &mut Balancer, port: u16, number: u32, now: Instant) -> Routing {
    deliver_caller_packet(balancer, &opening(flow(port), number), now)
}

/// The receiver of a packet. The header must name the receiver's service, or the agent
/// returns the packet.
fn receiver(to: NodeAddress, header: &ForwardHeader) -> NodeAddress {
    assert_eq!(header.service, service_of(to), "{to}: {header:?}");
    to
}

fn only_receiver(routing: &Routing) -> NodeAddress {
    match routing {
        Routing::One { to, header } => receiver(*to, header),
        other => panic!("{other:?}"),
    }
}

fn forwarded(actions: &[BalancerAction]) -> Vec<NodeAddress> {
    let forward = |action: &BalancerAction| match action {
        BalancerAction::Forward { to, header, .. } => Some(receiver(*to, header)),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

fn has_reset(actions: &[BalancerAction]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, BalancerAction::Reset(_)))
}

fn accept(balancer: &mut Balancer, agent: u8, sequence: u32, now: Instant) {
    let accepted = PeerMessage::Accepted {
        key: flow(1),
        sequence,
        incarnation: None,
        load: TargetLoad::default(),
    };
    deliver_message(balancer, agent, accepted, now);
}

fn return_opening(balancer: &mut Balancer, reason: ReturnReason) -> Vec<BalancerAction> {
    return_opening_under(balancer, reason, 1)
}

/// The agent returns the opening, and states the version of its configuration.
fn return_opening_under(
    balancer: &mut Balancer,
    reason: ReturnReason,
    version: u64,
) -> Vec<BalancerAction> {
    let returned = PeerMessage::Returned {
        reason,
        load: TargetLoad::default(),
        version,
        excluded_zones: ExcludedZones::default(),
    };
    let packet = opening(flow(1), 0);
    deliver_message_with_packet(balancer, OLD_AGENT, returned, &packet, at(10_100))
}

/// A copy that the caller had sent after a new version was in force was offered to the
/// service of the older version.
#[test]
fn a_copy_of_an_opening_goes_to_the_service_that_its_route_has_moved_to() {
    for (number, now) in [(1, 10_200), (2, 10_600)] {
        let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
        offer(&mut balancer, 1);
        balancer.adopt_store_configuration(moved());
        deliver_report(&mut balancer, NEW_AGENT, &report_of(NEW_AGENT, 2), at(now));
        let routing = copy(&mut balancer, 1, number, at(now));
        assert_eq!(only_receiver(&routing), node(NEW_AGENT));
    }
}

/// As above, for an opening that an agent of the former service has queued.
#[test]
fn a_copy_of_a_queued_opening_goes_to_the_service_that_its_route_has_moved_to() {
    let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
    offer(&mut balancer, 1);
    let queued = PeerMessage::Queued {
        key: flow(1),
        load: TargetLoad::default(),
    };
    deliver_message(&mut balancer, OLD_AGENT, queued, at(10_010));
    balancer.adopt_store_configuration(moved());
    let routing = copy(&mut balancer, 1, 1, at(10_200));
    assert_eq!(only_receiver(&routing), node(NEW_AGENT));
}

/// A copy that the caller had sent after a version without the route was in force was still
/// offered to a target.
#[test]
fn a_copy_of_an_opening_whose_route_is_dropped_is_reset() {
    let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
    offer(&mut balancer, 1);
    balancer.adopt_store_configuration(dropped());
    for (number, now) in [(1, 10_200), (2, 10_600)] {
        let routing = copy(&mut balancer, 1, number, at(now));
        assert!(matches!(routing, Routing::Reset(_)), "{routing:?}");
    }
}

/// A change of the shares must not offer the copies of one opening to several parts.
#[test]
fn a_copy_of_an_opening_keeps_its_part_while_the_route_has_it() {
    let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
    for port in 1..=10 {
        offer(&mut balancer, port);
    }
    let parts = [(main_service(), 1), (other_service(), 9)];
    balancer.adopt_store_configuration(configuration_of(NEXT_VERSION, &[(1, &parts)]));
    for port in 1..=10 {
        // No other target of the part is known, so that the silent one is not offered again.
        let routing = copy(&mut balancer, port, 1, at(10_200));
        assert!(receivers(&routing).is_empty(), "{routing:?}");
    }
    let parts = [(main_service(), 0), (other_service(), 9)];
    balancer.adopt_store_configuration(configuration_of(NEXT_VERSION + 1, &[(1, &parts)]));
    let mut actions = Vec::new();
    balancer.tick(at(10_225), &mut actions);
    assert_eq!(forwarded(&actions), [node(NEW_AGENT); 10]);
}

/// A target that has accepted an opening may hold the flow, whatever its route is now.
#[test]
fn a_copy_of_an_accepted_opening_stays_with_the_target_that_has_accepted_it() {
    for next in [moved(), dropped()] {
        let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
        offer(&mut balancer, 1);
        accept(&mut balancer, OLD_AGENT, 5000, at(10_050));
        balancer.adopt_store_configuration(next);
        let routing = copy(&mut balancer, 1, 1, at(10_200));
        assert_eq!(only_receiver(&routing), node(OLD_AGENT));
        let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1001, 5001), at(10_210));
        assert_eq!(only_receiver(&routing), node(OLD_AGENT));
    }
}

/// Targets of both services may accept copies of one opening. The flow belongs to the one
/// that the caller chooses, and its packets must name that one's service.
#[test]
fn a_flow_belongs_to_the_former_service_if_the_caller_chooses_its_acceptance() {
    for (acknowledgement, holder) in [(5001, OLD_AGENT), (900_001, NEW_AGENT)] {
        let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
        offer(&mut balancer, 1);
        balancer.adopt_store_configuration(moved());
        copy(&mut balancer, 1, 1, at(10_200));
        accept(&mut balancer, OLD_AGENT, 5000, at(10_210));
        accept(&mut balancer, NEW_AGENT, 900_000, at(10_211));
        for now in [10_220, 10_230] {
            let packet = data(flow(1), 1001, acknowledgement);
            let routing = deliver_caller_packet(&mut balancer, &packet, at(now));
            assert_eq!(only_receiver(&routing), node(holder));
        }
    }
}

/// An opening that was returned was offered again to the service of the older version.
#[test]
fn a_returned_opening_is_offered_to_the_service_that_its_route_has_moved_to() {
    let reasons = [
        ReturnReason::Saturated,
        ReturnReason::Leaving,
        ReturnReason::StaleVersion,
    ];
    for reason in reasons {
        let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
        offer(&mut balancer, 1);
        deliver_report(&mut balancer, 4, &report_of(4, 1), at(10_050));
        balancer.adopt_store_configuration(moved());
        let actions = return_opening(&mut balancer, reason);
        assert_eq!(forwarded(&actions), [node(NEW_AGENT)], "{reason:?}");
    }
}

/// An opening that was returned after its route was dropped was offered again.
#[test]
fn a_returned_opening_whose_route_is_dropped_is_reset() {
    let mut balancer = balancer_with(&[OLD_AGENT]);
    offer(&mut balancer, 1);
    deliver_report(&mut balancer, 4, &report_of(4, 1), at(10_050));
    balancer.adopt_store_configuration(dropped());
    let actions = return_opening(&mut balancer, ReturnReason::Saturated);
    assert!(has_reset(&actions), "{actions:?}");
    assert!(forwarded(&actions).is_empty(), "{actions:?}");
}

/// An opening that waited for a target of the former service was refused in the end, although
/// the service that its route leads to now had free targets.
#[test]
fn a_waiting_opening_is_offered_to_the_service_that_its_route_has_moved_to() {
    let mut balancer = balancer_with(&[NEW_AGENT]);
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_000));
    assert!(matches!(routing, Routing::Drop(_)), "{routing:?}");
    balancer.adopt_store_configuration(moved());
    let mut actions = Vec::new();
    balancer.tick(at(10_025), &mut actions);
    assert_eq!(forwarded(&actions), [node(NEW_AGENT)]);
}

/// An opening that waited for a target was held until it was too late, although its route had
/// been dropped.
#[test]
fn a_waiting_opening_whose_route_is_dropped_is_reset_at_once() {
    let mut balancer = balancer_with(&[NEW_AGENT]);
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_000));
    balancer.adopt_store_configuration(dropped());
    let mut actions = Vec::new();
    balancer.tick(at(10_025), &mut actions);
    assert!(has_reset(&actions), "{actions:?}");
    assert_eq!(balancer.waiting_opening_count(), 0);
}

/// An opening that an agent with a newer version had returned was dropped, and so were all
/// further copies of it after the version had arrived.
#[test]
fn an_opening_returned_for_a_newer_version_is_handled_once_that_version_arrives() {
    for (next, is_dropped) in [(moved(), false), (dropped(), true)] {
        let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
        offer(&mut balancer, 1);
        let stale = ReturnReason::StaleVersion;
        let actions = return_opening_under(&mut balancer, stale, NEXT_VERSION);
        assert!(forwarded(&actions).is_empty(), "{actions:?}");
        let mut actions = Vec::new();
        balancer.tick(at(10_125), &mut actions);
        assert!(forwarded(&actions).is_empty(), "{actions:?}");
        balancer.adopt_store_configuration(next);
        balancer.tick(at(10_150), &mut actions);
        assert_eq!(has_reset(&actions), is_dropped, "{actions:?}");
        assert_eq!(forwarded(&actions).is_empty(), is_dropped, "{actions:?}");
    }
}

/// Where the version does not arrive, callers were left without an answer.
#[test]
fn an_opening_returned_for_a_newer_version_that_does_not_arrive_is_refused() {
    let mut balancer = balancer_with(&[OLD_AGENT]);
    offer(&mut balancer, 1);
    return_opening_under(&mut balancer, ReturnReason::StaleVersion, NEXT_VERSION);
    let mut actions = Vec::new();
    balancer.tick(at(11_100), &mut actions);
    assert!(!has_reset(&actions), "{actions:?}");
    balancer.tick(at(11_300), &mut actions);
    assert!(has_reset(&actions), "{actions:?}");
}

/// A silent agent that had reported a newer version kept all returned openings from targets.
#[test]
fn a_returned_opening_does_not_wait_for_the_version_of_a_silent_agent() {
    let mut balancer = balancer_with(&[OLD_AGENT]);
    let ahead = TargetReport {
        version: NEXT_VERSION + 1,
        ..report_of(4, 1)
    };
    deliver_report(&mut balancer, 4, &ahead, at(7_000));
    offer(&mut balancer, 1);
    balancer.adopt_store_configuration(configuration(NEXT_VERSION));
    deliver_report(
        &mut balancer,
        OLD_AGENT,
        &report_of(OLD_AGENT, 2),
        at(10_090),
    );
    let stale = ReturnReason::StaleVersion;
    let actions = return_opening_under(&mut balancer, stale, NEXT_VERSION);
    assert_eq!(forwarded(&actions), [node(OLD_AGENT)]);
}

/// An opening that was returned under a new version went to another part of its route, which the
/// new version had left in place.
#[test]
fn an_opening_returned_under_a_newer_version_keeps_its_part_and_its_age() {
    let mut balancer = balancer_with(&[OLD_AGENT, NEW_AGENT]);
    offer(&mut balancer, 1);
    let parts = [(main_service(), 1), (other_service(), 9)];
    balancer.adopt_store_configuration(configuration_of(NEXT_VERSION, &[(1, &parts)]));
    let stale = ReturnReason::StaleVersion;
    let actions = return_opening_under(&mut balancer, stale, NEXT_VERSION);
    assert_eq!(forwarded(&actions), [node(OLD_AGENT)]);
    let age = actions.iter().find_map(|action| match action {
        BalancerAction::Forward { header, .. } => match header.purpose {
            ForwardPurpose::Open(terms) => Some(terms.age_ms),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(age, Some(100));
}
