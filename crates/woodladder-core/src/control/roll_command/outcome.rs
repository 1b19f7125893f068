//! Results and progress that a roll command reports.

use std::fmt;

use crate::configuration::roll_record::RollRecord;
use crate::digest::Digest;
use crate::finding::Findings;
use crate::identifier::Sequence;
use crate::signature::SignatureError;

/// Summary of a roll, shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RollSummary {
    /// Name of the operator who rolled the bundle.
    pub operator: String,
    /// Sequence of the roll.
    pub sequence: Sequence,
    /// Version of the bundle.
    pub bundle_version: u64,
    /// Time of the roll in seconds since the Unix epoch.
    pub rolled_at: u64,
}

/// How many nodes have a roll in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RollProgress {
    /// Nodes that have the roll or a later one in force.
    pub in_force: usize,
    /// Nodes that have a later roll in force; included in `in_force`.
    pub later: usize,
    /// Nodes that answered at least one status request.
    pub answered: usize,
    /// Nodes whose status the command requests.
    pub known: usize,
}

/// Result of a roll that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RollOutcome {
    /// The accepted roll.
    pub roll: RollSummary,
    /// Digest of the snapshot that the roll puts in force.
    pub snapshot: Digest,
    /// Progress of the rollout when the command ended.
    pub progress: RollProgress,
}

/// Why a roll was not accepted, or why it is not known whether it was.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RollError {
    /// The sign-off of the bundle is not valid.
    SignOff(SignatureError),
    /// The operator's key is not among the trusted keys, so no node would
    /// accept the roll.
    OperatorNotTrusted,
    /// The operator's name is empty or longer than
    /// [`MAXIMUM_OPERATOR_NAME_LENGTH`](super::MAXIMUM_OPERATOR_NAME_LENGTH).
    InvalidOperatorName,
    /// The bundle violates rules that involve the bundle in force.
    Findings(Findings),
    /// The roll in force belongs to another deployment, with this name.
    DeploymentMismatch(String),
    /// The bundle is in force already, by this roll.
    AlreadyInForce(RollSummary),
    /// The encoded snapshot is longer than nodes accept.
    SnapshotTooLong,
    /// The sequence in force is the greatest one possible.
    SequencesExhausted,
    /// The current entry cannot be decoded.
    CurrentMalformed,
    /// The signature of the current record is not valid.
    CurrentSignature(SignatureError),
    /// The snapshot of the current record is missing from the key-value
    /// service.
    CurrentSnapshotMissing(Digest),
    /// The snapshot of the current record is damaged in the key-value service.
    CurrentSnapshotDamaged(Digest),
    /// The key-value service could not be used in time; nothing was written to the
    /// current entry.
    StoreUnavailable,
    /// Another operator's roll is in force or was written first.
    LostRace {
        /// The roll in force, if it could be read.
        winner: Option<RollSummary>,
        /// Whether this command's roll may have been in force before it.
        in_doubt: bool,
    },
    /// A swap was sent, and the command could not find out whether it took
    /// effect.
    OutcomeUnknown {
        /// Sequence of the roll if it took effect.
        sequence: Sequence,
    },
}

impl RollSummary {
    /// Summary of the roll of a record.
    #[must_use]
    pub fn of(record: &RollRecord) -> Self {
        let statement = &record.statement;
        Self {
            operator: statement.operator.clone(),
            sequence: statement.sequence,
            bundle_version: statement.bundle_version,
            rolled_at: statement.rolled_at_unix_seconds,
        }
    }
}

impl RollError {
    /// Whether the roll may be in force, or may have been, despite the error.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            Self::OutcomeUnknown { .. } | Self::LostRace { in_doubt: true, .. }
        )
    }
}

impl fmt::Display for RollSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sequence {} with bundle version {} by operator {}",
            self.sequence, self.bundle_version, self.operator
        )
    }
}

impl fmt::Display for RollError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SignOff(error) => {
                write!(formatter, "the bundle's sign-off is not valid: {error}")
            }
            Self::OperatorNotTrusted => {
                formatter.write_str("the operator's key is not among the trusted keys")
            }
            Self::InvalidOperatorName => {
                formatter.write_str("the operator's name is empty or longer than 64 bytes")
            }
            Self::Findings(findings) => findings.fmt(formatter),
            Self::DeploymentMismatch(name) => {
                write!(formatter, "the roll in force belongs to deployment {name}")
            }
            Self::AlreadyInForce(roll) => {
                write!(formatter, "this bundle is in force already: {roll}")
            }
            Self::SnapshotTooLong => {
                formatter.write_str("the encoded snapshot is longer than nodes accept")
            }
            Self::SequencesExhausted => {
                formatter.write_str("the sequence in force is the greatest one possible")
            }
            Self::CurrentMalformed => formatter.write_str("the current entry cannot be decoded"),
            Self::CurrentSignature(error) => write!(
                formatter,
                "the signature of the roll in force is not valid: {error}"
            ),
            Self::CurrentSnapshotMissing(digest) => {
                write!(
                    formatter,
                    "the snapshot in force ({digest}) is missing from the key-value service"
                )
            }
            Self::CurrentSnapshotDamaged(digest) => {
                write!(
                    formatter,
                    "the snapshot in force ({digest}) is damaged in the key-value service"
                )
            }
            Self::StoreUnavailable => formatter
                .write_str("the key-value service could not be used in time; nothing was rolled"),
            Self::LostRace { winner, in_doubt } => fmt_lost_race(formatter, winner, *in_doubt),
            Self::OutcomeUnknown { sequence } => write!(
                formatter,
                "the roll was sent and may have taken effect as sequence {sequence}; \
                 read the status before rolling again"
            ),
        }
    }
}

fn fmt_lost_race(
    formatter: &mut fmt::Formatter<'_>,
    winner: &Option<RollSummary>,
    in_doubt: bool,
) -> fmt::Result {
    match winner {
        Some(winner) => write!(formatter, "another roll is in force: {winner}")?,
        None => formatter.write_str("another operator rolled first")?,
    }
    formatter.write_str(if in_doubt {
        "; this roll may have been in force before it"
    } else {
        "; nothing of this roll took effect"
    })
}

impl std::error::Error for RollError {}
