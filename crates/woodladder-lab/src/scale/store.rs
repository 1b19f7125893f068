//! The key-value service of a run: the stand-in's contents, on the virtual
//! clock, with an outage.

use woodladder_core::clock::Instant;
use woodladder_core::store_operation::{
    MAXIMUM_STORED_VALUE, StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};

use super::roller::Roll;
use crate::stand_in::store::{PutCondition, StoreOperation as Request, StoreOutcome, StoreState};

/// Bytes of HTTP around each request and answer, nearly.
const HTTP_OVERHEAD: u64 = 400;

/// The service.
pub(super) struct ControlStore {
    state: StoreState,
    pub(super) down: bool,
    pub(super) reads: u64,
}

impl ControlStore {
    pub(super) fn new() -> Self {
        Self {
            state: StoreState::new(MAXIMUM_STORED_VALUE),
            down: false,
            reads: 0,
        }
    }

    /// Writes a roll, as an operator's command does; false in an outage.
    pub(super) fn write(&mut self, roll: &Roll, now: Instant) -> bool {
        if self.down {
            return false;
        }
        let digest = roll.stored.record.statement.snapshot;
        self.put(StoreKey::Snapshot(digest), roll.copy.clone(), now);
        let current = borsh::to_vec(&roll.stored).unwrap_or_default();
        self.put(StoreKey::Current, current, now);
        true
    }

    /// Answers a node's request. Waiting reads are not held: nodes of a large
    /// deployment do not send any.
    pub(super) fn answer(&mut self, operation: &StoreOperation, now: Instant) -> StoreAnswer {
        if self.down {
            return StoreAnswer::Unreachable;
        }
        let StoreOperation::Read { key, .. } = operation else {
            return StoreAnswer::Conflict;
        };
        self.reads += 1;
        let request = Request::Get { key: key.path() };
        match self.state.apply(request, now) {
            StoreOutcome::Read {
                entry: Some(entry), ..
            } => StoreAnswer::Value {
                index: StoreIndex(entry.modify_index),
                value: entry.value,
            },
            _ => StoreAnswer::NotFound,
        }
    }

    fn put(&mut self, key: StoreKey, value: Vec<u8>, now: Instant) {
        let request = Request::Put {
            key: key.path(),
            value,
            condition: PutCondition::Always,
        };
        self.state.apply(request, now);
    }
}

/// Bytes that a request and its answer take at the node.
pub(super) fn exchange_length(answer: &StoreAnswer) -> u64 {
    match answer {
        StoreAnswer::Value { value, .. } => HTTP_OVERHEAD + value.len() as u64,
        _ => HTTP_OVERHEAD,
    }
}
