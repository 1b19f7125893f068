//! A delta over several rolls leads to the same snapshot as a full copy.

mod control_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use borsh::BorshDeserialize as _;
use control_simulation::fixture::{Roll, bundle, roll};
use control_simulation::network::{address, settings};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::snapshot_delta::SnapshotDelta;
use woodladder_core::control::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyContent, CopyRequest, MAXIMUM_CHUNKS_PER_REQUEST, Offer,
    OfferedDelta, RecordRequest,
};
use woodladder_core::control::replica::{Replica, ReplicaAction, ReplicaEvent, ReplicaTuning};
use woodladder_core::identifier::Sequence;

const START: Instant = Instant::ORIGIN;

/// Rolls with random sets of targets and random numbers of slots.
fn rolls() -> impl Strategy<Value = Vec<Roll>> {
    let one = (proptest::collection::btree_set(0..40_u32, 0..40), 1..4_u16);
    proptest::collection::vec(one, 2..8).prop_map(|list| {
        let mut chain: Vec<Roll> = Vec::new();
        for (version, (targets, slots)) in (1..).zip(list) {
            let next = roll(chain.last(), bundle(version, targets, slots), 1);
            chain.push(next);
        }
        chain
    })
}

fn exchange(replica: &mut Replica, message: ControlMessage, now: Instant) -> Vec<ControlMessage> {
    let from = address(1);
    let actions = replica.handle(ReplicaEvent::Message { from, message }, now);
    let sent = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send { to, message } if to == from => Some(message),
        _ => None,
    });
    sent.collect()
}

/// A replica that adopted all rolls in order.
fn replica_with(chain: &[Roll]) -> Replica {
    let random = ChaCha8Rng::seed_from_u64(1);
    let settings = settings(0, ReplicaTuning::default());
    let mut replica = Replica::new(settings, random, START);
    for roll in chain {
        let record = roll.stored.record.clone();
        let offer = Offer {
            record,
            delta: OfferedDelta::None,
        };
        exchange(&mut replica, ControlMessage::Offer(Box::new(offer)), START);
        let content = CopyContent::Snapshot(roll.snapshot.digest());
        for (index, bytes) in roll.snapshot.encode().chunks(CHUNK_LENGTH).enumerate() {
            let chunk = woodladder_core::control::control_message::CopyChunk {
                content,
                index: index as u32,
                is_last: false,
                bytes: bytes.to_vec(),
            };
            exchange(&mut replica, ControlMessage::CopyChunk(chunk), START);
        }
    }
    replica
}

fn offered_delta(replica: &mut Replica, installed: &Roll) -> Option<SnapshotDelta> {
    let now = START + Duration::from_secs(2);
    let request = RecordRequest {
        sequence: installed.stored.record.sequence(),
        snapshot_digest: installed.snapshot.digest(),
    };
    let answers = exchange(replica, ControlMessage::RecordRequest(request), now);
    let offer = answers.into_iter().find_map(|answer| match answer {
        ControlMessage::Offer(offer) => Some(offer),
        _ => None,
    })?;
    match offer.delta {
        OfferedDelta::None => None,
        OfferedDelta::Inline(delta) => Some(*delta),
        OfferedDelta::Chunked { base, length } => {
            let result = offer.record.statement.snapshot_digest;
            let content = CopyContent::Delta { base, result };
            let bytes = fetch_copy(replica, content, length, now);
            Some(SnapshotDelta::try_from_slice(&bytes).unwrap())
        }
    }
}

fn fetch_copy(replica: &mut Replica, content: CopyContent, length: u32, now: Instant) -> Vec<u8> {
    assert!(length as usize <= CHUNK_LENGTH * usize::from(MAXIMUM_CHUNKS_PER_REQUEST));
    let request = CopyRequest {
        content,
        wanted_chunks: (0..usize::from(MAXIMUM_CHUNKS_PER_REQUEST)).collect(),
        maximum_chunks: MAXIMUM_CHUNKS_PER_REQUEST,
    };
    let answers = exchange(replica, ControlMessage::CopyRequest(request), now);
    let chunks = answers.into_iter().filter_map(|message| match message {
        ControlMessage::CopyChunk(chunk) => Some((chunk.index, chunk.bytes)),
        _ => None,
    });
    let ordered: BTreeMap<u32, Vec<u8>> = chunks.collect();
    ordered.into_values().flatten().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    #[test]
    fn delta_over_several_rolls_equals_a_full_copy(chain in rolls()) {
        let mut replica = replica_with(&chain);
        let last = chain.last().unwrap();
        prop_assert_eq!(replica.sequence(), Sequence(chain.len() as u64));
        for installed in &chain[..chain.len() - 1] {
            let delta = offered_delta(&mut replica, installed).expect("the history reaches back");
            let digest = installed.snapshot.digest();
            let result = delta.apply(&installed.snapshot, digest, last.snapshot.digest());
            prop_assert_eq!(result, Ok(last.snapshot.clone()));
        }
    }
}
