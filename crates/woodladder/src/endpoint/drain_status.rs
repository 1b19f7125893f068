//! What a draining agent waits for, as the HTTP server reports it.

use serde::{Deserialize, Serialize};

/// State of an agent's drain and of the work that holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainStatus {
    /// Phase of the drain: `serving`, `leaving` or `drained`.
    pub phase: String,
    /// Stage that the agent's tasks were told last: `serving`,
    /// `callers_notified`, `refusing` or `drained`.
    pub stage: String,
    /// Reasons to leave that hold now: `signal`, `bundle`, `machine_list` or
    /// `back_end_health`.
    pub reasons: Vec<String>,
    /// Requests that are open now, feeds and refused requests included.
    pub open_requests: u64,
    /// Callers' connections that are open now, handshakes included.
    pub open_connections: u64,
    /// Connections that the transport has not discarded yet, closed ones included.
    pub transport_connections: u64,
    /// The open request that was opened first.
    pub oldest_request: Option<OldestWorkStatus>,
    /// The open connection that was opened first.
    pub oldest_connection: Option<OldestWorkStatus>,
}

/// The open request or connection that was opened first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OldestWorkStatus {
    /// Time since it was opened, in milliseconds.
    pub age_ms: u64,
    /// What it waits for, or how far it has come.
    pub stage: String,
}
