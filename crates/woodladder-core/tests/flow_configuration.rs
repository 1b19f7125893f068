//! Configuration moves forward only, from the store or from any node.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{BalancerAction, NotReadyReason, Routing};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{
    BalancerGreeting, MessageError, PeerMessage, Snapshot, SnapshotRequest,
};
use woodladder_core::flow::store_session::{
    BalancerList, BalancerRegistration, ConfigurationWatch, NextCall, StoreCall, StoreReply,
};

/// The longest wait of one watch.
const WAIT: Option<Duration> = Some(Duration::from_secs(5));

/// An answer of the store at a revision, without a change.
fn configuration_reply(revision: u64) -> StoreReply {
    StoreReply::Configuration {
        configuration: None,
        revision,
    }
}

fn call(next: NextCall) -> StoreCall {
    match next {
        NextCall::Now(call) => call,
        NextCall::At(at) => panic!("nothing before {at:?}"),
    }
}

fn waits_until(next: NextCall) -> Duration {
    match next {
        NextCall::At(at) => at.since_origin(),
        NextCall::Now(call) => panic!("{call:?}"),
    }
}

#[test]
fn a_lesser_version_is_never_adopted() {
    let mut balancer = empty_balancer();
    balancer.configuration(configuration(7));
    balancer.configuration(configuration(5));
    assert_eq!(balancer.routes().version(), 7);
    let snapshot = Snapshot {
        configuration: Some((*configuration(6)).clone()),
        ..Snapshot::default()
    };
    balancer.snapshot(node(3), snapshot, at(10), &mut Vec::new());
    assert_eq!(balancer.routes().version(), 7);
}

#[test]
fn a_balancer_cut_off_from_the_store_learns_a_version_from_an_agent() {
    let mut balancer = balancer(&[2]);
    let mut ahead = report(2, 2);
    ahead.version = 4;
    let actions = tell(&mut balancer, 2, &ahead, at(10_001));
    let request = SnapshotRequest { known_version: 1 };
    let expected = BalancerAction::FetchSnapshot {
        from: node(2),
        request,
    };
    assert!(actions.contains(&expected), "{actions:?}");
}

#[test]
fn a_balancer_that_starts_without_the_store_learns_all_from_a_peer() {
    let mut known = balancer(&[2]);
    let greeting = BalancerGreeting {
        version: 1,
        report_interval_ms: 100,
        confirmed_ago_ms: None,
        leaving: false,
        hears_agents: true,
        zone: ZoneKey::named("a"),
        capacity: CAPACITY,
        is_able: true,
        balancers: vec![],
    };
    let mut starting = empty_balancer();
    let mut actions = Vec::new();
    starting.message(
        node(5),
        PeerMessage::Greeting(greeting),
        None,
        at(10),
        &mut actions,
    );
    let request = actions.iter().find_map(|action| match action {
        BalancerAction::FetchSnapshot { request, .. } => Some(*request),
        _ => None,
    });
    let snapshot = known.answer_snapshot(&request.expect("a snapshot is asked for"));
    actions.clear();
    starting.snapshot(node(5), snapshot, at(20), &mut actions);
    assert_eq!(starting.routes().version(), 1);
    let greets_agent = actions.iter().any(|action| {
        matches!(action, BalancerAction::Send { to, message: PeerMessage::Greeting(_) } if *to == node(2))
    });
    assert!(greets_agent, "{actions:?}");
    assert_eq!(starting.ready(at(30)), Err(NotReadyReason::NoAgent));
    tell(&mut starting, 2, &report(2, 1), at(40));
    assert_eq!(starting.ready(at(50)), Ok(()));
    known.leave(at(10_010), &mut Vec::new());
    assert_eq!(known.ready(at(10_010)), Err(NotReadyReason::Leaving));
}

#[test]
fn a_balancer_that_hears_no_agent_for_long_is_not_ready() {
    let balancer = balancer(&[2]);
    assert_eq!(balancer.ready(at(10_100)), Ok(()));
    assert_eq!(balancer.ready(at(10_600)), Err(NotReadyReason::CutOff));
}

fn greeting(hears_agents: bool) -> PeerMessage {
    PeerMessage::Greeting(BalancerGreeting {
        version: 1,
        report_interval_ms: 100,
        confirmed_ago_ms: None,
        leaving: false,
        hears_agents,
        zone: ZoneKey::named("a"),
        capacity: CAPACITY,
        is_able: true,
        balancers: vec![],
    })
}

/// Routers go on sending to a balancer that is ready, so one that hears no
/// agent while others do must say so soon.
#[test]
fn a_balancer_that_alone_hears_no_agent_is_soon_not_ready() {
    let mut balancer = balancer(&[2]);
    send(&mut balancer, 5, greeting(true), at(10_450));
    assert_eq!(balancer.ready(at(10_500)), Ok(()));
    assert_eq!(balancer.ready(at(10_600)), Err(NotReadyReason::CutOff));
}

/// The targets may be gone for all, and balancers may be cut off together.
#[test]
fn balancers_that_hear_no_agent_together_stay_ready_for_longer() {
    let mut balancer = balancer(&[2]);
    let mut readiness = Vec::new();
    for time in (10_000..11_600).step_by(250) {
        send(&mut balancer, 5, greeting(false), at(time));
        readiness.push(balancer.ready(at(time)).is_ok());
    }
    assert_eq!(readiness, [true, true, true, true, false, false, false]);
}

#[test]
fn open_flows_stay_where_they_are_when_their_route_leads_elsewhere() {
    let mut balancer = balancer(&[2]);
    let mut other = report(3, 1);
    other.service = print();
    tell(&mut balancer, 3, &other, at(10_000));
    balancer.configuration(configuration_of(2, &[(1, &[(print(), 1)])]));
    let routing = arrive(&mut balancer, &data(flow(1), 1, 77), at(10_100));
    assert_eq!(
        receivers(&routing).len(),
        2,
        "both services are asked: {routing:?}"
    );
    let routing = arrive(&mut balancer, &opening(flow(2), 0), at(10_100));
    assert!(matches!(routing, Routing::One { to, .. } if to == node(3)));
}

#[test]
fn the_watch_reads_first_and_then_waits_for_changes() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    assert_eq!(call(watch.next(WAIT, at(0))), StoreCall::ReadConfiguration);
    let read = StoreReply::Configuration {
        configuration: Some((*configuration(3)).clone()),
        revision: 40,
    };
    assert_eq!(watch.reply(read, at(5)).map(|it| it.version), Some(3));
    let StoreCall::AwaitConfiguration { after, .. } = call(watch.next(WAIT, at(5))) else {
        panic!("a watch follows");
    };
    assert_eq!(after, 40);
}

/// Each waiting watch is answered at each change, and each answer costs.
#[test]
fn changes_in_quick_succession_are_fetched_by_one_call() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    watch.next(WAIT, at(0));
    let changed = |version, revision| StoreReply::Configuration {
        configuration: Some((*configuration(version)).clone()),
        revision,
    };
    watch.reply(changed(3, 40), at(5));
    assert!(matches!(
        call(watch.next(WAIT, at(5))),
        StoreCall::AwaitConfiguration { after: 40, .. }
    ));
    watch.reply(changed(4, 41), at(1000));
    let again = waits_until(watch.next(WAIT, at(1000)));
    assert!(again >= Duration::from_millis(1200), "{again:?}");
    assert!(again <= Duration::from_millis(1400), "{again:?}");
    assert!(matches!(
        call(watch.next(WAIT, at(1400))),
        StoreCall::AwaitConfiguration { after: 41, .. }
    ));
}

#[test]
fn after_a_failure_the_watch_reads_again_because_changes_may_have_been_missed() {
    for failure in [
        StoreReply::NoAnswer,
        StoreReply::Refused,
        StoreReply::HistoryGone,
    ] {
        let mut watch = ConfigurationWatch::new(1, at(0));
        watch.next(WAIT, at(0));
        let read = StoreReply::Configuration {
            configuration: None,
            revision: 40,
        };
        watch.reply(read, at(5));
        watch.next(WAIT, at(200));
        assert_eq!(watch.reply(failure, at(300)), None);
        let again = waits_until(watch.next(WAIT, at(300)));
        assert!(again <= Duration::from_millis(400), "{again:?}");
        assert_eq!(
            call(watch.next(WAIT, at(500))),
            StoreCall::ReadConfiguration
        );
    }
}

#[test]
fn pauses_between_refused_calls_grow_and_differ_between_nodes() {
    let pauses = |seed| {
        let mut watch = ConfigurationWatch::new(seed, at(0));
        let mut now = Duration::ZERO;
        let mut pauses = Vec::new();
        for _ in 0..8 {
            let instant = woodladder_core::clock::Instant::from_origin(now);
            assert_eq!(
                call(watch.next(WAIT, instant)),
                StoreCall::ReadConfiguration
            );
            watch.reply(StoreReply::Refused, instant);
            let due = waits_until(watch.next(WAIT, instant));
            pauses.push(due - now);
            now = due;
        }
        pauses
    };
    let one = pauses(1);
    assert!(one[7] >= Duration::from_millis(700), "{one:?}");
    assert!(
        one.iter()
            .all(|pause| *pause <= Duration::from_millis(1500))
    );
    assert_ne!(one, pauses(2));
}

#[test]
fn a_balancer_whose_lease_has_ended_registers_again() {
    let mut registration = BalancerRegistration::new(1, at(0));
    let lifetime = Duration::from_secs(20);
    assert!(matches!(
        call(registration.next(true, at(0))),
        StoreCall::GrantLease { .. }
    ));
    registration.reply(&StoreReply::Lease { lease: 7, lifetime }, at(1));
    assert_eq!(
        call(registration.next(true, at(1))),
        StoreCall::Register { lease: 7 }
    );
    registration.reply(&StoreReply::Done, at(2));
    assert!(registration.is_registered());
    assert_eq!(
        call(registration.next(true, at(6000))),
        StoreCall::RenewLease { lease: 7 }
    );
    registration.reply(&StoreReply::LeaseGone, at(6001));
    assert!(!registration.is_registered());
    assert!(matches!(
        call(registration.next(true, at(6200))),
        StoreCall::GrantLease { .. }
    ));
}

/// The answer of a write was lost: writing the same entry again is safe.
#[test]
fn a_lost_answer_of_the_registration_is_settled_by_writing_again() {
    let mut registration = BalancerRegistration::new(1, at(0));
    registration.next(true, at(0));
    let lifetime = Duration::from_secs(20);
    registration.reply(&StoreReply::Lease { lease: 7, lifetime }, at(1));
    registration.next(true, at(1));
    registration.reply(&StoreReply::NoAnswer, at(1500));
    assert_eq!(
        call(registration.next(true, at(1700))),
        StoreCall::Register { lease: 7 }
    );
}

#[test]
fn a_list_is_read_often_only_while_no_balancer_is_heard() {
    let mut list = BalancerList::new(1, true, at(0));
    assert_eq!(
        call(list.next(at(0))),
        StoreCall::ListBalancers { stale: true }
    );
    assert_eq!(
        list.reply(StoreReply::Balancers(vec![node(2)]), at(5)),
        vec![node(2)]
    );
    assert!(waits_until(list.next(at(5))) <= Duration::from_millis(700));
    list.hears_balancers(true, at(5));
    list.next(at(700));
    list.reply(StoreReply::Balancers(vec![node(2)]), at(705));
    assert!(waits_until(list.next(at(705))) >= Duration::from_secs(15));
}

/// A list that only makes sure of what is heard anyway may be old, which costs
/// a tenth.
#[test]
fn lists_may_be_old_once_balancers_are_listed_and_heard() {
    let mut list = BalancerList::new(1, false, at(0));
    list.hears_balancers(true, at(0));
    assert_eq!(
        call(list.next(at(0))),
        StoreCall::ListBalancers { stale: false }
    );
    list.reply(StoreReply::Balancers(vec![node(2)]), at(5));
    let due = u64::try_from(waits_until(list.next(at(5))).as_millis()).expect("milliseconds");
    assert_eq!(
        call(list.next(at(due + 1))),
        StoreCall::ListBalancers { stale: true }
    );
    list.reply(StoreReply::NoAnswer, at(due + 2));
    list.hears_balancers(false, at(due + 3));
    assert_eq!(
        call(list.next(at(due + 800))),
        StoreCall::ListBalancers { stale: false }
    );
}

/// At a start the list is empty, and balancers are heard before it is read again.
#[test]
fn a_balancer_that_is_heard_puts_the_next_list_off() {
    let mut list = BalancerList::new(1, true, at(0));
    list.next(at(0));
    list.reply(StoreReply::Balancers(vec![]), at(5));
    list.hears_balancers(true, at(100));
    assert!(waits_until(list.next(at(700))) >= Duration::from_secs(15));
    list.hears_balancers(false, at(800));
    assert!(matches!(list.next(at(1500)), NextCall::Now(_)));
}

#[test]
fn a_list_that_the_store_refuses_is_not_repeated_while_balancers_are_heard() {
    let mut list = BalancerList::new(1, true, at(0));
    list.next(at(0));
    list.hears_balancers(true, at(3));
    list.reply(StoreReply::Refused, at(5));
    assert!(waits_until(list.next(at(5))) >= Duration::from_secs(15));
    let mut alone = BalancerList::new(1, true, at(0));
    alone.next(at(0));
    alone.reply(StoreReply::Refused, at(5));
    assert!(waits_until(alone.next(at(5))) <= Duration::from_millis(100));
}

#[test]
fn a_balancer_that_need_not_watch_makes_no_call_and_reads_before_it_watches_again() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    watch.next(WAIT, at(0));
    watch.reply(configuration_reply(1), at(5));
    assert!(waits_until(watch.next(None, at(150))) <= Duration::from_millis(400));
    assert_eq!(
        call(watch.next(WAIT, at(400))),
        StoreCall::ReadConfiguration
    );
}

#[test]
fn a_balancer_that_is_no_longer_to_be_entered_lets_its_lease_run_out() {
    let mut registration = BalancerRegistration::new(1, at(0));
    assert!(waits_until(registration.next(false, at(0))) > Duration::ZERO);
    registration.next(true, at(0));
    let lifetime = Duration::from_secs(20);
    registration.reply(&StoreReply::Lease { lease: 4, lifetime }, at(1));
    registration.next(true, at(1));
    registration.reply(&StoreReply::Done, at(2));
    assert!(waits_until(registration.next(false, at(6000))) > Duration::from_secs(6));
    registration.leave(at(6500));
    assert_eq!(
        call(registration.next(false, at(6500))),
        StoreCall::EndLease { lease: 4 }
    );
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
    let nothing = PeerMessage::Greeting(BalancerGreeting {
        version: 0,
        report_interval_ms: 100,
        confirmed_ago_ms: None,
        leaving: false,
        hears_agents: false,
        zone: ZoneKey::named("a"),
        capacity: CAPACITY,
        is_able: true,
        balancers: vec![],
    });
    send(&mut balancer, 5, nothing.clone(), at(10));
    let again = send(&mut balancer, 5, nothing.clone(), at(11));
    assert!(again.is_empty(), "{again:?}");
    balancer.configuration(configuration(1));
    let answer = send(&mut balancer, 5, nothing, at(12));
    assert_eq!(answer.len(), 1, "it can tell something now: {answer:?}");
}
