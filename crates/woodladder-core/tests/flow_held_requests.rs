//! The agent's queue of requests on open flows: what is queued, how it is delivered, and
//! what becomes of it after a failure.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    Agent, AgentAction, EnqueueResult, ForwardDecision, Heartbeat, MAXIMUM_QUEUED_BYTES,
    MAXIMUM_QUEUED_REQUESTS, RequestQueue, RequestTerms,
};
use woodladder_core::flow::configuration::{Configuration, Route, RoutePart, RouteTerms};
use woodladder_core::flow::identity::{FlowKey, Incarnation};
use woodladder_core::flow::message::{
    ForwardPurpose, OpeningTerms, PeerMessage, ReturnReason, Snapshot, TargetState,
};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Requests that the agent delivers at once to a target of two slots.
const DELIVERED_AT_ONCE: u16 = 3;
/// Payload of the tests' packets, in bytes.
const PAYLOAD_LENGTH: u32 = 100;
const TIMEOUT_MS: u32 = 3000;

/// A time in a test, in milliseconds, well after the clock's origin.
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

/// Adopts a configuration in which two routes with these priorities share the service.
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

fn small_heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        slots: 2,
        ..heartbeat(incarnation, sequence)
    }
}

fn agent_of(priorities: [u8; 2]) -> Agent {
    let mut agent = empty_agent();
    adopt(&mut agent, 1, priorities);
    agent
        .handle_heartbeat(&small_heartbeat(1, 1), flow_support::at(0))
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
    data(
        key,
        1001 + PAYLOAD_LENGTH * number,
        5001 + PAYLOAD_LENGTH * number,
    )
}

/// The target answers the request with this number.
fn answer(agent: &mut Agent, key: FlowKey, number: u32, now: u64) {
    let packet = data(
        key,
        5001 + PAYLOAD_LENGTH * number,
        1101 + PAYLOAD_LENGTH * number,
    );
    agent.handle_target_packet(&packet, None, at(now));
}

/// Forwards a packet whose bytes are the flow's port and the packet's sequence number.
fn send_packet(agent: &mut Agent, packet: &FlowPacket, now: u64) -> ForwardDecision {
    let header = header(1, ForwardPurpose::Established);
    let bytes = bytes_of(packet);
    agent.handle_forwarded_packet(node(1), &header, packet, &bytes, at(now))
}

fn bytes_of(packet: &FlowPacket) -> Vec<u8> {
    let port = packet.key.caller.port().to_be_bytes();
    [&port[..], &packet.sequence.to_be_bytes()].concat()
}

fn port_and_sequence(bytes: &[u8]) -> (u16, u32) {
    let port = u16::from_be_bytes([bytes[0], bytes[1]]);
    (
        port,
        u32::from_be_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]),
    )
}

/// Packets that the agent delivers now, by port and sequence number.
fn delivered_now(agent: &mut Agent, now: u64) -> Vec<(u16, u32)> {
    let mut actions = Vec::new();
    agent.dispatch_queued(at(now), &mut actions);
    delivered(&actions)
}

fn delivered(actions: &[AgentAction]) -> Vec<(u16, u32)> {
    let packets = actions.iter().filter_map(|action| match action {
        AgentAction::Deliver { packet, .. } => Some(port_and_sequence(packet)),
        _ => None,
    });
    packets.collect()
}

/// An agent with idle flows of the ports 1 to 6, each of which has been answered once.
fn agent_with_idle_flows(priorities: [u8; 2]) -> Agent {
    let mut agent = agent_of(priorities);
    for port in 1..=6 {
        open_flow_at(&mut agent, flow(port), at(0));
        answer(&mut agent, flow(port), 0, 30);
    }
    agent
}

/// The same, with a target that is full of the second requests of the first three flows.
fn agent_with_full_target(priorities: [u8; 2]) -> Agent {
    let mut agent = agent_with_idle_flows(priorities);
    for port in 1..=DELIVERED_AT_ONCE {
        let delivery = send_packet(&mut agent, &request(flow(port), 1), 100);
        assert!(is_delivered(&delivery), "{delivery:?}");
    }
    agent
}

fn second_request(port: u16) -> (u16, u32) {
    (port, 1101)
}

#[test]
fn a_request_is_delivered_at_once_while_the_target_has_room() {
    let agent = agent_with_full_target([2, 1]);
    assert_eq!(
        (agent.load().busy, agent.load().queued),
        (DELIVERED_AT_ONCE, 0)
    );
}

#[test]
fn a_request_is_queued_while_the_target_is_full_and_delivered_once_it_has_room() {
    let mut agent = agent_with_full_target([2, 1]);
    let delivery = send_packet(&mut agent, &request(flow(4), 1), 110);
    assert_eq!(delivery, ForwardDecision::NoReply);
    assert_eq!(
        (agent.load().busy, agent.load().queued),
        (DELIVERED_AT_ONCE, 1)
    );
    assert_eq!(delivered_now(&mut agent, 120), []);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(delivered_now(&mut agent, 130), [second_request(4)]);
    assert_eq!(
        (agent.load().busy, agent.load().queued),
        (DELIVERED_AT_ONCE, 0)
    );
}

/// Without routes of different priority, requests are delivered as if there were no
/// queue.
#[test]
fn a_request_is_not_queued_when_all_routes_have_the_same_priority() {
    let mut agent = agent_with_full_target([2, 2]);
    let delivery = send_packet(&mut agent, &request(flow(4), 1), 110);
    assert!(is_delivered(&delivery), "{delivery:?}");
    assert_eq!(agent.load().busy, DELIVERED_AT_ONCE + 1);
}

#[test]
fn a_retransmitted_queued_packet_is_delivered_once() {
    let mut agent = agent_with_full_target([2, 1]);
    for now in [110, 310, 480] {
        let delivery = send_packet(&mut agent, &request(flow(4), 1), now);
        assert_eq!(delivery, ForwardDecision::NoReply);
    }
    assert_eq!(agent.counters().duplicate_packets_dropped, 2);
    assert_eq!(agent.load().queued, 1);
    answer(&mut agent, flow(1), 1, 490);
    assert_eq!(delivered_now(&mut agent, 490), [second_request(4)]);
    let repeated = send_packet(&mut agent, &request(flow(4), 1), 500);
    let contains_request_start = matches!(
        repeated,
        ForwardDecision::Deliver {
            begins_request: true,
            ..
        }
    );
    assert!(contains_request_start, "the target knows it: {repeated:?}");
    assert_eq!(agent.load().busy, DELIVERED_AT_ONCE, "one request");
}

/// The packets of one request with a body arrive out of order.
#[test]
fn all_packets_of_a_request_are_queued_in_order_behind_its_first() {
    let mut agent = agent_with_full_target([2, 1]);
    for number in [1, 3, 2] {
        let delivery = send_packet(&mut agent, &request(flow(4), number), 110);
        assert_eq!(delivery, ForwardDecision::NoReply);
    }
    let close = packet(flow(4), PacketKind::Finish, 1401, 5101, 0);
    assert_eq!(
        send_packet(&mut agent, &close, 111),
        ForwardDecision::NoReply
    );
    assert_eq!(agent.load().queued, 1, "they are one request");
    answer(&mut agent, flow(1), 1, 130);
    let expected = [(4, 1101), (4, 1201), (4, 1301), (4, 1401)];
    assert_eq!(delivered_now(&mut agent, 130), expected);
    assert_eq!(agent.load().busy, DELIVERED_AT_ONCE);
}

/// Acknowledgements of an earlier answer do not belong to the request, and the target
/// needs them.
#[test]
fn an_acknowledgement_is_not_queued() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let acknowledgement = packet(flow(4), PacketKind::Data, 1201, 5101, 0);
    let delivery = send_packet(&mut agent, &acknowledgement, 111);
    assert!(is_delivered(&delivery), "{delivery:?}");
}

#[test]
fn packets_of_a_request_in_service_are_not_queued() {
    let mut agent = agent_with_full_target([2, 1]);
    let delivery = send_packet(&mut agent, &request(flow(1), 2), 110);
    assert!(is_delivered(&delivery), "{delivery:?}");
}

/// The first byte of an answer ends a request's service. The next request on the flow is
/// a new one, even while the rest of the answer is still being sent.
#[test]
fn a_request_behind_a_streamed_answer_is_queued_as_any_other() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 105);
    answer(&mut agent, flow(1), 1, 110);
    assert_eq!(delivered_now(&mut agent, 110), [second_request(4)]);
    assert_eq!(
        send_packet(&mut agent, &request(flow(1), 2), 111),
        ForwardDecision::NoReply
    );
    answer(&mut agent, flow(1), 2, 112);
    assert_eq!(agent.load().queued, 1);
}

#[test]
fn an_urgent_opening_goes_before_a_request_that_came_first() {
    let mut agent = agent_with_full_target([2, 1]);
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
    assert_eq!(delivered_now(&mut agent, 130), [(50, 1000)]);
    answer(&mut agent, flow(2), 1, 140);
    assert_eq!(delivered_now(&mut agent, 140), [second_request(4)]);
}

#[test]
fn an_urgent_request_on_an_open_flow_goes_before_others() {
    let mut agent = agent_with_idle_flows([2, 1]);
    open_flow_at(&mut agent, urgent_flow(50), at(40));
    answer(&mut agent, urgent_flow(50), 0, 60);
    for port in 1..=DELIVERED_AT_ONCE {
        send_packet(&mut agent, &request(flow(port), 1), 100);
    }
    send_packet(&mut agent, &request(urgent_flow(50), 1), 110);
    send_packet(&mut agent, &request(flow(4), 1), 111);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(delivered_now(&mut agent, 130), [second_request(50)]);
}

/// Number of flows whose requests a target has been sent before any could be queued.
const OVERFULL: u16 = 60;

/// An agent whose target has far more requests than slots, and answers one every 100 ms
/// until the first queued request, of 110 ms, has passed its timeout.
fn overfull_until_timeout() -> Agent {
    let mut agent = agent_of([2, 2]);
    for port in (1..=OVERFULL).chain([200, 201]) {
        open_flow_at(&mut agent, flow(port), at(0));
        answer(&mut agent, flow(port), 0, 30);
    }
    overfill_until_timeout(&mut agent, 1, 100);
    agent
}

/// Delivers the requests with this number of all flows to the target, queues that of flow
/// 200 10 ms later, and runs until it has passed its timeout.
fn overfill_until_timeout(agent: &mut Agent, number: u32, begin: u64) {
    let before = *agent.counters();
    adopt(agent, 2 * u64::from(number), [2, 2]);
    for port in 1..=OVERFULL {
        let delivery = send_packet(agent, &request(flow(port), number), begin);
        assert!(is_delivered(&delivery), "{delivery:?}");
    }
    adopt(agent, 2 * u64::from(number) + 1, [2, 1]);
    let last = send_packet(agent, &request(flow(200), number), begin + 10);
    assert_eq!(last, ForwardDecision::NoReply);
    assert_eq!(agent.counters().requests_queued, before.requests_queued + 1);
    let end = begin + 10 + u64::from(TIMEOUT_MS);
    for (port, now) in (1..).zip((begin + 20..end).step_by(100)) {
        answer(agent, flow(port), number, now);
        assert_eq!(delivered_now(agent, now), []);
    }
    assert_eq!(agent.counters().requests_given_up, before.requests_given_up);
    assert_eq!(delivered_now(agent, end), []);
    assert_eq!(
        agent.counters().requests_given_up,
        before.requests_given_up + 1
    );
}

/// A caller that has left sends nothing any more; its request must not be run.
#[test]
fn a_request_is_dropped_when_its_timeout_has_passed() {
    let mut agent = overfull_until_timeout();
    assert_eq!(agent.counters().requests_given_up, 1);
    assert_eq!(agent.load().queued, 0);
    for port in 1..=OVERFULL {
        answer(&mut agent, flow(port), 1, 3200);
    }
    assert_eq!(agent.load().busy, 0);
    assert_eq!(delivered_now(&mut agent, 3200), []);
}

/// If the caller has not left, it retransmits the packets. They are the same request with
/// its first age, which is delivered late; then the flow continues.
#[test]
fn a_retransmitted_dropped_request_is_delivered_once_and_its_flow_continues() {
    let mut agent = overfull_until_timeout();
    let queued_before = agent.counters().requests_queued;
    let repeated = send_packet(&mut agent, &request(flow(200), 1), 3160);
    assert_eq!(repeated, ForwardDecision::NoReply);
    assert_eq!(
        agent.counters().requests_queued,
        queued_before,
        "the same one"
    );
    assert_eq!(delivered_now(&mut agent, 3170), []);
    assert_eq!(agent.counters().requests_given_up, 1, "not given up again");
    for port in 1..=OVERFULL {
        answer(&mut agent, flow(port), 1, 3200);
    }
    assert_eq!(delivered_now(&mut agent, 3200), [second_request(200)]);
    answer(&mut agent, flow(200), 1, 3240);
    let next = send_packet(&mut agent, &request(flow(200), 2), 3250);
    assert!(is_delivered(&next), "{next:?}");
}

/// When a retransmitted request is delivered, its mark as given up must be removed, so
/// that the flow's next request can be given up, too.
#[test]
fn a_dropped_request_that_is_delivered_on_retransmission_is_forgotten() {
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
fn a_dropped_request_that_finds_the_queue_full_on_retransmission_is_forgotten() {
    let mut agent = overfull_until_timeout();
    let large = request(flow(201), 1);
    let header = header(1, ForwardPurpose::Established);
    let decision = agent.handle_forwarded_packet(
        node(1),
        &header,
        &large,
        &vec![0; MAXIMUM_QUEUED_BYTES],
        at(3150),
    );
    assert_eq!(decision, ForwardDecision::NoReply);
    let repeated = send_packet(&mut agent, &request(flow(200), 1), 3160);
    assert!(is_delivered(&repeated), "{repeated:?}");
    for port in (1..=OVERFULL).chain([200]) {
        answer(&mut agent, flow(port), 1, 3200);
    }
    delivered_now(&mut agent, 3200);
    answer(&mut agent, flow(201), 1, 3240);
    overfill_until_timeout(&mut agent, 2, 3250);
}

/// The time of a caller's silence starts when its request is given up, however long that
/// request was queued.
#[test]
fn a_dropped_request_is_remembered_from_when_it_was_given_up() {
    const REMEMBERED: Duration = Duration::from_secs(30);
    let timeout = REMEMBERED + Duration::from_secs(10);
    let terms = RequestTerms {
        aim: Duration::from_millis(250),
        timeout,
        is_urgent: false,
    };
    let enqueue = |queue: &mut RequestQueue, now| {
        let packet = request(flow(1), 1);
        let result = queue.enqueue(node(1), &packet, &bytes_of(&packet), terms, now);
        assert_eq!(result, EnqueueResult::Queued);
    };
    let dropped_at = at(0) + timeout;
    let mut queue = RequestQueue::default();
    enqueue(&mut queue, at(0));
    assert_eq!(queue.give_up_timed_out(dropped_at).len(), 1);
    let mut silent = queue.clone();

    let repeated_at = dropped_at + (REMEMBERED - Duration::from_millis(1));
    queue.forget_silent_callers(REMEMBERED, repeated_at);
    enqueue(&mut queue, repeated_at);
    assert!(queue.was_given_up(&flow(1)));
    let ages: Vec<Instant> = queue
        .iter()
        .map(|(_, request)| request.first_seen)
        .collect();
    assert_eq!(ages, [at(0)]);
    assert!(queue.give_up_timed_out(repeated_at + timeout).is_empty());

    silent.forget_silent_callers(REMEMBERED, dropped_at + REMEMBERED);
    enqueue(&mut silent, dropped_at + REMEMBERED);
    assert!(!silent.was_given_up(&flow(1)));
}

#[test]
fn a_reset_by_the_caller_drops_its_queued_request_and_reaches_the_target() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let reset = packet(flow(4), PacketKind::Reset, 1201, 0, 0);
    assert!(is_delivered(&send_packet(&mut agent, &reset, 120)));
    assert_eq!(agent.load().queued, 0);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(delivered_now(&mut agent, 130), []);
}

/// The queue is bounded; a request that finds no room goes to the target as it would
/// without a queue.
#[test]
fn a_request_that_finds_the_queue_full_goes_to_the_target() {
    let mut agent = agent_of([2, 1]);
    let flows = u16::try_from(MAXIMUM_QUEUED_REQUESTS).expect("small") + DELIVERED_AT_ONCE + 1;
    for port in 1..=flows {
        open_flow_at(&mut agent, flow(port), at(0));
        answer(&mut agent, flow(port), 0, 1);
    }
    let deliveries: Vec<bool> = (1..=flows)
        .map(|port| is_delivered(&send_packet(&mut agent, &request(flow(port), 1), 100)))
        .collect();
    let passed = deliveries.iter().filter(|passed| **passed).count();
    assert_eq!(passed, usize::from(DELIVERED_AT_ONCE) + 1);
    assert_eq!(deliveries.last(), Some(&true));
}

/// A new process knows nothing of what the former one had queued. Callers retransmit it,
/// and the target receives it for the first time.
#[test]
fn a_restarted_agent_delivers_what_callers_retransmit() {
    let mut previous_agent = agent_with_full_target([2, 1]);
    send_packet(&mut previous_agent, &request(flow(4), 1), 110);
    drop(previous_agent);
    let mut agent = empty_agent();
    adopt(&mut agent, 1, [2, 1]);
    agent
        .handle_heartbeat(&small_heartbeat(1, 7), at(200))
        .expect("heartbeat");
    let first = send_packet(&mut agent, &request(flow(4), 1), 310);
    assert!(is_delivered(&first), "{first:?}");
    assert_eq!(delivered_now(&mut agent, 320), []);
}

#[test]
fn queued_requests_go_to_a_restarted_target() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    agent
        .handle_heartbeat(&small_heartbeat(2, 1), at(150))
        .expect("heartbeat");
    let mut actions = Vec::new();
    agent.tick(at(151), &mut actions);
    agent.dispatch_queued(at(151), &mut actions);
    // The new target returns the packet, which tells its balancer that the flow is gone.
    assert_eq!(delivered(&actions), [second_request(4)]);
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

/// A target that makes no progress is sent everything at once, as it would be without a
/// queue.
#[test]
fn no_request_is_queued_for_a_stuck_target() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    assert_eq!(delivered_now(&mut agent, 400), []);
    assert_eq!(delivered_now(&mut agent, 550), [second_request(4)]);
    let next = send_packet(&mut agent, &request(flow(5), 1), 560);
    assert!(is_delivered(&next), "{next:?}");
}

/// A request whose answer never arrives occupies its slot only for a while.
#[test]
fn a_request_that_is_never_answered_does_not_keep_others_queued() {
    let mut agent = agent_with_full_target([2, 1]);
    let mut delivered_packets = Vec::new();
    for now in (150..1000).step_by(25) {
        // Two of three slots hang; the first flow is answered and sends another request.
        let number = u32::try_from((now - 100) / 25).expect("small");
        send_packet(&mut agent, &request(flow(4), 1), now);
        let mut actions = Vec::new();
        agent.tick(at(now), &mut actions);
        delivered_packets.extend(delivered(&actions));
        if number % 2 == 0 {
            answer(&mut agent, flow(1), number / 2, now);
            send_packet(&mut agent, &request(flow(1), number / 2 + 1), now);
        }
    }
    assert!(
        delivered_packets.contains(&second_request(4)),
        "{delivered_packets:?}"
    );
}

/// A failed answer ends a request as a successful one does.
#[test]
fn failed_answers_free_their_slots() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let reset = packet(flow(1), PacketKind::Reset, 5101, 0, 0);
    agent.handle_target_packet(&reset, None, at(120));
    assert_eq!(delivered_now(&mut agent, 120), [second_request(4)]);
}

/// A target that leaves keeps its flows, and the queued requests on them.
#[test]
fn queued_requests_are_delivered_to_a_target_that_leaves() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    let mut leaving = small_heartbeat(1, 2);
    leaving.leaving = true;
    agent
        .handle_heartbeat(&leaving, at(120))
        .expect("heartbeat");
    assert_eq!(agent.target_state(), TargetState::Leaving);
    assert_eq!(delivered_now(&mut agent, 121), []);
    answer(&mut agent, flow(1), 1, 130);
    assert_eq!(delivered_now(&mut agent, 130), [second_request(4)]);
}

/// The agent's own planned stop delivers what is queued.
#[test]
fn an_agent_that_stops_delivers_its_queue() {
    let mut agent = agent_with_full_target([2, 1]);
    send_packet(&mut agent, &request(flow(4), 1), 110);
    agent.begin_shutdown(at(110));
    assert_eq!(delivered_now(&mut agent, 111), [second_request(4)]);
}

/// An opening that would be answered after its timeout is returned at once; one that the
/// target has room for is not.
#[test]
fn an_opening_that_would_be_answered_too_late_is_returned_at_once() {
    let open = |agent: &mut Agent, port, timeout_ms| {
        let terms = OpeningTerms {
            timeout_ms,
            ..opening_terms()
        };
        let header = header(1, ForwardPurpose::Open(terms));
        forward_to(agent, &header, &opening(flow(port), 0), at(110))
    };
    let mut agent = agent_with_full_target([2, 1]);
    assert!(matches!(
        open(&mut agent, 100, 1000),
        ForwardDecision::Queued(_)
    ));
    let late = open(&mut agent, 101, 20);
    let is_refused = matches!(
        late,
        ForwardDecision::Reply(
            PeerMessage::Returned {
                reason: ReturnReason::Saturated,
                ..
            },
            _
        )
    );
    assert!(is_refused, "{late:?}");
    let mut idle = agent_with_idle_flows([2, 1]);
    assert!(is_delivered(&open(&mut idle, 102, 20)), "there is room");
}

/// A balancer whose report is out of date underestimates the load; queued requests count
/// as load.
#[test]
fn an_opening_of_a_balancer_with_a_stale_report_is_returned() {
    let open = |agent: &mut Agent, port, estimated| {
        let terms = OpeningTerms {
            estimated_load: Some(estimated),
            ..opening_terms()
        };
        let header = header(1, ForwardPurpose::Open(terms));
        forward_to(agent, &header, &opening(flow(port), 0), at(120))
    };
    let mut agent = agent_with_full_target([2, 1]);
    for port in 4..=6 {
        send_packet(&mut agent, &request(flow(port), 1), 110);
    }
    assert_eq!(agent.load().requests(), DELIVERED_AT_ONCE + 3);
    let stale = open(&mut agent, 100, DELIVERED_AT_ONCE);
    assert!(matches!(stale, ForwardDecision::Reply(..)), "{stale:?}");
    let fresh = open(&mut agent, 101, DELIVERED_AT_ONCE + 3);
    assert!(matches!(fresh, ForwardDecision::Queued(_)), "{fresh:?}");
}

/// An agent that had restarted beside a leaving target knew no slots of it, and kept the
/// requests of the target's open flows until their callers had left.
#[test]
fn requests_on_open_flows_are_delivered_while_the_targets_slots_are_unknown() {
    let mut agent = empty_agent();
    adopt(&mut agent, 1, [2, 1]);
    agent.handle_deregistration(Incarnation(1), at(0));
    for port in 1..=6 {
        send_packet(&mut agent, &request(flow(port), 0), 10);
        answer(&mut agent, flow(port), 0, 20);
    }
    for port in 1..=6 {
        let decision = send_packet(&mut agent, &request(flow(port), 1), 30);
        assert!(is_delivered(&decision), "flow {port}: {decision:?}");
    }
}
