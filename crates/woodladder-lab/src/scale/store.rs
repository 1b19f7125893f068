//! The key-value service of a run: the stand-in's contents, on the virtual
//! clock, with a rate limit and an outage.

use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::control::store_operation::{
    MAXIMUM_STORED_VALUE, StoreAnswer, StoreIndex, StoreKey, StoreOperation,
};

use super::roller::Roll;
use crate::stand_in::store::{PutCondition, StoreOperation as Request, StoreOutcome, StoreState};

/// Bytes of HTTP around each request and answer, nearly.
const HTTP_OVERHEAD: u64 = 400;

/// Requests a second that the service takes, and as many at once; an
/// assumption.
const REQUESTS_PER_SECOND: f64 = 50.0;
/// How long the service asks a refused node to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The service.
pub(super) struct ControlStore {
    state: StoreState,
    pub(super) down: bool,
    /// Reads that were answered.
    pub(super) reads: u64,
    /// Reads that were refused for the rate.
    pub(super) refused: u64,
    allowance: f64,
    allowed_at: Instant,
}

impl ControlStore {
    pub(super) fn new() -> Self {
        Self {
            state: StoreState::new(MAXIMUM_STORED_VALUE),
            down: false,
            reads: 0,
            refused: 0,
            allowance: REQUESTS_PER_SECOND,
            allowed_at: Instant::ORIGIN,
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
        if !self.allows(now) {
            self.refused += 1;
            return StoreAnswer::RateLimited {
                retry_after: Some(RETRY_AFTER),
            };
        }
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

    fn allows(&mut self, now: Instant) -> bool {
        let gained = now.since(self.allowed_at).as_secs_f64() * REQUESTS_PER_SECOND;
        self.allowed_at = now;
        self.allowance = (self.allowance + gained).min(REQUESTS_PER_SECOND);
        let allowed = self.allowance >= 1.0;
        if allowed {
            self.allowance -= 1.0;
        }
        allowed
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
