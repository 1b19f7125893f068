//! Leaving records: each agent writes to the store which start of its target has an
//! acknowledged leaving, so that the leaving outlives every process.
//!
//! A leaving is acknowledged only after its record was written. Messages may be late, so
//! after a restart an agent cannot conclude from a heartbeat that its target takes flows:
//! the heartbeat may have been sent before the leaving. The record can tell, whatever the
//! order in which messages arrive. It is removed when another start has taken the address.

pub mod session;

use borsh::{BorshDeserialize, BorshSerialize};

use super::identity::Incarnation;

pub use session::LeavingRecordSession;

/// Version of the encoding.
const ENCODING_VERSION: u8 = 1;

/// A start of a target whose leaving was acknowledged.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingStart {
    /// The start.
    pub incarnation: Incarnation,
    /// Identifies the target by its name alone, whichever start it is.
    pub instance: Option<Incarnation>,
    /// When the start began, in milliseconds of Unix time; `None` if the target does not
    /// state it.
    pub started_at_ms: Option<u64>,
}

impl LeavingStart {
    /// The bytes of the record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        borsh::to_vec(&(ENCODING_VERSION, self)).unwrap_or_default()
    }

    /// Reads a record; `None` if the bytes are no record of this version.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, start): (u8, Self) = borsh::from_slice(bytes).ok()?;
        (version == ENCODING_VERSION).then_some(start)
    }
}
