//! The caller's deadline, as told in a request header.

use std::future::Future;
use std::time::Duration;

use http::HeaderMap;
use tokio::time::{Instant, timeout_at};

use crate::stand_in::headers;

/// When the caller gives up, if it told.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadline(Option<Instant>);

/// The deadline passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct DeadlinePassed;

impl Deadline {
    pub(super) fn from_headers(headers: &HeaderMap) -> Self {
        let remaining = headers::number(headers, headers::DEADLINE_MS).map(Duration::from_millis);
        Self(remaining.and_then(|remaining| Instant::now().checked_add(remaining)))
    }

    pub(super) fn has_passed(self) -> bool {
        self.0.is_some_and(|deadline| deadline <= Instant::now())
    }

    /// Runs the future, at most until the deadline.
    pub(super) async fn limit<T>(
        self,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlinePassed> {
        match self.0 {
            None => Ok(future.await),
            Some(deadline) => timeout_at(deadline, future)
                .await
                .map_err(|_| DeadlinePassed),
        }
    }
}
