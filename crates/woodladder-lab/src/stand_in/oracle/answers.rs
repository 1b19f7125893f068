//! Checks of what callers were told.

use std::collections::BTreeSet;

use super::{Evidence, OracleSettings, Violation};
use crate::stand_in::caller::{NotRunReason, Outcome, OutcomeRecord, UnknownReason};
use crate::stand_in::operation::OperationId;

pub(super) fn check(
    evidence: &Evidence,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    let executed: BTreeSet<OperationId> = evidence
        .back_ends
        .iter()
        .flat_map(|log| &log.executions)
        .map(|execution| execution.operation)
        .collect();
    for record in &evidence.callers.outcomes {
        match &record.outcome {
            Outcome::Answered {
                defect: Some(defect),
            } => violations.push(Violation::DefectiveAnswer {
                operation: record.operation,
                attempt: record.attempt,
                defect: defect.clone(),
            }),
            Outcome::Answered { defect: None } => {
                if settings.all_logs_present && !executed.contains(&record.operation) {
                    violations.push(Violation::AnsweredWithoutExecution {
                        operation: record.operation,
                        attempt: record.attempt,
                    });
                }
            }
            Outcome::NotRun {
                reason: NotRunReason::Told,
                ..
            } => check_refusal(record, settings, violations),
            Outcome::Unknown { reason } => check_cut(record, *reason, settings, violations),
            Outcome::NotRun { .. } | Outcome::Refused { .. } => {}
        }
    }
}

fn check_refusal(
    record: &OutcomeRecord,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    let held_ms = record.ended_ms.saturating_sub(record.asked_ms);
    if settings
        .refusal_limit_ms
        .is_some_and(|limit| held_ms > limit)
    {
        violations.push(Violation::RefusalHeldBack {
            operation: record.operation,
            attempt: record.attempt,
            held_ms,
        });
    }
}

/// Without faults every request is answered or refused, unless its caller gives up early.
fn check_cut(
    record: &OutcomeRecord,
    reason: UnknownReason,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    let excused = match reason {
        UnknownReason::Told | UnknownReason::TimedOut => record.gave_up_early,
        UnknownReason::ConnectionLost
        | UnknownReason::StreamReset { .. }
        | UnknownReason::AnswerTooLarge => false,
    };
    if settings.planned_changes_only && !excused {
        violations.push(Violation::RequestCut {
            operation: record.operation,
            attempt: record.attempt,
            reason,
        });
    }
}
