//! What back ends ran, for the oracle.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use super::clock::unix_milliseconds;
use super::operation::OperationId;

/// How an execution ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// It has not ended.
    Running,
    /// It ran to its end.
    Completed,
    /// The client went away before the end.
    Cancelled,
    /// The caller's deadline passed before the end.
    DeadlineExceeded,
}

/// One execution of an operation. Times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// The operation.
    pub operation: OperationId,
    /// The caller's attempt, when the request tells.
    pub attempt: Option<u32>,
    /// Service of the back end that ran it.
    pub service: String,
    /// Name of the back end that ran it.
    pub back_end: String,
    /// Whether the operation may run again.
    pub repeatable: bool,
    /// When it started.
    pub started_ms: u64,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: ExecutionEnd,
    /// For how long the back end had been leaving at the start.
    pub leaving_for_ms: Option<u64>,
}

/// A request that reached a back end of a service it was not meant for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WrongServiceArrival {
    /// Service of the back end.
    pub service: String,
    /// Service which the caller meant.
    pub intended: String,
    /// Path of the request.
    pub path: String,
    /// When it arrived.
    pub arrived_ms: u64,
}

/// A feed that was opened at a back end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedOpening {
    /// Service of the back end.
    pub service: String,
    /// Name of the back end.
    pub back_end: String,
    /// When it was opened.
    pub opened_ms: u64,
    /// For how long the back end had been leaving.
    pub leaving_for_ms: Option<u64>,
}

/// All that one back end logged.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutionLog {
    /// Executions in the order of their start.
    pub executions: Vec<Execution>,
    /// Requests meant for another service.
    pub wrong_service_arrivals: Vec<WrongServiceArrival>,
    /// Feeds in the order of their opening.
    pub feed_openings: Vec<FeedOpening>,
}

/// Place of an execution in its log.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionEntry(usize);

/// A log which request handlers write to.
#[derive(Debug, Default)]
pub struct ExecutionRecorder {
    log: Mutex<ExecutionLog>,
}

impl ExecutionRecorder {
    /// Notes the start of an execution.
    pub fn start(&self, execution: Execution) -> ExecutionEntry {
        self.change(|log| {
            log.executions.push(execution);
            ExecutionEntry(log.executions.len() - 1)
        })
    }

    /// Notes the end of an execution.
    pub fn end(&self, entry: ExecutionEntry, end: ExecutionEnd) {
        self.change(|log| {
            if let Some(execution) = log.executions.get_mut(entry.0) {
                execution.ended_ms = Some(unix_milliseconds());
                execution.end = end;
            }
        });
    }

    /// Notes a request meant for another service.
    pub fn wrong_service(&self, arrival: WrongServiceArrival) {
        self.change(|log| log.wrong_service_arrivals.push(arrival));
    }

    /// Notes an opened feed.
    pub fn feed_opened(&self, opening: FeedOpening) {
        self.change(|log| log.feed_openings.push(opening));
    }

    /// A copy of the log.
    #[must_use]
    pub fn snapshot(&self) -> ExecutionLog {
        self.change(|log| log.clone())
    }

    fn change<T>(&self, change: impl FnOnce(&mut ExecutionLog) -> T) -> T {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut log)
    }
}
