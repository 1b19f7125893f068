//! Requests to the key-value service and their answers, apart from HTTP.

use std::fmt;
use std::time::Duration;

use crate::digest::Digest;

/// Key of the roll in force; its value is a [`crate::configuration::roll_record::StoredRoll`].
pub const CURRENT_KEY: &str = "woodladder/current";
/// Prefix of the keys of snapshots; the digest in hexadecimal follows.
pub const SNAPSHOT_KEY_PREFIX: &str = "woodladder/bundles/";
/// Longest value in bytes that nodes and operators accept from the service.
pub const MAXIMUM_STORED_VALUE_LENGTH: usize = 8 * 1024 * 1024;

/// Number of a request, unique within one state machine.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreRequestId(pub u64);

/// Modify index of an entry; zero stands for an entry that does not exist.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreIndex(pub u64);

/// An entry of the key-value service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StoreKey {
    /// The roll in force.
    Current,
    /// The encoding of the snapshot with this digest.
    Snapshot(Digest),
}

/// A request to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOperation {
    /// Reads an entry.
    Read {
        /// Entry to read.
        key: StoreKey,
        /// When set, the service answers once the entry's index is greater
        /// than this one, or after a time of its own choice.
        wait: Option<StoreIndex>,
    },
    /// Writes an entry if its index is still the expected one.
    CompareAndSwap {
        /// Entry to write.
        key: StoreKey,
        /// Index that the entry must have; zero when it must not exist.
        expected: StoreIndex,
        /// Value to write.
        value: Vec<u8>,
    },
}

/// What came of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The entry that was read.
    Value {
        /// Modify index of the entry.
        index: StoreIndex,
        /// Value of the entry.
        value: Vec<u8>,
    },
    /// The entry that was read does not exist.
    NotFound,
    /// The write took effect.
    Written,
    /// The entry's index was not the expected one; nothing was written.
    Conflict,
    /// The service refused the request for now; nothing was written.
    RateLimited {
        /// How long the service asks to wait, when it says so.
        retry_after: Option<Duration>,
    },
    /// The request never reached the service; nothing was written.
    Unreachable,
    /// No answer came; a write may have taken effect.
    Unknown,
}

impl StoreKey {
    /// Path of the entry's key.
    #[must_use]
    pub fn path(&self) -> String {
        match self {
            Self::Current => CURRENT_KEY.to_owned(),
            Self::Snapshot(digest) => format!("{SNAPSHOT_KEY_PREFIX}{digest}"),
        }
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.path())
    }
}
