//! Clients of the platform's services: key-value service and machine list.

mod consul;
mod http;
mod machine_list;

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use woodladder_core::control::store_operation::{StoreAnswer, StoreOperation};

pub use consul::ConsulStore;
pub use machine_list::{Machine, MachineListClient, MachineRole, MachineState};

/// A key-value service with compare-and-swap and blocking reads.
#[async_trait]
pub trait Store: Send + Sync {
    /// Carries a request out. The answer says of a write whether it took
    /// effect, did not, or may have.
    async fn perform(&self, operation: &StoreOperation) -> StoreAnswer;
}

/// Why a service of the platform gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceError {
    /// No connection; the request never reached it.
    Unreachable(String),
    /// It asks for a pause; the request had no effect.
    RateLimited {
        /// How long to wait, when it says so.
        retry_after: Option<Duration>,
    },
    /// No whole answer in time, or the connection broke.
    NoAnswer(String),
    /// It answered with this HTTP status.
    Status(u16),
    /// Its answer cannot be understood.
    Malformed(&'static str),
}

impl fmt::Display for ServiceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(formatter, "cannot be reached ({reason})"),
            Self::RateLimited { retry_after: None } => formatter.write_str("asks for a pause"),
            Self::RateLimited {
                retry_after: Some(pause),
            } => write!(formatter, "asks for a pause of {pause:?}"),
            Self::NoAnswer(reason) => write!(formatter, "gave no whole answer ({reason})"),
            Self::Status(status) => write!(formatter, "answered with status {status}"),
            Self::Malformed(part) => write!(formatter, "gave a malformed {part}"),
        }
    }
}

impl std::error::Error for ServiceError {}
