//! A modelled operator who rolls bundles, one at a time.

use std::time::Duration;

use borsh::BorshDeserialize as _;
use woodladder_core::bundle::{Bundle, SignedBundle};
use woodladder_core::clock::Instant;
use woodladder_core::identifier::Sequence;
use woodladder_core::roll_record::{RollNonce, RollRecord, RollStatement, StoredRoll};
use woodladder_core::snapshot::{DEFAULT_LINGER, Snapshot};
use woodladder_core::snapshot_delta::SnapshotDelta;
use woodladder_core::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation, StoreRequestId,
};

use super::random::Random;
use super::secrets::operator_key;

const RETRY: Duration = Duration::from_millis(700);
const ATTEMPTS: u32 = 8;

/// What the operator's command waits for.
#[derive(Clone, Debug)]
enum Stage {
    Idle,
    ReadCurrent,
    ReadSnapshot {
        current: Box<StoredRoll>,
        index: StoreIndex,
    },
    WriteSnapshot(Box<Write>),
    WriteCurrent,
}

#[derive(Clone, Debug)]
struct Write {
    expected: StoreIndex,
    stored: StoredRoll,
}

/// An operator.
#[derive(Debug)]
pub struct Operator {
    number: u8,
    run: u32,
    random: Random,
    bundle: Option<Bundle>,
    nonce: RollNonce,
    stage: Stage,
    request: StoreRequestId,
    attempts: u32,
    retry_at: Option<Instant>,
    /// Until when the operator's machine does not run.
    pub frozen_until: Option<Instant>,
}

/// What an operator's command may use while it handles an event.
pub struct Surroundings<'a> {
    /// The present instant.
    pub now: Instant,
    /// Requests to the key-value service.
    pub requests: &'a mut Vec<(StoreRequestId, StoreOperation)>,
}

impl Operator {
    /// An operator with nothing to do.
    #[must_use]
    pub fn new(number: u8, random: Random) -> Self {
        Self {
            number,
            run: 0,
            random,
            bundle: None,
            nonce: RollNonce([0; 16]),
            stage: Stage::Idle,
            request: StoreRequestId(0),
            attempts: 0,
            retry_at: None,
            frozen_until: None,
        }
    }

    /// Number of the present command.
    #[must_use]
    pub fn run(&self) -> u32 {
        self.run
    }

    /// When the command wants to be called again.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Begins to roll a bundle; an unfinished roll is given up.
    pub fn roll(&mut self, bundle: Bundle, around: &mut Surroundings<'_>) {
        self.run += 1;
        self.bundle = Some(bundle);
        self.nonce = RollNonce(self.random.bytes());
        self.attempts = 0;
        self.read_current(around);
    }

    /// Sees to what is due.
    pub fn tick(&mut self, around: &mut Surroundings<'_>) {
        if self.retry_at.is_some_and(|at| at <= around.now) {
            self.retry_at = None;
            self.read_current(around);
        }
    }

    /// Takes an answer of the key-value service in.
    pub fn answered(
        &mut self,
        run: u32,
        request: StoreRequestId,
        answer: StoreAnswer,
        around: &mut Surroundings<'_>,
    ) {
        if run != self.run || request != self.request {
            return;
        }
        match (std::mem::replace(&mut self.stage, Stage::Idle), answer) {
            (Stage::ReadCurrent, StoreAnswer::Value { index, value }) => {
                self.have_current(index, &value, around);
            }
            (Stage::ReadCurrent, StoreAnswer::NotFound) => {
                self.write_snapshot(None, StoreIndex::default(), around);
            }
            (Stage::ReadSnapshot { current, index }, StoreAnswer::Value { value, .. }) => {
                let snapshot = Snapshot::try_from_slice(&value).ok();
                let previous = snapshot.map(|snapshot| (current, snapshot));
                self.write_snapshot(previous, index, around);
            }
            (
                Stage::WriteSnapshot(write),
                StoreAnswer::Written | StoreAnswer::Conflict | StoreAnswer::Unknown,
            ) => self.write_current(&write, around),
            (Stage::WriteCurrent, StoreAnswer::Written | StoreAnswer::Conflict)
            | (Stage::Idle, _) => {}
            _ => self.try_again(around),
        }
    }

    fn try_again(&mut self, around: &Surroundings<'_>) {
        self.attempts += 1;
        if self.attempts < ATTEMPTS {
            self.retry_at = Some(around.now + RETRY);
        }
    }

    fn read_current(&mut self, around: &mut Surroundings<'_>) {
        self.stage = Stage::ReadCurrent;
        self.read(StoreKey::Current, around);
    }

    fn have_current(&mut self, index: StoreIndex, value: &[u8], around: &mut Surroundings<'_>) {
        let Ok(current) = StoredRoll::try_from_slice(value) else {
            return;
        };
        if current.record.statement.nonce == self.nonce {
            return;
        }
        let key = StoreKey::Snapshot(current.record.statement.snapshot);
        let current = Box::new(current);
        self.stage = Stage::ReadSnapshot { current, index };
        self.read(key, around);
    }

    fn write_snapshot(
        &mut self,
        previous: Option<(Box<StoredRoll>, Snapshot)>,
        expected: StoreIndex,
        around: &mut Surroundings<'_>,
    ) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let key = operator_key(self.number);
        let signed = SignedBundle::sign(bundle, &key);
        let unix_time = around.now.since_origin().as_secs();
        let base = previous.as_ref().map(|(_, snapshot)| snapshot);
        let Ok(snapshot) = Snapshot::following(base, signed, unix_time, DEFAULT_LINGER) else {
            return;
        };
        let sequence = previous
            .as_ref()
            .map_or(Sequence::default(), |(roll, _)| roll.record.sequence());
        let stored = self.stored_roll(sequence.next(), base, &snapshot, unix_time);
        let operation = StoreOperation::CompareAndSwap {
            key: StoreKey::Snapshot(snapshot.digest()),
            expected: StoreIndex::default(),
            value: snapshot.encode(),
        };
        self.stage = Stage::WriteSnapshot(Box::new(Write { expected, stored }));
        self.ask(operation, around);
    }

    fn stored_roll(
        &self,
        sequence: Sequence,
        base: Option<&Snapshot>,
        snapshot: &Snapshot,
        unix_time: u64,
    ) -> StoredRoll {
        let length = snapshot.encode().len();
        let statement = RollStatement {
            sequence,
            nonce: self.nonce,
            bundle_version: snapshot.bundle.version,
            snapshot: snapshot.digest(),
            snapshot_length: u32::try_from(length).unwrap_or(u32::MAX),
            operator: format!("operator-{}", self.number),
            rolled_at: unix_time,
        };
        StoredRoll {
            record: RollRecord::sign(statement, &operator_key(self.number)),
            delta: base.map(|base| SnapshotDelta::between(base, snapshot)),
        }
    }

    fn write_current(&mut self, write: &Write, around: &mut Surroundings<'_>) {
        let operation = StoreOperation::CompareAndSwap {
            key: StoreKey::Current,
            expected: write.expected,
            value: borsh::to_vec(&write.stored).unwrap_or_default(),
        };
        self.stage = Stage::WriteCurrent;
        self.ask(operation, around);
    }

    fn read(&mut self, key: StoreKey, around: &mut Surroundings<'_>) {
        self.ask(StoreOperation::Read { key, wait: None }, around);
    }

    fn ask(&mut self, operation: StoreOperation, around: &mut Surroundings<'_>) {
        self.request.0 += 1;
        around.requests.push((self.request, operation));
    }
}
