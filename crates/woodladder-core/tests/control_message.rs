//! Frames of control messages: every encoded message can be decoded, and
//! everything else is refused.

mod control_simulation;

use control_simulation::fixture::{bundle, roll};
use control_simulation::network::address;
use proptest::prelude::*;
use woodladder_core::control::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyChunk, CopyContent, CopyRefusal, CopyRefused, CopyRequest,
    DigestMessage, Exchange, FrameError, MAXIMUM_DATAGRAM_LENGTH, MAXIMUM_PEER_SAMPLE, Offer,
    OfferedDelta, ProbeNumber, RecordRequest, StatusReply, StatusRequest,
};
use woodladder_core::control::membership::{Locality, Peer, Role};
use woodladder_core::digest::Digest;
use woodladder_core::identifier::{NodeId, Sequence};
use woodladder_core::packets::keyed_tag::TagKey;

fn key() -> TagKey {
    TagKey::new([3; 16])
}

fn peers() -> impl Strategy<Value = Peer> {
    (any::<u64>(), any::<bool>(), any::<u32>(), 0..60_000_usize).prop_map(
        |(node, balancer, region, index)| Peer {
            node: NodeId(node),
            role: if balancer {
                Role::Balancer
            } else {
                Role::Agent
            },
            locality: Locality { region, zone: 9 },
            control_address: address(index),
        },
    )
}

fn digests() -> impl Strategy<Value = Digest> {
    any::<[u8; 32]>().prop_map(Digest)
}

fn contents() -> impl Strategy<Value = CopyContent> {
    (digests(), digests(), any::<bool>()).prop_map(
        |(base, result, is_snapshot)| match is_snapshot {
            true => CopyContent::Snapshot(result),
            false => CopyContent::Delta { base, result },
        },
    )
}

fn digest_messages() -> impl Strategy<Value = ControlMessage> {
    let peer_sample = proptest::collection::vec(peers(), 0..=MAXIMUM_PEER_SAMPLE);
    (peers(), any::<(bool, u64, u32)>(), digests(), peer_sample).prop_map(
        |(sender, (leaving, sequence, number), snapshot_digest, peer_sample)| {
            ControlMessage::Digest(DigestMessage {
                own_report: None,
                unavailable_fingerprint: 0,
                sender,
                leaving,
                sequence: Sequence(sequence),
                snapshot_digest,
                exchange: Exchange::Probe(ProbeNumber(number)),
                peer_sample,
            })
        },
    )
}

fn status_replies() -> impl Strategy<Value = ControlMessage> {
    (peers(), any::<(u32, u64, u64, u32, u64)>(), digests()).prop_map(
        |(node, (number, sequence, version, count, rejections), snapshot)| {
            ControlMessage::StatusReply(StatusReply {
                number: ProbeNumber(number),
                node,
                sequence: Sequence(sequence),
                snapshot,
                bundle_version: version,
                ready: true,
                leaving: false,
                suspect: true,
                known_nodes: count,
                heard_nodes: count,
                rejections,
            })
        },
    )
}

fn messages() -> impl Strategy<Value = ControlMessage> {
    let offers = (1..200_u32, 2..5_u64).prop_map(|(targets, version)| {
        let first = roll(None, bundle(1, 0..10, 4), 1);
        let second = roll(Some(&first), bundle(version, 5..targets.max(6), 4), 2);
        let delta = second.stored.delta.as_ref();
        ControlMessage::Offer(Box::new(Offer::fitting_datagram(
            second.stored.record.clone(),
            delta,
        )))
    });
    let request = |(content, first, maximum_chunks)| CopyRequest {
        content,
        wanted_chunks: (first..first + 100).collect(),
        maximum_chunks,
    };
    let chunk = |(content, index, bytes)| CopyChunk {
        content,
        index,
        is_last: true,
        bytes,
    };
    let bytes = proptest::collection::vec(any::<u8>(), 0..=CHUNK_LENGTH);
    prop_oneof![
        digest_messages(),
        status_replies(),
        offers,
        (digests(), any::<u64>()).prop_map(|(snapshot_digest, sequence)| {
            let sequence = Sequence(sequence);
            ControlMessage::RecordRequest(RecordRequest {
                sequence,
                snapshot_digest,
            })
        }),
        (contents(), 0..9_000_usize, 0..=16_u16)
            .prop_map(move |parts| ControlMessage::CopyRequest(request(parts))),
        (contents(), any::<u32>(), bytes)
            .prop_map(move |parts| ControlMessage::CopyChunk(chunk(parts))),
        contents().prop_map(|content| ControlMessage::CopyRefused(CopyRefused {
            content,
            reason: CopyRefusal::Busy,
        })),
        any::<u32>().prop_map(|number| ControlMessage::StatusRequest(StatusRequest {
            number: ProbeNumber(number),
        })),
    ]
}

proptest! {
    #[test]
    fn every_message_fits_a_datagram_and_is_decoded_unchanged(message in messages()) {
        let frame = message.encode(&key()).unwrap();
        prop_assert!(frame.len() <= MAXIMUM_DATAGRAM_LENGTH);
        prop_assert_eq!(frame.len(), message.datagram_length());
        prop_assert_eq!(ControlMessage::decode(&key(), &frame), Ok(message));
    }

    #[test]
    fn changed_frames_are_refused(message in messages(), position in any::<prop::sample::Index>(), bit in 0..8) {
        let mut frame = message.encode(&key()).unwrap();
        let position = position.index(frame.len());
        frame[position] ^= 1_u8 << bit;
        prop_assert!(ControlMessage::decode(&key(), &frame).is_err());
    }

    #[test]
    fn truncated_and_lengthened_frames_are_refused(message in messages(), position in any::<prop::sample::Index>()) {
        let mut frame = message.encode(&key()).unwrap();
        let end = position.index(frame.len());
        prop_assert_eq!(ControlMessage::decode(&key(), &frame[..end]), Err(FrameError::Truncated));
        frame.push(0);
        let refused = ControlMessage::decode(&key(), &frame);
        prop_assert!(matches!(refused, Err(FrameError::Malformed | FrameError::Oversized)));
    }

    #[test]
    fn any_authenticated_payload_is_decoded_or_refused(payload in proptest::collection::vec(any::<u8>(), 0..1100)) {
        let mut frame = vec![1];
        frame.extend_from_slice(&u16::try_from(payload.len()).unwrap().to_be_bytes());
        frame.extend_from_slice(&key().tag(&payload, &[]));
        frame.extend_from_slice(&payload);
        if let Ok(message) = ControlMessage::decode(&key(), &frame) {
            prop_assert_eq!(message.encode(&key()).unwrap(), frame);
        }
    }

    #[test]
    fn any_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..1400)) {
        prop_assert!(ControlMessage::decode(&key(), &bytes).is_err());
    }
}

#[test]
fn each_kind_of_invalid_frame_has_its_own_error() {
    let number = ProbeNumber(1);
    let message = ControlMessage::StatusRequest(StatusRequest { number });
    let frame = message.encode(&key()).unwrap();
    let refused = |frame: &[u8]| ControlMessage::decode(&key(), frame).unwrap_err();
    let mut other = frame.clone();
    other[0] = 2;
    assert_eq!(refused(&other), FrameError::UnknownVersion);
    let forged = message.encode(&TagKey::new([4; 16])).unwrap();
    assert_eq!(refused(&forged), FrameError::TagMismatch);
    assert_eq!(refused(&[1; 1300]), FrameError::Oversized);
    assert_eq!(refused(&[]), FrameError::Truncated);
    let record = roll(None, bundle(1, 0..10, 4), 1).stored.record;
    let delta = roll(
        Some(&roll(None, bundle(1, 0..10, 4), 1)),
        bundle(2, 0..300, 4),
        2,
    );
    let delta = Box::new(delta.stored.delta.unwrap());
    let long = ControlMessage::Offer(Box::new(Offer {
        record,
        delta: OfferedDelta::Inline(delta),
    }));
    assert_eq!(long.encode(&key()), Err(FrameError::Oversized));
}
