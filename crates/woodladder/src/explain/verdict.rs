//! The outcome of a request or flow, as far as the logs show it.

use std::fmt;

use serde::Serialize;

use super::LogLine;

/// Assumed longest time in milliseconds from an agent's decision about a queued request
/// to the agent's log line about the decision.
const LOG_DELAY_MS: i64 = 100;
/// Event of the line that an agent logs when it queues a request.
const QUEUED_EVENT: &str = "request_queued";
/// Event of the line that an agent logs when it releases a queued request to the target.
const RELEASED_EVENT: &str = "queued_work_released";
/// Event of the line that an agent logs when it drops a request from the queue because
/// the timeout of the request's route has passed: an answer would be useless to the
/// caller.
const GIVEN_UP_EVENT: &str = "request_given_up";

/// The outcome of a request or flow.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Verdict {
    /// The target answered.
    Answered {
        /// Agent that serves the target.
        node: String,
    },
    /// A balancer reset the flow.
    Reset {
        /// Balancer that reset the flow.
        node: String,
        /// Reason that the balancer logged.
        reason: String,
        /// Whether it is certain that no part of the request has run.
        retry_is_safe: bool,
    },
    /// The request reached the target, and no answer is logged.
    DeliveredWithoutAnswer {
        /// Agent that serves the target.
        node: String,
        /// How the target was lost around that time; `None` when no node logged a loss.
        cause: Option<String>,
    },
    /// The agent queued the request until the timeout of its route had passed, and then
    /// dropped the request without delivering it to the target.
    GivenUp {
        /// Agent that serves the target.
        node: String,
        /// Description of the work that the request was queued behind.
        behind: String,
    },
    /// The agent queued the request, and nothing later is logged.
    Waiting {
        /// Agent that serves the target.
        node: String,
        /// Description of the work that the request was queued behind.
        behind: String,
    },
    /// The flow waited for a target, and none accepted it.
    NoTarget,
    /// No line shows one of the other outcomes. Usually the flow was sent to an agent
    /// and nothing else is logged.
    SentOnly,
}

impl Verdict {
    /// The outcome that a flow's lines, sorted by time, and the state changes
    /// around them show.
    #[must_use]
    pub fn from_lines(flow_lines: &[LogLine], surroundings: &[LogLine]) -> Self {
        let last = |event: &str| flow_lines.iter().rev().find(|line| line.event == event);
        let delivered = last("request_delivered");
        let answered = last("request_answered");
        if let Some(reset) = last("flow_reset") {
            return Self::from_reset(reset);
        }
        match (delivered, answered) {
            (Some(delivered), Some(answered)) if answered.at_ms >= delivered.at_ms => {
                Self::Answered {
                    node: answered.node.clone(),
                }
            }
            (Some(delivered), _) => Self::DeliveredWithoutAnswer {
                node: delivered.node.clone(),
                cause: describe_target_loss(surroundings),
            },
            (None, _) if last("flow_without_target").is_some() => Self::NoTarget,
            _ => Self::SentOnly,
        }
    }

    /// The outcome of the last queued request in a flow's lines, when the agent
    /// still has the request queued or dropped it from the queue; `None` otherwise.
    /// Queue lines are in order among themselves. The order of `request_delivered`
    /// and queue lines is not reliable within [`LOG_DELAY_MS`], so a delivery counts
    /// only when its line is later than the last queue line by more than that.
    #[must_use]
    pub fn of_queued(flow_lines: &[LogLine]) -> Option<Self> {
        const QUEUE_EVENTS: [&str; 3] = [QUEUED_EVENT, RELEASED_EVENT, GIVEN_UP_EVENT];
        let is_queue_event = |line: &&LogLine| QUEUE_EVENTS.contains(&line.event.as_str());
        let queued = flow_lines
            .iter()
            .rev()
            .find(|line| line.event == QUEUED_EVENT)?;
        let last = flow_lines.iter().rev().find(is_queue_event)?;
        let is_delivered = flow_lines.iter().any(|line| {
            line.event == "request_delivered" && line.at_ms > last.at_ms + LOG_DELAY_MS
        });
        if is_delivered || last.event == RELEASED_EVENT {
            return None;
        }
        let (node, behind) = (queued.node.clone(), describe_work_ahead(queued));
        Some(if last.event == GIVEN_UP_EVENT {
            Self::GivenUp { node, behind }
        } else {
            Self::Waiting { node, behind }
        })
    }

    fn from_reset(line: &LogLine) -> Self {
        let retry_is_safe = line.fields.get("retry_is_safe");
        Self::Reset {
            node: line.node.clone(),
            reason: line.text("reason").unwrap_or("unknown").to_owned(),
            retry_is_safe: retry_is_safe
                .and_then(serde_json::Value::as_bool)
                .unwrap_or(false),
        }
    }
}

/// The work that was ahead of a queued request, from its `request_queued` line.
fn describe_work_ahead(queued: &LogLine) -> String {
    let count = |name: &str| {
        let value = queued.fields.get(name).and_then(serde_json::Value::as_u64);
        value.unwrap_or(0)
    };
    let running_or_expected = count("busy") + count("opening");
    format!(
        "{running_or_expected} running or expected, {} queued, {} of them urgent",
        count("queued").saturating_sub(1),
        count("urgent_waiting"),
    )
}

/// The first line that reports the loss of the target, as text.
fn describe_target_loss(surroundings: &[LogLine]) -> Option<String> {
    const TARGET_LOSS_EVENTS: [&str; 3] = ["agent_lost", "target_replaced", "agent_stopped"];
    let line = surroundings
        .iter()
        .find(|line| TARGET_LOSS_EVENTS.contains(&line.event.as_str()))?;
    Some(format!(
        "{} logged {} for {}",
        line.node,
        line.event,
        line.text("agent").unwrap_or("an agent")
    ))
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { node } => write!(formatter, "answered at {node}"),
            Self::Reset {
                node,
                reason,
                retry_is_safe,
            } => {
                let safety = if *retry_is_safe {
                    "nothing has run, so a retry is safe"
                } else {
                    "the request may have run"
                };
                write!(formatter, "reset by {node}: {reason}; {safety}")
            }
            Self::DeliveredWithoutAnswer { node, cause } => {
                write!(formatter, "delivered at {node}, no answer logged")?;
                match cause {
                    Some(cause) => write!(formatter, "; {cause}"),
                    None => formatter.write_str(" (answers are logged at level debug)"),
                }
            }
            Self::GivenUp { node, behind } => write!(
                formatter,
                "queued at {node} until its timeout and dropped, nothing has run; \
                 ahead of it: {behind}"
            ),
            Self::Waiting { node, behind } => {
                write!(formatter, "queued at {node}; ahead of it: {behind}")
            }
            Self::NoTarget => formatter.write_str("no target accepted the flow in time"),
            Self::SentOnly => formatter.write_str("sent to an agent; nothing else is logged"),
        }
    }
}
