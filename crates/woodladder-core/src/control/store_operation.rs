//! Requests to the key-value service and their results, independent of HTTP.

use std::fmt;
use std::time::Duration;

use crate::digest::Digest;

/// Key of the roll in force; its value is a
/// [`crate::configuration::roll_record::StoredRoll`].
pub const CURRENT_KEY: &str = "woodladder/current";
/// Prefix of the keys of snapshots; the digest of the snapshot in hexadecimal
/// follows.
pub const SNAPSHOT_KEY_PREFIX: &str = "woodladder/bundles/";
/// Longest value in bytes that nodes and operators accept from the key-value
/// service.
pub const MAXIMUM_STORED_VALUE_LENGTH: usize = 8 * 1024 * 1024;

/// Identifier of a request, unique within one state machine.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreRequestId(pub u64);

/// Modify index of an entry; zero stands for an entry that does not exist.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreIndex(pub u64);

/// Key of an entry of the key-value service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StoreKey {
    /// Key of the roll in force.
    Current,
    /// Key of the encoded snapshot with this digest.
    Snapshot(Digest),
}

/// A request to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreOperation {
    /// Reads an entry.
    Read {
        /// Key of the entry to read.
        key: StoreKey,
        /// When set, the service answers once the modify index of the entry is
        /// greater than this one, or after a time limit that the service
        /// chooses.
        wait: Option<StoreIndex>,
    },
    /// Writes an entry if its modify index is still the expected one.
    CompareAndSwap {
        /// Key of the entry to write.
        key: StoreKey,
        /// Modify index that the entry must have; zero when the entry must not
        /// exist.
        expected: StoreIndex,
        /// Value to write.
        value: Vec<u8>,
    },
}

/// Result of a request to the key-value service.
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
    /// The modify index was not the expected one; nothing was written.
    Conflict,
    /// The service refused the request for now; nothing was written.
    RateLimited {
        /// Time to wait before the next request, if the service states one.
        retry_after: Option<Duration>,
    },
    /// The request never reached the service; nothing was written.
    Unreachable,
    /// No answer arrived; a write may have taken effect.
    Unknown,
}

impl StoreKey {
    /// Full key as the key-value service stores it.
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
