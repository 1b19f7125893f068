//! What a confirmation of the configuration is worth when it was long on its way.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::balancer::{Balancer, BalancerOptions};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{BalancerHello, PeerMessage};
use woodladder_core::flow::store_session::{
    ConfigurationWatch, NextCall, StoreCall, StoreReply, ZoneUpdate,
};

/// Time within which a change must be in force.
const CHANGE_BOUND: Duration = Duration::from_secs(3);

fn balancer_on(number: u8) -> Balancer {
    let options = BalancerOptions {
        address: node(number),
        zone: ZoneKey::named("a"),
        cpu_millicores: CAPACITY,
        link_rate_kbps: None,
        flow_capacity: 1000,
        flow_retention: Duration::from_secs(30),
        flow_lifetime: Duration::from_secs(60),
        change_bound: CHANGE_BOUND,
    };
    Balancer::new(options, at(0))
}

fn hear(balancer: &mut Balancer, from: u8, age: Option<Duration>, now: u64) {
    let ago = age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
    let hello = BalancerHello {
        version: 1,
        confirmed_ago_ms: ago,
        ..peer_hello()
    };
    deliver_message(balancer, from, PeerMessage::Hello(hello), at(now));
}

/// Hellos that had waited in the socket of a process that stood still were taken for fresh, and the
/// process told all others that the store had just confirmed their configuration.
#[test]
fn a_hello_that_waited_over_a_stall_confirms_nothing_recent() {
    let mut balancer = balancer_on(1);
    balancer.adopt_store_configuration(configuration(1));
    balancer.record_store_confirmation(at(9_900));
    balancer.tick(at(10_000), &mut Vec::new());
    // Sent at 10,010 ms; the process stands still from 10,005 to 13,800 ms.
    hear(&mut balancer, 2, Some(Duration::ZERO), 13_800);
    let age = balancer.confirmation_age(at(13_800)).expect("confirmed");
    assert!(age >= Duration::from_millis(3_700), "{age:?}");
}

/// The same where the clock tick precedes the message.
#[test]
fn a_hello_that_waited_over_a_stall_confirms_nothing_recent_after_the_tick() {
    let mut balancer = balancer_on(1);
    balancer.adopt_store_configuration(configuration(1));
    balancer.record_store_confirmation(at(9_900));
    balancer.tick(at(10_000), &mut Vec::new());
    balancer.tick(at(13_799), &mut Vec::new());
    hear(&mut balancer, 2, Some(Duration::ZERO), 13_800);
    let age = balancer.confirmation_age(at(13_800)).expect("confirmed");
    assert!(age >= Duration::from_millis(3_700), "{age:?}");
}

/// An answer with a change that was long on its way, or waited in the socket of a process that
/// stood still, confirmed its version as of its arrival.
#[test]
fn an_answer_with_a_change_confirms_no_more_than_its_call_shows() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    let read = |version: u64, revision: u64, zones| StoreReply::OperatorState {
        configuration: Some((*configuration(version)).clone()),
        zones,
        revision,
    };
    watch.next(Some(Duration::from_secs(5)), at(0));
    watch.reply(read(1, 40, ZoneUpdate::All([].into())), at(5));
    let wait = Some(Duration::from_secs(1));
    assert!(matches!(
        watch.next(wait, at(10)),
        NextCall::Now(StoreCall::AwaitConfiguration { .. })
    ));
    // The store holds the call for a second at most, and the answer arrives 4 s later.
    let changed = read(2, 41, ZoneUpdate::Changes(Vec::new()));
    let state = watch.reply(changed, at(5_010)).expect("a state");
    let latest = at(1_010);
    assert!(state.confirmed_at <= latest, "{:?}", state.confirmed_at);
}
