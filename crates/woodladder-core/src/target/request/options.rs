//! Parameters of the request table.

use std::time::Duration;

/// Parameters of the request table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestOptions {
    /// Most requests that may be queued for a slot.
    pub queue_limit: usize,
    /// Most back-end connections in use, streams included.
    pub connection_limit: u32,
    /// Longest time that a request may be queued.
    pub maximum_wait: Duration,
    /// Service time that the estimate starts from, before any answer.
    pub initial_service_time: Duration,
    /// Shortest time after which a refused caller is told to retry.
    pub minimum_retry_after: Duration,
    /// Longest time after which a refused caller is told to retry.
    pub maximum_retry_after: Duration,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            queue_limit: 64,
            connection_limit: 2000,
            maximum_wait: Duration::from_secs(10),
            initial_service_time: Duration::from_millis(100),
            minimum_retry_after: Duration::from_secs(1),
            maximum_retry_after: Duration::from_secs(30),
        }
    }
}
