//! Builds the next roll from a signed bundle and the roll in force.

use std::net::SocketAddr;
use std::time::Duration;

use borsh::BorshDeserialize as _;

use crate::configuration::bundle::{SignedBundle, encode};
use crate::configuration::roll_record::{RollNonce, RollRecord, RollStatement, StoredRoll};
use crate::configuration::snapshot::{DEFAULT_LINGER, Snapshot};
use crate::configuration::snapshot_delta::SnapshotDelta;
use crate::control::control_message::Offer;
use crate::control::replica::MAXIMUM_SNAPSHOT_LENGTH;
use crate::control::roll_command::{RollError, RollSummary};
use crate::digest::Digest;
use crate::identifier::Sequence;
use crate::signature::{OperatorKey, Purpose, TrustedKeys};

/// Longest name of an operator in bytes.
pub const MAXIMUM_OPERATOR_NAME_LENGTH: usize = 64;
/// Longest encoded delta in bytes that the current entry holds next to the
/// record.
const MAXIMUM_STORED_DELTA_LENGTH: usize = 16 * 1024;

/// What an operator requests.
pub struct RollRequest {
    /// Bundle to put in force, with its sign-off.
    pub bundle: SignedBundle,
    /// Name of the operator, shown to other operators.
    pub operator: String,
    /// Key that signs the roll record.
    pub key: OperatorKey,
    /// Keys that the nodes trust.
    pub trusted: TrustedKeys,
    /// Time of the roll in seconds since the Unix epoch.
    pub rolled_at: u64,
    /// How long targets that the bundle removes stay in the snapshot.
    pub linger: Duration,
    /// Control addresses of the nodes whose progress is reported.
    pub nodes: Vec<SocketAddr>,
    /// Time limits.
    pub tuning: RollTuning,
}

/// Time limits of a roll command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RollTuning {
    /// Time for reading the roll in force and for writing the new one.
    pub store_timeout: Duration,
    /// Further time to find out whether a swap without an answer took effect.
    pub confirm_timeout: Duration,
    /// Time to wait for one answer of the key-value service.
    pub answer_timeout: Duration,
    /// Time to wait, after the roll was accepted, until the nodes have it in
    /// force.
    pub rollout_timeout: Duration,
}

/// A signed roll that can be written to the key-value service.
#[derive(Clone, Debug)]
pub(super) struct PlannedRoll {
    pub(super) stored: StoredRoll,
    pub(super) delta: Option<SnapshotDelta>,
    pub(super) encoded_snapshot: Vec<u8>,
}

impl Default for RollTuning {
    fn default() -> Self {
        Self {
            store_timeout: Duration::from_secs(20),
            confirm_timeout: Duration::from_secs(20),
            answer_timeout: Duration::from_secs(5),
            rollout_timeout: Duration::from_secs(11),
        }
    }
}

impl RollRequest {
    /// A request with the default linger time and time limits, and without
    /// nodes.
    #[must_use]
    pub fn new(
        bundle: SignedBundle,
        operator: String,
        key: OperatorKey,
        trusted: TrustedKeys,
        rolled_at: u64,
    ) -> Self {
        Self {
            bundle,
            operator,
            key,
            trusted,
            rolled_at,
            linger: DEFAULT_LINGER,
            nodes: Vec::new(),
            tuning: RollTuning::default(),
        }
    }

    /// Checks whatever does not depend on the roll in force.
    pub(super) fn check(&self) -> Result<(), RollError> {
        self.bundle
            .verify(&self.trusted)
            .map_err(RollError::SignOff)?;
        let signature = self.key.sign(Purpose::Roll, &[]);
        self.trusted
            .verify(Purpose::Roll, &[], &signature)
            .map_err(|_| RollError::OperatorNotTrusted)?;
        let name_length = self.operator.len();
        if name_length == 0 || name_length > MAXIMUM_OPERATOR_NAME_LENGTH {
            return Err(RollError::InvalidOperatorName);
        }
        Ok(())
    }

    /// Builds the roll that follows `previous`, the one in force, or the first
    /// roll if `previous` is `None`.
    pub(super) fn plan(
        &self,
        previous: Option<(&RollRecord, &Snapshot)>,
        nonce: RollNonce,
    ) -> Result<PlannedRoll, RollError> {
        if let Some((record, snapshot)) = previous {
            self.check_against_current(record, snapshot)?;
        }
        let base = previous.map(|(_, snapshot)| snapshot);
        let bundle = self.bundle.clone();
        let snapshot = Snapshot::following(base, bundle, self.rolled_at, self.linger)
            .map_err(RollError::Findings)?;
        let encoded_snapshot = snapshot.encode();
        if encoded_snapshot.len() > MAXIMUM_SNAPSHOT_LENGTH {
            return Err(RollError::SnapshotTooLong);
        }
        let last_sequence = previous.map_or(Sequence::default(), |(record, _)| record.sequence());
        let statement = RollStatement {
            sequence: last_sequence.next(),
            nonce,
            bundle_version: snapshot.bundle.version,
            snapshot_digest: Digest::of(&encoded_snapshot),
            snapshot_length: u32::try_from(encoded_snapshot.len())
                .map_err(|_| RollError::SnapshotTooLong)?,
            operator: self.operator.clone(),
            rolled_at_unix_seconds: self.rolled_at,
        };
        let delta = base.map(|base| SnapshotDelta::between(base, &snapshot));
        Ok(PlannedRoll {
            stored: StoredRoll {
                record: RollRecord::sign(statement, &self.key),
                delta: delta.clone().filter(fits_current_entry),
            },
            delta,
            encoded_snapshot,
        })
    }

    fn check_against_current(
        &self,
        record: &RollRecord,
        snapshot: &Snapshot,
    ) -> Result<(), RollError> {
        if record.sequence().next() == record.sequence() {
            return Err(RollError::SequencesExhausted);
        }
        if snapshot.bundle.deployment != self.bundle.bundle.deployment {
            let name = snapshot.bundle.deployment.clone();
            return Err(RollError::DeploymentMismatch(name));
        }
        if snapshot.bundle == self.bundle.bundle {
            return Err(RollError::AlreadyInForce(RollSummary::of(record)));
        }
        Ok(())
    }
}

impl PlannedRoll {
    pub(super) fn record(&self) -> &RollRecord {
        &self.stored.record
    }

    pub(super) fn digest(&self) -> Digest {
        self.stored.record.statement.snapshot_digest
    }

    /// Builds an offer for a node that has the snapshot `base` in force.
    pub(super) fn offer(&self, base: Digest) -> Offer {
        let delta = self.delta.as_ref().filter(|delta| delta.base == base);
        Offer::fitting_datagram(self.record().clone(), delta)
    }
}

/// Decodes the current entry and verifies the signature of its record.
pub(super) fn read_stored(value: &[u8], trusted: &TrustedKeys) -> Result<StoredRoll, RollError> {
    let stored = StoredRoll::try_from_slice(value).map_err(|_| RollError::CurrentMalformed)?;
    stored
        .record
        .verify(trusted)
        .map_err(RollError::CurrentSignature)?;
    Ok(stored)
}

/// Decodes a snapshot after comparing its digest with the one in the record.
pub(super) fn read_snapshot(value: &[u8], digest: Digest) -> Result<Snapshot, RollError> {
    if Digest::of(value) != digest {
        return Err(RollError::CurrentSnapshotDamaged(digest));
    }
    Snapshot::try_from_slice(value).map_err(|_| RollError::CurrentSnapshotDamaged(digest))
}

fn fits_current_entry(delta: &SnapshotDelta) -> bool {
    encode(delta).len() <= MAXIMUM_STORED_DELTA_LENGTH
}
