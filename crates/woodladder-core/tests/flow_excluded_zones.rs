//! Zones that the operators exclude: they get no new flows, and their open flows
//! continue.

mod flow_support;

use std::collections::BTreeSet;

use flow_support::*;
use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{Agent, AgentAction, ForwardDecision, ReplyBody};
use woodladder_core::flow::balancer::{Balancer, BalancerAction, Routing};
use woodladder_core::flow::excluded_zones::{ExcludedZones, ZoneChange};
use woodladder_core::flow::identity::ZoneKey;
use woodladder_core::flow::message::{
    BalancerHello, ForwardPurpose, PeerMessage, ReturnReason, Snapshot, TargetReport,
};
use woodladder_core::flow::store_session::{ConfigurationWatch, StoreReply, ZoneUpdate};

fn zone(name: &str) -> ZoneKey {
    ZoneKey::named(name)
}

fn excluded(revision: u64, names: &[&str]) -> ExcludedZones {
    ExcludedZones {
        revision,
        zones: names.iter().map(|name| zone(name)).collect(),
    }
}

fn report_from(agent: u8, name: &str) -> TargetReport {
    TargetReport {
        zone: zone(name),
        ..report(agent, 1)
    }
}

/// A balancer of zone a, with agents 2 and 3 in zone a and agent 4 in zone b.
fn balancer_of_two_zones() -> Balancer {
    let mut balancer = balancer(&[]);
    for (agent, name) in [(2, "a"), (3, "a"), (4, "b")] {
        deliver_report(&mut balancer, agent, &report_from(agent, name), at(10_000));
    }
    balancer
}

fn hello(zones: ExcludedZones) -> BalancerHello {
    BalancerHello {
        excluded_zones: zones,
        ..peer_hello()
    }
}

fn send_hello_to_agent(agent: &mut Agent, zones: ExcludedZones, now: Instant) {
    let message = PeerMessage::Hello(hello(zones));
    agent.handle_message(node(1), &message, now, &mut Vec::new());
}

fn reason(delivery: &ForwardDecision) -> Option<ReturnReason> {
    match delivery {
        ForwardDecision::Reply(PeerMessage::Returned { reason, .. }, ReplyBody::Packet) => {
            Some(*reason)
        }
        _ => None,
    }
}

#[test]
fn new_flows_go_to_other_zones_until_the_zone_is_readmitted() {
    let mut balancer = balancer_of_two_zones();
    balancer.adopt_store_exclusions(&excluded(50, &["a"]));
    for port in 1..40 {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_010));
        assert_eq!(receivers(&routing), vec![node(4)], "port {port}");
    }
    balancer.adopt_store_exclusions(&excluded(60, &[]));
    let mut chosen = BTreeSet::new();
    for port in 100..140 {
        let routing = deliver_caller_packet(&mut balancer, &opening(flow(port), 0), at(10_020));
        chosen.extend(receivers(&routing));
    }
    // The target of the other zone holds all flows so far, so the idle targets come
    // first.
    assert_eq!(chosen, BTreeSet::from([node(2), node(3)]));
}

#[test]
fn flows_that_are_open_stay_in_an_excluded_zone() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    send_hello_to_agent(&mut agent, excluded(50, &["a"]), at(20));
    let established = header(1, ForwardPurpose::Established);
    let delivery = forward_to(&mut agent, &established, &data(flow(1), 1101, 5001), at(30));
    assert!(is_delivered(&delivery), "{delivery:?}");
}

#[test]
fn an_agent_returns_openings_of_a_balancer_that_does_not_know_of_the_exclusion() {
    let mut agent = agent();
    send_hello_to_agent(&mut agent, excluded(50, &["a"]), at(20));
    let delivery = forward_to(&mut agent, &open_header(1), &opening(flow(1), 0), at(30));
    assert_eq!(reason(&delivery), Some(ReturnReason::ZoneExcluded));
    send_hello_to_agent(&mut agent, excluded(60, &["b"]), at(40));
    let delivery = forward_to(&mut agent, &open_header(1), &opening(flow(2), 0), at(50));
    assert!(is_delivered(&delivery), "{delivery:?}");
}

#[test]
fn openings_queued_at_the_agent_are_returned_when_its_zone_is_excluded() {
    let mut agent = agent();
    for port in 1..30 {
        forward_to(&mut agent, &open_header(1), &opening(flow(port), 0), at(30));
    }
    let queued = agent.load().queued;
    assert!(queued > 0);
    send_hello_to_agent(&mut agent, excluded(50, &["a"]), at(40));
    let mut actions = Vec::new();
    agent.tick(at(50), &mut actions);
    let returned = actions.iter().filter(|action| {
        matches!(
            action,
            AgentAction::Return {
                message: PeerMessage::Returned {
                    reason: ReturnReason::ZoneExcluded,
                    ..
                },
                ..
            }
        )
    });
    assert_eq!(returned.count(), usize::from(queued));
    let delivers = |action: &AgentAction| matches!(action, AgentAction::Deliver { .. });
    assert!(!actions.iter().any(delivers), "{actions:?}");
}

#[test]
fn a_returned_opening_informs_the_balancer_and_goes_to_another_zone() {
    let mut balancer = balancer_of_two_zones();
    let packet = opening(flow(1), 0);
    let first = receivers(&deliver_caller_packet(&mut balancer, &packet, at(10_010)));
    let agent = first[0].ip().octets()[3];
    let mut zones = excluded(50, &["a"]);
    if agent == 4 {
        zones = excluded(50, &["b"]);
    }
    let returned = PeerMessage::Returned {
        reason: ReturnReason::ZoneExcluded,
        load: Default::default(),
        version: 1,
        excluded_zones: zones.clone(),
    };
    let actions = deliver_message_with_packet(&mut balancer, agent, returned, &packet, at(10_020));
    let sent_to = actions.iter().find_map(|action| match action {
        BalancerAction::Forward { to, .. } => Some(*to),
        _ => None,
    });
    let sent_to = sent_to.expect("it goes to another target");
    let other = balancer.directory().agent(sent_to).expect("known");
    assert!(!zones.excludes(other.zone));
    assert_eq!(balancer.excluded_zones(), &zones);
}

#[test]
fn a_service_whose_targets_are_all_excluded_refuses_at_once() {
    let mut balancer = balancer_of_two_zones();
    balancer.adopt_store_exclusions(&excluded(50, &["a", "b"]));
    let routing = deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    assert!(matches!(routing, Routing::Reset(_)), "{routing:?}");
}

#[test]
fn openings_that_wait_for_a_target_are_refused_when_all_zones_are_excluded() {
    let mut balancer = balancer(&[]);
    let leaving = TargetReport {
        state: woodladder_core::flow::message::TargetState::Leaving,
        ..report_from(2, "a")
    };
    deliver_report(&mut balancer, 2, &leaving, at(10_000));
    deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
    assert_eq!(balancer.waiting_opening_count(), 1);
    balancer.adopt_store_exclusions(&excluded(50, &["a"]));
    let mut actions = Vec::new();
    balancer.tick(at(10_020), &mut actions);
    let resets = actions
        .iter()
        .filter(|action| matches!(action, BalancerAction::Reset(_)));
    assert_eq!(resets.count(), 1, "{actions:?}");
    assert_eq!(balancer.waiting_opening_count(), 0);
}

#[test]
fn an_older_set_changes_nothing_wherever_it_comes_from() {
    let mut balancer = balancer_of_two_zones();
    balancer.adopt_store_exclusions(&excluded(50, &["a"]));
    let late = PeerMessage::Hello(hello(excluded(40, &[])));
    deliver_message(&mut balancer, 20, late, at(10_010));
    let snapshot = Snapshot {
        excluded_zones: excluded(49, &["b"]),
        ..Snapshot::default()
    };
    balancer.handle_snapshot(node(20), snapshot, at(10_020), &mut Vec::new());
    balancer.adopt_store_exclusions(&excluded(50, &["b"]));
    assert_eq!(balancer.excluded_zones(), &excluded(50, &["a"]));
}

#[test]
fn a_balancer_sends_a_change_from_the_store_to_every_node() {
    let mut balancer = balancer_of_two_zones();
    deliver_message(
        &mut balancer,
        20,
        PeerMessage::Hello(peer_hello()),
        at(10_000),
    );
    let mut actions = Vec::new();
    balancer.tick(at(10_010), &mut actions);
    actions.clear();
    balancer.adopt_store_exclusions(&excluded(50, &["a"]));
    balancer.tick(at(10_011), &mut actions);
    let told: BTreeSet<u8> = actions
        .iter()
        .filter_map(|action| match action {
            BalancerAction::Send {
                to,
                message: PeerMessage::Hello(hello),
            } if hello.excluded_zones == excluded(50, &["a"]) => Some(to.ip().octets()[3]),
            _ => None,
        })
        .collect();
    assert_eq!(told, BTreeSet::from([2, 3, 4, 20]));
}

#[test]
fn a_balancer_that_starts_beside_others_learns_the_zones_before_it_forwards() {
    let mut known = balancer_of_two_zones();
    known.adopt_store_exclusions(&excluded(50, &["a"]));
    let request = woodladder_core::flow::message::SnapshotRequest {
        known_version: 0,
        wants_nodes: true,
    };
    let mut starting = empty_balancer();
    starting.handle_snapshot(
        node(20),
        known.answer_snapshot_request(&request, at(10)),
        at(10),
        &mut Vec::new(),
    );
    assert_eq!(starting.routes().version(), 1);
    assert_eq!(starting.excluded_zones(), &excluded(50, &["a"]));
}

fn state_reply(zones: ZoneUpdate, revision: u64) -> StoreReply {
    StoreReply::OperatorState {
        configuration: None,
        zones,
        revision,
    }
}

#[test]
fn the_watch_applies_changes_to_the_zones_it_has_read() {
    let mut watch = ConfigurationWatch::new(1, at(0));
    let wait = Some(std::time::Duration::from_secs(5));
    watch.next(wait, at(0));
    let all = ZoneUpdate::All(BTreeSet::from([zone("a")]));
    let state = watch.reply(state_reply(all, 40), at(5)).expect("answered");
    assert_eq!(state.excluded_zones, excluded(40, &["a"]));
    watch.next(wait, at(2000));
    let changes = vec![
        ZoneChange {
            zone: zone("b"),
            is_excluded: true,
        },
        ZoneChange {
            zone: zone("a"),
            is_excluded: false,
        },
        ZoneChange {
            zone: zone("a"),
            is_excluded: true,
        },
        ZoneChange {
            zone: zone("a"),
            is_excluded: false,
        },
    ];
    let reply = state_reply(ZoneUpdate::Changes(changes), 44);
    let state = watch.reply(reply, at(2010)).expect("answered");
    assert_eq!(state.excluded_zones, excluded(44, &["b"]));
    watch.next(wait, at(4000));
    assert_eq!(watch.reply(StoreReply::HistoryGone, at(4010)), None);
    watch.next(wait, at(6000));
    let all = ZoneUpdate::All(BTreeSet::new());
    let state = watch
        .reply(state_reply(all, 60), at(6010))
        .expect("answered");
    assert_eq!(state.excluded_zones, excluded(60, &[]));
}

proptest! {
    /// In whatever order sets of zones arrive, and however often, a node ends with the
    /// set of the greatest revision and never adopts an older one.
    #[test]
    fn a_node_never_adopts_an_older_set(order in proptest::collection::vec(0..12_u64, 1..60)) {
        let history: Vec<ExcludedZones> = (0..12)
            .map(|revision| {
                let names = ["a", "b", "c"];
                let held = names.iter().enumerate().filter(|(bit, _)| revision >> bit & 1 == 1);
                let held: Vec<&str> = held.map(|(_, name)| *name).collect();
                excluded(revision, &held)
            })
            .collect();
        let mut known = ExcludedZones::default();
        let mut greatest = 0;
        for revision in order {
            known.adopt(&history[usize::try_from(revision).expect("small")]);
            greatest = greatest.max(revision);
            prop_assert_eq!(&known, &history[usize::try_from(greatest).expect("small")]);
        }
    }
}
