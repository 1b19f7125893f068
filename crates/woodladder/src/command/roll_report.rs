//! Output and result of `woodladder roll`.

use serde::Serialize;
use woodladder_core::control::roll_command::{RollError, RollOutcome, RollProgress, RollSummary};

use super::error::CommandError;
use super::output::print_json;

/// Output format of the command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReportFormat {
    /// One line for each step, as it happens.
    Lines,
    /// One JSON object at the end.
    Json,
}

/// JSON report of a finished roll.
#[derive(Debug, Serialize)]
struct RollReport {
    /// Whether the roll took effect; absent when that is unknown.
    accepted: Option<bool>,
    sequence: Option<u64>,
    bundle_version: Option<u64>,
    operator: Option<String>,
    /// Digest of the snapshot that the roll puts in force.
    snapshot: Option<String>,
    nodes: Option<NodeCounts>,
    error: Option<String>,
}

/// Numbers of nodes at the end of the roll.
#[derive(Debug, Serialize)]
struct NodeCounts {
    /// Nodes that have the roll or a later one in force.
    in_force: usize,
    /// Nodes that have a later roll in force; included in `in_force`.
    later: usize,
    /// Nodes that answered at least one status request.
    answered: usize,
    /// All nodes to which status requests are sent.
    known: usize,
}

impl ReportFormat {
    pub(super) fn print_accepted(self, roll: &RollSummary) {
        if self == Self::Lines {
            println!("accepted: {roll}");
        }
    }

    pub(super) fn print_progress(self, progress: &RollProgress) {
        if self == Self::Lines {
            println!("{}", describe_progress(progress));
        }
    }

    /// Prints the JSON report and returns the result of the command. Nodes that do
    /// not have the bundle in force at the end make it an error.
    pub(super) fn finish(self, result: Result<RollOutcome, RollError>) -> Result<(), CommandError> {
        if self == Self::Json {
            print_json(&build_report(&result))?;
        }
        let outcome = result.map_err(command_error)?;
        let progress = outcome.progress;
        if progress.in_force < progress.known {
            return Err(CommandError::Unknown(format!(
                "accepted, but timed out: {}",
                describe_progress(&progress)
            )));
        }
        Ok(())
    }
}

fn describe_progress(progress: &RollProgress) -> String {
    format!(
        "in force on {} of {} nodes, {} answered",
        progress.in_force, progress.known, progress.answered
    )
}

fn build_report(result: &Result<RollOutcome, RollError>) -> RollReport {
    match result {
        Ok(outcome) => RollReport {
            accepted: Some(true),
            sequence: Some(outcome.roll.sequence.0),
            bundle_version: Some(outcome.roll.bundle_version),
            operator: Some(outcome.roll.operator.clone()),
            snapshot: Some(outcome.snapshot.to_string()),
            nodes: Some(NodeCounts {
                in_force: outcome.progress.in_force,
                later: outcome.progress.later,
                answered: outcome.progress.answered,
                known: outcome.progress.known,
            }),
            error: None,
        },
        Err(error) => RollReport {
            accepted: (!error.may_have_taken_effect()).then_some(false),
            sequence: None,
            bundle_version: None,
            operator: None,
            snapshot: None,
            nodes: None,
            error: Some(error.to_string()),
        },
    }
}

fn command_error(error: RollError) -> CommandError {
    let text = error.to_string();
    match error {
        RollError::Findings(findings) => CommandError::Findings(findings),
        RollError::StoreUnavailable => CommandError::StoreUnreachable(text),
        RollError::LostRace { .. } => CommandError::LostRace(text),
        RollError::OutcomeUnknown { .. } => CommandError::Unknown(text),
        _ => CommandError::Refused(text),
    }
}
