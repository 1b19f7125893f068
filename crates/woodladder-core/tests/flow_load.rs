//! The agent's count of its target's load, and admission by it.

mod flow_support;

use flow_support::*;
use woodladder_core::flow::agent::{Agent, ForwardDecision, ReplyBody};
use woodladder_core::flow::message::{
    ForwardPurpose, PeerMessage, ReturnReason, TargetLoad, TargetState,
};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

fn forward_established(
    agent: &mut Agent,
    packet: &FlowPacket,
    milliseconds: u64,
) -> ForwardDecision {
    let header = header(1, ForwardPurpose::Established);
    forward_to(agent, &header, packet, at(milliseconds))
}

fn send_from_target(agent: &mut Agent, packet: &FlowPacket, milliseconds: u64) {
    agent.handle_target_packet(packet, None, at(milliseconds));
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
fn a_request_counts_as_load_until_the_first_byte_of_its_answer() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    assert_eq!((agent.load().busy, agent.load().flows), (1, 1));
    send_from_target(&mut agent, &data(flow(1), 5001, 1101), 60);
    assert_eq!((agent.load().busy, agent.load().flows), (0, 1));
    assert_eq!(agent.load().service_time_us, 50_000);
}

#[test]
fn a_copy_of_an_answered_request_does_not_count_as_load() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    send_from_target(&mut agent, &data(flow(1), 5001, 1101), 60);
    forward_established(&mut agent, &data(flow(1), 1001, 5001), 70);
    assert_eq!(agent.load().busy, 0);
}

/// Guards against targets that look full: a caller that gives up closes its side together
/// with its last request; the target closes too and never answers. Counted as busy, such
/// requests filled the targets of a whole service.
#[test]
fn a_request_on_a_flow_that_the_target_closes_does_not_count_as_load() {
    let mut agent = agent();
    open_flow_at(&mut agent, flow(1), at(10));
    send_from_target(&mut agent, &data(flow(1), 5001, 1101), 60);
    let last = packet(flow(1), PacketKind::Finish, 1101, 5101, 219);
    forward_established(&mut agent, &last, 100);
    let close = packet(flow(1), PacketKind::Finish, 5101, 1321, 0);
    send_from_target(&mut agent, &close, 101);
    assert_eq!(
        agent.load(),
        TargetLoad {
            service_time_us: 50_000,
            last_heartbeat: 1,
            ..TargetLoad::default()
        }
    );
}

#[test]
fn a_reset_ends_the_load_of_its_flow() {
    for from_target in [false, true] {
        let mut agent = agent();
        open_flow_at(&mut agent, flow(1), at(10));
        let reset = packet(flow(1), PacketKind::Reset, 1101, 0, 0);
        if from_target {
            send_from_target(&mut agent, &reset, 20);
        } else {
            forward_established(&mut agent, &reset, 20);
        }
        // A reset by the target is also a failed request: one beside the three successes
        // that are assumed.
        let expected = TargetLoad {
            failed_percent: if from_target { 25 } else { 0 },
            last_heartbeat: 1,
            ..TargetLoad::default()
        };
        assert_eq!(agent.load(), expected);
    }
}

/// Packets overtake each other; the packet with the first bytes of the request is the one
/// that begins it.
#[test]
fn a_request_begins_with_its_first_byte_and_counts_as_load_from_its_first_packet() {
    let mut agent = agent();
    forward_to(&mut agent, &open_header(1), &opening(flow(1), 0), at(10));
    let begins = |delivery: &ForwardDecision| match delivery {
        ForwardDecision::Deliver { begins_request, .. } => *begins_request,
        other => panic!("{other:?}"),
    };
    let later = forward_established(&mut agent, &data(flow(1), 1101, 5001), 12);
    assert_eq!((begins(&later), agent.load().busy), (false, 1));
    let head = forward_established(&mut agent, &data(flow(1), 1001, 5001), 13);
    assert_eq!((begins(&head), agent.load().busy), (true, 1));
}

#[test]
fn a_target_that_answers_no_opening_counts_as_unresponsive_until_it_is_heard() {
    let mut agent = agent();
    forward_to(&mut agent, &open_header(1), &opening(flow(1), 0), at(10));
    agent.tick(at(500), &mut Vec::new());
    assert_eq!(agent.target_state(), TargetState::Unresponsive);
    let delivery = forward_to(&mut agent, &open_header(1), &opening(flow(2), 0), at(510));
    assert_eq!(reason(&delivery), Some(ReturnReason::NoTarget));
    agent
        .handle_heartbeat(&heartbeat(1, 2), at(600))
        .expect("heartbeat");
    agent.tick(at(620), &mut Vec::new());
    assert_eq!(agent.target_state(), TargetState::Ready);
}
