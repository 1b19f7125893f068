//! Adoption of rolls as a state machine: whatever messages arrive, and in
//! whatever order, the roll in force never reverts to an earlier one and ends
//! at the greatest one.

mod control_simulation;

use std::sync::LazyLock;
use std::time::Duration;

use control_simulation::fixture::{Roll, bundle, roll, untrusted_operator};
use control_simulation::network::{address, settings};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::configuration::roll_record::RollRecord;
use woodladder_core::control::control_message::{
    CHUNK_LENGTH, ControlMessage, CopyChunk, CopyContent, CopyRequest, Offer, OfferedDelta,
    RecordRequest,
};
use woodladder_core::control::replica::{Replica, ReplicaAction, ReplicaEvent, ReplicaTuning};
use woodladder_core::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};
use woodladder_core::identifier::Sequence;

const ROLLS: usize = 8;

/// Eight rolls of different sizes. The last one rolls an older bundle again.
static CHAIN: LazyLock<Vec<Roll>> = LazyLock::new(|| {
    let mut chain: Vec<Roll> = Vec::new();
    for index in 0..ROLLS as u32 {
        let version = if index == 7 { 3 } else { u64::from(index) };
        let targets = (version as u32)..(20 + 15 * version as u32);
        let next = roll(chain.last(), bundle(version, targets, 4), index as u8);
        chain.push(next);
    }
    chain
});

#[derive(Clone, Debug)]
enum Input {
    Offer { roll: usize, with_delta: bool },
    ForgedOffer { roll: usize },
    AlteredDelta { roll: usize },
    DamagedChunk { roll: usize },
    StoreValue { roll: usize },
    Answers,
    Pause(u8),
}

/// Index of the greatest roll received, if any.
#[derive(Clone, Debug, Default)]
struct GreatestReceived(Option<usize>);

impl ReferenceStateMachine for GreatestReceived {
    type State = Self;
    type Transition = Input;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Input> {
        prop_oneof![
            4 => (0..ROLLS, any::<bool>())
                .prop_map(|(roll, with_delta)| Input::Offer { roll, with_delta }),
            1 => (0..ROLLS).prop_map(|roll| Input::ForgedOffer { roll }),
            1 => (1..ROLLS).prop_map(|roll| Input::AlteredDelta { roll }),
            2 => (0..ROLLS).prop_map(|roll| Input::DamagedChunk { roll }),
            2 => (0..ROLLS).prop_map(|roll| Input::StoreValue { roll }),
            4 => Just(Input::Answers),
            1 => any::<u8>().prop_map(Input::Pause),
        ]
        .boxed()
    }

    fn apply(mut state: Self, input: &Input) -> Self {
        let roll = match input {
            Input::Offer { roll, .. }
            | Input::AlteredDelta { roll }
            | Input::StoreValue { roll } => Some(*roll),
            _ => None,
        };
        state.0 = state.0.max(roll);
        state
    }
}

/// A replica, and its requests that have not been answered yet.
struct TestedReplica {
    replica: Replica,
    now: Instant,
    unanswered: Vec<ReplicaAction>,
    installed: Sequence,
    greatest: Sequence,
}

impl TestedReplica {
    fn event(&mut self, event: ReplicaEvent) {
        self.now = self.now + Duration::from_millis(1);
        for action in self.replica.handle(event, self.now) {
            match action {
                ReplicaAction::ReplaceDirectory(_) => {}
                ReplicaAction::Install(installed) => {
                    let expected = &CHAIN[installed.sequence().0 as usize - 1];
                    assert!(installed.sequence() > self.installed);
                    assert_eq!(installed.record, expected.stored.record);
                    assert_eq!(installed.snapshot, expected.snapshot);
                    self.installed = installed.sequence();
                }
                unanswered => self.unanswered.push(unanswered),
            }
        }
    }

    fn receive(&mut self, message: ControlMessage) {
        let from = address(1);
        self.event(ReplicaEvent::Message { from, message });
    }

    /// Answers all requests in reverse order, each twice.
    fn answer_all(&mut self) {
        for action in std::mem::take(&mut self.unanswered).into_iter().rev() {
            for event in answers(&action) {
                self.event(event.clone());
                self.event(event);
            }
        }
    }
}

/// Answers of a node that has the last roll in force, and of a key-value
/// service that contains only the snapshots.
fn answers(action: &ReplicaAction) -> Vec<ReplicaEvent> {
    let from = address(1);
    let message = |message| ReplicaEvent::Message { from, message };
    match action {
        ReplicaAction::Send {
            message: ControlMessage::RecordRequest(request),
            ..
        } => vec![message(offer_since(request))],
        ReplicaAction::Send {
            message: ControlMessage::CopyRequest(request),
            ..
        } => chunks(request).into_iter().map(message).collect(),
        ReplicaAction::Store { request, operation } => vec![ReplicaEvent::StoreAnswer {
            request: *request,
            answer: stored_snapshot(operation),
        }],
        _ => Vec::new(),
    }
}

fn offer_since(request: &RecordRequest) -> ControlMessage {
    let last = &CHAIN[ROLLS - 1];
    let delta = last.stored.delta.as_ref();
    let delta = delta.filter(|delta| delta.base == request.snapshot_digest);
    ControlMessage::Offer(Box::new(Offer::fitting_datagram(
        last.stored.record.clone(),
        delta,
    )))
}

fn chunks(request: &CopyRequest) -> Vec<ControlMessage> {
    let is_result = |roll: &&Roll| match request.content {
        CopyContent::Snapshot(digest) => roll.snapshot.digest() == digest,
        CopyContent::Delta { result, .. } => roll.snapshot.digest() == result,
    };
    let Some(roll) = CHAIN.iter().find(is_result) else {
        return Vec::new();
    };
    let bytes = match request.content {
        CopyContent::Snapshot(_) => roll.snapshot.encode(),
        CopyContent::Delta { .. } => borsh::to_vec(roll.stored.delta.as_ref().unwrap()).unwrap(),
    };
    let chunk = |(index, bytes): (usize, &[u8])| {
        ControlMessage::CopyChunk(CopyChunk {
            content: request.content,
            index: index as u32,
            is_last: false,
            bytes: bytes.to_vec(),
        })
    };
    bytes.chunks(CHUNK_LENGTH).enumerate().map(chunk).collect()
}

/// The last chunk of a snapshot, with one bit changed in the time of a retired
/// target. The sign-off of the bundle does not cover this time.
fn damaged_last_chunk(content: CopyContent, roll: &Roll) -> ControlMessage {
    let mut copy = roll.snapshot.encode();
    *copy.last_mut().unwrap() ^= 1;
    let index = (copy.len() - 1) / CHUNK_LENGTH;
    ControlMessage::CopyChunk(CopyChunk {
        content,
        index: index as u32,
        is_last: true,
        bytes: copy[index * CHUNK_LENGTH..].to_vec(),
    })
}

fn stored_snapshot(operation: &StoreOperation) -> StoreAnswer {
    let StoreOperation::Read {
        key: StoreKey::Snapshot(digest),
        ..
    } = operation
    else {
        return StoreAnswer::Unreachable;
    };
    let has_digest = |roll: &&Roll| roll.snapshot.digest() == *digest;
    CHAIN
        .iter()
        .find(has_digest)
        .map_or(StoreAnswer::NotFound, |roll| StoreAnswer::Value {
            index: StoreIndex(1),
            value: roll.snapshot.encode(),
        })
}

impl StateMachineTest for TestedReplica {
    type SystemUnderTest = Self;
    type Reference = GreatestReceived;

    fn init_test(_: &GreatestReceived) -> Self {
        let random = ChaCha8Rng::seed_from_u64(1);
        let settings = settings(0, ReplicaTuning::default());
        Self {
            replica: Replica::new(settings, random, Instant::ORIGIN),
            now: Instant::ORIGIN,
            unanswered: Vec::new(),
            installed: Sequence(0),
            greatest: Sequence(0),
        }
    }

    fn apply(mut tested: Self, greatest: &GreatestReceived, input: Input) -> Self {
        let chain = &*CHAIN;
        match input {
            Input::Offer { roll, with_delta } => {
                let stored = chain[roll].stored.clone();
                let delta = stored.delta.filter(|_| with_delta);
                let offer = Offer::fitting_datagram(stored.record, delta.as_ref());
                tested.receive(ControlMessage::Offer(Box::new(offer)));
            }
            Input::ForgedOffer { roll } => {
                let mut statement = chain[roll].stored.record.statement.clone();
                statement.sequence = Sequence(100);
                let record = RollRecord::sign(statement, &untrusted_operator());
                let delta = OfferedDelta::None;
                tested.receive(ControlMessage::Offer(Box::new(Offer { record, delta })));
            }
            Input::AlteredDelta { roll } => {
                let stored = chain[roll].stored.clone();
                let mut delta = stored.delta.unwrap();
                delta.removed_targets.clear();
                delta.version += 1;
                let offer = Offer::fitting_datagram(stored.record, Some(&delta));
                tested.receive(ControlMessage::Offer(Box::new(offer)));
            }
            Input::DamagedChunk { roll } => {
                let content = CopyContent::Snapshot(chain[roll].snapshot.digest());
                tested.receive(damaged_last_chunk(content, &chain[roll]));
            }
            Input::StoreValue { roll } => tested.event(ReplicaEvent::StoreAnswer {
                request: woodladder_core::control::store_operation::StoreRequestId(1_000),
                answer: StoreAnswer::Value {
                    index: StoreIndex(roll as u64 + 1),
                    value: borsh::to_vec(&chain[roll].stored).unwrap(),
                },
            }),
            Input::Answers => tested.answer_all(),
            Input::Pause(seconds) => {
                tested.now = tested.now + Duration::from_secs(u64::from(seconds));
                tested.event(ReplicaEvent::Tick);
            }
        }
        assert_eq!(tested.replica.sequence(), tested.installed);
        tested.greatest = Sequence(greatest.0.map_or(0, |roll| roll as u64 + 1));
        let last = tested.installed == Sequence(ROLLS as u64);
        assert!(last || tested.installed <= tested.greatest);
        tested
    }

    fn teardown(mut tested: Self) {
        for _ in 0..1_000 {
            tested.answer_all();
            tested.now = tested.replica.next_wakeup().max(tested.now);
            tested.event(ReplicaEvent::Tick);
        }
        assert!(tested.installed >= tested.greatest);
    }
}

prop_state_machine! {
    #[test]
    fn adoption_never_reverts_and_ends_at_the_greatest(sequential 1..40 => TestedReplica);
}
