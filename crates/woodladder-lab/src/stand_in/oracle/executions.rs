//! Checks of what back ends ran.

use std::collections::BTreeMap;

use super::{Evidence, OracleSettings, Violation};
use crate::stand_in::caller::{Outcome, OutcomeRecord};
use crate::stand_in::execution_log::{Execution, ExecutionLog};
use crate::stand_in::operation::OperationId;

type AttemptsByOperation<'a> = BTreeMap<OperationId, Vec<&'a OutcomeRecord>>;

pub(super) fn check(
    evidence: &Evidence,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    let mut attempts = AttemptsByOperation::new();
    for record in &evidence.callers.outcomes {
        attempts.entry(record.operation).or_default().push(record);
    }
    let mut runs: BTreeMap<OperationId, usize> = BTreeMap::new();
    for log in &evidence.back_ends {
        for execution in &log.executions {
            check_against_attempts(execution, &attempts, violations);
            check_leaving(execution, settings, violations);
            if !execution.repeatable {
                *runs.entry(execution.operation).or_default() += 1;
            }
        }
        check_arrivals(log, violations);
    }
    for (operation, executions) in runs {
        if executions > 1 {
            violations.push(Violation::RanMoreThanOnce {
                operation,
                executions,
            });
        }
    }
}

fn check_against_attempts(
    execution: &Execution,
    attempts: &AttemptsByOperation<'_>,
    violations: &mut Vec<Violation>,
) {
    let Some(attempts) = attempts.get(&execution.operation) else {
        violations.push(Violation::ExecutedWithoutRequest {
            operation: execution.operation,
            back_end: execution.back_end.clone(),
        });
        return;
    };
    if said_not_run(execution, attempts) {
        violations.push(Violation::NotRunButExecuted {
            operation: execution.operation,
            attempt: execution.attempt,
            back_end: execution.back_end.clone(),
        });
    }
    if let Some(asked) = attempts
        .iter()
        .find(|asked| asked.service != execution.service)
    {
        violations.push(Violation::WrongService {
            service: execution.service.clone(),
            intended: asked.service.clone(),
            path: format!("operation {}", execution.operation),
        });
    }
}

/// Whether the attempt that led to this execution was said not to be run. When the execution does
/// not tell its attempt, whether all of them were.
fn said_not_run(execution: &Execution, attempts: &[&OutcomeRecord]) -> bool {
    let mut possible = attempts
        .iter()
        .filter(|record| {
            execution
                .attempt
                .is_none_or(|attempt| attempt == record.attempt)
        })
        .peekable();
    possible.peek().is_some()
        && possible.all(|record| matches!(record.outcome, Outcome::NotRun { .. }))
}

fn check_leaving(
    execution: &Execution,
    settings: &OracleSettings,
    violations: &mut Vec<Violation>,
) {
    if let Some(leaving_for_ms) = execution.leaving_for_ms
        && leaving_for_ms > settings.leaving_limit_ms
    {
        violations.push(Violation::NewWorkWhileLeaving {
            back_end: execution.back_end.clone(),
            operation: Some(execution.operation),
            leaving_for_ms,
        });
    }
}

fn check_arrivals(log: &ExecutionLog, violations: &mut Vec<Violation>) {
    for arrival in &log.wrong_service_arrivals {
        violations.push(Violation::WrongService {
            service: arrival.service.clone(),
            intended: arrival.intended.clone(),
            path: arrival.path.clone(),
        });
    }
}
