//! Explains what happened to one request or flow, from the logs of all nodes.
//!
//! Agents log the identifier of a request and the flow that carries it;
//! balancers log flows only. The lines of both are joined by flow and sorted
//! by time. State changes around that time, such as a lost agent or a new
//! configuration, are added as context.

mod reader;
mod verdict;

use serde::Serialize;
use serde_json::Value;

pub use reader::{LogError, read_directory};
pub use verdict::Verdict;

/// Time in milliseconds, before a flow's first line and after its last, within
/// which state changes are shown.
const CONTEXT_WINDOW_MS: i64 = 2500;
/// Events that change a node's own state or its view of agents, targets, the
/// store and the configuration.
const STATE_CHANGE_EVENTS: [&str; 16] = [
    "agent_found",
    "agent_lost",
    "agent_stopped",
    "target_replaced",
    "target_state",
    "target_start_replaced",
    "target_deregistered",
    "heartbeat_ignored",
    "heartbeat_refused",
    "deregistration_ignored",
    "configuration_adopted",
    "store_lost",
    "store_reached",
    "stalled",
    "started",
    "stopping",
];

/// One log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Unix time in milliseconds.
    pub at_ms: i64,
    /// Node that wrote the line.
    pub node: String,
    /// Name of the event.
    pub event: String,
    /// All fields of the line.
    pub fields: Value,
}

/// What the logs contain about one request or flow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Request identifier, flow or caller address that was looked up.
    pub key: String,
    /// Flows that carried the request, or that match the key.
    pub flows: Vec<String>,
    /// Log lines of these flows, sorted by time.
    pub lines: Vec<LogLine>,
    /// State changes around the time of these lines, sorted by time. A change that
    /// names an agent is included when one of the lines names the same agent. A change
    /// that names no agent is included when its node wrote one of the lines.
    pub surroundings: Vec<LogLine>,
    /// Outcome of the request or flow.
    pub verdict: Verdict,
    /// Messages about log lines that are missing.
    pub missing: Vec<String>,
}

impl LogLine {
    /// The text of a field; `None` when the field is absent or not a string.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }
}

/// Explains the request or flow that `key` names: a request identifier, a
/// flow, or a caller's address and port. `None` when no line names the key.
#[must_use]
pub fn explain(key: &str, lines: &[LogLine]) -> Option<Explanation> {
    let flows = matching_flows(key, lines);
    let mut flow_lines: Vec<LogLine> = lines
        .iter()
        .filter(|line| {
            line.text("flow")
                .is_some_and(|flow| flows.iter().any(|matching| matching == flow))
        })
        .cloned()
        .collect();
    if flow_lines.is_empty() {
        return None;
    }
    flow_lines.sort_by_key(|line| line.at_ms);
    let surroundings = state_changes_around(&flow_lines, lines);
    // Of all events, only `request_delivered` has the field `request`. An agent logs
    // this event when it hands the request to its target, not when it queues the
    // request, so a line whose `request` is the key shows that the request was delivered.
    let is_delivered = flow_lines
        .iter()
        .any(|line| line.text("request") == Some(key));
    let queued = Verdict::of_queued(&flow_lines).filter(|_| !is_delivered);
    let verdict = queued.unwrap_or_else(|| Verdict::from_lines(&flow_lines, &surroundings));
    Some(Explanation {
        key: key.to_owned(),
        missing: describe_missing_lines(&flow_lines, lines),
        flows,
        lines: flow_lines,
        surroundings,
        verdict,
    })
}

fn matching_flows(key: &str, lines: &[LogLine]) -> Vec<String> {
    let mut flows: Vec<String> = lines
        .iter()
        .filter(|line| {
            let flow = line.text("flow").unwrap_or_default();
            let is_request = line.text("request") == Some(key);
            is_request || flow == key || flow.split('>').next() == Some(key)
        })
        .filter_map(|line| line.text("flow").map(str::to_owned))
        .collect();
    flows.sort();
    flows.dedup();
    flows
}

/// State changes within the context window that [`concerns_flow`] selects, sorted
/// by time.
fn state_changes_around(flow_lines: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let first = flow_lines.first().map_or(0, |line| line.at_ms) - CONTEXT_WINDOW_MS;
    let last = flow_lines.last().map_or(0, |line| line.at_ms) + CONTEXT_WINDOW_MS;
    let mut changes: Vec<LogLine> = lines
        .iter()
        .filter(|line| STATE_CHANGE_EVENTS.contains(&line.event.as_str()))
        .filter(|line| (first..=last).contains(&line.at_ms))
        .filter(|line| concerns_flow(line, flow_lines))
        .cloned()
        .collect();
    changes.sort_by_key(|line| line.at_ms);
    changes
}

/// Whether a state change concerns a flow. A change that names an agent concerns
/// the flow when one of the flow's lines names the same agent. A change that names
/// no agent concerns the flow when its node wrote one of the flow's lines.
fn concerns_flow(line: &LogLine, flow_lines: &[LogLine]) -> bool {
    let agent = line.text("agent");
    flow_lines.iter().any(|flow_line| {
        let is_same_node = flow_line.node == line.node;
        match agent {
            Some(agent) => flow_line.text("agent") == Some(agent),
            None => is_same_node,
        }
    })
}

fn describe_missing_lines(flow_lines: &[LogLine], lines: &[LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    let has = |event: &str| flow_lines.iter().any(|line| line.event == event);
    if !has("flow_sent") && !has("flow_sent_again") && !has("search_started") {
        missing.push(
            "no line of a balancer: its log is not among the files, or its log budget was used up"
                .into(),
        );
    }
    if !has("flow_offered") && !has("request_delivered") {
        missing.push(
            "no line of an agent: its log is not among the files, or no packet reached an agent"
                .into(),
        );
    }
    for (node, count) in left_out_lines_by_node(lines) {
        missing.push(format!(
            "{node} left out {count} lines because its log budget was used up"
        ));
    }
    missing
}

/// Number of lines that each node left out of its log, by node.
fn left_out_lines_by_node(lines: &[LogLine]) -> Vec<(String, u64)> {
    let mut totals = std::collections::BTreeMap::<String, u64>::new();
    for line in lines {
        let count = line.fields.get("left_out").and_then(Value::as_u64);
        if let Some(count) = count.filter(|count| *count > 0) {
            *totals.entry(line.node.clone()).or_default() += count;
        }
    }
    totals.into_iter().collect()
}
