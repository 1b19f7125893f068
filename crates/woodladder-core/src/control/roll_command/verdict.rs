//! What a roll command reports.

use std::fmt;

use crate::configuration::roll_record::RollRecord;
use crate::digest::Digest;
use crate::finding::Findings;
use crate::identifier::Sequence;
use crate::signature::SignatureError;

/// A roll, as named to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RollSummary {
    /// Name of the operator who rolled.
    pub operator: String,
    /// Position in the order of all rolls.
    pub sequence: Sequence,
    /// Version of the bundle.
    pub bundle_version: u64,
    /// When it was rolled, in seconds since the Unix epoch.
    pub rolled_at: u64,
}

/// How far a roll has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RollProgress {
    /// Nodes that have the roll, or a later one, in force.
    pub in_force: usize,
    /// Nodes among them that have a later one.
    pub later: usize,
    /// Nodes that answered at least once.
    pub answered: usize,
    /// Nodes that were asked.
    pub known: usize,
}

/// A roll that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RollOutcome {
    /// The roll.
    pub roll: RollSummary,
    /// Digest of the snapshot that it puts in force.
    pub snapshot: Digest,
    /// Where it was in force when the command ended.
    pub progress: RollProgress,
}

/// Why a roll was not accepted, or is not known to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RollError {
    /// The bundle's sign-off is not accepted.
    SignOff(SignatureError),
    /// The own key is not among the trusted ones, so no node would accept the
    /// roll.
    OperatorNotTrusted,
    /// The operator's name is empty or too long.
    OperatorName,
    /// The bundle breaks rules towards the one in force.
    Findings(Findings),
    /// The roll in force belongs to another deployment, with this name.
    OtherDeployment(String),
    /// The bundle is in force already, by this roll.
    NothingChanges(RollSummary),
    /// The snapshot is longer than nodes accept.
    TooLong,
    /// No sequence is left.
    SequencesUsedUp,
    /// The current entry cannot be decoded.
    CurrentMalformed,
    /// The current record's signature is not accepted.
    CurrentSignature(SignatureError),
    /// The current record's snapshot is missing from the key-value service.
    CurrentSnapshotMissing(Digest),
    /// The current record's snapshot in the key-value service is damaged.
    CurrentSnapshotDamaged(Digest),
    /// The key-value service could not be used in time; nothing was written
    /// to the current entry.
    StoreUnavailable,
    /// Another operator rolled first.
    LostRace {
        /// The roll in force, when it could be read.
        winner: Option<RollSummary>,
        /// Whether the own roll may have been in force before it.
        in_doubt: bool,
    },
    /// The swap was sent, and what came of it could not be found out.
    OutcomeUnknown {
        /// Sequence that the roll has if it took effect.
        sequence: Sequence,
    },
}

impl RollSummary {
    /// Names the roll of a record.
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
    /// Whether the roll may be, or may have been, in force all the same.
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
            Self::SignOff(error) => write!(formatter, "the bundle's sign-off: {error}"),
            Self::OperatorNotTrusted => {
                formatter.write_str("the operator's key is not among the trusted keys")
            }
            Self::OperatorName => {
                formatter.write_str("the operator's name is empty or longer than 64 bytes")
            }
            Self::Findings(findings) => findings.fmt(formatter),
            Self::OtherDeployment(name) => {
                write!(formatter, "the roll in force belongs to deployment {name}")
            }
            Self::NothingChanges(roll) => {
                write!(formatter, "this bundle is in force already: {roll}")
            }
            Self::TooLong => formatter.write_str("the bundle is too long"),
            Self::SequencesUsedUp => formatter.write_str("no sequence is left"),
            Self::CurrentMalformed => formatter.write_str("the current entry cannot be decoded"),
            Self::CurrentSignature(error) => write!(formatter, "the roll in force: {error}"),
            Self::CurrentSnapshotMissing(digest) => {
                write!(formatter, "the snapshot in force {digest} is missing")
            }
            Self::CurrentSnapshotDamaged(digest) => {
                write!(formatter, "the snapshot in force {digest} is damaged")
            }
            Self::StoreUnavailable => formatter
                .write_str("the key-value service could not be used in time; nothing was rolled"),
            Self::LostRace { winner, in_doubt } => fmt_other_won(formatter, winner, *in_doubt),
            Self::OutcomeUnknown { sequence } => write!(
                formatter,
                "the roll was sent and may have taken effect as sequence {sequence}; \
                 read the status before rolling again"
            ),
        }
    }
}

fn fmt_other_won(
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
