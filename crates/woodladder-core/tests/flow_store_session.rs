//! Which calls a node makes to the store, and when.

mod flow_support;

use std::collections::BTreeSet;
use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::store_session::{
    BalancerDiscovery, BalancerRegistration, ConfigurationWatch, ListNeed, NextCall, StoreCall,
    StoreReply, ZoneUpdate,
};

/// The longest wait of one watch call.
const WAIT: Option<Duration> = Some(Duration::from_secs(5));

/// An answer of the store at a revision, without any change.
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
        NextCall::At(at) => panic!("no call is due before {at:?}"),
    }
}

fn waits_until(next: NextCall) -> Duration {
    match next {
        NextCall::At(at) => at.since_origin(),
        NextCall::Now(call) => panic!("a call is due: {call:?}"),
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
        panic!("no watch call follows the read");
    };
    assert_eq!(after, 40);
}

/// Every change answers every waiting watch, and each answer costs the store.
#[test]
fn changes_in_quick_succession_cost_one_call() {
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

/// After a lost answer, writing the same entry again is safe.
#[test]
fn a_registration_without_an_answer_is_written_again() {
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
    let mut discovery = BalancerDiscovery::new(1, true, at(0));
    assert_eq!(
        call(discovery.next(at(0))),
        StoreCall::ListBalancers { stale: true }
    );
    assert_eq!(
        discovery.reply(StoreReply::Balancers(vec![node(2)]), at(5)),
        vec![node(2)]
    );
    assert!(waits_until(discovery.next(at(5))) <= Duration::from_millis(700));
    discovery.set_need(ListNeed::Safeguard, at(5));
    discovery.next(at(700));
    discovery.reply(StoreReply::Balancers(vec![node(2)]), at(705));
    assert!(waits_until(discovery.next(at(705))) >= Duration::from_secs(15));
}

/// A list that is only a safeguard may be stale, which costs the store a tenth.
#[test]
fn lists_may_be_stale_once_balancers_are_listed_and_heard() {
    let mut discovery = BalancerDiscovery::new(1, false, at(0));
    discovery.set_need(ListNeed::Safeguard, at(0));
    assert_eq!(
        call(discovery.next(at(0))),
        StoreCall::ListBalancers { stale: false }
    );
    discovery.reply(StoreReply::Balancers(vec![node(2)]), at(5));
    let due = u64::try_from(waits_until(discovery.next(at(5))).as_millis()).expect("milliseconds");
    assert_eq!(
        call(discovery.next(at(due + 1))),
        StoreCall::ListBalancers { stale: true }
    );
    discovery.reply(StoreReply::NoAnswer, at(due + 2));
    discovery.set_need(ListNeed::Urgent, at(due + 3));
    assert_eq!(
        call(discovery.next(at(due + 800))),
        StoreCall::ListBalancers { stale: false }
    );
}

/// The first list after a start is empty, and balancers are heard before the next one is
/// read.
#[test]
fn a_balancer_that_is_heard_postpones_the_next_list() {
    let mut discovery = BalancerDiscovery::new(1, true, at(0));
    discovery.next(at(0));
    discovery.reply(StoreReply::Balancers(vec![]), at(5));
    discovery.set_need(ListNeed::Safeguard, at(100));
    assert!(waits_until(discovery.next(at(700))) >= Duration::from_secs(15));
    discovery.set_need(ListNeed::Urgent, at(800));
    assert!(matches!(discovery.next(at(1500)), NextCall::Now(_)));
}

#[test]
fn a_list_that_the_store_refuses_is_not_repeated_while_balancers_are_heard() {
    let mut discovery = BalancerDiscovery::new(1, true, at(0));
    discovery.next(at(0));
    discovery.set_need(ListNeed::Safeguard, at(3));
    discovery.reply(StoreReply::Refused, at(5));
    assert!(waits_until(discovery.next(at(5))) >= Duration::from_secs(15));
    let mut isolated = BalancerDiscovery::new(1, true, at(0));
    isolated.next(at(0));
    isolated.reply(StoreReply::Refused, at(5));
    assert!(waits_until(isolated.next(at(5))) <= Duration::from_millis(100));
}

/// A few balancers check the list for all nodes; the other nodes call the store again
/// only when they hear no balancer.
#[test]
fn a_node_that_hears_balancers_leaves_the_list_to_a_few() {
    let mut discovery = BalancerDiscovery::new(1, true, at(0));
    discovery.next(at(0));
    discovery.reply(StoreReply::Balancers(vec![node(2)]), at(5));
    discovery.set_need(ListNeed::Nothing, at(10));
    assert!(waits_until(discovery.next(at(600_000))) > Duration::from_secs(600));
    discovery.set_need(ListNeed::Urgent, at(600_000));
    assert!(matches!(discovery.next(at(600_700)), NextCall::Now(_)));
}

#[test]
fn an_agent_that_gets_a_hello_soon_after_its_start_reads_no_list() {
    let mut discovery = BalancerDiscovery::with_initial_delay(1, at(0));
    assert!(waits_until(discovery.next(at(0))) >= Duration::from_millis(300));
    discovery.set_need(ListNeed::Nothing, at(50));
    assert!(waits_until(discovery.next(at(2000))) >= Duration::from_secs(15));
    let mut isolated = BalancerDiscovery::with_initial_delay(1, at(0));
    isolated.set_need(ListNeed::Urgent, at(50));
    assert!(matches!(isolated.next(at(600)), NextCall::Now(_)));
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
fn a_balancer_that_need_not_be_registered_lets_its_lease_expire() {
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

/// A node that has just started cannot do anything for its callers yet, so it polls
/// often. Later, a node that others keep informed must not wake up needlessly.
#[test]
fn a_node_that_need_not_watch_polls_often_only_after_its_start() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    assert_eq!(watch.next(None, at(0)), NextCall::At(at(10)));
    assert_eq!(watch.next(None, at(1990)), NextCall::At(at(2000)));
    assert_eq!(watch.next(None, at(2000)), NextCall::At(at(2100)));
    assert_eq!(
        call(watch.next(WAIT, at(2100))),
        StoreCall::ReadConfiguration
    );
}

/// What a watch has missed while its connection was silent shows only in a read.
#[test]
fn a_watch_that_was_given_up_is_followed_by_a_read_at_once() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    watch.next(WAIT, at(0));
    watch.reply(configuration_reply(40), at(5));
    let begin = waits_until(watch.next(WAIT, at(5)));
    let begin = u64::try_from(begin.as_millis()).expect("a time of the test") + 1;
    call(watch.next(WAIT, at(begin)));
    assert_eq!(watch.abandon(at(begin + 2000)), Duration::from_secs(2));
    assert_eq!(
        call(watch.next(WAIT, at(begin + 2000))),
        StoreCall::ReadConfiguration
    );
}

/// An answer that is long on its way counted as confirmed when it arrived.
#[test]
fn an_answer_without_a_change_confirms_only_until_the_end_of_its_wait() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    watch.next(WAIT, at(100));
    let read = watch.reply(configuration_reply(40), at(340));
    assert_eq!(read.map(|state| state.confirmed_at), Some(at(100)));
    call(watch.next(WAIT, at(1000)));
    let late = watch.reply(configuration_reply(40), at(7200));
    assert_eq!(late.map(|state| state.confirmed_at), Some(at(6000)));
}
