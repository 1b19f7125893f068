//! The configuration version of a node never decreases, whether configurations come from
//! the store or from other nodes.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::balancer::{BalancerAction, NotReadyReason, Routing};
use woodladder_core::flow::message::{
    BalancerHello, MessageError, PeerMessage, Snapshot, SnapshotRequest,
};

#[test]
fn an_older_version_is_never_adopted() {
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
fn a_balancer_without_the_store_learns_of_a_version_from_an_agent() {
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
fn a_balancer_that_starts_without_the_store_gets_a_snapshot_from_a_peer() {
    let mut known = balancer(&[2]);
    let hello = peer_hello();
    let mut starting = empty_balancer();
    let mut actions = Vec::new();
    starting.handle_message(
        node(5),
        PeerMessage::Hello(hello),
        None,
        at(10),
        &mut actions,
    );
    let request = actions.iter().find_map(|action| match action {
        BalancerAction::FetchSnapshot { request, .. } => Some(*request),
        _ => None,
    });
    let snapshot =
        known.answer_snapshot_request(&request.expect("a snapshot is requested"), at(10));
    actions.clear();
    starting.handle_snapshot(node(5), snapshot, at(20), &mut actions);
    assert_eq!(starting.routes().version(), 1);
    let sends_hello_to_agent = actions.iter().any(|action| {
        matches!(action, BalancerAction::Send { to, message: PeerMessage::Hello(_) } if *to == node(2))
    });
    assert!(sends_hello_to_agent, "{actions:?}");
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

fn hello(has_agent_contact: bool) -> PeerMessage {
    PeerMessage::Hello(BalancerHello {
        has_agent_contact,
        ..peer_hello()
    })
}

/// Routers keep sending packets to a balancer that is ready. If it hears no agent while
/// other balancers do, it must soon report that it is not ready.
#[test]
fn a_balancer_that_alone_hears_no_agent_is_soon_not_ready() {
    let mut balancer = balancer(&[2]);
    deliver_message(&mut balancer, 5, hello(true), at(10_250));
    assert_eq!(balancer.check_ready(at(10_299)), Ok(()));
    assert_eq!(
        balancer.check_ready(at(10_300)),
        Err(NotReadyReason::CutOff)
    );
}

/// If no balancer hears an agent, either all targets are gone or the balancers are
/// disconnected together.
#[test]
fn balancers_that_hear_no_agent_together_stay_ready_for_longer() {
    let mut balancer = balancer(&[2]);
    let mut readiness = Vec::new();
    for time in (10_000..11_600).step_by(250) {
        deliver_message(&mut balancer, 5, hello(false), at(time));
        readiness.push(balancer.check_ready(at(time)).is_ok());
    }
    assert_eq!(readiness, [true, true, true, true, false, false, false]);
}

#[test]
fn open_flows_keep_their_target_when_their_route_changes() {
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
fn datagrams_that_are_not_messages_are_rejected_with_a_reason() {
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
            "truncated to {length} bytes"
        );
    }
    let (message, rest) = PeerMessage::decode(&whole).expect("whole");
    assert_eq!(
        (message, rest),
        (PeerMessage::Report(report(2, 1)), &b""[..])
    );
}

/// Both balancers wait for their first configuration. If each answered a hello with a
/// hello, they would do so without end.
#[test]
fn balancers_without_a_configuration_do_not_answer_each_others_hellos() {
    let mut balancer = empty_balancer();
    let empty_hello = PeerMessage::Hello(BalancerHello {
        version: 0,
        has_agent_contact: false,
        ..peer_hello()
    });
    deliver_message(&mut balancer, 5, empty_hello.clone(), at(10));
    let again = deliver_message(&mut balancer, 5, empty_hello.clone(), at(11));
    assert!(again.is_empty(), "{again:?}");
    balancer.adopt_store_configuration(configuration(1));
    let answer = deliver_message(&mut balancer, 5, empty_hello, at(12));
    assert_eq!(
        answer.len(),
        1,
        "the balancer has a configuration to offer now: {answer:?}"
    );
}
