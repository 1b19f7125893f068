//! The oracle finds nothing in clean logs, and exactly the planted violation in each mutant.

use woodladder_lab::stand_in::answer::AnswerDefect;
use woodladder_lab::stand_in::caller::{
    FeedBreak, FeedEnd, FeedRecord, NotRunReason, Outcome, OutcomeLog, OutcomeRecord, UnknownReason,
};
use woodladder_lab::stand_in::execution_log::{
    Execution, ExecutionEnd, ExecutionLog, FeedOpening, WrongServiceArrival,
};
use woodladder_lab::stand_in::operation::OperationId;
use woodladder_lab::stand_in::oracle::{Evidence, OracleSettings, Violation, judge};

const SERVICE: &str = "orders";
const BACK_END: &str = "orders-1";
const SETTINGS: OracleSettings = OracleSettings {
    leaving_limit_ms: 5_000,
    refusal_limit_ms: Some(1_000),
    planned_changes_only: true,
    all_logs_present: true,
};

fn execution(operation: u64, attempt: Option<u32>) -> Execution {
    Execution {
        operation: OperationId(operation),
        attempt,
        service: SERVICE.to_owned(),
        back_end: BACK_END.to_owned(),
        repeatable: false,
        started_ms: 10,
        ended_ms: Some(20),
        end: ExecutionEnd::Completed,
        leaving_for_ms: None,
    }
}

fn record(operation: u64, attempt: u32, outcome: Outcome) -> OutcomeRecord {
    OutcomeRecord {
        operation: OperationId(operation),
        attempt,
        service: SERVICE.to_owned(),
        repeatable: false,
        outcome,
        gave_up_early: false,
        asked_ms: 5,
        ended_ms: 25,
    }
}

fn not_run() -> Outcome {
    Outcome::NotRun {
        reason: NotRunReason::Told,
        retry_after_ms: Some(1_000),
    }
}

fn unknown(reason: UnknownReason) -> Outcome {
    Outcome::Unknown { reason }
}

fn answered(defect: Option<AnswerDefect>) -> Outcome {
    Outcome::Answered { defect }
}

/// Operation 1 is refused once and then answered; operation 2 is given up while it runs; operation 3
/// is refused for good; one feed is watched; the back end gets work soon after it started to leave.
fn clean() -> Evidence {
    let late = Execution {
        leaving_for_ms: Some(5_000),
        ..execution(2, Some(1))
    };
    let given_up = OutcomeRecord {
        gave_up_early: true,
        ..record(2, 1, unknown(UnknownReason::TimedOut))
    };
    Evidence {
        back_ends: vec![ExecutionLog {
            executions: vec![execution(1, Some(2)), late],
            wrong_service_arrivals: Vec::new(),
            feed_openings: vec![FeedOpening {
                service: SERVICE.to_owned(),
                back_end: BACK_END.to_owned(),
                opened_ms: 1,
                leaving_for_ms: None,
            }],
        }],
        callers: OutcomeLog {
            outcomes: vec![
                record(1, 1, not_run()),
                record(1, 2, answered(None)),
                given_up,
                record(3, 1, not_run()),
            ],
            feeds: vec![FeedRecord {
                service: SERVICE.to_owned(),
                opened_ms: Some(1),
                ended_ms: 100,
                ticks: 10,
                wrong_service_ticks: 0,
                gaps: 0,
                longest_silence_ms: 10,
                moves: 1,
                end: FeedEnd::EndedByCaller,
            }],
        },
    }
}

fn violations(mutate: impl FnOnce(&mut Evidence)) -> Vec<Violation> {
    let mut evidence = clean();
    mutate(&mut evidence);
    judge(&evidence, &SETTINGS).violations
}

#[test]
fn finds_nothing_in_clean_logs_and_counts_them() {
    let report = judge(&clean(), &SETTINGS);
    assert_eq!(report.violations, []);
    let totals = report.totals;
    assert_eq!((totals.answered, totals.not_run, totals.unknown), (1, 2, 1));
    assert_eq!(
        (totals.executions, totals.feeds, totals.feed_moves),
        (2, 1, 1)
    );
    assert_eq!((totals.refused, totals.broken_feeds), (0, 0));
}

#[test]
fn sees_an_execution_of_an_attempt_that_was_not_run() {
    for attempt in [Some(1), None] {
        let found = violations(|evidence| {
            evidence.back_ends[0].executions.push(execution(3, attempt));
        });
        let expected = Violation::NotRunButExecuted {
            operation: OperationId(3),
            attempt,
            back_end: BACK_END.to_owned(),
        };
        assert_eq!(found, [expected]);
    }
}

#[test]
fn sees_that_the_refused_attempt_ran_and_not_the_answered_one() {
    let found = violations(|evidence| evidence.back_ends[0].executions[0].attempt = Some(1));
    assert!(matches!(
        found[..],
        [Violation::NotRunButExecuted {
            attempt: Some(1),
            ..
        }]
    ));
}

#[test]
fn sees_a_second_run_also_at_another_back_end() {
    let found = violations(|evidence| {
        evidence.back_ends.push(ExecutionLog {
            executions: vec![execution(1, Some(2))],
            ..ExecutionLog::default()
        });
    });
    let expected = Violation::RanMoreThanOnce {
        operation: OperationId(1),
        executions: 2,
    };
    assert_eq!(found, [expected]);
}

#[test]
fn sees_an_answer_without_an_execution_and_an_execution_without_a_request() {
    let found = violations(|evidence| {
        evidence.back_ends[0].executions[0].operation = OperationId(8);
    });
    let unasked = Violation::ExecutedWithoutRequest {
        operation: OperationId(8),
        back_end: BACK_END.to_owned(),
    };
    let invented = Violation::AnsweredWithoutExecution {
        operation: OperationId(1),
        attempt: 2,
    };
    assert_eq!(found, [unasked, invented]);
}

#[test]
fn sees_a_crossed_and_a_short_answer() {
    let crossed = AnswerDefect::Crossed {
        found: OperationId(2),
    };
    let short = AnswerDefect::WrongLength {
        expected: 2,
        received: 1,
    };
    for defect in [crossed, short] {
        let found = violations(|evidence| {
            evidence.callers.outcomes[1].outcome = answered(Some(defect.clone()));
        });
        let expected = Violation::DefectiveAnswer {
            operation: OperationId(1),
            attempt: 2,
            defect,
        };
        assert_eq!(found, [expected]);
    }
}

#[test]
fn sees_arrivals_executions_and_ticks_of_a_wrong_service() {
    let found = violations(|evidence| {
        let arrival = WrongServiceArrival {
            service: SERVICE.to_owned(),
            intended: "archive".to_owned(),
            path: "/feed".to_owned(),
            arrived_ms: 1,
        };
        evidence.back_ends[0].wrong_service_arrivals.push(arrival);
    });
    assert!(matches!(&found[..], [Violation::WrongService { path, .. }] if path == "/feed"));
    let found = violations(|evidence| {
        evidence.back_ends[0].executions[0].service = "archive".to_owned();
    });
    let [
        Violation::WrongService {
            service, intended, ..
        },
    ] = &found[..]
    else {
        panic!("{found:?}");
    };
    assert_eq!((service.as_str(), intended.as_str()), ("archive", SERVICE));
    let found = violations(|evidence| evidence.callers.feeds[0].wrong_service_ticks = 3);
    assert!(matches!(
        found[..],
        [Violation::WrongServiceTicks { ticks: 3, .. }]
    ));
}

#[test]
fn sees_new_work_at_a_leaving_back_end() {
    let found = violations(|evidence| {
        evidence.back_ends[0].executions[1].leaving_for_ms = Some(5_001);
    });
    assert!(matches!(
        found[..],
        [Violation::NewWorkWhileLeaving {
            operation: Some(_),
            ..
        }]
    ));
    let found = violations(|evidence| {
        evidence.back_ends[0].feed_openings[0].leaving_for_ms = Some(5_001);
    });
    assert!(matches!(
        found[..],
        [Violation::NewWorkWhileLeaving {
            operation: None,
            ..
        }]
    ));
}

#[test]
fn sees_a_refusal_that_was_held_back() {
    let found = violations(|evidence| evidence.callers.outcomes[3].ended_ms = 1_006);
    assert!(matches!(
        found[..],
        [Violation::RefusalHeldBack { held_ms: 1_001, .. }]
    ));
}

#[test]
fn sees_a_request_and_a_feed_cut_by_a_planned_change() {
    let lost = UnknownReason::ConnectionLost;
    let reset = UnknownReason::StreamReset { code: None };
    let (told, timed_out) = (UnknownReason::Told, UnknownReason::TimedOut);
    let cases = [
        (lost, true),
        (reset, true),
        (told, false),
        (timed_out, false),
    ];
    for (reason, gave_up_early) in cases {
        let found = violations(|evidence| {
            evidence.callers.outcomes[2].outcome = unknown(reason);
            evidence.callers.outcomes[2].gave_up_early = gave_up_early;
        });
        let expected = Violation::RequestCut {
            operation: OperationId(2),
            attempt: 1,
            reason,
        };
        assert_eq!(found, [expected]);
    }
    let reason = FeedBreak::EndedByServer;
    let found = violations(|evidence| evidence.callers.feeds[0].end = FeedEnd::Broken { reason });
    let service = SERVICE.to_owned();
    assert_eq!(found, [Violation::FeedBroken { service, reason }]);
    let found = violations(|evidence| evidence.callers.feeds[0].gaps = 1);
    assert!(matches!(found[..], [Violation::FeedGap { gaps: 1, .. }]));
}
