//! Requests on open flows that wait at the agent: what is held, how it is handed over,
//! and what becomes of it when something fails.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, ForwardDecision, HELD_BYTES, HELD_FLOWS, Heartbeat, Held, HeldRequests,
    HeldTerms,
};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::message::{
    ForwardPurpose, OpeningTerms, PeerMessage, ReturnReason, Snapshot, TargetState,
};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Requests that a target of two slots is handed at once.
const HANDED_OVER: u16 = 3;
/// Bytes of the tests' packets.
const LENGTH: u32 = 100;
const TIMEOUT_MS: u32 = 3000;

/// Milliseconds of a test, well after the clock's origin.
fn at(milliseconds: u64) -> Instant {
    flow_support::at(10_000 + milliseconds)
}

fn route(number: u8, priority: u8) -> Route {
    Route {
        address: route_address(number),
        parts: vec![RoutePart {
            service: main_service(),
            weight: 1,
        }],
        terms: RouteTerms {
            priority,
            aim_ms: 250,
            timeout_ms: TIMEOUT_MS,
            is_repeatable: true,
        },
    }
}

/// The first route matters less than the second one, which shares its service.
fn adopt(agent: &mut Agent, version: u64, priorities: [u8; 2]) {
    let [first, second] = priorities;
    let snapshot = Snapshot {
        configuration: Some(Configuration {
            version,
            routes: vec![route(1, first), route(2, second)],
            services: Vec::new(),
            idle_timeout_ms: 15_000,
        }),
        ..Snapshot::default()
    };
    agent.apply_snapshot(node(1), snapshot, flow_support::at(0));
}

fn small_beat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        slots: 2,
        ..heartbeat(incarnation, sequence)
    }
}

fn agent_of(priorities: [u8; 2]) -> Agent {
    let mut agent = empty_agent();
    adopt(&mut agent, 1, priorities);
    agent
        .handle_heartbeat(&small_beat(1, 1), flow_support::at(0))
        .expect("heartbeat");
    agent
}

fn urgent_flow(port: u16) -> FlowKey {
    FlowKey {
        service: route_address(2),
        ..flow(port)
    }
}

/// The request with this number on a flow, in one packet.
fn request(key: FlowKey, number: u32) -> FlowPacket {
    data(key, 1001 + LENGTH * number, 5001 + LENGTH * number)
}

/// The answer to it.
fn answer(agent: &mut Agent, key: FlowKey, number: u32, now: u64) {
    let packet = data(key, 5001 + LENGTH * number, 1101 + LENGTH * number);
    agent.handle_target_packet(&packet, None, at(now));
}

/// Sends a packet whose bytes are the flow's port and the packet's number.
fn send_packet(agent: &mut Agent, packet: &FlowPacket, now: u64) -> ForwardDecision {
    let header = header(1, ForwardPurpose::Established);
    let bytes = bytes_of(packet);
    agent.handle_forwarded_packet(node(1), &header, packet, &bytes, at(now))
}

fn bytes_of(packet: &FlowPacket) -> Vec<u8> {
    let port = packet.key.caller.port().to_be_bytes();
    [&port[..], &packet.sequence.to_be_bytes()].concat()
}

fn read(bytes: &[u8]) -> (u16, u32) {
    let port = u16::from_be_bytes([bytes[0], bytes[1]]);
    (
        port,
        u32::from_be_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]),
    )
}

/// Packets that the agent hands over now, by port and number, and which of them begin
/// a request.
fn served(agent: &mut Agent, now: u64) -> Vec<(u16, u32)> {
    let mut actions = Vec::new();
    agent.dispatch_queued(at(now), &mut actions);
    delivered(&actions)
}

fn delivered(actions: &[AgentAction]) -> Vec<(u16, u32)> {
    let packets = actions.iter().filter_map(|action| match action {
        AgentAction::Deliver { packet, .. } => Some(read(packet)),
        _ => None,
    });
    packets.collect()
}

/// An agent with flows of the ports 1 to 6 at rest, each of which has been answered once.
fn rested(priorities: [u8; 2]) -> Agent {
    let mut agent = agent_of(priorities);
    for port in 1..=6 {
        open_flow_at(&mut agent, flow(port), at(0));
        answer(&mut agent, flow(port), 0, 30);
    }
    agent
}

/// The same, whose target is full of the second requests of the first three.
fn full(priorities: [u8; 2]) -> Agent {
    let mut agent = rested(priorities);
    for port in 1..=HANDED_OVER {
        let delivery = send_packet(&mut agent, &request(flow(port), 1), 100);
        assert!(is_delivered(&delivery), "{delivery:?}");
    }
    agent
}

fn second(port: u16) -> (u16, u32) {
    (port, 1101)
}

#[test]
fn a_request_passes_at_once_while_the_target_has_room() {
    let agent = full([2, 1]);
    assert_eq!((agent.load().busy, agent.load().queued), (HANDED_OVER, 0));
}

#[test]
fn a_request_waits_while_the_target_is_full_and_goes_once_it_has_room() {
    let mut agent = full([2, 1]);
    let delivery = send_packet(&mut agent, &request(flow(4), 1), 110);
    assert_eq!(delivery, ForwardDecision::Drop);
    assert_eq!((agent.load().busy, agent.load().queued), (HANDED_OVER, 1));
    assert_eq!(served(&mut agent, 120), []);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(served(&mut agent, 130), [second(4)]);
    assert_eq!((agent.load().busy, agent.load().queued), (HANDED_OVER, 0));
}

/// Without routes of different priority everything is as if nothing could wait.
#[test]
fn a_request_passes_a_full_target_when_its_routes_matter_the_same() {
    let mut agent = full([2, 2]);
    let delivery = send_packet(&mut agent, &request(flow(4), 1), 110);
    assert!(is_delivered(&delivery), "{delivery:?}");
    assert_eq!(agent.load().busy, HANDED_OVER + 1);
}

#[test]
fn a_repetition_of_a_packet_that_waits_is_handed_over_once() {
    let mut agent = full([2, 1]);
    for now in [110, 310, 480] {
        let delivery = send_packet(&mut agent, &request(flow(4), 1), now);
        assert_eq!(delivery, ForwardDecision::Drop);
    }
    assert_eq!(agent.counters().duplicate_packets_dropped, 2);
    assert_eq!(agent.load().queued, 1);
    answer(&mut agent, flow(1), 1, 490);
    assert_eq!(served(&mut agent, 490), [second(4)]);
    let repeated = send_packet(&mut agent, &request(flow(4), 1), 500);
    let is_no_request = matches!(
        repeated,
        ForwardDecision::Deliver {
            begins_request: true,
            ..
        }
    );
    assert!(is_no_request, "the target knows it: {repeated:?}");
    assert_eq!(agent.load().busy, HANDED_OVER, "one request");
}

/// A request with a body of several packets, which come in another order.
#[test]
fn all_packets_of_a_request_wait_behind_its_first_in_their_order() {
    let mut agent = full([2, 1]);
    for number in [1, 3, 2] {
        let delivery = send_packet(&mut agent, &request(flow(4), number), 110);
        assert_eq!(delivery, ForwardDecision::Drop);
    }
    let close = packet(flow(4), PacketKind::Finish, 1401, 5101, 0);
    assert_eq!(send_packet(&mut agent, &close, 111), ForwardDecision::Drop);
    assert_eq!(agent.load().queued, 1, "they are one request");
    answer(&mut agent, flow(1), 1, 130);
    let expected = [(4, 1101), (4, 1201), (4, 1301), (4, 1401)];
    assert_eq!(served(&mut agent, 130), expected);
    assert_eq!(agent.load().busy, HANDED_OVER);
}

/// Acknowledgements of an earlier answer are not of the request, and the target needs
/// them.
#[test]
fn an_acknowledgement_does_not_wait() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let acknowledgement = packet(flow(4), PacketKind::Data, 1201, 5101, 0);
    let delivery = send_packet(&mut agent, &acknowledgement, 111);
    assert!(is_delivered(&delivery), "{delivery:?}");
}

#[test]
fn packets_of_a_request_that_is_at_work_do_not_wait() {
    let mut agent = full([2, 1]);
    let delivery = send_packet(&mut agent, &request(flow(1), 2), 110);
    assert!(is_delivered(&delivery), "{delivery:?}");
}

/// An answer's first byte ends a request's work; the next request on the flow is another
/// one, also while the rest of the answer is under way.
#[test]
fn a_request_behind_a_streamed_answer_waits_as_any_other() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 105);
    answer(&mut agent, flow(1), 1, 110);
    assert_eq!(served(&mut agent, 110), [second(4)]);
    assert_eq!(
        send_packet(&mut agent, &request(flow(1), 2), 111),
        ForwardDecision::Drop
    );
    answer(&mut agent, flow(1), 2, 112);
    assert_eq!(agent.load().queued, 1);
}

#[test]
fn an_urgent_opening_goes_before_a_request_that_came_first() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let terms = OpeningTerms {
        is_urgent: true,
        ..opening_terms()
    };
    let opened = opening(urgent_flow(50), 0);
    let header = header(1, ForwardPurpose::Open(terms));
    let delivery =
        agent.handle_forwarded_packet(node(1), &header, &opened, &bytes_of(&opened), at(111));
    assert!(
        matches!(delivery, ForwardDecision::Queued(_)),
        "{delivery:?}"
    );
    assert_eq!(agent.load().queued, 2);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(served(&mut agent, 130), [(50, 1000)]);
    answer(&mut agent, flow(2), 1, 140);
    assert_eq!(served(&mut agent, 140), [second(4)]);
}

#[test]
fn an_urgent_request_on_an_open_flow_goes_before_others() {
    let mut agent = rested([2, 1]);
    open_flow_at(&mut agent, urgent_flow(50), at(40));
    answer(&mut agent, urgent_flow(50), 0, 60);
    for port in 1..=HANDED_OVER {
        send_packet(&mut agent, &request(flow(port), 1), 100);
    }
    send_packet(&mut agent, &request(urgent_flow(50), 1), 110);
    send_packet(&mut agent, &request(flow(4), 1), 111);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(served(&mut agent, 130), [second(50)]);
}

/// Flows whose requests a target has been handed before any could wait.
const OVERFULL: u16 = 60;

/// An agent whose target has far more requests than slots and answers one every 100 ms
/// until the first request that had to wait, at 110 ms, has passed its timeout.
fn overfull_until_timeout() -> Agent {
    let mut agent = agent_of([2, 2]);
    for port in (1..=OVERFULL).chain([200, 201]) {
        open_flow_at(&mut agent, flow(port), at(0));
        answer(&mut agent, flow(port), 0, 30);
    }
    overfill_until_timeout(&mut agent, 1, 100);
    agent
}

/// Hands the target the requests with this number of all flows and lets that of flow 200
/// wait, 10 ms later, until it has passed its timeout.
fn overfill_until_timeout(agent: &mut Agent, number: u32, begin: u64) {
    let before = *agent.counters();
    adopt(agent, 2 * u64::from(number), [2, 2]);
    for port in 1..=OVERFULL {
        let delivery = send_packet(agent, &request(flow(port), number), begin);
        assert!(is_delivered(&delivery), "{delivery:?}");
    }
    adopt(agent, 2 * u64::from(number) + 1, [2, 1]);
    let last = send_packet(agent, &request(flow(200), number), begin + 10);
    assert_eq!(last, ForwardDecision::Drop);
    assert_eq!(agent.counters().requests_queued, before.requests_queued + 1);
    let end = begin + 10 + u64::from(TIMEOUT_MS);
    for (port, now) in (1..).zip((begin + 20..end).step_by(100)) {
        answer(agent, flow(port), number, now);
        assert_eq!(served(agent, now), []);
    }
    assert_eq!(agent.counters().requests_given_up, before.requests_given_up);
    assert_eq!(served(agent, end), []);
    assert_eq!(
        agent.counters().requests_given_up,
        before.requests_given_up + 1
    );
}

/// A caller that has left sends nothing any more; its request is not run for nobody.
#[test]
fn a_request_is_dropped_when_its_timeout_has_passed() {
    let mut agent = overfull_until_timeout();
    assert_eq!(agent.counters().requests_given_up, 1);
    assert_eq!(agent.load().queued, 0);
    for port in 1..=OVERFULL {
        answer(&mut agent, flow(port), 1, 3200);
    }
    assert_eq!(agent.load().busy, 0);
    assert_eq!(served(&mut agent, 3200), []);
}

/// If its caller has not left, it repeats the packets: the same request, of its first
/// age, which is handed over late; then the flow goes on as before.
#[test]
fn a_dropped_request_that_its_caller_repeats_is_handed_over_once_and_its_flow_goes_on() {
    let mut agent = overfull_until_timeout();
    let held_before = agent.counters().requests_queued;
    let repeated = send_packet(&mut agent, &request(flow(200), 1), 3160);
    assert_eq!(repeated, ForwardDecision::Drop);
    assert_eq!(
        agent.counters().requests_queued,
        held_before,
        "the same one"
    );
    assert_eq!(served(&mut agent, 3170), []);
    assert_eq!(agent.counters().requests_given_up, 1, "not given up again");
    for port in 1..=OVERFULL {
        answer(&mut agent, flow(port), 1, 3200);
    }
    assert_eq!(served(&mut agent, 3200), [second(200)]);
    answer(&mut agent, flow(200), 1, 3240);
    let next = send_packet(&mut agent, &request(flow(200), 2), 3250);
    assert!(is_delivered(&next), "{next:?}");
}

/// That a request was given up is forgotten with it: the next one is given up in its turn.
#[test]
fn a_dropped_request_that_passes_when_it_is_repeated_leaves_no_mark() {
    let mut agent = overfull_until_timeout();
    for port in 1..=OVERFULL {
        answer(&mut agent, flow(port), 1, 3200);
    }
    let repeated = send_packet(&mut agent, &request(flow(200), 1), 3210);
    assert!(is_delivered(&repeated), "{repeated:?}");
    answer(&mut agent, flow(200), 1, 3240);
    overfill_until_timeout(&mut agent, 2, 3250);
}

#[test]
fn a_dropped_request_that_finds_no_place_when_it_is_repeated_leaves_no_mark() {
    let mut agent = overfull_until_timeout();
    let large = request(flow(201), 1);
    let header = header(1, ForwardPurpose::Established);
    let waits =
        agent.handle_forwarded_packet(node(1), &header, &large, &vec![0; HELD_BYTES], at(3150));
    assert_eq!(waits, ForwardDecision::Drop);
    let repeated = send_packet(&mut agent, &request(flow(200), 1), 3160);
    assert!(is_delivered(&repeated), "{repeated:?}");
    for port in (1..=OVERFULL).chain([200]) {
        answer(&mut agent, flow(port), 1, 3200);
    }
    served(&mut agent, 3200);
    answer(&mut agent, flow(201), 1, 3240);
    overfill_until_timeout(&mut agent, 2, 3250);
}

/// A caller's silence begins when its request is given up, however long that waited.
#[test]
fn a_dropped_request_is_remembered_from_when_it_was_given_up() {
    const REMEMBERED: Duration = Duration::from_secs(30);
    let timeout = REMEMBERED + Duration::from_secs(10);
    let terms = HeldTerms {
        aim: Duration::from_millis(250),
        timeout,
        is_urgent: false,
    };
    let hold = |held: &mut HeldRequests, now| {
        let packet = request(flow(1), 1);
        let kept = held.hold(node(1), &packet, &bytes_of(&packet), terms, now);
        assert_eq!(kept, Held::Waits);
    };
    let dropped_at = at(0) + timeout;
    let mut held = HeldRequests::default();
    hold(&mut held, at(0));
    assert_eq!(held.give_up_hopeless(dropped_at).len(), 1);
    let mut silent = held.clone();

    let repeated_at = dropped_at + (REMEMBERED - Duration::from_millis(1));
    held.forget_silent(REMEMBERED, repeated_at);
    hold(&mut held, repeated_at);
    assert!(held.was_given_up(&flow(1)));
    let ages: Vec<Instant> = held.iter().map(|(_, request)| request.first_seen).collect();
    assert_eq!(ages, [at(0)]);
    assert!(held.give_up_hopeless(repeated_at + timeout).is_empty());

    silent.forget_silent(REMEMBERED, dropped_at + REMEMBERED);
    hold(&mut silent, dropped_at + REMEMBERED);
    assert!(!silent.was_given_up(&flow(1)));
}

#[test]
fn a_reset_by_the_caller_drops_what_waits_and_reaches_the_target() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let reset = packet(flow(4), PacketKind::Reset, 1201, 0, 0);
    assert!(is_delivered(&send_packet(&mut agent, &reset, 120)));
    assert_eq!(agent.load().queued, 0);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(served(&mut agent, 130), []);
}

/// Places are bounded; what finds none goes to the target as it would without a queue.
#[test]
fn a_request_beyond_the_places_goes_to_the_target() {
    let mut agent = agent_of([2, 1]);
    let flows = u16::try_from(HELD_FLOWS).expect("small") + HANDED_OVER + 1;
    for port in 1..=flows {
        open_flow_at(&mut agent, flow(port), at(0));
        answer(&mut agent, flow(port), 0, 1);
    }
    let deliveries: Vec<bool> = (1..=flows)
        .map(|port| is_delivered(&send_packet(&mut agent, &request(flow(port), 1), 100)))
        .collect();
    let passed = deliveries.iter().filter(|passed| **passed).count();
    assert_eq!(passed, usize::from(HANDED_OVER) + 1);
    assert_eq!(deliveries.last(), Some(&true));
}

/// A new process knows nothing of what the former one held; its callers repeat it, and
/// the target sees it for the first time.
#[test]
fn a_restarted_agent_passes_on_what_callers_repeat() {
    let mut former = full([2, 1]);
    send_packet(&mut former, &request(flow(4), 1), 110);
    drop(former);
    let mut agent = empty_agent();
    adopt(&mut agent, 1, [2, 1]);
    agent
        .handle_heartbeat(&small_beat(1, 7), at(200))
        .expect("heartbeat");
    let first = send_packet(&mut agent, &request(flow(4), 1), 310);
    assert!(is_delivered(&first), "{first:?}");
    assert_eq!(served(&mut agent, 320), []);
}

#[test]
fn what_waits_goes_to_a_target_that_has_begun_again() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    agent
        .handle_heartbeat(&small_beat(2, 1), at(150))
        .expect("heartbeat");
    let mut actions = Vec::new();
    agent.tick(at(151), &mut actions);
    agent.dispatch_queued(at(151), &mut actions);
    // The new target returns it, which tells its balancer that the flow is gone.
    assert_eq!(delivered(&actions), [second(4)]);
    assert_eq!(agent.load().queued, 0);
    let returned = agent.handle_target_packet(&request(flow(4), 1), Some(node(1)), at(152));
    let is_not_held = matches!(
        returned,
        woodladder_core::flow::agent::TargetPacketDecision::Returned {
            message: PeerMessage::Returned {
                reason: ReturnReason::NotHeld,
                ..
            },
            ..
        }
    );
    assert!(is_not_held, "{returned:?}");
}

/// A target that makes no progress gets what there is, as it would without a queue.
#[test]
fn nothing_is_held_from_a_target_that_is_stuck() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    assert_eq!(served(&mut agent, 400), []);
    assert_eq!(served(&mut agent, 550), [second(4)]);
    let next = send_packet(&mut agent, &request(flow(5), 1), 560);
    assert!(is_delivered(&next), "{next:?}");
}

/// A request whose answer never comes keeps its slot taken only for a while.
#[test]
fn a_request_that_is_never_answered_does_not_keep_others_waiting() {
    let mut agent = full([2, 1]);
    let mut handed = Vec::new();
    for now in (150..1000).step_by(25) {
        // Two of three slots hang; the first flow is answered and asks again.
        let number = u32::try_from((now - 100) / 25).expect("small");
        send_packet(&mut agent, &request(flow(4), 1), now);
        let mut actions = Vec::new();
        agent.tick(at(now), &mut actions);
        handed.extend(delivered(&actions));
        if number % 2 == 0 {
            answer(&mut agent, flow(1), number / 2, now);
            send_packet(&mut agent, &request(flow(1), number / 2 + 1), now);
        }
    }
    assert!(handed.contains(&second(4)), "{handed:?}");
}

/// Answers that fail end a request as others do.
#[test]
fn failed_answers_free_their_slots() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let reset = packet(flow(1), PacketKind::Reset, 5101, 0, 0);
    agent.handle_target_packet(&reset, None, at(120));
    assert_eq!(served(&mut agent, 120), [second(4)]);
}

/// A target that leaves keeps its flows, and what waits on them.
#[test]
fn what_waits_is_handed_to_a_target_that_leaves() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let mut leaving = small_beat(1, 2);
    leaving.leaving = true;
    agent
        .handle_heartbeat(&leaving, at(120))
        .expect("heartbeat");
    assert_eq!(agent.target_state(), TargetState::Leaving);
    assert_eq!(served(&mut agent, 121), []);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(served(&mut agent, 130), [second(4)]);
}

/// The agent's own planned stop hands over what it holds.
#[test]
fn an_agent_that_stops_hands_over_what_it_holds() {
    let mut agent = full([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    agent.begin_shutdown();
    assert_eq!(served(&mut agent, 111), [second(4)]);
}

/// An opening that would be answered after its timeout is given back at once, and only
/// then.
#[test]
fn an_opening_that_would_be_answered_too_late_is_given_back_at_once() {
    let open = |agent: &mut Agent, port, timeout_ms| {
        let terms = OpeningTerms {
            timeout_ms,
            ..opening_terms()
        };
        let header = header(1, ForwardPurpose::Open(terms));
        forward_to(agent, &header, &opening(flow(port), 0), at(110))
    };
    let mut agent = full([2, 1]);
    assert!(matches!(
        open(&mut agent, 100, 1000),
        ForwardDecision::Queued(_)
    ));
    let vain = open(&mut agent, 101, 20);
    let is_refused = matches!(
        vain,
        ForwardDecision::Reply(
            PeerMessage::Returned {
                reason: ReturnReason::Saturated,
                ..
            },
            _
        )
    );
    assert!(is_refused, "{vain:?}");
    let mut idle = rested([2, 1]);
    assert!(is_delivered(&open(&mut idle, 102, 20)), "there is room");
}

/// A balancer whose report is out of date believes in less load; what is held counts.
#[test]
fn an_opening_of_a_balancer_with_a_stale_report_is_given_back() {
    let open = |agent: &mut Agent, port, believed| {
        let terms = OpeningTerms {
            estimated_load: Some(believed),
            ..opening_terms()
        };
        let header = header(1, ForwardPurpose::Open(terms));
        forward_to(agent, &header, &opening(flow(port), 0), at(120))
    };
    let mut agent = full([2, 1]);
    for port in 4..=6 {
        send_packet(&mut agent, &request(flow(port), 1), 110);
    }
    assert_eq!(agent.load().requests(), HANDED_OVER + 3);
    let stale = open(&mut agent, 100, HANDED_OVER);
    assert!(matches!(stale, ForwardDecision::Reply(..)), "{stale:?}");
    let fresh = open(&mut agent, 101, HANDED_OVER + 3);
    assert!(matches!(fresh, ForwardDecision::Queued(_)), "{fresh:?}");
}
