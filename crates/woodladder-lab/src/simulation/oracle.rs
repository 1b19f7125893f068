//! The oracle: joins the logs at the end of a run and names every promise that
//! was not kept. It shares no code with what it judges.

use std::collections::BTreeMap;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::TargetId;

use super::log::{Asked, AttemptId, Entry, OperationId, Outcome, Record};
use super::promise::{Promise, Violation};
use super::roll_oracle;

/// Longest time after which a leaving target still gets new work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(5);
/// Longest silence that one failure of a target, or of all balancers, explains.
const FAILURE_EXPLAINS: Duration = Duration::from_secs(12);

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug)]
struct Ending {
    at: Instant,
    outcome: Outcome,
    /// Target of the flow that it was made on.
    target: TargetId,
}

/// What the log says about one attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptStory {
    asked: Asked,
    asked_at: Instant,
    executed: Option<Instant>,
    ended: Option<Ending>,
    spoiled: bool,
}

/// The log, sorted by subject.
#[derive(Debug, Default)]
struct Stories {
    attempts: BTreeMap<AttemptId, AttemptStory>,
    executions: BTreeMap<OperationId, Vec<Instant>>,
    told: BTreeMap<TargetId, Vec<(Instant, bool)>>,
    failures: BTreeMap<TargetId, Vec<Instant>>,
    /// Times at which no balancer served.
    outages: Vec<Instant>,
}

/// Judges a run by its log.
#[must_use]
pub fn judge(records: &[Record]) -> Vec<Violation> {
    let stories = Stories::read(records);
    let mut violations = Vec::new();
    stories.judge_attempts(&mut violations);
    stories.judge_operations(&mut violations);
    for record in records {
        stories.judge_record(record, &mut violations);
    }
    roll_oracle::judge(records, &mut violations);
    violations.sort_by_key(|violation| (violation.promise, violation.at));
    violations
}

impl Stories {
    fn read(records: &[Record]) -> Self {
        let mut stories = Self::default();
        for record in records {
            stories.add(record);
        }
        stories
    }

    fn add(&mut self, record: &Record) {
        match record.entry {
            Entry::Asked(asked) => self.add_attempt(asked, record.at),
            Entry::Executed {
                attempt, operation, ..
            } => {
                self.executions
                    .entry(operation)
                    .or_default()
                    .push(record.at);
                self.with(attempt, |story| story.executed = Some(record.at));
            }
            Entry::Ended {
                attempt,
                outcome,
                target,
            } => {
                let ending = Ending {
                    at: record.at,
                    outcome,
                    target,
                };
                self.with(attempt, |story| story.ended = Some(ending));
            }
            Entry::Spoiled { attempt } => self.with(attempt, |story| story.spoiled = true),
            Entry::ToldToLeave { target } => {
                self.told.entry(target).or_default().push((record.at, true));
            }
            Entry::ToldToStay { target } => {
                self.told
                    .entry(target)
                    .or_default()
                    .push((record.at, false));
            }
            Entry::NoBalancer => self.outages.push(record.at),
            Entry::TargetFailed { target } => {
                self.failures.entry(target).or_default().push(record.at);
            }
            _ => {}
        }
    }

    fn add_attempt(&mut self, asked: Asked, asked_at: Instant) {
        let story = AttemptStory {
            asked,
            asked_at,
            executed: None,
            ended: None,
            spoiled: false,
        };
        self.attempts.insert(asked.attempt, story);
    }

    fn with(&mut self, attempt: AttemptId, change: impl FnOnce(&mut AttemptStory)) {
        if let Some(story) = self.attempts.get_mut(&attempt) {
            change(story);
        }
    }

    fn judge_attempts(&self, violations: &mut Vec<Violation>) {
        for story in self.attempts.values() {
            if let Some(ending) = &story.ended {
                self.judge_outcome(story, ending, violations);
            }
        }
    }

    fn judge_outcome(
        &self,
        story: &AttemptStory,
        ending: &Ending,
        violations: &mut Vec<Violation>,
    ) {
        let at = ending.at;
        let attempt = story.asked.attempt.0;
        match ending.outcome {
            Outcome::NotRun if story.executed.is_some() => violations.push(Violation {
                promise: Promise::NotRunMeansNotRun,
                at,
                detail: format!("attempt {attempt} was stated as not run and was executed"),
            }),
            Outcome::Answered { length, own } => {
                if !own || length != story.asked.answer_length {
                    violations.push(Violation {
                        promise: Promise::WholeOwnAnswer,
                        at,
                        detail: short_or_crossed(story, length, own),
                    });
                }
            }
            Outcome::Unknown | Outcome::Cut => self.judge_cut(story, ending, violations),
            Outcome::NotRun | Outcome::GivenUp => {}
        }
    }

    /// A request may only be cut by a fault at its target, whether it had
    /// reached the target or not.
    fn judge_cut(&self, story: &AttemptStory, ending: &Ending, violations: &mut Vec<Violation>) {
        let Ending { at, target, .. } = *ending;
        let past_deadline = story
            .asked
            .deadline
            .is_some_and(|limit| at.since(story.asked_at) >= limit);
        let failed = self.failed_between(target, earlier(story.asked_at), at);
        if story.spoiled || past_deadline || failed {
            return;
        }
        violations.push(Violation {
            promise: Promise::PlannedStopKeepsRequests,
            at,
            detail: format!(
                "attempt {} was cut, and nothing had failed at target {target}",
                story.asked.attempt.0
            ),
        });
    }

    fn judge_operations(&self, violations: &mut Vec<Violation>) {
        for story in self.attempts.values() {
            let asked = story.asked;
            let Some(executions) = self.executions.get(&asked.operation) else {
                continue;
            };
            let Some(second) = executions.get(1) else {
                continue;
            };
            let last = story.executed == Some(*second);
            if !asked.repeatable && last {
                violations.push(Violation {
                    promise: Promise::AtMostOnce,
                    at: *second,
                    detail: format!(
                        "operation {} was executed {} times",
                        asked.operation.0,
                        executions.len()
                    ),
                });
            }
        }
    }

    fn judge_record(&self, record: &Record, violations: &mut Vec<Violation>) {
        let judged = match record.entry {
            Entry::PacketTaken {
                target,
                service,
                meant,
            } if service != meant => Some((
                Promise::RightService,
                format!("target {target} of service {service} took a packet for {meant}"),
            )),
            Entry::FlowAccepted { target } if self.is_late(target, record.at) => Some((
                Promise::LeavingGetsNoWork,
                format!("leaving target {target} took a new flow"),
            )),
            Entry::RequestAdmitted { target, attempt } if self.is_late(target, record.at) => {
                Some((
                    Promise::LeavingGetsNoWork,
                    format!("leaving target {target} took attempt {}", attempt.0),
                ))
            }
            Entry::Refused {
                attempt,
                decided,
                retry_after,
            } if decided != record.at || retry_after == 0 => Some((
                Promise::ImmediateRefusal,
                format!("the refusal of attempt {} was held back", attempt.0),
            )),
            Entry::FlowBroken {
                target,
                feed: true,
                last_heard,
            } if !self.failed_between(target, earlier(last_heard), record.at) => Some((
                Promise::PlannedChangeKeepsFeeds,
                format!("a feed of target {target} broke, and nothing had failed there"),
            )),
            _ => None,
        };
        if let Some((promise, detail)) = judged {
            violations.push(Violation {
                promise,
                at: record.at,
                detail,
            });
        }
    }

    fn is_late(&self, target: TargetId, at: Instant) -> bool {
        let Some(told) = self.told.get(&target) else {
            return false;
        };
        let before = told.iter().rev().filter(|(told_at, _)| *told_at <= at);
        let leaving = before.take_while(|(_, leaving)| *leaving);
        leaving
            .last()
            .is_some_and(|(since, _)| at.since(*since) > LEAVING_LIMIT)
    }

    fn failed_between(&self, target: TargetId, from: Instant, until: Instant) -> bool {
        let failures = self.failures.get(&target).into_iter().flatten();
        let mut failures = failures.chain(&self.outages);
        failures.any(|at| (from..=until).contains(at))
    }
}

fn earlier(at: Instant) -> Instant {
    let since_origin = at.since_origin().saturating_sub(FAILURE_EXPLAINS);
    Instant::from_origin(since_origin)
}

fn short_or_crossed(story: &AttemptStory, length: u32, own: bool) -> String {
    let attempt = story.asked.attempt.0;
    if own {
        let whole = story.asked.answer_length;
        format!("attempt {attempt} took {length} of {whole} bytes as whole")
    } else {
        format!("attempt {attempt} took another attempt's answer")
    }
}
