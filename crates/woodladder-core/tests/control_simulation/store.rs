//! A simulated key-value service with compare-and-swap.

use std::collections::HashMap;

use woodladder_core::control::store_operation::{
    StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};

use super::fixture::Roll;

#[derive(Clone, Debug, Default)]
pub struct Store {
    entries: HashMap<StoreKey, (StoreIndex, Vec<u8>)>,
    index: u64,
    pub down: bool,
    /// Carries out requests but loses the answers.
    pub loses_answers: bool,
    pub requests: u64,
}

impl Store {
    pub fn answer(&mut self, operation: &StoreOperation) -> StoreAnswer {
        if self.down {
            return StoreAnswer::Unreachable;
        }
        self.requests += 1;
        match operation {
            StoreOperation::Read { key, .. } => match self.entries.get(key) {
                Some((index, value)) => StoreAnswer::Value {
                    index: *index,
                    value: value.clone(),
                },
                None => StoreAnswer::NotFound,
            },
            StoreOperation::CompareAndSwap {
                key,
                expected,
                value,
            } => self.swap(*key, *expected, value.clone()),
        }
    }

    /// Whether a read that waits for a change has to keep waiting.
    pub fn blocks(&self, operation: &StoreOperation) -> bool {
        let StoreOperation::Read {
            key,
            wait: Some(index),
        } = operation
        else {
            return false;
        };
        !self.down && self.entries.get(key).is_some_and(|(now, _)| now <= index)
    }

    pub fn put(&mut self, key: StoreKey, value: Vec<u8>) {
        self.index += 1;
        self.entries.insert(key, (StoreIndex(self.index), value));
    }

    pub fn put_roll(&mut self, roll: &Roll) {
        let digest = roll.snapshot.digest();
        self.put(StoreKey::Snapshot(digest), roll.snapshot.encode());
        self.put(StoreKey::Current, borsh::to_vec(&roll.stored).unwrap());
    }

    pub fn value(&self, key: StoreKey) -> Option<&[u8]> {
        self.entries.get(&key).map(|(_, value)| value.as_slice())
    }

    fn swap(&mut self, key: StoreKey, expected: StoreIndex, value: Vec<u8>) -> StoreAnswer {
        let known = self.entries.get(&key);
        let index = known.map_or(StoreIndex(0), |(index, _)| *index);
        if index != expected {
            return StoreAnswer::Conflict;
        }
        self.put(key, value);
        StoreAnswer::Written
    }
}
