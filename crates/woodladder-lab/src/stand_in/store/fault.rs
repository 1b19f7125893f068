//! Faults which the store can be told to show.

use serde::{Deserialize, Serialize};

/// How the store behaves while it is down.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// Connections are refused, and open ones close without an answer.
    #[default]
    Refuse,
    /// Requests are answered with status 503.
    Unavailable,
    /// Requests are never answered.
    Hang,
}

/// How blocking reads learn of changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatchFault {
    /// At once.
    #[default]
    Normal,
    /// After `watch_delay_ms`.
    Late,
    /// Not at all: the read is never answered.
    Never,
    /// Each change is delivered once more on the same connection.
    Twice,
}

/// Faults in force. The default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFault {
    /// Whether the store is down.
    pub down: bool,
    /// How it behaves while down.
    pub down_mode: DownMode,
    /// Delay before each request is carried out, in milliseconds.
    pub delay_ms: u64,
    /// So many of the next writes take effect, but their connection closes without an answer.
    pub lose_next_write_answers: u32,
    /// How blocking reads learn of changes.
    pub watch: WatchFault,
    /// Delay of late watches, in milliseconds.
    pub watch_delay_ms: u64,
}
