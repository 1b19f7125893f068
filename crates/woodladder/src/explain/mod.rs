//! One request or flow, explained from the logs of all nodes.
//!
//! Agents see the request's identifier and the flow that carries it; balancers
//! see flows only. The lines of both are joined by the flow, put in order by
//! time, and completed by what the nodes concerned came to believe at that
//! time.

mod reader;
mod verdict;

use serde::Serialize;
use serde_json::Value;

pub use reader::{LogError, read_directory};
pub use verdict::Verdict;

/// Milliseconds before and after a flow's lines whose beliefs are shown.
const SURROUNDINGS_MS: i64 = 2500;
/// Events that change what a node believes.
const BELIEFS: [&str; 11] = [
    "agent_found",
    "agent_lost",
    "agent_stopped",
    "target_replaced",
    "target_state",
    "configuration_adopted",
    "store_lost",
    "store_reached",
    "stalled",
    "started",
    "stopping",
];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Time of day in milliseconds.
    pub at_ms: i64,
    /// Node that wrote it.
    pub node: String,
    /// What happened.
    pub event: String,
    /// All fields.
    pub fields: Value,
}

/// What the logs say of one request or flow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// What was asked for.
    pub key: String,
    /// Flows that carried it.
    pub flows: Vec<String>,
    /// Its lines in the order of time.
    pub lines: Vec<LogLine>,
    /// What nodes concerned came to believe meanwhile.
    pub surroundings: Vec<LogLine>,
    /// What became of it.
    pub verdict: Verdict,
    /// What the logs do not hold.
    pub missing: Vec<String>,
}

impl LogLine {
    /// A field as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }
}

/// Explains a request's identifier, a flow, or a caller's address and port;
/// `None` when no line names it.
#[must_use]
pub fn explain(key: &str, lines: &[LogLine]) -> Option<Explanation> {
    let flows = flows_of(key, lines);
    let mut own: Vec<LogLine> = lines
        .iter()
        .filter(|line| {
            line.text("flow")
                .is_some_and(|flow| flows.iter().any(|it| it == flow))
        })
        .cloned()
        .collect();
    if own.is_empty() {
        return None;
    }
    own.sort_by_key(|line| line.at_ms);
    let surroundings = surroundings(&own, lines);
    // A request with a line of its own has reached a target.
    let is_delivered = own.iter().any(|line| line.text("request") == Some(key));
    let waiting = Verdict::of_waiting(&own).filter(|_| !is_delivered);
    let verdict = waiting.unwrap_or_else(|| Verdict::of(&own, &surroundings));
    Some(Explanation {
        key: key.to_owned(),
        missing: missing(&own, lines),
        flows,
        lines: own,
        surroundings,
        verdict,
    })
}

fn flows_of(key: &str, lines: &[LogLine]) -> Vec<String> {
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

/// Lines of beliefs about nodes that the flow's lines name, near in time.
fn surroundings(own: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let first = own.first().map_or(0, |line| line.at_ms) - SURROUNDINGS_MS;
    let last = own.last().map_or(0, |line| line.at_ms) + SURROUNDINGS_MS;
    let mut near: Vec<LogLine> = lines
        .iter()
        .filter(|line| BELIEFS.contains(&line.event.as_str()))
        .filter(|line| (first..=last).contains(&line.at_ms))
        .filter(|line| concerns(line, own))
        .cloned()
        .collect();
    near.sort_by_key(|line| line.at_ms);
    near
}

fn concerns(line: &LogLine, own: &[LogLine]) -> bool {
    let agent = line.text("agent");
    own.iter().any(|mine| {
        let same_node = mine.node == line.node;
        match agent {
            Some(agent) => mine.text("agent") == Some(agent),
            None => same_node,
        }
    })
}

fn missing(own: &[LogLine], lines: &[LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    let has = |event: &str| own.iter().any(|line| line.event == event);
    if !has("flow_sent") && !has("flow_sent_again") && !has("search_started") {
        missing.push("no balancer's line: its log is not here, or its budget was used up".into());
    }
    if !has("flow_offered") && !has("request_delivered") {
        missing.push("no agent's line: its log is not here, or no packet reached an agent".into());
    }
    for (node, left_out) in left_out(lines) {
        missing.push(format!("{node} left out {left_out} lines for its budget"));
    }
    missing
}

fn left_out(lines: &[LogLine]) -> Vec<(String, u64)> {
    let mut totals = std::collections::BTreeMap::<String, u64>::new();
    for line in lines {
        let count = line.fields.get("left_out").and_then(Value::as_u64);
        if let Some(count) = count.filter(|count| *count > 0) {
            *totals.entry(line.node.clone()).or_default() += count;
        }
    }
    totals.into_iter().collect()
}
