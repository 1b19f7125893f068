//! The roll record: the signed statement that a snapshot is in force.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::bundle::encode;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::signature::{OperatorKey, Purpose, SignatureError, Signed, TrustedKeys};

/// Length of a roll nonce in bytes.
pub const NONCE_LENGTH: usize = 16;

/// Drawn at random for each roll; tells an operator whose write took effect.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RollNonce(pub [u8; NONCE_LENGTH]);

/// What an operator states with a roll.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct RollStatement {
    /// Position in the order of all rolls.
    pub sequence: Sequence,
    /// Nonce of this roll.
    pub nonce: RollNonce,
    /// Version of the bundle that is rolled.
    pub bundle_version: u64,
    /// Digest of the snapshot that is put in force.
    pub snapshot_digest: Digest,
    /// Length of the snapshot's encoding in bytes.
    pub snapshot_length: u32,
    /// Name of the operator, for messages to others.
    pub operator: String,
    /// When it was rolled, in seconds since the Unix epoch.
    pub rolled_at_unix_seconds: u64,
}

/// A signed roll statement.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct RollRecord {
    /// What is stated.
    pub statement: RollStatement,
    /// Signature over the statement's encoding, for [`Purpose::Roll`].
    pub signed: Signed,
}

/// The value of the key-value service's current entry.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct StoredRoll {
    /// The roll in force.
    pub record: RollRecord,
    /// Changes since the roll before, when they are small.
    pub delta: Option<SnapshotDelta>,
}

impl RollRecord {
    /// Signs a statement.
    #[must_use]
    pub fn sign(statement: RollStatement, key: &OperatorKey) -> Self {
        let signed = key.sign(Purpose::Roll, &encode(&statement));
        Self { statement, signed }
    }

    /// Checks the signature.
    ///
    /// # Errors
    /// [`SignatureError`] when the key is not trusted or does not match.
    pub fn verify(&self, trusted: &TrustedKeys) -> Result<(), SignatureError> {
        trusted.verify(Purpose::Roll, &encode(&self.statement), &self.signed)
    }

    /// Position in the order of all rolls.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.statement.sequence
    }
}
