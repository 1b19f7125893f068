//! What a node asks of the store, and when.

mod flow_support;

use std::collections::BTreeSet;
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::store_session::{
    BalancerDiscovery, BalancerRegistration, ConfigurationWatch, ListNeed, NextCall, StoreCall,
    StoreReply, ZoneUpdate,
};

/// The longest wait of one watch.
const WAIT: Option<Duration> = Some(Duration::from_secs(5));

/// An answer of the store at a revision, without a change.
fn configuration_reply(revision: u64) -> StoreReply {
    StoreReply::OperatorState {
        configuration: None,
        zones: ZoneUpdate::Changes(Vec::new()),
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
fn the_watch_reads_first_and_then_waits_for_changes() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    assert_eq!(call(watch.next(WAIT, at(0))), StoreCall::ReadConfiguration);
    let read = StoreReply::OperatorState {
        configuration: Some((*configuration(3)).clone()),
        zones: ZoneUpdate::All(BTreeSet::new()),
        revision: 40,
    };
    let state = watch.reply(read, at(5)).expect("the store has answered");
    assert_eq!(state.configuration.map(|it| it.version), Some(3));
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
    let changed = |version, revision| StoreReply::OperatorState {
        configuration: Some((*configuration(version)).clone()),
        zones: ZoneUpdate::Changes(Vec::new()),
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
        let read = StoreReply::OperatorState {
            configuration: None,
            zones: ZoneUpdate::All(BTreeSet::new()),
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
    let mut list = BalancerDiscovery::new(1, true, at(0));
    assert_eq!(
        call(list.next(at(0))),
        StoreCall::ListBalancers { stale: true }
    );
    assert_eq!(
        list.reply(StoreReply::Balancers(vec![node(2)]), at(5)),
        vec![node(2)]
    );
    assert!(waits_until(list.next(at(5))) <= Duration::from_millis(700));
    list.set_need(ListNeed::Safeguard, at(5));
    list.next(at(700));
    list.reply(StoreReply::Balancers(vec![node(2)]), at(705));
    assert!(waits_until(list.next(at(705))) >= Duration::from_secs(15));
}

/// A list that only makes sure of what is heard anyway may be old, which costs
/// a tenth.
#[test]
fn lists_may_be_old_once_balancers_are_listed_and_heard() {
    let mut list = BalancerDiscovery::new(1, false, at(0));
    list.set_need(ListNeed::Safeguard, at(0));
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
    list.set_need(ListNeed::Urgent, at(due + 3));
    assert_eq!(
        call(list.next(at(due + 800))),
        StoreCall::ListBalancers { stale: false }
    );
}

/// At a start the list is empty, and balancers are heard before it is read again.
#[test]
fn a_balancer_that_is_heard_puts_the_next_list_off() {
    let mut list = BalancerDiscovery::new(1, true, at(0));
    list.next(at(0));
    list.reply(StoreReply::Balancers(vec![]), at(5));
    list.set_need(ListNeed::Safeguard, at(100));
    assert!(waits_until(list.next(at(700))) >= Duration::from_secs(15));
    list.set_need(ListNeed::Urgent, at(800));
    assert!(matches!(list.next(at(1500)), NextCall::Now(_)));
}

#[test]
fn a_list_that_the_store_refuses_is_not_repeated_while_balancers_are_heard() {
    let mut list = BalancerDiscovery::new(1, true, at(0));
    list.next(at(0));
    list.set_need(ListNeed::Safeguard, at(3));
    list.reply(StoreReply::Refused, at(5));
    assert!(waits_until(list.next(at(5))) >= Duration::from_secs(15));
    let mut alone = BalancerDiscovery::new(1, true, at(0));
    alone.next(at(0));
    alone.reply(StoreReply::Refused, at(5));
    assert!(waits_until(alone.next(at(5))) <= Duration::from_millis(100));
}

/// A few balancers make sure for all nodes; the others call the store again only
/// when they hear nobody.
#[test]
fn a_node_that_hears_balancers_leaves_the_list_to_a_few() {
    let mut list = BalancerDiscovery::new(1, true, at(0));
    list.next(at(0));
    list.reply(StoreReply::Balancers(vec![node(2)]), at(5));
    list.set_need(ListNeed::Nothing, at(10));
    assert!(waits_until(list.next(at(600_000))) > Duration::from_secs(600));
    list.set_need(ListNeed::Urgent, at(600_000));
    assert!(matches!(list.next(at(600_700)), NextCall::Now(_)));
}

#[test]
fn an_agent_that_is_greeted_soon_after_its_start_reads_no_list() {
    let mut list = BalancerDiscovery::with_initial_delay(1, at(0));
    assert!(waits_until(list.next(at(0))) >= Duration::from_millis(300));
    list.set_need(ListNeed::Nothing, at(50));
    assert!(waits_until(list.next(at(2000))) >= Duration::from_secs(15));
    let mut alone = BalancerDiscovery::with_initial_delay(1, at(0));
    alone.set_need(ListNeed::Urgent, at(50));
    assert!(matches!(alone.next(at(600)), NextCall::Now(_)));
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

/// A node that has just started has nothing for its callers; one that others keep
/// informed must not wake up for nothing.
#[test]
fn a_node_that_need_not_watch_looks_often_only_after_its_start() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    assert_eq!(watch.next(None, at(0)), NextCall::At(at(10)));
    assert_eq!(watch.next(None, at(1990)), NextCall::At(at(2000)));
    assert_eq!(watch.next(None, at(2000)), NextCall::At(at(2100)));
    assert_eq!(
        call(watch.next(WAIT, at(2100))),
        StoreCall::ReadConfiguration
    );
}
