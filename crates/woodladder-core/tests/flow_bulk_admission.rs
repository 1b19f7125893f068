//! How many flows that bring many bytes share a link at a time.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::configuration::RouteTerms;
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::link::LinkBudget;
use woodladder_core::flow::link::bulk_admission::{BulkDecision, ReleasedOpening};
use woodladder_core::flow::link::scheduler::TrafficClass;
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Kilobits a second: a small machine's link.
const RATE: u32 = 10_000;
/// Data of a full packet, in bytes.
const FULL: u16 = 1200;
/// Full packets of one request of the bulk route.
const PACKETS: u32 = 33;

const TERMS: RouteTerms = RouteTerms {
    priority: 2,
    aim_ms: 800,
    timeout_ms: 10_000,
    is_repeatable: true,
};

fn upload(key: FlowKey, number: u32, payload: u16) -> FlowPacket {
    packet(
        key,
        PacketKind::Data,
        1001 + number * u32::from(FULL),
        5001,
        payload,
    )
}

fn give(link: &mut LinkBudget, packet: &FlowPacket, now: Instant) -> BulkDecision {
    link.admit_caller_packet(packet, b"packet", TERMS, now)
}

fn open(link: &mut LinkBudget, port: u16, now: Instant) -> BulkDecision {
    give(link, &opening(flow(port), 0), now)
}

/// A flow's data, all at once; the last packet is short.
fn send_all(link: &mut LinkBudget, port: u16, now: Instant) {
    for number in 0..PACKETS {
        give(link, &upload(flow(port), number, FULL), now);
    }
    give(link, &upload(flow(port), PACKETS, 400), now);
}

/// A link that knows its route to bring 40 kilobytes a flow.
fn link() -> LinkBudget {
    let mut link = LinkBudget::new(RATE);
    for port in 1..4 {
        open(&mut link, port, at(0));
        send_all(&mut link, port, at(1));
    }
    assert_eq!(open(&mut link, 10, at(2000)), BulkDecision::Admit);
    give(
        &mut link,
        &packet(flow(10), PacketKind::Reset, 1001, 0, 0),
        at(2000),
    );
    assert_eq!(link.active_bulk_flows(), 0);
    link
}

/// A link that is shared by as many flows as it bears; returns how many.
fn shared_link() -> (LinkBudget, u16) {
    let mut link = link();
    let most = u16::try_from(link.most_sharing()).expect("few");
    for port in 100..100 + most {
        assert_eq!(open(&mut link, port, at(2100)), BulkDecision::Admit);
        give(&mut link, &upload(flow(port), 0, FULL), at(2100));
    }
    (link, most)
}

fn ports(released: &[ReleasedOpening]) -> Vec<u16> {
    released
        .iter()
        .map(|opening| opening.packet.key.caller.port())
        .collect()
}

#[test]
fn before_anything_is_known_of_a_route_nothing_waits() {
    let mut link = LinkBudget::new(RATE);
    for port in 1..200 {
        assert_eq!(open(&mut link, port, at(0)), BulkDecision::Admit);
    }
}

#[test]
fn flows_that_bring_little_at_a_time_never_wait_however_many_share_the_link() {
    let mut link = LinkBudget::new(RATE);
    for port in 1..500_u16 {
        let now = at(u64::from(port) * 10);
        assert_eq!(open(&mut link, port, now), BulkDecision::Admit);
        give(&mut link, &data(flow(port), 1001, 5001), now);
    }
    let request = data(flow(1), 1001, 5001);
    assert_eq!(link.traffic_class(&request), TrafficClass::Priority);
}

#[test]
fn a_long_flow_that_brings_as_much_in_small_parts_is_no_bulk() {
    let mut link = LinkBudget::new(RATE);
    for port in 1..10 {
        open(&mut link, port, at(0));
    }
    for second in 0..60_u64 {
        for port in 1..10 {
            give(&mut link, &upload(flow(port), 0, 900), at(second * 1000));
        }
    }
    open(&mut link, 50, at(61_000));
    assert_eq!(
        link.traffic_class(&upload(flow(50), 0, FULL)),
        TrafficClass::Priority
    );
}

#[test]
fn a_burst_of_uploads_waits_beyond_what_the_link_bears_and_all_get_their_turn() {
    let (mut link, most) = shared_link();
    for port in 200..210 {
        assert_eq!(open(&mut link, port, at(2101)), BulkDecision::Wait);
    }
    assert!(link.release_waiting(at(2102)).is_empty());
    assert_eq!(link.active_bulk_flows(), usize::from(most));
    let mut served = Vec::new();
    // One flow of 40 kilobytes ends each 33 milliseconds.
    let mut sending: Vec<u16> = (100..100 + most).collect();
    for step in 1..=10 {
        let now = at(2101 + step * 33);
        send_all(&mut link, sending.remove(0), now);
        for port in &sending {
            give(&mut link, &upload(flow(*port), 1, FULL), now);
        }
        let released = link.release_waiting(now);
        assert!(released.iter().all(|opening| opening.is_admitted));
        assert!(link.active_bulk_flows() <= usize::from(most));
        sending.extend(ports(&released));
        served.extend(ports(&released));
    }
    assert_eq!(served, (200..210).collect::<Vec<u16>>());
}

#[test]
fn open_flows_are_never_held() {
    let (mut link, _) = shared_link();
    for port in 300..340 {
        let decision = give(&mut link, &upload(flow(port), 5, FULL), at(2101));
        assert_eq!(decision, BulkDecision::Admit);
    }
}

#[test]
fn a_flow_that_stops_in_the_middle_gives_its_share_back() {
    let (mut link, most) = shared_link();
    assert_eq!(open(&mut link, 200, at(2110)), BulkDecision::Wait);
    assert!(link.release_waiting(at(2150)).is_empty());
    let released = link.release_waiting(at(2170));
    assert_eq!(ports(&released), vec![200]);
    assert!(link.active_bulk_flows() <= usize::from(most));
}

#[test]
fn on_a_link_slower_than_stated_no_more_flows_come_together() {
    let (mut link, most) = shared_link();
    for step in 0..30 {
        let now = at(2100 + step * 50);
        // Each flow gets one packet through in the time of many.
        for port in 100..100 + most {
            give(&mut link, &upload(flow(port), 1, FULL), now);
        }
        open(&mut link, 400 + u16::try_from(step).expect("few"), now);
        assert!(
            link.release_waiting(now)
                .iter()
                .all(|opening| !opening.is_admitted)
        );
        assert!(link.active_bulk_flows() <= usize::from(most));
    }
}

#[test]
fn those_that_can_be_in_time_go_before_those_that_cannot() {
    let (mut link, most) = shared_link();
    open(&mut link, 200, at(2100));
    open(&mut link, 201, at(2101));
    for now in (2100..2650).step_by(50) {
        for port in 100..100 + most {
            give(&mut link, &upload(flow(port), 1, FULL), at(now));
        }
        link.release_waiting(at(now));
    }
    open(&mut link, 202, at(2650));
    open(&mut link, 203, at(2651));
    send_all(&mut link, 100, at(2655));
    assert_eq!(ports(&link.release_waiting(at(2655))), vec![202]);
}

#[test]
fn a_copy_of_a_waiting_opening_replaces_it_and_a_caller_that_ends_leaves_the_queue() {
    let (mut link, _) = shared_link();
    open(&mut link, 200, at(2101));
    let copy = opening(flow(200), 1);
    assert_eq!(give(&mut link, &copy, at(2151)), BulkDecision::Wait);
    assert_eq!(link.openings_waiting(), 1);
    let released = link.release_waiting(at(2300));
    assert_eq!(released[0].packet, copy);

    open(&mut link, 201, at(2301));
    give(
        &mut link,
        &packet(flow(201), PacketKind::Reset, 1001, 0, 0),
        at(2302),
    );
    assert_eq!(link.openings_waiting(), 0);
}

#[test]
fn an_opening_is_refused_only_when_its_turn_comes_too_late_and_never_with_room() {
    let (mut link, _) = shared_link();
    let mut refused = 0;
    for port in 200..300 {
        match open(&mut link, port, at(2101)) {
            BulkDecision::Wait => assert_eq!(refused, 0),
            BulkDecision::Refuse => refused += 1,
            BulkDecision::Admit => panic!("the link is full"),
        }
    }
    // 40 kilobytes take 32 milliseconds: 37 of them fill 1.2 seconds.
    assert!((30..40).contains(&link.openings_waiting()));
    assert_eq!(refused + link.openings_waiting(), 100);
    let mut idle = self::link();
    assert_eq!(open(&mut idle, 200, at(2101)), BulkDecision::Admit);
}

#[test]
fn a_copy_whose_first_opening_was_not_seen_here_is_neither_held_nor_refused() {
    let (mut link, _) = shared_link();
    for port in 200..300 {
        open(&mut link, port, at(2101));
    }
    let copy = opening(flow(500), 1);
    assert_eq!(give(&mut link, &copy, at(2101)), BulkDecision::Admit);
}

#[test]
fn what_has_waited_to_the_end_of_its_attempt_is_refused() {
    let (mut link, most) = shared_link();
    open(&mut link, 200, at(2101));
    let mut ended = Vec::new();
    for now in (2101..3400).step_by(25) {
        for port in 100..100 + most {
            give(&mut link, &upload(flow(port), 1, FULL), at(now));
        }
        ended.extend(link.release_waiting(at(now)));
    }
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].is_admitted);
    assert_eq!(ended[0].queued_at, at(2101));
}

#[test]
fn after_a_pause_of_the_process_nothing_is_held_by_flows_that_were_under_way() {
    let (mut link, most) = shared_link();
    for port in 200..203 {
        open(&mut link, port, at(2101));
    }
    let released = link.release_waiting(at(2901));
    assert_eq!(released.len(), usize::from(most.min(3)));
    assert!(released.iter().all(|opening| opening.is_admitted));
}

#[test]
fn use_of_the_link_is_measured_in_both_directions_and_forgotten_after_a_second() {
    let mut link = LinkBudget::new(RATE);
    for millisecond in 0..1000 {
        link.record_received(597, at(millisecond));
        link.record_sent(97, at(millisecond));
    }
    assert_eq!(link.used_kbps(at(999)), (5000, 1000));
    let (incoming, outgoing) = link.used_kbps(at(1000) + Duration::from_millis(500));
    // Half of the window has passed; it moves by eighths.
    assert!((1875..=3125).contains(&incoming), "{incoming}");
    assert!((375..=625).contains(&outgoing), "{outgoing}");
    assert_eq!(link.used_kbps(at(2100)), (0, 0));
}

#[test]
fn a_flow_that_sends_data_has_no_opening_that_waits() {
    let (mut link, _) = shared_link();
    open(&mut link, 200, at(2101));
    open(&mut link, 201, at(2101));
    // A copy of the opening went through another balancer.
    give(&mut link, &upload(flow(200), 0, FULL), at(2110));
    let acknowledgement = packet(flow(201), PacketKind::Data, 1001, 5001, 0);
    give(&mut link, &acknowledgement, at(2110));
    assert_eq!(link.openings_waiting(), 0);
    assert!(link.release_waiting(at(2400)).is_empty());
}

/// Keeps a link's flows under way, and returns when and what it releases until then.
fn released_until(
    link: &mut LinkBudget,
    most: u16,
    times: std::ops::Range<u64>,
) -> Vec<(u64, ReleasedOpening)> {
    let mut ended = Vec::new();
    for now in times.step_by(25) {
        for port in 100..100 + most {
            give(link, &upload(flow(port), 1, FULL), at(now));
        }
        let released = link.release_waiting(at(now));
        ended.extend(released.into_iter().map(|opening| (now, opening)));
    }
    ended
}

#[test]
fn no_opening_waits_for_longer_than_the_timeout_of_its_route() {
    let (mut link, most) = shared_link();
    let terms = RouteTerms {
        timeout_ms: 500,
        ..TERMS
    };
    let decision = link.admit_caller_packet(&opening(flow(200), 0), b"packet", terms, at(2100));
    assert_eq!(decision, BulkDecision::Wait);
    let ended = released_until(&mut link, most, 2100..3400);
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].1.is_admitted);
    assert!(ended[0].0 <= 2600, "{}", ended[0].0);
}

#[test]
fn an_openings_wait_counts_from_when_its_caller_first_sent_it() {
    let (mut link, most) = shared_link();
    assert!(released_until(&mut link, most, 2100..2201).is_empty());
    // The opening was 100 milliseconds on its way, its copy none.
    open(&mut link, 200, at(2200));
    give(&mut link, &opening(flow(200), 1), at(2300));
    let ended = released_until(&mut link, most, 2300..3600);
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].1.is_admitted);
    assert_eq!(ended[0].1.first_sent, at(2100));
    assert!((3300..3325).contains(&ended[0].0), "{}", ended[0].0);
}

#[test]
fn an_opening_that_cannot_be_answered_before_its_timeout_does_not_go() {
    let (mut link, _) = shared_link();
    let terms = RouteTerms {
        timeout_ms: 400,
        ..TERMS
    };
    open(&mut link, 200, at(2101));
    link.admit_caller_packet(&opening(flow(201), 0), b"packet", terms, at(2102));
    // Its bytes alone take 32 milliseconds.
    let released = link.release_waiting(at(2102 + 390));
    let went: Vec<(u16, bool)> = released
        .iter()
        .map(|opening| (opening.packet.key.caller.port(), opening.is_admitted))
        .collect();
    assert_eq!(went, vec![(201, false), (200, true)]);
}
