//! Clients of the platform's services: the key-value service and the machine
//! list.

mod connections;
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
    /// Performs an operation. The answer to a write says whether the write took
    /// effect, did not take effect, or may have taken effect.
    async fn perform(&self, operation: &StoreOperation) -> StoreAnswer;
}

/// Why a service of the platform gave no usable response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceError {
    /// No request was sent: no connection could be made, or the HTTP client could
    /// not be built.
    Unreachable(String),
    /// The service limits the rate of requests; the request had no effect.
    RateLimited {
        /// Time to wait before the next request, when the service gives one.
        retry_after: Option<Duration>,
    },
    /// No complete response arrived in time, or the connection broke.
    NoResponse(String),
    /// The service responded with this HTTP status.
    Status(u16),
    /// This part of the response is malformed.
    Malformed(&'static str),
}

impl fmt::Display for ServiceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(formatter, "cannot be reached ({reason})"),
            Self::RateLimited { retry_after: None } => {
                formatter.write_str("limits the request rate")
            }
            Self::RateLimited {
                retry_after: Some(time),
            } => write!(formatter, "limits the request rate; retry after {time:?}"),
            Self::NoResponse(reason) => write!(formatter, "gave no complete response ({reason})"),
            Self::Status(status) => write!(formatter, "responded with status {status}"),
            Self::Malformed(part) => write!(formatter, "gave a malformed {part}"),
        }
    }
}

impl std::error::Error for ServiceError {}
