//! Clients of the platform's services: key-value service and machine list.

mod consul;
mod http;
mod machine_list;

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

pub use consul::ConsulStore;
pub use machine_list::{Machine, MachineList, MachineRole, MachineState};

/// Counts the changes of an entry; zero means that there is no entry.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ModifyIndex(pub u64);

/// What a read found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The value, when there is an entry.
    pub value: Option<Vec<u8>>,
    /// Index to compare with in a write; zero when there is no entry.
    pub modify_index: ModifyIndex,
    /// Index to wait after in the next blocking read.
    pub watch_index: ModifyIndex,
}

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// It took effect.
    Applied,
    /// It did not take effect: the entry has another index.
    Conflict,
    /// It did not take effect: the service was not asked or refused.
    NotApplied(StoreError),
    /// It may or may not have taken effect.
    Unknown(StoreError),
}

/// Why the service gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// No connection to any of its addresses.
    Unreachable(String),
    /// It asks for a pause.
    RateLimited {
        /// How long to wait.
        retry_after: Duration,
    },
    /// No whole answer in time, or the connection broke.
    NoAnswer(String),
    /// It answered with a fault of its own.
    Failed(u16),
    /// Its answer cannot be understood.
    Malformed(&'static str),
}

/// A key-value service with compare-and-swap and blocking reads.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads an entry.
    async fn read(&self, key: &str) -> Result<Entry, StoreError>;

    /// Reads an entry once its watch index is past `after`, or when `wait` is
    /// over.
    async fn read_after(
        &self,
        key: &str,
        after: ModifyIndex,
        wait: Duration,
    ) -> Result<Entry, StoreError>;

    /// Writes an entry if its index still is `expected`.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: ModifyIndex,
        value: Vec<u8>,
    ) -> SwapOutcome;
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(formatter, "cannot be reached ({reason})"),
            Self::RateLimited { retry_after } => {
                write!(formatter, "asks for a pause of {retry_after:?}")
            }
            Self::NoAnswer(reason) => write!(formatter, "gave no whole answer ({reason})"),
            Self::Failed(status) => write!(formatter, "failed with status {status}"),
            Self::Malformed(part) => write!(formatter, "gave a malformed {part}"),
        }
    }
}

impl std::error::Error for StoreError {}
