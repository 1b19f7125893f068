//! From a signed bundle and the roll in force to the roll that follows.

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
pub const MAXIMUM_OPERATOR_NAME: usize = 64;
/// A longer delta is not put beside the record in the current entry.
const MAXIMUM_STORED_DELTA: usize = 16 * 1024;

/// What an operator asks for.
pub struct RollRequest {
    /// The bundle, signed off.
    pub bundle: SignedBundle,
    /// Name of the operator, for messages to others.
    pub operator: String,
    /// Key that signs the roll.
    pub key: OperatorKey,
    /// Keys that the nodes trust.
    pub trusted: TrustedKeys,
    /// Time of the roll in seconds since the Unix epoch.
    pub rolled_at: u64,
    /// How long removed targets are kept.
    pub linger: Duration,
    /// Control addresses of the nodes to report on.
    pub nodes: Vec<SocketAddr>,
    /// Time limits.
    pub tuning: RollTuning,
}

/// Time limits of a roll command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RollTuning {
    /// Time until the key-value service must have taken the swap.
    pub store_time: Duration,
    /// Further time to find out what came of a swap without an answer.
    pub confirm_time: Duration,
    /// Time that an answer of the key-value service may take.
    pub answer_time: Duration,
    /// Time to wait for the nodes after the roll was accepted.
    pub rollout_timeout: Duration,
}

/// A roll that is ready to be written.
#[derive(Clone, Debug)]
pub(super) struct PlannedRoll {
    pub(super) stored: StoredRoll,
    pub(super) delta: Option<SnapshotDelta>,
    pub(super) copy: Vec<u8>,
}

impl Default for RollTuning {
    fn default() -> Self {
        Self {
            store_time: Duration::from_secs(20),
            confirm_time: Duration::from_secs(20),
            answer_time: Duration::from_secs(5),
            rollout_timeout: Duration::from_secs(11),
        }
    }
}

impl RollRequest {
    /// A request with the usual linger and time limits and no nodes.
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

    /// Checks what can be checked without the roll in force.
    pub(super) fn check(&self) -> Result<(), RollError> {
        self.bundle
            .verify(&self.trusted)
            .map_err(RollError::SignOff)?;
        let proof = self.key.sign(Purpose::Roll, &[]);
        self.trusted
            .verify(Purpose::Roll, &[], &proof)
            .map_err(|_| RollError::OperatorNotTrusted)?;
        let name = self.operator.len();
        if name == 0 || name > MAXIMUM_OPERATOR_NAME {
            return Err(RollError::OperatorName);
        }
        Ok(())
    }

    /// The roll that follows the one in force.
    pub(super) fn plan(
        &self,
        previous: Option<(&RollRecord, &Snapshot)>,
        nonce: RollNonce,
    ) -> Result<PlannedRoll, RollError> {
        if let Some((record, snapshot)) = previous {
            self.check_against(record, snapshot)?;
        }
        let base = previous.map(|(_, snapshot)| snapshot);
        let bundle = self.bundle.clone();
        let snapshot = Snapshot::following(base, bundle, self.rolled_at, self.linger)
            .map_err(RollError::Findings)?;
        let copy = snapshot.encode();
        if copy.len() > MAXIMUM_SNAPSHOT_LENGTH {
            return Err(RollError::TooLong);
        }
        let last = previous.map_or(Sequence::default(), |(record, _)| record.sequence());
        let statement = RollStatement {
            sequence: last.next(),
            nonce,
            bundle_version: snapshot.bundle.version,
            snapshot_digest: Digest::of(&copy),
            snapshot_length: u32::try_from(copy.len()).map_err(|_| RollError::TooLong)?,
            operator: self.operator.clone(),
            rolled_at_unix_seconds: self.rolled_at,
        };
        let delta = base.map(|base| SnapshotDelta::between(base, &snapshot));
        Ok(PlannedRoll {
            stored: StoredRoll {
                record: RollRecord::sign(statement, &self.key),
                delta: delta.clone().filter(is_short),
            },
            delta,
            copy,
        })
    }

    fn check_against(&self, record: &RollRecord, snapshot: &Snapshot) -> Result<(), RollError> {
        if record.sequence().next() == record.sequence() {
            return Err(RollError::SequencesUsedUp);
        }
        if snapshot.bundle.deployment != self.bundle.bundle.deployment {
            let name = snapshot.bundle.deployment.clone();
            return Err(RollError::OtherDeployment(name));
        }
        if snapshot.bundle == self.bundle.bundle {
            return Err(RollError::NothingChanges(RollSummary::of(record)));
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

    /// An offer to a node that has the snapshot `have`.
    pub(super) fn offer(&self, have: Digest) -> Offer {
        let delta = self.delta.as_ref().filter(|delta| delta.base == have);
        Offer::fitting_datagram(self.record().clone(), delta)
    }
}

/// Reads the current entry and checks its signature.
pub(super) fn read_stored(value: &[u8], trusted: &TrustedKeys) -> Result<StoredRoll, RollError> {
    let stored = StoredRoll::try_from_slice(value).map_err(|_| RollError::CurrentMalformed)?;
    stored
        .record
        .verify(trusted)
        .map_err(RollError::CurrentSignature)?;
    Ok(stored)
}

/// Reads the snapshot that a record names.
pub(super) fn read_snapshot(value: &[u8], digest: Digest) -> Result<Snapshot, RollError> {
    if Digest::of(value) != digest {
        return Err(RollError::CurrentSnapshotDamaged(digest));
    }
    Snapshot::try_from_slice(value).map_err(|_| RollError::CurrentSnapshotDamaged(digest))
}

fn is_short(delta: &SnapshotDelta) -> bool {
    encode(delta).len() <= MAXIMUM_STORED_DELTA
}
