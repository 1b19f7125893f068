//! The connections of one node's client of the key-value service.
//!
//! The client keeps connections that have answered and uses the latest of them again. A
//! connection may go silent: requests on it get no answer until their time limit. The client
//! then drops the connections that it has kept.

use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::control::store_operation::StoreOperation;

/// Time after which the client closes a connection that it has kept.
const LONGEST_REST: Duration = Duration::from_secs(20);
/// Time limit of a read.
const READ_TIME_LIMIT: Duration = Duration::from_secs(4);
/// Time limit of a read that waits for a change.
const WATCH_TIME_LIMIT: Duration = Duration::from_secs(59);

/// Time for which the service holds a read that waits for a change.
const LONGEST_HOLD: Duration = Duration::from_secs(55);

/// How often the connections that were open have gone silent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SilenceCount(pub u64);

/// A request on its connection.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    opened: SilenceCount,
    sent_at: Instant,
}

impl Call {
    /// Whether the connection carries nothing any more.
    pub fn is_silent(&self, silences: SilenceCount) -> bool {
        self.opened < silences
    }

    /// Whether the service may wait for a change before it answers.
    pub fn may_be_held(&self, now: Instant) -> bool {
        now.since(self.sent_at) < LONGEST_HOLD
    }

    /// When the client gives up the request.
    pub fn expires_at(&self, operation: &StoreOperation) -> Instant {
        let waits = matches!(operation, StoreOperation::Read { wait: Some(_), .. });
        let limit = if waits {
            WATCH_TIME_LIMIT
        } else {
            READ_TIME_LIMIT
        };
        self.sent_at + limit
    }
}

#[derive(Clone, Debug, Default)]
pub struct StoreConnections {
    kept: Vec<(SilenceCount, Instant)>,
}

impl StoreConnections {
    /// Sends a request on the connection that was kept last, or on a new one.
    pub fn call(&mut self, silences: SilenceCount, now: Instant) -> Call {
        self.kept.retain(|(_, at)| now.since(*at) < LONGEST_REST);
        let opened = self.kept.pop().map_or(silences, |(opened, _)| opened);
        Call {
            opened,
            sent_at: now,
        }
    }

    /// Keeps the connection of a request that was answered.
    pub fn record_answer(&mut self, call: Call, now: Instant) {
        self.kept.push((call.opened, now));
    }

    /// Drops the connections that were kept, because a request got no answer.
    pub fn record_no_answer(&mut self) {
        self.kept.clear();
    }
}
