//! Limit on the flows with many bytes that share a link at the same time.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::configuration::RouteTerms;
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::link::LinkLoadControl;
use woodladder_core::flow::link::bulk_admission::{BulkDecision, ReleasedOpening};
use woodladder_core::flow::link::scheduler::TrafficClass;
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Rate of a small machine's link, in kilobits per second.
const RATE_KBPS: u32 = 10_000;
/// Payload of a full packet, in bytes.
const FULL_PAYLOAD: u16 = 1200;
/// Full packets of one request of the bulk route.
const FULL_PACKETS_PER_REQUEST: u32 = 33;

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
        1001 + number * u32::from(FULL_PAYLOAD),
        5001,
        payload,
    )
}

fn admit(link: &mut LinkLoadControl, packet: &FlowPacket, now: Instant) -> BulkDecision {
    link.admit_caller_packet(packet, b"packet", TERMS, now)
}

fn open(link: &mut LinkLoadControl, port: u16, now: Instant) -> BulkDecision {
    admit(link, &opening(flow(port), 0), now)
}

/// Sends all data of a flow at once; the last packet is short.
fn send_request(link: &mut LinkLoadControl, port: u16, now: Instant) {
    for number in 0..FULL_PACKETS_PER_REQUEST {
        admit(link, &upload(flow(port), number, FULL_PAYLOAD), now);
    }
    admit(
        link,
        &upload(flow(port), FULL_PACKETS_PER_REQUEST, 400),
        now,
    );
}

/// A link that has observed 40 kilobytes per flow on its route.
fn link() -> LinkLoadControl {
    let mut link = LinkLoadControl::new(RATE_KBPS);
    for port in 1..4 {
        open(&mut link, port, at(0));
        send_request(&mut link, port, at(1));
    }
    assert_eq!(open(&mut link, 10, at(2000)), BulkDecision::Admit);
    admit(
        &mut link,
        &packet(flow(10), PacketKind::Reset, 1001, 0, 0),
        at(2000),
    );
    assert_eq!(link.active_bulk_flows(), 0);
    link
}

/// A link that is shared by as many flows as it admits, and their number.
fn shared_link() -> (LinkLoadControl, u16) {
    let mut link = link();
    let limit = u16::try_from(link.max_active_bulk_flows()).expect("few");
    for port in 100..100 + limit {
        assert_eq!(open(&mut link, port, at(2100)), BulkDecision::Admit);
        admit(&mut link, &upload(flow(port), 0, FULL_PAYLOAD), at(2100));
    }
    (link, limit)
}

fn ports(released: &[ReleasedOpening]) -> Vec<u16> {
    released
        .iter()
        .map(|opening| opening.packet.key.caller.port())
        .collect()
}

#[test]
fn no_opening_is_queued_before_anything_is_known_of_its_route() {
    let mut link = LinkLoadControl::new(RATE_KBPS);
    for port in 1..200 {
        assert_eq!(open(&mut link, port, at(0)), BulkDecision::Admit);
    }
}

#[test]
fn flows_that_send_little_at_a_time_are_never_queued_however_many_share_the_link() {
    let mut link = LinkLoadControl::new(RATE_KBPS);
    for port in 1..500_u16 {
        let now = at(u64::from(port) * 10);
        assert_eq!(open(&mut link, port, now), BulkDecision::Admit);
        admit(&mut link, &data(flow(port), 1001, 5001), now);
    }
    let request = data(flow(1), 1001, 5001);
    assert_eq!(link.traffic_class(&request), TrafficClass::Priority);
}

#[test]
fn a_long_flow_that_sends_many_bytes_in_small_parts_is_no_bulk_flow() {
    let mut link = LinkLoadControl::new(RATE_KBPS);
    for port in 1..10 {
        open(&mut link, port, at(0));
    }
    for second in 0..60_u64 {
        for port in 1..10 {
            admit(&mut link, &upload(flow(port), 0, 900), at(second * 1000));
        }
    }
    open(&mut link, 50, at(61_000));
    assert_eq!(
        link.traffic_class(&upload(flow(50), 0, FULL_PAYLOAD)),
        TrafficClass::Priority
    );
}

#[test]
fn uploads_beyond_the_limit_are_queued_and_all_get_their_turn() {
    let (mut link, limit) = shared_link();
    for port in 200..210 {
        assert_eq!(open(&mut link, port, at(2101)), BulkDecision::Wait);
    }
    assert!(link.release_openings(at(2102)).is_empty());
    assert_eq!(link.active_bulk_flows(), usize::from(limit));
    let mut admitted = Vec::new();
    // Every 33 milliseconds, one flow of 40 kilobytes ends.
    let mut sending: Vec<u16> = (100..100 + limit).collect();
    for step in 1..=10 {
        let now = at(2101 + step * 33);
        send_request(&mut link, sending.remove(0), now);
        for port in &sending {
            admit(&mut link, &upload(flow(*port), 1, FULL_PAYLOAD), now);
        }
        let released = link.release_openings(now);
        assert!(released.iter().all(|opening| opening.is_admitted));
        assert!(link.active_bulk_flows() <= usize::from(limit));
        sending.extend(ports(&released));
        admitted.extend(ports(&released));
    }
    assert_eq!(admitted, (200..210).collect::<Vec<u16>>());
}

#[test]
fn packets_of_open_flows_are_never_delayed() {
    let (mut link, _) = shared_link();
    for port in 300..340 {
        let decision = admit(&mut link, &upload(flow(port), 5, FULL_PAYLOAD), at(2101));
        assert_eq!(decision, BulkDecision::Admit);
    }
}

#[test]
fn a_flow_that_stops_midway_frees_its_place() {
    let (mut link, limit) = shared_link();
    assert_eq!(open(&mut link, 200, at(2110)), BulkDecision::Wait);
    assert!(link.release_openings(at(2150)).is_empty());
    let released = link.release_openings(at(2170));
    assert_eq!(ports(&released), vec![200]);
    assert!(link.active_bulk_flows() <= usize::from(limit));
}

#[test]
fn a_link_slower_than_stated_admits_no_further_flows() {
    let (mut link, limit) = shared_link();
    for step in 0..30 {
        let now = at(2100 + step * 50);
        // Each flow sends one packet in the time in which it could send many.
        for port in 100..100 + limit {
            admit(&mut link, &upload(flow(port), 1, FULL_PAYLOAD), now);
        }
        open(&mut link, 400 + u16::try_from(step).expect("few"), now);
        assert!(
            link.release_openings(now)
                .iter()
                .all(|opening| !opening.is_admitted)
        );
        assert!(link.active_bulk_flows() <= usize::from(limit));
    }
}

#[test]
fn openings_that_can_be_in_time_go_before_late_ones() {
    let (mut link, limit) = shared_link();
    open(&mut link, 200, at(2100));
    open(&mut link, 201, at(2101));
    for now in (2100..2650).step_by(50) {
        for port in 100..100 + limit {
            admit(&mut link, &upload(flow(port), 1, FULL_PAYLOAD), at(now));
        }
        link.release_openings(at(now));
    }
    open(&mut link, 202, at(2650));
    open(&mut link, 203, at(2651));
    send_request(&mut link, 100, at(2655));
    assert_eq!(ports(&link.release_openings(at(2655))), vec![202]);
}

#[test]
fn a_copy_replaces_a_queued_opening_and_a_reset_removes_it() {
    let (mut link, _) = shared_link();
    open(&mut link, 200, at(2101));
    let copy = opening(flow(200), 1);
    assert_eq!(admit(&mut link, &copy, at(2151)), BulkDecision::Wait);
    assert_eq!(link.queued_openings(), 1);
    let released = link.release_openings(at(2300));
    assert_eq!(released[0].packet, copy);

    open(&mut link, 201, at(2301));
    admit(
        &mut link,
        &packet(flow(201), PacketKind::Reset, 1001, 0, 0),
        at(2302),
    );
    assert_eq!(link.queued_openings(), 0);
}

#[test]
fn an_opening_is_refused_only_when_its_turn_would_come_too_late() {
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
    assert!((30..40).contains(&link.queued_openings()));
    assert_eq!(refused + link.queued_openings(), 100);
    let mut idle = self::link();
    assert_eq!(open(&mut idle, 200, at(2101)), BulkDecision::Admit);
}

#[test]
fn a_copy_whose_first_opening_was_not_seen_here_is_admitted() {
    let (mut link, _) = shared_link();
    for port in 200..300 {
        open(&mut link, port, at(2101));
    }
    let copy = opening(flow(500), 1);
    assert_eq!(admit(&mut link, &copy, at(2101)), BulkDecision::Admit);
}

#[test]
fn an_opening_queued_until_the_end_of_its_attempt_is_refused() {
    let (mut link, limit) = shared_link();
    open(&mut link, 200, at(2101));
    let mut ended = Vec::new();
    for now in (2101..3400).step_by(25) {
        for port in 100..100 + limit {
            admit(&mut link, &upload(flow(port), 1, FULL_PAYLOAD), at(now));
        }
        ended.extend(link.release_openings(at(now)));
    }
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].is_admitted);
    assert_eq!(ended[0].queued_at, at(2101));
}

#[test]
fn after_a_pause_of_the_process_formerly_active_flows_block_no_opening() {
    let (mut link, limit) = shared_link();
    for port in 200..203 {
        open(&mut link, port, at(2101));
    }
    let released = link.release_openings(at(2901));
    assert_eq!(released.len(), usize::from(limit.min(3)));
    assert!(released.iter().all(|opening| opening.is_admitted));
}

#[test]
fn link_use_is_measured_in_both_directions_over_one_second() {
    let mut link = LinkLoadControl::new(RATE_KBPS);
    for millisecond in 0..1000 {
        link.record_received(597, at(millisecond));
        link.record_sent(97, at(millisecond));
    }
    assert_eq!(link.used_kbps(at(999)), (5000, 1000));
    let (incoming, outgoing) = link.used_kbps(at(1000) + Duration::from_millis(500));
    // Half of the window has passed; it moves in steps of an eighth.
    assert!((1875..=3125).contains(&incoming), "{incoming}");
    assert!((375..=625).contains(&outgoing), "{outgoing}");
    assert_eq!(link.used_kbps(at(2100)), (0, 0));
}

#[test]
fn a_flow_that_sends_data_has_no_queued_opening() {
    let (mut link, _) = shared_link();
    open(&mut link, 200, at(2101));
    open(&mut link, 201, at(2101));
    // A copy of the opening went through another balancer.
    admit(&mut link, &upload(flow(200), 0, FULL_PAYLOAD), at(2110));
    let acknowledgement = packet(flow(201), PacketKind::Data, 1001, 5001, 0);
    admit(&mut link, &acknowledgement, at(2110));
    assert_eq!(link.queued_openings(), 0);
    assert!(link.release_openings(at(2400)).is_empty());
}

/// Keeps a link's flows active; returns the openings that left the queue and when.
fn released_until(
    link: &mut LinkLoadControl,
    limit: u16,
    times: std::ops::Range<u64>,
) -> Vec<(u64, ReleasedOpening)> {
    let mut ended = Vec::new();
    for now in times.step_by(25) {
        for port in 100..100 + limit {
            admit(link, &upload(flow(port), 1, FULL_PAYLOAD), at(now));
        }
        let released = link.release_openings(at(now));
        ended.extend(released.into_iter().map(|opening| (now, opening)));
    }
    ended
}

#[test]
fn no_opening_is_queued_for_longer_than_the_timeout_of_its_route() {
    let (mut link, limit) = shared_link();
    let terms = RouteTerms {
        timeout_ms: 500,
        ..TERMS
    };
    let decision = link.admit_caller_packet(&opening(flow(200), 0), b"packet", terms, at(2100));
    assert_eq!(decision, BulkDecision::Wait);
    let ended = released_until(&mut link, limit, 2100..3400);
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].1.is_admitted);
    assert!(ended[0].0 <= 2600, "{}", ended[0].0);
}

#[test]
fn the_age_of_an_opening_counts_from_when_its_caller_first_sent_it() {
    let (mut link, limit) = shared_link();
    assert!(released_until(&mut link, limit, 2100..2201).is_empty());
    // The opening took 100 milliseconds to arrive, its copy none.
    open(&mut link, 200, at(2200));
    admit(&mut link, &opening(flow(200), 1), at(2300));
    let ended = released_until(&mut link, limit, 2300..3600);
    assert_eq!(ended.len(), 1);
    assert!(!ended[0].1.is_admitted);
    assert_eq!(ended[0].1.first_sent, at(2100));
    assert!((3300..3325).contains(&ended[0].0), "{}", ended[0].0);
}

#[test]
fn an_opening_that_cannot_be_answered_before_its_timeout_is_refused() {
    let (mut link, _) = shared_link();
    let terms = RouteTerms {
        timeout_ms: 400,
        ..TERMS
    };
    open(&mut link, 200, at(2101));
    link.admit_caller_packet(&opening(flow(201), 0), b"packet", terms, at(2102));
    // Its bytes alone take 32 milliseconds.
    let released = link.release_openings(at(2102 + 390));
    let outcomes: Vec<(u16, bool)> = released
        .iter()
        .map(|opening| (opening.packet.key.caller.port(), opening.is_admitted))
        .collect();
    assert_eq!(outcomes, vec![(201, false), (200, true)]);
}
