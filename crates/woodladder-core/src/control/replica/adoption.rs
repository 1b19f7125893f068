//! Validates a record and its snapshot, and builds the roll that is put in
//! force.

use std::sync::Arc;

use borsh::BorshDeserialize as _;

use crate::configuration::roll_record::RollRecord;
use crate::configuration::snapshot::Snapshot;
use crate::configuration::snapshot_delta::{DeltaError, SnapshotDelta};
use crate::control::replica::InstalledRoll;
use crate::digest::Digest;
use crate::signature::{SignatureError, TrustedKeys};

/// Longest encoding of a snapshot in bytes that a node accepts.
pub const MAXIMUM_SNAPSHOT_LENGTH: usize = 8 * 1024 * 1024;

/// Why a record, delta or copy was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The signature of the record is not valid.
    RecordSignature(SignatureError),
    /// The record has the sequence in force but differs from the record in
    /// force.
    SequenceConflict,
    /// The record states that the snapshot is empty or longer than
    /// [`MAXIMUM_SNAPSHOT_LENGTH`].
    SnapshotLength,
    /// The delta does not lead to the snapshot that the record states.
    Delta(DeltaError),
    /// The digest of the copy differs from the one in the record.
    CopyDigest,
    /// A copy, or the value of the current entry of the key-value service,
    /// cannot be decoded.
    Malformed,
    /// The sign-off of the bundle is not valid.
    SignOff(SignatureError),
    /// The bundle version in the record differs from the one in the snapshot.
    BundleVersion,
}

/// Checks whatever does not depend on the snapshot.
pub(super) fn check_record(record: &RollRecord, trusted: &TrustedKeys) -> Result<(), Rejection> {
    record.verify(trusted).map_err(Rejection::RecordSignature)?;
    let length = record.statement.snapshot_length as usize;
    if length == 0 || length > MAXIMUM_SNAPSHOT_LENGTH {
        return Err(Rejection::SnapshotLength);
    }
    Ok(())
}

/// Builds a roll from a record and a copy of its snapshot.
pub(super) fn adopt_copy(
    record: &RollRecord,
    copy: &[u8],
    trusted: &TrustedKeys,
) -> Result<Arc<InstalledRoll>, Rejection> {
    if Digest::of(copy) != record.statement.snapshot_digest {
        return Err(Rejection::CopyDigest);
    }
    let snapshot = Snapshot::try_from_slice(copy).map_err(|_| Rejection::Malformed)?;
    adopt_snapshot(record, snapshot, trusted)
}

/// Builds a roll from a record and a delta that starts from the snapshot in
/// force.
pub(super) fn adopt_delta(
    record: &RollRecord,
    delta: &SnapshotDelta,
    installed: &InstalledRoll,
    trusted: &TrustedKeys,
) -> Result<Arc<InstalledRoll>, Rejection> {
    let snapshot = delta
        .apply(
            &installed.snapshot,
            installed.digest(),
            record.statement.snapshot_digest,
        )
        .map_err(Rejection::Delta)?;
    adopt_snapshot(record, snapshot, trusted)
}

fn adopt_snapshot(
    record: &RollRecord,
    snapshot: Snapshot,
    trusted: &TrustedKeys,
) -> Result<Arc<InstalledRoll>, Rejection> {
    snapshot
        .verify_sign_off(trusted)
        .map_err(Rejection::SignOff)?;
    if snapshot.bundle.version != record.statement.bundle_version {
        return Err(Rejection::BundleVersion);
    }
    Ok(InstalledRoll::new(record.clone(), snapshot))
}

impl Rejection {
    /// Whether the record stays unacceptable, whichever source delivers its
    /// snapshot.
    pub(super) fn is_final(self) -> bool {
        matches!(self, Self::SignOff(_) | Self::BundleVersion)
    }
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RecordSignature(error) => write!(formatter, "roll record: {error}"),
            Self::SequenceConflict => formatter.write_str(
                "the record has the sequence in force but differs from the record in force",
            ),
            Self::SnapshotLength => {
                formatter.write_str("the record states an empty or too long snapshot")
            }
            Self::Delta(error) => write!(formatter, "delta: {error}"),
            Self::CopyDigest => {
                formatter.write_str("the copy has another digest than the record states")
            }
            Self::Malformed => formatter.write_str("the copy cannot be decoded"),
            Self::SignOff(error) => write!(formatter, "sign-off: {error}"),
            Self::BundleVersion => {
                formatter.write_str("the record states another bundle version than the snapshot")
            }
        }
    }
}

impl std::error::Error for Rejection {}
