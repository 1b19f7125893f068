//! Content digests (SHA-256).

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest as _, Sha256};

/// Length of a digest in bytes.
pub const DIGEST_LENGTH: usize = 32;

/// SHA-256 digest of a canonical encoding.
#[derive(
    BorshDeserialize, BorshSerialize, Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Digest(pub [u8; DIGEST_LENGTH]);

impl Digest {
    /// Computes the digest of these bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}
