//! What became of a request or flow, as far as the logs tell.

use std::fmt;

use serde::Serialize;

use super::LogLine;

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

    fn reset(line: &LogLine) -> Self {
        let safe = line.fields.get("retry_is_safe");
        Self::Reset {
            node: line.node.clone(),
            reason: line.text("reason").unwrap_or("unknown").to_owned(),
            retry_is_safe: safe.and_then(serde_json::Value::as_bool).unwrap_or(false),
        }
    }
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
            Self::NoTarget => formatter.write_str("no target took the flow in time"),
            Self::SentOnly => formatter.write_str("sent to an agent; nothing else is on record"),
        }
    }
}
