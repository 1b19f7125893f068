//! What became of a request or flow, as far as the logs tell.

use std::fmt;

use serde::Serialize;

use super::LogLine;

/// Time within which a node writes the line of a decision.
const WRITTEN_WITHIN_MS: i64 = 100;

/// The outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Verdict {
    /// The target answered.
    Answered {
        /// Node beside the target.
        node: String,
    },
    /// The flow was reset by a balancer.
    Reset {
        /// Node that reset it.
        node: String,
        /// Why.
        reason: String,
        /// Whether nothing of the request has run.
        retry_is_safe: bool,
    },
    /// It reached the target, and no answer is on record.
    DeliveredWithoutAnswer {
        /// Node beside the target.
        node: String,
        /// What happened to the target meanwhile, when it is known.
        cause: Option<String>,
    },
    /// It waited beside its target until its timeout and was dropped without having run.
    GivenUp {
        /// Node beside the target.
        node: String,
        /// What it waited behind.
        behind: String,
    },
    /// It waits beside its target, and nothing later is on record.
    Waiting {
        /// Node beside the target.
        node: String,
        /// What it waits behind.
        behind: String,
    },
    /// It waited for a target and none took it.
    NoTarget,
    /// It was sent to an agent, and nothing else is on record.
    SentOnly,
}

impl Verdict {
    /// The verdict of a flow's lines.
    #[must_use]
    pub fn of(own: &[LogLine], surroundings: &[LogLine]) -> Self {
        let last = |event: &str| own.iter().rev().find(|line| line.event == event);
        let delivered = last("request_delivered");
        let answered = last("request_answered");
        if let Some(reset) = last("flow_reset") {
            return Self::reset(reset);
        }
        match (delivered, answered) {
            (Some(delivered), Some(answered)) if answered.at_ms >= delivered.at_ms => {
                Self::Answered {
                    node: answered.node.clone(),
                }
            }
            (Some(delivered), _) => Self::DeliveredWithoutAnswer {
                node: delivered.node.clone(),
                cause: loss_of_target(surroundings),
            },
            (None, _) if last("flow_without_target").is_some() => Self::NoTarget,
            _ => Self::SentOnly,
        }
    }

    /// The verdict of the last request of a flow's lines, when it waits beside its target
    /// or was dropped there. Lines of what waits are in their order among themselves;
    /// the line of a request that reaches its target may come before them.
    #[must_use]
    pub fn of_waiting(own: &[LogLine]) -> Option<Self> {
        const COURSE: [&str; 3] = ["request_queued", "queued_work_released", "request_given_up"];
        let is_course = |line: &&LogLine| COURSE.contains(&line.event.as_str());
        let queued = own.iter().rev().find(|line| line.event == COURSE[0])?;
        let last = own.iter().rev().find(is_course)?;
        let is_delivered = own.iter().any(|line| {
            line.event == "request_delivered" && line.at_ms > last.at_ms + WRITTEN_WITHIN_MS
        });
        if is_delivered || last.event == COURSE[1] {
            return None;
        }
        let (node, behind) = (queued.node.clone(), behind(queued));
        Some(if last.event == COURSE[2] {
            Self::GivenUp { node, behind }
        } else {
            Self::Waiting { node, behind }
        })
    }

    fn reset(line: &LogLine) -> Self {
        let safe = line.fields.get("retry_is_safe");
        Self::Reset {
            node: line.node.clone(),
            reason: line.text("reason").unwrap_or("unknown").to_owned(),
            retry_is_safe: safe.and_then(serde_json::Value::as_bool).unwrap_or(false),
        }
    }
}

/// What the line of a request that had to wait says of the work before it.
fn behind(queued: &LogLine) -> String {
    let count = |name: &str| {
        let value = queued.fields.get(name).and_then(serde_json::Value::as_u64);
        value.unwrap_or(0)
    };
    let at_work = count("busy") + count("opening");
    format!(
        "{at_work} at work or expected, {} waiting, {} of them urgent",
        count("queued").saturating_sub(1),
        count("urgent_waiting"),
    )
}

fn loss_of_target(surroundings: &[LogLine]) -> Option<String> {
    const LOSSES: [&str; 3] = ["agent_lost", "target_replaced", "agent_stopped"];
    let line = surroundings
        .iter()
        .find(|line| LOSSES.contains(&line.event.as_str()))?;
    Some(format!(
        "{} saw {} of {}",
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
                write!(formatter, "delivered at {node}, no answer on record")?;
                match cause {
                    Some(cause) => write!(formatter, "; {cause}"),
                    None => formatter.write_str(" (answers are logged at level debug)"),
                }
            }
            Self::GivenUp { node, behind } => write!(
                formatter,
                "waited at {node} until its timeout and was dropped, nothing has run; \
                 before it: {behind}"
            ),
            Self::Waiting { node, behind } => {
                write!(formatter, "waits at {node}; before it: {behind}")
            }
            Self::NoTarget => formatter.write_str("no target took the flow in time"),
            Self::SentOnly => formatter.write_str("sent to an agent; nothing else is on record"),
        }
    }
}
