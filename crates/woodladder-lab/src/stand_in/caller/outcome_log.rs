//! What callers saw, for the oracle. Times are milliseconds since the Unix epoch.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use super::outcome::Outcome;
use crate::stand_in::operation::OperationId;

/// One attempt at an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeRecord {
    /// The operation.
    pub operation: OperationId,
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// The service asked.
    pub service: String,
    /// Whether the operation may run again.
    pub repeatable: bool,
    /// What became of the attempt.
    pub outcome: Outcome,
    /// Whether the caller set a limit shorter than its usual one.
    pub gave_up_early: bool,
    /// When it was asked.
    pub asked_ms: u64,
    /// When its outcome was known.
    pub ended_ms: u64,
}

/// Why a feed broke.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedBreak {
    /// The connection was lost.
    ConnectionLost,
    /// The server reset the stream.
    StreamReset,
    /// The server ended the stream.
    EndedByServer,
}

/// How a feed ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedEnd {
    /// The caller ended it.
    EndedByCaller,
    /// It broke after it had been established.
    Broken {
        /// Why.
        reason: FeedBreak,
    },
    /// It was never established.
    NeverOpened {
        /// The last outcome.
        outcome: Outcome,
    },
}

/// One watched feed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedRecord {
    /// The service asked.
    pub service: String,
    /// When it was established, if it was.
    pub opened_ms: Option<u64>,
    /// When it ended.
    pub ended_ms: u64,
    /// Ticks received.
    pub ticks: u64,
    /// Ticks of another service.
    pub wrong_service_ticks: u64,
    /// Ticks missing or out of order.
    pub gaps: u64,
    /// Longest time between two ticks, in milliseconds.
    pub longest_silence_ms: u64,
    /// How often it moved to another connection because the server was going away.
    pub moves: u64,
    /// How it ended.
    pub end: FeedEnd,
}

/// All that callers logged.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeLog {
    /// Attempts in the order of their end.
    pub outcomes: Vec<OutcomeRecord>,
    /// Feeds in the order of their end.
    pub feeds: Vec<FeedRecord>,
}

/// A log which callers write to.
#[derive(Debug, Default)]
pub struct OutcomeRecorder {
    log: Mutex<OutcomeLog>,
}

impl OutcomeRecorder {
    /// Notes the outcome of an attempt.
    pub fn outcome(&self, record: OutcomeRecord) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.outcomes.push(record);
    }

    /// Notes the end of a feed.
    pub fn feed(&self, record: FeedRecord) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.feeds.push(record);
    }

    /// A copy of the log.
    #[must_use]
    pub fn snapshot(&self) -> OutcomeLog {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
