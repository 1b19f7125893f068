//! The roll record: the signed statement that puts a snapshot in force.
//!
//! A roll is the step by which an operator puts a signed bundle in force on all
//! nodes of a deployment.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::configuration::bundle::encode;
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::signature::{OperatorKey, OperatorSignature, Purpose, SignatureError, TrustedKeys};

/// Length of a roll nonce in bytes.
pub const NONCE_LENGTH: usize = 16;

/// Random number of a roll, by which an operator recognizes their own roll in the
/// store.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RollNonce(pub [u8; NONCE_LENGTH]);

/// What an operator states with a roll.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct RollStatement {
    /// Position of this roll in the order of all rolls.
    pub sequence: Sequence,
    /// Nonce of this roll.
    pub nonce: RollNonce,
    /// Version of the bundle that is rolled.
    pub bundle_version: u64,
    /// Digest of the snapshot that is put in force.
    pub snapshot_digest: Digest,
    /// Length of the snapshot's encoding in bytes.
    pub snapshot_length: u32,
    /// Name of the operator, shown to other operators.
    pub operator: String,
    /// Time of the roll, in seconds since the Unix epoch.
    pub rolled_at_unix_seconds: u64,
}

/// A signed roll statement.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct RollRecord {
    /// The statement.
    pub statement: RollStatement,
    /// Signature over the statement's encoding, for [`Purpose::Roll`].
    pub signature: OperatorSignature,
}

/// The value that the key-value store holds for the roll in force.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct StoredRoll {
    /// The roll in force.
    pub record: RollRecord,
    /// Changes since the previous roll; `None` for the first roll and when the
    /// encoded changes exceed the limit of the roll command
    /// (`MAXIMUM_STORED_DELTA_LENGTH`, in bytes).
    pub delta: Option<SnapshotDelta>,
}

impl RollRecord {
    /// Signs a statement.
    #[must_use]
    pub fn sign(statement: RollStatement, key: &OperatorKey) -> Self {
        let signature = key.sign(Purpose::Roll, &encode(&statement));
        Self {
            statement,
            signature,
        }
    }

    /// Verifies the signature.
    ///
    /// # Errors
    /// [`SignatureError`] when the key is not trusted or the signature does not
    /// match.
    pub fn verify(&self, trusted: &TrustedKeys) -> Result<(), SignatureError> {
        trusted.verify(Purpose::Roll, &encode(&self.statement), &self.signature)
    }

    /// Position in the order of all rolls.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.statement.sequence
    }
}
