//! What `woodladder roll` prints, and how it ends.

use serde::Serialize;
use woodladder_core::control::roll_command::{RollError, RollOutcome, RollProgress, RollSummary};

use super::failure::Failure;
use super::output::print_json;

/// Form of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReportForm {
    /// Lines as things happen.
    Lines,
    /// One JSON object at the end.
    Json,
}

/// The end of a roll, for programs.
#[derive(Debug, Serialize)]
struct RollReport {
    /// Whether it took effect; absent when that is not known.
    accepted: Option<bool>,
    sequence: Option<u64>,
    bundle_version: Option<u64>,
    operator: Option<String>,
    snapshot: Option<String>,
    nodes: Option<NodeReport>,
    error: Option<String>,
}

#[derive(Debug, Serialize)]
struct NodeReport {
    in_force: usize,
    later: usize,
    answered: usize,
    known: usize,
}

impl ReportForm {
    pub(super) fn accepted(self, roll: &RollSummary) {
        if self == Self::Lines {
            println!("accepted: {roll}");
        }
    }

    pub(super) fn progress(self, progress: &RollProgress) {
        if self == Self::Lines {
            println!("{}", progress_line(progress));
        }
    }

    pub(super) fn finished(self, result: Result<RollOutcome, RollError>) -> Result<(), Failure> {
        if self == Self::Json {
            print_json(&report(&result))?;
        }
        let outcome = result.map_err(failure)?;
        let progress = outcome.progress;
        if progress.in_force < progress.known {
            return Err(Failure::Unknown(format!(
                "accepted, but the time ran out: {}",
                progress_line(&progress)
            )));
        }
        Ok(())
    }
}

fn progress_line(progress: &RollProgress) -> String {
    format!(
        "in force at {} of {} nodes, {} answered",
        progress.in_force, progress.known, progress.answered
    )
}

fn report(result: &Result<RollOutcome, RollError>) -> RollReport {
    match result {
        Ok(outcome) => RollReport {
            accepted: Some(true),
            sequence: Some(outcome.roll.sequence.0),
            bundle_version: Some(outcome.roll.bundle_version),
            operator: Some(outcome.roll.operator.clone()),
            snapshot: Some(outcome.snapshot.to_string()),
            nodes: Some(NodeReport {
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

fn failure(error: RollError) -> Failure {
    let text = error.to_string();
    match error {
        RollError::Findings(findings) => Failure::Findings(findings),
        RollError::StoreUnavailable => Failure::StoreUnreachable(text),
        RollError::LostRace { .. } => Failure::LostRace(text),
        RollError::OutcomeUnknown { .. } => Failure::Unknown(text),
        _ => Failure::Refused(text),
    }
}
