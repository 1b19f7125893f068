//! Configuration moves forward only, from the store or from any node.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::balancer::{BalancerAction, NotReadyReason, Routing};
use woodladder_core::flow::message::{
    BalancerHello, MessageError, PeerMessage, Snapshot, SnapshotRequest,
};

#[test]
fn a_lesser_version_is_never_adopted() {
    let mut balancer = empty_balancer();
    balancer.adopt_store_configuration(configuration(7));
    balancer.adopt_store_configuration(configuration(5));
    assert_eq!(balancer.routes().version(), 7);
    let snapshot = Snapshot {
        configuration: Some((*configuration(6)).clone()),
        ..Snapshot::default()
    };
    balancer.handle_snapshot(node(3), snapshot, at(10), &mut Vec::new());
    assert_eq!(balancer.routes().version(), 7);
}

#[test]
fn a_balancer_cut_off_from_the_store_learns_a_version_from_an_agent() {
    let mut balancer = balancer(&[2]);
    let mut ahead = report(2, 2);
    ahead.version = 4;
    let actions = deliver_report(&mut balancer, 2, &ahead, at(10_001));
    let request = SnapshotRequest {
        known_version: 1,
        wants_nodes: false,
    };
    let expected = BalancerAction::FetchSnapshot {
        from: node(2),
        request,
    };
    assert!(actions.contains(&expected), "{actions:?}");
}

#[test]
fn a_balancer_that_starts_without_the_store_learns_all_from_a_peer() {
    let mut known = balancer(&[2]);
    let greeting = peer_greeting();
    let mut starting = empty_balancer();
    let mut actions = Vec::new();
    starting.handle_message(
        node(5),
        PeerMessage::Hello(greeting),
        None,
        at(10),
        &mut actions,
    );
    let request = actions.iter().find_map(|action| match action {
        BalancerAction::FetchSnapshot { request, .. } => Some(*request),
        _ => None,
    });
    let snapshot = known.answer_snapshot_request(&request.expect("a snapshot is asked for"));
    actions.clear();
    starting.handle_snapshot(node(5), snapshot, at(20), &mut actions);
    assert_eq!(starting.routes().version(), 1);
    let greets_agent = actions.iter().any(|action| {
        matches!(action, BalancerAction::Send { to, message: PeerMessage::Hello(_) } if *to == node(2))
    });
    assert!(greets_agent, "{actions:?}");
    assert_eq!(starting.check_ready(at(30)), Err(NotReadyReason::NoAgent));
    deliver_report(&mut starting, 2, &report(2, 1), at(40));
    assert_eq!(starting.check_ready(at(50)), Ok(()));
    known.leave(at(10_010), &mut Vec::new());
    assert_eq!(known.check_ready(at(10_010)), Err(NotReadyReason::Leaving));
}

#[test]
fn a_balancer_that_hears_no_agent_for_long_is_not_ready() {
    let balancer = balancer(&[2]);
    assert_eq!(balancer.check_ready(at(10_100)), Ok(()));
    assert_eq!(
        balancer.check_ready(at(10_600)),
        Err(NotReadyReason::CutOff)
    );
}

fn greeting(has_agent_contact: bool) -> PeerMessage {
    PeerMessage::Hello(BalancerHello {
        has_agent_contact,
        ..peer_greeting()
    })
}

/// Routers go on sending to a balancer that is ready, so one that hears no
/// agent while others do must say so soon.
#[test]
fn a_balancer_that_alone_hears_no_agent_is_soon_not_ready() {
    let mut balancer = balancer(&[2]);
    deliver_message(&mut balancer, 5, greeting(true), at(10_250));
    assert_eq!(balancer.check_ready(at(10_299)), Ok(()));
    assert_eq!(
        balancer.check_ready(at(10_300)),
        Err(NotReadyReason::CutOff)
    );
}

/// The targets may be gone for all, and balancers may be cut off together.
#[test]
fn balancers_that_hear_no_agent_together_stay_ready_for_longer() {
    let mut balancer = balancer(&[2]);
    let mut readiness = Vec::new();
    for time in (10_000..11_600).step_by(250) {
        deliver_message(&mut balancer, 5, greeting(false), at(time));
        readiness.push(balancer.check_ready(at(time)).is_ok());
    }
    assert_eq!(readiness, [true, true, true, true, false, false, false]);
}

#[test]
fn open_flows_stay_where_they_are_when_their_route_leads_elsewhere() {
    let mut balancer = balancer(&[2]);
    let mut other = report(3, 1);
    other.service = other_service();
    deliver_report(&mut balancer, 3, &other, at(10_000));
    balancer.adopt_store_configuration(configuration_of(2, &[(1, &[(other_service(), 1)])]));
    let routing = deliver_caller_packet(&mut balancer, &data(flow(1), 1, 77), at(10_100));
    assert_eq!(
        receivers(&routing).len(),
        2,
        "both services are asked: {routing:?}"
    );
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(2), 0), at(10_100));
    assert!(matches!(routing, Routing::One { to, .. } if to == node(3)));
}

#[test]
fn datagrams_that_are_no_messages_are_told_apart() {
    assert_eq!(
        PeerMessage::decode(&[]).err(),
        Some(MessageError::UnknownProtocol)
    );
    assert_eq!(
        PeerMessage::decode(&[9, 1]).err(),
        Some(MessageError::UnknownProtocol)
    );
    let whole = PeerMessage::Report(report(2, 1)).encode(b"");
    for length in 1..whole.len() {
        assert_eq!(
            PeerMessage::decode(&whole[..length]).err(),
            Some(MessageError::Malformed),
            "cut to {length}"
        );
    }
    let (message, rest) = PeerMessage::decode(&whole).expect("whole");
    assert_eq!(
        (message, rest),
        (PeerMessage::Report(report(2, 1)), &b""[..])
    );
}

/// Both wait for the first configuration: an answer to each greeting would be
/// a greeting again, without an end.
#[test]
fn balancers_that_know_nothing_do_not_answer_each_others_greetings() {
    let mut balancer = empty_balancer();
    let nothing = PeerMessage::Hello(BalancerHello {
        version: 0,
        has_agent_contact: false,
        ..peer_greeting()
    });
    deliver_message(&mut balancer, 5, nothing.clone(), at(10));
    let again = deliver_message(&mut balancer, 5, nothing.clone(), at(11));
    assert!(again.is_empty(), "{again:?}");
    balancer.adopt_store_configuration(configuration(1));
    let answer = deliver_message(&mut balancer, 5, nothing, at(12));
    assert_eq!(answer.len(), 1, "it can tell something now: {answer:?}");
}
