//! Which balancers call the store, and which take over when the watchers are cut off
//! from it without noticing.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{
    Balancer, BalancerAction, BalancerOptions, REGISTERED_BALANCERS, STORE_WATCHERS,
    confirmation_limit,
};
use woodladder_core::flow::identity::{NodeAddress, ZoneKey};
use woodladder_core::flow::message::{BalancerHello, PeerMessage};

/// Time within which a change must be in force.
const CHANGE_BOUND: Duration = Duration::from_secs(5);
/// Longest wait of a watch, as the operators' page states it.
const LONGEST_WATCH: Duration = Duration::from_millis(5500);
/// Number of balancers in the fleet.
const FLEET: u8 = 90;

fn balancer_on(number: u8) -> Balancer {
    balancer_bound_by(number, CHANGE_BOUND)
}

fn balancer_bound_by(number: u8, change_bound: Duration) -> Balancer {
    let options = BalancerOptions {
        address: node(number),
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound,
    };
    Balancer::new(options, at(0))
}

fn hello(version: u64, confirmed_ago_ms: Option<u32>) -> BalancerHello {
    BalancerHello {
        version,
        confirmed_ago_ms,
        ..peer_hello()
    }
}

fn hear(balancer: &mut Balancer, from: u8, hello: BalancerHello, now: u64) {
    deliver_message(balancer, from, PeerMessage::Hello(hello), at(now));
}

/// A fleet in which every balancer has heard every other one and has a configuration
/// that the store confirmed at `confirmed` milliseconds.
fn fleet(confirmed: u64) -> Vec<Balancer> {
    (1..=FLEET)
        .map(|number| {
            let mut balancer = balancer_on(number);
            balancer.adopt_store_configuration(configuration(1));
            for other in (1..=FLEET).filter(|other| *other != number) {
                hear(&mut balancer, other, hello(1, None), confirmed);
            }
            balancer.record_store_confirmation(at(confirmed));
            balancer
        })
        .collect()
}

/// The balancers of a small deployment, which all have heard each other and a confirmation at
/// `confirmed` milliseconds.
fn small_deployment(balancers: u8, change_bound: Duration, confirmed: u64) -> Vec<Balancer> {
    (1..=balancers)
        .map(|number| {
            let mut balancer = balancer_bound_by(number, change_bound);
            balancer.adopt_store_configuration(configuration(1));
            for other in (1..=balancers).filter(|other| *other != number) {
                hear(&mut balancer, other, hello(1, None), confirmed);
            }
            balancer.record_store_confirmation(at(confirmed));
            balancer
        })
        .collect()
}

/// Times at which the balancers give up the watches that they wait in, the earliest first, in
/// milliseconds.
fn deadlines(balancers: &[Balancer], now: u64) -> Vec<u128> {
    let deadline = |balancer: &Balancer| balancer.store_watch_deadline(at(now));
    let mut deadlines: Vec<u128> = balancers
        .iter()
        .filter_map(deadline)
        .map(|deadline| deadline.since_origin().as_millis())
        .collect();
    deadlines.sort_unstable();
    deadlines
}

fn watching(fleet: &[Balancer], now: u64) -> usize {
    fleet
        .iter()
        .filter(|balancer| balancer.watches_store(at(now)))
        .count()
}

#[test]
fn a_few_balancers_of_a_fleet_watch_the_store_and_register() {
    let fleet = fleet(10_000);
    assert_eq!(watching(&fleet, 10_100), STORE_WATCHERS);
    let listed = fleet
        .iter()
        .filter(|balancer| balancer.should_register(at(10_100)))
        .count();
    assert_eq!(listed, REGISTERED_BALANCERS);
}

#[test]
fn every_balancer_of_a_small_deployment_watches() {
    let mut fleet: Vec<Balancer> = (1..=4).map(balancer_on).collect();
    for (index, balancer) in fleet.iter_mut().enumerate() {
        balancer.adopt_store_configuration(configuration(1));
        for other in (1..=4).filter(|other| usize::from(*other) != index + 1) {
            hear(balancer, other, hello(1, Some(0)), 10_000);
        }
    }
    assert_eq!(watching(&fleet, 10_100), 4);
}

/// All watchers are cut off from the store without noticing, because their calls are
/// neither answered nor refused.
#[test]
fn others_call_the_store_one_after_the_other_when_no_watch_is_answered() {
    let fleet = fleet(10_000);
    assert_eq!(watching(&fleet, 12_000), STORE_WATCHERS);
    let soon = watching(&fleet, 13_300);
    assert!(
        soon > STORE_WATCHERS && soon < STORE_WATCHERS + 8,
        "{soon} call"
    );
    assert_eq!(watching(&fleet, 25_000), usize::from(FLEET));
}

#[test]
fn a_confirmation_heard_from_another_balancer_saves_a_call() {
    let mut fleet = fleet(10_000);
    for balancer in &mut fleet {
        let former = balancer.confirmation_age(at(12_000));
        hear(balancer, 200, hello(1, Some(300)), 12_000);
        assert_eq!(former, Some(Duration::from_millis(2000)));
        let ago = balancer.confirmation_age(at(12_000));
        assert_eq!(ago, Some(Duration::from_millis(300)));
    }
    assert!(watching(&fleet, 14_600) <= STORE_WATCHERS);
}

/// A balancer that has just started hears of a version before it has fetched it.
#[test]
fn a_confirmation_of_a_later_version_counts_once_that_is_adopted() {
    let mut balancer = balancer_on(1);
    balancer.adopt_store_configuration(configuration(3));
    hear(&mut balancer, 2, hello(5, Some(200)), 1000);
    balancer.adopt_store_configuration(configuration(4));
    assert_eq!(balancer.confirmation_age(at(1100)), None);
    balancer.adopt_store_configuration(configuration(5));
    let ago = balancer.confirmation_age(at(1100));
    assert_eq!(ago, Some(Duration::from_millis(300)));
}

/// A hello confirms only the version that its sender knows.
#[test]
fn a_confirmation_of_a_later_version_does_not_confirm_the_known_one() {
    let mut balancer = balancer_on(1);
    balancer.adopt_store_configuration(configuration(3));
    hear(&mut balancer, 2, hello(4, Some(0)), 100);
    assert_eq!(balancer.confirmation_age(at(100)), None);
    hear(&mut balancer, 2, hello(0, Some(0)), 100);
    assert_eq!(balancer.confirmation_age(at(100)), None);
    hear(&mut balancer, 2, hello(3, Some(0)), 100);
    assert_eq!(balancer.confirmation_age(at(100)), Some(Duration::ZERO));
}

fn seeded(number: u8, seeds: &[NodeAddress]) -> Balancer {
    let mut balancer = balancer_on(number);
    balancer.add_seed_balancers(seeds, at(0), &mut Vec::new());
    balancer
}

#[test]
fn a_start_of_the_whole_fleet_causes_few_store_calls() {
    let seeds = [node(1), node(2), node(3)];
    let mut fleet: Vec<Balancer> = (1..=FLEET).map(|number| seeded(number, &seeds)).collect();
    assert_eq!(watching(&fleet, 20), seeds.len());
    for balancer in &mut fleet {
        balancer.adopt_store_configuration(configuration(1));
        for other in 1..=FLEET {
            hear(balancer, other, hello(1, Some(10)), 60);
        }
    }
    let listing = fleet
        .iter()
        .filter(|balancer| balancer.should_register(at(900)))
        .count();
    assert_eq!(listing, 0);
    assert!(watching(&fleet, 600) <= STORE_WATCHERS);
}

#[test]
fn a_balancer_whose_seeds_are_gone_asks_the_store() {
    let balancer = seeded(7, &[node(1), node(2)]);
    assert!(!balancer.watches_store(at(100)));
    assert!(balancer.watches_store(at(600)));
    let alone = seeded(7, &[]);
    assert!(alone.watches_store(at(0)));
}

/// After a power failure, the store's list still names the balancers that were
/// registered. The others contact them first, so they must not wait for anyone.
#[test]
fn a_balancer_in_the_stores_list_reads_the_configuration_at_once() {
    let mut balancer = seeded(7, &[node(1), node(2)]);
    balancer.add_listed_balancers(&[node(5), node(6)], at(10), &mut Vec::new());
    assert!(!balancer.watches_store(at(10)));
    balancer.add_listed_balancers(&[node(5), node(7)], at(20), &mut Vec::new());
    assert!(balancer.watches_store(at(20)));
}

#[test]
fn a_configuration_from_the_store_is_sent_at_once_to_all_that_lack_it() {
    let mut balancer = balancer_on(1);
    balancer.adopt_store_configuration(configuration(1));
    for other in 2..=FLEET {
        let version = if other % 2 == 0 { 1 } else { 2 };
        hear(&mut balancer, other, hello(version, None), 10_000);
    }
    balancer.tick(at(10_010), &mut Vec::new());
    balancer.adopt_store_configuration(configuration(2));
    let mut actions = Vec::new();
    balancer.tick(at(10_020), &mut actions);
    for other in (2..=FLEET).filter(|other| other % 2 == 0) {
        let is_informed = actions.iter().any(|action| {
            matches!(action, BalancerAction::Send { to, message: PeerMessage::Hello(hello) }
                if *to == node(other) && hello.version == 2)
        });
        assert!(is_informed, "{other}");
    }
}

#[test]
fn an_old_confirmation_of_another_balancer_does_not_replace_a_newer_one() {
    let mut balancer = balancer_on(1);
    balancer.adopt_store_configuration(configuration(1));
    balancer.record_store_confirmation(at(5000));
    hear(&mut balancer, 2, hello(1, Some(u32::MAX)), 6000);
    assert_eq!(
        balancer.confirmation_age(at(6000)),
        Some(Duration::from_secs(1))
    );
}

/// Silence of the store was taken for "no change": watches waited on connections that carried
/// nothing, and no watcher called the store anew.
#[test]
fn watchers_give_up_their_watches_in_turn_when_nobody_has_an_answer() {
    for change_bound in [3000, 4000, 6000] {
        let deployment = small_deployment(4, Duration::from_millis(change_bound), 10_000);
        let deadlines = deadlines(&deployment, 10_100);
        assert_eq!(deadlines.len(), 4);
        assert!(deadlines[0] >= 11_500, "{deadlines:?}");
        let last = deadlines[3] + 300;
        assert!(last <= u128::from(10_000 + change_bound), "{deadlines:?}");
        for pair in deadlines.windows(2) {
            assert!(pair[0] < pair[1], "{deadlines:?}");
        }
    }
}

#[test]
fn an_answer_to_any_balancer_keeps_the_other_watches_waiting() {
    let mut deployment = small_deployment(4, CHANGE_BOUND, 10_000);
    deployment.remove(2);
    let before = deadlines(&deployment, 10_100);
    for balancer in &mut deployment {
        hear(balancer, 3, hello(1, Some(100)), 12_000);
    }
    let after = deadlines(&deployment, 12_000);
    for (before, after) in before.iter().zip(&after) {
        assert_eq!(after - before, 1900);
    }
}

/// The watchers end their watches at different times, so that the age of the last answer
/// stays well below the limit after a change, which ends all watches at once.
#[test]
fn the_answers_to_the_watchers_are_spread_over_a_common_period() {
    const UNIX_TIME_MS: u64 = 1_700_000_000_000;
    for (balancers, change_bound) in [(1, 3000), (2, 3000), (3, 3000), (4, 3000), (8, 5000)] {
        let change_bound = Duration::from_millis(change_bound);
        let limit = confirmation_limit(change_bound).as_millis();
        let deployment = small_deployment(balancers, change_bound, 10_000);
        for begin in (0..5000).step_by(130) {
            let wait =
                |balancer: &Balancer| balancer.store_watch_wait(UNIX_TIME_MS + begin, at(10_100));
            let waits = deployment.iter().filter_map(wait);
            let mut ends: Vec<u128> = waits.map(|wait| wait.as_millis()).collect();
            ends.sort_unstable();
            assert_eq!(ends.len(), usize::from(balancers));
            let mut former = 0;
            for end in ends {
                assert!(end - former < limit - 300, "{balancers}: {former} {end}");
                former = end;
            }
        }
    }
}

/// A watch that ends a little early is not followed by a very short one.
#[test]
fn a_watch_waits_for_a_quarter_of_its_part_at_least() {
    let deployment = small_deployment(3, Duration::from_secs(3), 10_000);
    for balancer in &deployment {
        for begin in 0..5000 {
            let wait = balancer.store_watch_wait(begin, at(10_100));
            let wait = wait.expect("it watches");
            assert!(wait >= Duration::from_millis(310), "{wait:?}");
            assert!(wait <= Duration::from_millis(4070), "{wait:?}");
        }
    }
}

/// Guards against a watch on a silent connection that goes on for longer than the pages say while
/// the other watches are answered.
#[test]
fn a_watch_waits_for_its_period_and_a_quarter_of_a_part_at_most() {
    let mut longest = Duration::ZERO;
    for balancers in 1..=10 {
        for change_bound in [3_000, 5_000, 30_000].map(Duration::from_millis) {
            let deployment = small_deployment(balancers, change_bound, 10_000);
            for unix_time_ms in (0..20_000).step_by(10) {
                let wait =
                    |balancer: &Balancer| balancer.store_watch_wait(unix_time_ms, at(10_100));
                longest = longest.max(deployment.iter().filter_map(wait).max().expect("watchers"));
            }
        }
    }
    println!("figures: {longest:?}");
    assert!(longest < LONGEST_WATCH);
}
